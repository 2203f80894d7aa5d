//! Callers of requests that may run at most once, on kept and on new connections.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_rt::{
    task::JoinHandle,
    time::{sleep, timeout},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
};

use crate::fleet::harness::{DEADLINE, DESK_KEY, ID, KEY};

/// Path whose requests may run at most once.
const PATH: &str = "/lookup/count/";

const MAX_BODY_BYTES: usize = 60_000;

/// Time for which a caller waits beyond the deadline that it names.
const PATIENCE: Duration = Duration::from_millis(500);

/// Deadline of a call that asks whether a host serves.
const PROBE_DEADLINE_MS: u64 = 2_000;

/// Statuses of all requests by ID. Zero without a response.
pub(super) type Statuses = Rc<RefCell<BTreeMap<String, u16>>>;

/// One request.
struct Call {
    id: String,
    deadline_ms: u64,
    /// Least length of the body.
    body_bytes: usize,
    chunked: bool,
}

impl Call {
    fn bytes(&self) -> Vec<u8> {
        let Self { id, deadline_ms, body_bytes, chunked } = self;
        // Equal requests whose responses break are suspected of crashing runners.
        let body = format!("{id:b<body_bytes$}");
        let length = body.len();
        let body = match chunked {
            true => {
                format!("transfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
            }
            false => format!("content-length: {length}\r\n\r\n{body}"),
        };
        let head = format!(
            "POST {PATH} HTTP/1.1\r\nhost: desk.example\r\n{ID}: {id}\r\n{KEY}: {DESK_KEY}\r\n\
             {DEADLINE}: {deadline_ms}\r\n"
        );
        (head + &body).into_bytes()
    }

    /// Sends the request. Returns the status of the response, and whether the connection
    /// can be used again.
    async fn send(&self, connection: &mut BufReader<TcpStream>) -> Option<(u16, bool)> {
        connection.write_all(&self.bytes()).await.ok()?;
        let mut status = None;
        let mut length = None;
        let mut close = false;
        loop {
            let mut line = String::new();
            if connection.read_line(&mut line).await.ok()? == 0 {
                return None;
            }
            let line = line.trim_end().to_ascii_lowercase();
            if status.is_none() {
                status = line.split(' ').nth(1)?.parse().ok();
            } else if let Some((name, value)) = line.split_once(": ") {
                match name {
                    "content-length" => length = value.parse::<usize>().ok(),
                    "connection" => close = value == "close",
                    _ => {}
                }
            } else if line.is_empty() {
                break;
            }
        }
        // The status counts, whether or not the body is complete.
        let Some(length) = length else { return Some((status?, false)) };
        let whole = connection.read_exact(&mut vec![0; length]).await.is_ok();
        Some((status?, whole && !close))
    }

    /// Sends the request and gives up some time after its deadline.
    async fn send_in_time(&self, connection: &mut BufReader<TcpStream>) -> Option<(u16, bool)> {
        let patience = Duration::from_millis(self.deadline_ms) + PATIENCE;
        timeout(patience, self.send(connection)).await.ok()?
    }
}

async fn connect(host: SocketAddr) -> Option<BufReader<TcpStream>> {
    let connected = timeout(Duration::from_secs(1), TcpStream::connect(host)).await;
    Some(BufReader::new(connected.ok()?.ok()?))
}

/// Starts a caller that sends requests one after the other until `stopped` is set.
pub(super) fn start_caller(
    number: usize,
    seed: u64,
    hosts: Vec<SocketAddr>,
    statuses: Statuses,
    stopped: Rc<Cell<bool>>,
) -> JoinHandle<()> {
    actix_rt::spawn(async move {
        let mut rng = StdRng::seed_from_u64(seed << 8 | number as u64);
        let mut kept = None;
        for count in 0.. {
            if stopped.get() {
                return;
            }
            sleep(Duration::from_millis(rng.random_range(5..30))).await;
            let host = hosts[rng.random_range(0..hosts.len())];
            let reuse = rng.random_bool(0.7);
            let call = Call {
                id: format!("c{number}-{count}"),
                deadline_ms: rng.random_range(200..4_000),
                body_bytes: [0, 200, MAX_BODY_BYTES][rng.random_range(0..3)],
                chunked: rng.random_bool(0.3),
            };
            let connection = match kept.take().filter(|_| reuse) {
                Some(connection) => Some(connection),
                None => connect(host).await,
            };
            let Some(mut connection) = connection else { continue };
            let result = call.send_in_time(&mut connection).await;
            statuses.borrow_mut().insert(call.id, result.map_or(0, |(status, _)| status));
            kept = Some(connection).filter(|_| result.is_some_and(|(_, reusable)| reusable));
        }
    })
}

/// Waits until a host serves a request.
pub(super) async fn wait_until_served(host: SocketAddr, name: &str, statuses: &Statuses) {
    for attempt in 0.. {
        let id = format!("after-{name}-{attempt}");
        let call = Call { id, deadline_ms: PROBE_DEADLINE_MS, body_bytes: 0, chunked: false };
        let result = match connect(host).await {
            Some(mut connection) => call.send_in_time(&mut connection).await,
            None => None,
        };
        let status = result.map_or(0, |(status, _)| status);
        statuses.borrow_mut().insert(call.id, status);
        if status == 200 {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}
