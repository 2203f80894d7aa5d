//! The requests of the tour.

use std::net::SocketAddr;

use awc::{Client, ClientRequest, ClientResponse};
use bytes::Bytes;
use comfreyway_proto::headers;
use futures_util::{Stream, StreamExt};
use serde_json::{Value, json};

use crate::Failure;

/// Sends a request whose answer is streamed.
pub(crate) async fn show_stream(callers: SocketAddr) -> Result<(), Failure> {
    let req = chat(callers, "quote").insert_header((headers::IDEMPOTENCY_KEY, "quote-17"));
    let mut res = req.send_json(&prompt("Draft a power quote for rack 12.", true)).await?;
    print_head(&res);
    let text = read(&mut res).await?;
    let events: Vec<_> = text.split_terminator("\n\n").collect();
    println!("   {} events, the last is {:?}\n", events.len(), events.last().unwrap_or(&""));
    Ok(())
}

/// Sends a request that is answered in one piece.
pub(crate) async fn show_answer(callers: SocketAddr) -> Result<(), Failure> {
    let req = chat(callers, "triage");
    let mut res = req.send_json(&prompt("Rack 12 reports a failed fan.", false)).await?;
    print_head(&res);
    let answer: Value = serde_json::from_str(&read(&mut res).await?)?;
    println!("   usage: {}\n", answer["usage"]);
    Ok(())
}

/// Sends a call to a plain service.
pub(crate) async fn show_service(callers: SocketAddr) -> Result<(), Failure> {
    let url = format!("http://{callers}/portal/racks/12?fields=status");
    let req = Client::default().get(url).insert_header((headers::WORKSPACE, "state-library"));
    let mut res = req.send().await?;
    print_head(&res);
    println!("   {}\n", read(&mut res).await?);
    Ok(())
}

/// Sends a request that is refused.
pub(crate) async fn show_refusal(callers: SocketAddr) -> Result<(), Failure> {
    let mut res = chat(callers, "quote").send_json(&prompt("Draft a quote.", false)).await?;
    print_head(&res);
    println!("   {}\n", read(&mut res).await?);
    Ok(())
}

fn chat(callers: SocketAddr, class: &str) -> ClientRequest {
    Client::default()
        .post(format!("http://{callers}/v1/chat/completions"))
        .insert_header((headers::WORKSPACE, "state-library"))
        .insert_header((headers::CLASS, class))
}

fn prompt(text: &str, stream: bool) -> Value {
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
    println!("   request identity {}", header(headers::REQUEST_ID));
}

async fn read<S, E>(res: &mut S) -> Result<String, Failure>
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
