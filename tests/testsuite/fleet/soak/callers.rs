//! Callers that keep using an open connection until its host closes it.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::{
    task::JoinHandle,
    time::{sleep, timeout},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fleet::harness::{ID, KEY, PARTS};

/// Path of the streams that callers take up again.
const RESUMABLE_PATH: &str = "/report/";

/// Pause of a caller after a host that can't be reached or refuses requests.
const RETRY_PAUSE: Duration = Duration::from_millis(15);

/// The response to one request as a caller received it.
pub(super) struct CallResult {
    pub(super) id: String,
    pub(super) path: &'static str,
    pub(super) status: u16,
    /// The request ID that the response names.
    pub(super) echoed_id: Option<String>,
    /// True if the body is complete.
    pub(super) complete: bool,
    /// The body; for a stream that was taken up again with the events before.
    pub(super) body: String,
}

/// A stream of which a caller has only the first events.
#[derive(Clone, Default)]
pub(super) struct BrokenStream {
    /// Id of the attempt that began it.
    began: String,
    events: String,
}

impl BrokenStream {
    /// Returns the stream after a response that broke off, if it has events.
    fn new(result: &CallResult, before: Option<&Self>) -> Option<Self> {
        let end = result.body.rfind("\n\n")? + 2;
        let began = before.map_or(&result.id, |before| &before.began).clone();
        Some(Self { began, events: result.body[..end].to_owned() })
    }

    /// Returns the headers of a request that takes it up.
    fn headers(&self) -> String {
        let last = self.events.matches("id: ").count();
        format!("last-event-id: {last}\r\nresumes: {}\r\n", self.began)
    }
}

/// Bodies of the requests of one caller.
#[derive(Clone, Copy)]
pub(super) enum CallBody {
    /// The same for all.
    Same(&'static str),
    /// Another one for each.
    Own,
}

/// One kind of callers.
#[derive(Clone)]
pub(super) struct CallerKind {
    pub(super) name: &'static str,
    pub(super) key: &'static str,
    pub(super) paths: &'static [&'static str],
    /// Parts of each prompt.
    pub(super) parts: &'static str,
    pub(super) body: CallBody,
    /// Pause between two requests.
    pub(super) pause: Duration,
    /// Time after which a caller closes its connection.
    pub(super) timeout: Duration,
}

/// A connection that is kept between requests.
pub(super) struct Connection {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub(super) async fn open(to: SocketAddr) -> Option<Self> {
        Some(Self { stream: TcpStream::connect(to).await.ok()?, buf: Vec::new() })
    }

    /// Sends a request. Returns its response, unless that has no complete head, and
    /// whether the connection can be used again.
    pub(super) async fn call(
        &mut self,
        kind: &CallerKind,
        id: String,
        path: &'static str,
        broken: Option<&BrokenStream>,
    ) -> (Option<CallResult>, bool) {
        let more = broken.map(BrokenStream::headers).unwrap_or_default();
        match timeout(kind.timeout, self.exchange(kind, &id, path, &more)).await {
            Ok(Some((head, (body, complete)))) => {
                let before = broken.map_or("", |broken| &broken.events);
                let body = format!("{before}{body}");
                let reusable = complete && header(&head, "connection") != Some("close");
                let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
                let echoed_id = header(&head, ID).map(str::to_owned);
                let result =
                    status.map(|status| CallResult { id, path, status, echoed_id, complete, body });
                (result, reusable)
            }
            Ok(None) | Err(_) => (None, false),
        }
    }

    async fn exchange(
        &mut self,
        kind: &CallerKind,
        id: &str,
        path: &str,
        more: &str,
    ) -> Option<(String, (String, bool))> {
        let CallerKind { key, parts, .. } = kind;
        let body = match kind.body {
            CallBody::Same(body) => body,
            CallBody::Own => id,
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: desk.example\r\n{ID}: {id}\r\n{KEY}: {key}\r\n\
             {PARTS}: {parts}\r\n{more}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(head.as_bytes()).await.ok()?;
        let head = self.read_until(b"\r\n\r\n").await?.to_ascii_lowercase();
        let body = match header(&head, "content-length").and_then(|length| length.parse().ok()) {
            Some(length) => match self.read_exact(length).await {
                Some(body) => (body, true),
                None => (String::new(), false),
            },
            None => {
                let mut body = String::new();
                let complete = self.read_chunks(&mut body).await.is_some();
                (body, complete)
            }
        };
        Some((head, body))
    }

    async fn read_chunks(&mut self, body: &mut String) -> Option<()> {
        loop {
            let size = self.read_until(b"\r\n").await?;
            let size = usize::from_str_radix(&size, 16).ok()?;
            body.push_str(&self.read_exact(size).await?);
            self.read_until(b"\r\n").await?;
            if size == 0 {
                return Some(());
            }
        }
    }

    /// Returns the text before the next `end`, and skips `end`.
    async fn read_until(&mut self, end: &[u8]) -> Option<String> {
        loop {
            if let Some(at) = self.buf.windows(end.len()).position(|window| window == end) {
                let text = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + end.len());
                return Some(text);
            }
            self.fill().await?;
        }
    }

    async fn read_exact(&mut self, length: usize) -> Option<String> {
        while self.buf.len() < length {
            self.fill().await?;
        }
        Some(String::from_utf8_lossy(&self.buf.drain(..length).collect::<Vec<_>>()).into_owned())
    }

    async fn fill(&mut self) -> Option<()> {
        (self.stream.read_buf(&mut self.buf).await.ok()? > 0).then_some(())
    }
}

/// Returns the value of a header in a lower-case head.
fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(header, _)| *header == name).map(|(_, value)| value.trim())
}

/// Starts a caller that sends requests one after the other until it is aborted.
pub(super) fn start_caller(
    kind: CallerKind,
    seed: u64,
    hosts: Vec<SocketAddr>,
    results: Rc<RefCell<Vec<CallResult>>>,
) -> JoinHandle<()> {
    actix_rt::spawn(async move {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut connection = None;
        let mut broken: Option<BrokenStream> = None;
        for number in 0.. {
            if connection.is_none() {
                connection = Connection::open(hosts[rng.random_range(0..hosts.len())]).await;
            }
            let Some(open) = &mut connection else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            let path = match broken {
                Some(_) => RESUMABLE_PATH,
                None => kind.paths[rng.random_range(0..kind.paths.len())],
            };
            let id = format!("{}-{seed:x}-{number}", kind.name);
            let (result, reusable) = open.call(&kind, id, path, broken.as_ref()).await;
            let served = result.as_ref().is_some_and(|result| result.status == 200);
            let is_broken = |result: &&CallResult| {
                path == RESUMABLE_PATH && result.status == 200 && !result.complete
            };
            let broke = result.as_ref().filter(is_broken);
            let next = broke.and_then(|result| BrokenStream::new(result, broken.as_ref()));
            // A stream that is refused is tried once more with a new request.
            broken = next.or_else(|| broken.filter(|_| !served && rng.random_range(0..4) > 0));
            results.borrow_mut().extend(result);
            if !reusable {
                connection = None;
            }
            sleep(if served { kind.pause } else { kind.pause.max(RETRY_PAUSE) }).await;
        }
    })
}
