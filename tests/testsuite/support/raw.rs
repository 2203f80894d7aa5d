//! Requests and responses as bytes: an HTTP client may take a part of a response for whole.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Sends a request, and returns the response with its head.
pub(crate) async fn exchange(daemon: SocketAddr, head: &str, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(daemon).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    let mut bytes = Vec::new();
    // A response that is cut may end with a reset.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the status of a response.
pub(crate) fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or_default()
}

/// Returns true if a caller takes the response for a whole one.
pub(crate) fn is_whole(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else { return false };
    let head = head.to_ascii_lowercase();
    let mut headers = head.lines().filter_map(|line| line.split_once(": "));
    match headers.find(|(name, _)| *name == "content-length") {
        Some((_, length)) => length.parse() == Ok(body.len()),
        None => body.ends_with("0\r\n\r\n"),
    }
}
