//! Prompt text of a request.

use super::{ChatMessage, ChatRequest, MessageContent};

/// Separates the parts of a prompt, so that a shifted boundary between two
/// messages changes the text.
const SEPARATOR: &str = "\n";

/// Returns the parts of the prompt's text in the order in which an engine reads
/// them: role and content of each message.
///
/// # Examples
///
/// ```
/// use comfreyway_proto::caller::{ChatRequest, prompt_parts};
///
/// let body = r#"{"model": "m", "messages": [{"role": "user", "content": "Hi"}]}"#;
/// let request: ChatRequest = serde_json::from_str(body).unwrap();
/// assert_eq!(prompt_parts(&request).collect::<String>(), "user\nHi\n");
/// ```
pub fn prompt_parts(request: &ChatRequest) -> impl Iterator<Item = &str> {
    request.messages.iter().flat_map(|message| {
        let role = [message.role.as_str(), SEPARATOR];
        role.into_iter().chain(content_parts(message)).chain([SEPARATOR])
    })
}

fn content_parts(message: &ChatMessage) -> impl Iterator<Item = &str> {
    let (text, parts) = match &message.content {
        None | Some(MessageContent::Nothing) => (None, None),
        Some(MessageContent::Text(text)) => (Some(text.as_str()), None),
        Some(MessageContent::Parts(parts)) => (None, Some(parts)),
    };
    let parts = parts.into_iter().flatten().filter_map(|part| part.text.as_deref());
    text.into_iter().chain(parts)
}
