//! An upstream that sends scripted responses byte for byte.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
};

/// Prefixes of requests for reports. They run nothing and use no scripted
/// response.
const REPORT_REQUESTS: [&str; 2] = ["GET /v1/load ", "GET /v1/cache-events"];

/// Response to a request for a report.
const NO_REPORT_RESPONSE: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";

/// What the upstream does after a response.
#[derive(Clone)]
pub(crate) enum AfterResponse {
    /// Keeps the connection for the next request.
    Keep,
    /// Closes the connection.
    Close,
    /// Waits for a signal, sends more and keeps the connection.
    WaitAndSend(Arc<Notify>, &'static str),
    /// Keeps the connection open and sends nothing more.
    Hold,
}

/// One response of the script.
#[derive(Clone)]
pub(crate) struct ScriptedResponse {
    pub(crate) bytes: String,
    pub(crate) after: AfterResponse,
}

impl ScriptedResponse {
    pub(crate) fn new(bytes: &str, after: AfterResponse) -> Self {
        Self { bytes: bytes.replace('\n', "\r\n"), after }
    }

    /// Returns a response with a JSON body and its content length.
    pub(crate) fn json(body: &str) -> Self {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
        let bytes = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
        Self { bytes, after: AfterResponse::Keep }
    }

    /// Returns a chunked stream of events; it ends with the last chunk if `last` is
    /// true.
    pub(crate) fn events(chunks: &[&str], last: bool, after: AfterResponse) -> Self {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
        let mut bytes = format!("{head}transfer-encoding: chunked\r\n\r\n");
        for chunk in chunks {
            bytes.push_str(&format!("{:x}\r\n{chunk}\r\n", chunk.len()));
        }
        if last {
            bytes.push_str("0\r\n\r\n");
        }
        Self { bytes, after }
    }
}

/// An upstream that sends its responses in order, one per request.
#[derive(Clone)]
pub(crate) struct ScriptedUpstream {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    arrived: Arc<Notify>,
}

impl ScriptedUpstream {
    pub(crate) async fn start(responses: Vec<ScriptedResponse>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            arrived: Arc::default(),
        };
        let script = Arc::new(Mutex::new(responses.into_iter()));
        let shared = upstream.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(serve(stream, shared.clone(), Arc::clone(&script)));
            }
        });
        upstream
    }

    /// Returns the requests so far, each with head and body.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }

    /// Waits until `count` requests have arrived.
    pub(crate) async fn wait_for(&self, count: usize) -> Vec<String> {
        loop {
            let arrived = self.arrived.notified();
            let requests = self.requests();
            if requests.len() >= count {
                return requests;
            }
            arrived.await;
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    upstream: ScriptedUpstream,
    script: Arc<Mutex<std::vec::IntoIter<ScriptedResponse>>>,
) {
    while let Some(request) = read_request(&mut stream).await {
        if REPORT_REQUESTS.iter().any(|path| request.starts_with(path)) {
            stream.write_all(NO_REPORT_RESPONSE.as_bytes()).await.unwrap();
            continue;
        }
        upstream.requests.lock().unwrap().push(request);
        upstream.arrived.notify_waiters();
        let response = script.lock().unwrap().next();
        let Some(response) = response else { return };
        stream.write_all(response.bytes.as_bytes()).await.unwrap();
        match response.after {
            AfterResponse::Keep => {}
            AfterResponse::Close => return,
            AfterResponse::WaitAndSend(signal, more) => {
                signal.notified().await;
                stream.write_all(more.as_bytes()).await.unwrap();
            }
            AfterResponse::Hold => std::future::pending().await,
        }
    }
}

/// Reads one request up to its content length.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= content_length(head)
        {
            return Some(text);
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
}

fn content_length(head: &str) -> usize {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut lengths = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    lengths.next().map_or(0, |(_, length)| length.parse().unwrap())
}
