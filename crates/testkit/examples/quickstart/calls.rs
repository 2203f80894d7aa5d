//! Requests of the quickstart.

use std::net::SocketAddr;

use awc::{Client, ClientRequest, ClientResponse};
use bytes::Bytes;
use comfreyway_proto::headers;
use futures_util::{Stream, StreamExt};
use serde_json::{Value, json};

use crate::Failure;

/// Sends a request with a streamed response.
pub(crate) async fn show_stream(callers: SocketAddr) -> Result<(), Failure> {
    let req = chat_request(callers, "quote").insert_header((headers::IDEMPOTENCY_KEY, "quote-17"));
    let mut res = req.send_json(&chat_body("Draft a power quote for rack 12.", true)).await?;
    print_head(&res);
    let text = read_body(&mut res).await?;
    let events: Vec<_> = text.split_terminator("\n\n").collect();
    println!("   {} events, the last is {:?}\n", events.len(), events.last().unwrap_or(&""));
    Ok(())
}

/// Sends a request with a whole response.
pub(crate) async fn show_response(callers: SocketAddr) -> Result<(), Failure> {
    let req = chat_request(callers, "triage");
    let mut res = req.send_json(&chat_body("Rack 12 reports a failed fan.", false)).await?;
    print_head(&res);
    let response: Value = serde_json::from_str(&read_body(&mut res).await?)?;
    println!("   usage: {}\n", response["usage"]);
    Ok(())
}

/// Sends a request to a plain service.
pub(crate) async fn show_service(callers: SocketAddr) -> Result<(), Failure> {
    let url = format!("http://{callers}/portal/racks/12?fields=status");
    let req = Client::default().get(url).insert_header((headers::WORKSPACE, "state-library"));
    let mut res = req.send().await?;
    print_head(&res);
    println!("   {}\n", read_body(&mut res).await?);
    Ok(())
}

/// Sends a request that is refused.
pub(crate) async fn show_refusal(callers: SocketAddr) -> Result<(), Failure> {
    let mut res =
        chat_request(callers, "quote").send_json(&chat_body("Draft a quote.", false)).await?;
    print_head(&res);
    println!("   {}\n", read_body(&mut res).await?);
    Ok(())
}

fn chat_request(callers: SocketAddr, class: &str) -> ClientRequest {
    Client::default()
        .post(format!("http://{callers}/v1/chat/completions"))
        .insert_header((headers::WORKSPACE, "state-library"))
        .insert_header((headers::CLASS, class))
}

fn chat_body(text: &str, stream: bool) -> Value {
    json!({
        "model": "rackdesk-model",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": 16,
        "stream": stream,
    })
}

fn print_head<S>(res: &ClientResponse<S>) {
    let header = |name| res.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("-");
    let (outcome, reason) = (header(headers::OUTCOME), header(headers::REASON));
    let status = res.status().as_u16();
    match outcome {
        "-" => println!("   status {status}, the outcome follows at the end of the stream"),
        _ => println!("   status {status}, outcome {outcome}, reason {reason}"),
    }
    println!("   request ID {}", header(headers::REQUEST_ID));
}

async fn read_body<S, E>(res: &mut S) -> Result<String, Failure>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
    E: std::error::Error + 'static,
{
    let mut buf = Vec::new();
    while let Some(bytes) = res.next().await {
        buf.extend_from_slice(&bytes?);
    }
    Ok(String::from_utf8(buf)?)
}
