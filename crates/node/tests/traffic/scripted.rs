//! An upstream that answers from a script, byte by byte as written there.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
};

/// Starts of requests for reports. They run nothing and stand in no script.
const REPORTS: [&str; 2] = ["GET /v1/load ", "GET /v1/cache-events"];

/// Answer to a request for a report.
const NO_REPORT: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";

/// What the upstream does after one reply.
#[derive(Clone)]
pub(crate) enum Then {
    /// Keeps the connection for the next request.
    Keep,
    /// Closes the connection in good order.
    Close,
    /// Waits for a signal, sends more and keeps the connection.
    WaitAndSend(Arc<Notify>, &'static str),
    /// Keeps the connection without another word.
    Hold,
}

/// One reply of the script.
#[derive(Clone)]
pub(crate) struct Reply {
    pub(crate) bytes: String,
    pub(crate) then: Then,
}

impl Reply {
    pub(crate) fn new(bytes: &str, then: Then) -> Self {
        Self { bytes: bytes.replace('\n', "\r\n"), then }
    }

    /// A reply with a JSON body of declared length.
    pub(crate) fn json(body: &str) -> Self {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
        let bytes = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
        Self { bytes, then: Then::Keep }
    }

    /// A chunked stream of events; ends with the last chunk if `last` is true.
    pub(crate) fn events(chunks: &[&str], last: bool, then: Then) -> Self {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
        let mut bytes = format!("{head}transfer-encoding: chunked\r\n\r\n");
        for chunk in chunks {
            bytes.push_str(&format!("{:x}\r\n{chunk}\r\n", chunk.len()));
        }
        if last {
            bytes.push_str("0\r\n\r\n");
        }
        Self { bytes, then }
    }
}

/// An upstream that gives its replies in order, one per request.
#[derive(Clone)]
pub(crate) struct Scripted {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    arrived: Arc<Notify>,
}

impl Scripted {
    pub(crate) async fn start(replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            arrived: Arc::default(),
        };
        let script = Arc::new(Mutex::new(replies.into_iter()));
        let shared = upstream.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(serve(stream, shared.clone(), Arc::clone(&script)));
            }
        });
        upstream
    }

    /// The requests so far, each with head and body.
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
    upstream: Scripted,
    script: Arc<Mutex<std::vec::IntoIter<Reply>>>,
) {
    while let Some(request) = read_request(&mut stream).await {
        if REPORTS.iter().any(|path| request.starts_with(path)) {
            stream.write_all(NO_REPORT.as_bytes()).await.unwrap();
            continue;
        }
        upstream.requests.lock().unwrap().push(request);
        upstream.arrived.notify_waiters();
        let reply = script.lock().unwrap().next();
        let Some(reply) = reply else { return };
        stream.write_all(reply.bytes.as_bytes()).await.unwrap();
        match reply.then {
            Then::Keep => {}
            Then::Close => return,
            Then::WaitAndSend(signal, more) => {
                signal.notified().await;
                stream.write_all(more.as_bytes()).await.unwrap();
            }
            Then::Hold => std::future::pending().await,
        }
    }
}

/// Reads one message with its declared length.
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
