//! Ranges of keys that share a prefix.

/// Start of the range of all keys that start with `prefix`.
#[must_use]
pub fn prefix_start(prefix: &str) -> Vec<u8> {
    // The gateway refuses an empty key; the byte zero stands for the first one.
    if prefix.is_empty() { vec![0] } else { prefix.as_bytes().to_vec() }
}

/// End of the range of all keys that start with `prefix`.
///
/// # Examples
///
/// ```
/// use comfreyway_platform::etcd::wire::prefix_end;
///
/// assert_eq!(prefix_end("ab"), b"ac");
/// ```
#[must_use]
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    // Text in UTF-8 holds no byte 0xff, so the last byte can always be raised.
    match end.last_mut() {
        Some(last) => *last += 1,
        None => end.push(0),
    }
    end
}
