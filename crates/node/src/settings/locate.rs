//! Lines of sections and keys, for messages.
//!
//! The INI library reads the values but keeps no lines. This scan only finds
//! where a key stands; no value comes from it.

/// Line of the first mention of a key, from 1; the line of its section if the
/// key is absent, else line 1.
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
