//! Line numbers of sections and keys, for error messages.
//!
//! The INI parser does not report line numbers. This scan only locates keys; it
//! reads no values.

/// Returns the line of the first occurrence of a key, starting at 1. Returns
/// the line of its section if the key is absent, and 1 if the section is absent
/// too.
pub(super) fn line_of(text: &str, section: &str, key: Option<&str>) -> usize {
    let mut current = "";
    let mut found = 1;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
            current = name.trim();
            if current == section {
                found = index + 1;
            }
            continue;
        }
        let name = line.split(['=', ':']).next().unwrap_or_default().trim();
        if current == section && key.is_some_and(|key| key == name) {
            return index + 1;
        }
    }
    found
}
