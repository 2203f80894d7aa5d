//! Media types of responses.

/// Returns the media type of a `Content-Type` in lower case, without parameters.
pub(crate) fn media_type(content_type: Option<&str>) -> String {
    let media_type = content_type.unwrap_or_default().split(';').next().unwrap_or_default();
    media_type.trim().to_ascii_lowercase()
}

/// Returns true for JSON and the media types based on it.
pub(crate) fn is_json(media_type: &str) -> bool {
    media_type == "application/json" || media_type.ends_with("+json")
}
