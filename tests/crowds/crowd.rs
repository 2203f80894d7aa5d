//! Clients that send much and stay open, whatever the host does.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::{
    spawn,
    task::yield_now,
    time::{Instant, timeout},
};
use futures_util::future::join_all;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout_at};

use crate::harness::{DESK_KEY, ID, KEY};

/// Connections of a crowd.
pub(crate) const CROWD: usize = 100;
/// One of this many clients sends its body to the end.
const COMPLETE_EVERY: usize = 10;

/// Time without progress after which a client stops sending.
const STALL: Duration = Duration::from_secs(10);
/// Time after which a client stops sending.
const SENDING_TIME: Duration = Duration::from_secs(120);
/// Payload of small pieces that are written at once, in bytes.
const MIN_WRITE_BYTES: usize = 16 << 10;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyPlan {
    /// Value of `content-length`. Without it, the body is chunked.
    pub(crate) announced_bytes: Option<usize>,
    /// Size of the body in bytes.
    pub(crate) body_bytes: usize,
    /// Size of each piece or chunk in bytes.
    pub(crate) piece_bytes: usize,
    /// Bytes at the end that most clients never send.
    pub(crate) withheld_bytes: usize,
}

impl BodyPlan {
    /// A body that is sent to its end.
    pub(crate) fn complete(self) -> Self {
        Self { withheld_bytes: 0, ..self }
    }

    fn is_chunked(&self) -> bool {
        self.announced_bytes.is_none()
    }

    /// Returns the line of the head that frames the body.
    pub(crate) fn framing(&self) -> String {
        match self.announced_bytes {
            Some(bytes) => format!("content-length: {bytes}"),
            None => "transfer-encoding: chunked".to_owned(),
        }
    }

    /// Returns the head of a request with this body.
    pub(crate) fn head(&self, id: &str) -> String {
        let framing = self.framing();
        format!(
            "POST /lookup/ HTTP/1.1\r\nhost: desk.example\r\n{ID}: {id}\r\n{KEY}: {DESK_KEY}\r\n\
             {framing}\r\n\r\n"
        )
    }

    /// Returns a piece of the body as it is sent.
    fn piece(&self, bytes: usize) -> Vec<u8> {
        let payload = vec![b'x'; bytes];
        if !self.is_chunked() {
            return payload;
        }
        [format!("{bytes:x}\r\n").as_bytes(), &payload, b"\r\n"].concat()
    }

    /// Returns as many pieces as are written at once. Small chunks share a write, as they share
    /// a packet.
    pub(crate) fn pieces(&self) -> Rc<[u8]> {
        self.piece(self.piece_bytes).repeat(self.pieces_per_write()).into()
    }

    fn pieces_per_write(&self) -> usize {
        (MIN_WRITE_BYTES / self.piece_bytes).max(1)
    }

    /// Sends the body of these pieces, or all of it but what is withheld, until the host closes
    /// the connection or stops reading.
    pub(crate) async fn send(&self, stream: &mut TcpStream, pieces: &[u8]) {
        let until = Instant::now() + SENDING_TIME;
        let piece_len = pieces.len() / self.pieces_per_write();
        let mut left = self.body_bytes - self.withheld_bytes;
        while left >= self.piece_bytes {
            let count = (left / self.piece_bytes).min(self.pieces_per_write());
            if !write_until(stream, &pieces[..count * piece_len], until).await {
                return;
            }
            left -= count * self.piece_bytes;
            yield_now().await;
        }
        if !self.is_chunked() {
            write_until(stream, &pieces[..left], until).await;
            return;
        }
        let mut rest = if left > 0 { self.piece(left) } else { Vec::new() };
        if self.withheld_bytes == 0 {
            rest.extend_from_slice(LAST_CHUNK);
        }
        write_until(stream, &rest, until).await;
    }
}

/// Writes all bytes. Returns false if the host closed the connection or stopped reading.
pub(crate) async fn write_until(stream: &mut TcpStream, mut bytes: &[u8], until: Instant) -> bool {
    while !bytes.is_empty() {
        let written = timeout_at(until.min(Instant::now() + STALL), stream.write(bytes)).await;
        match written {
            Ok(Ok(count)) if count > 0 => bytes = &bytes[count..],
            _ => return false,
        }
    }
    true
}

/// Opens a connection, or none if the host accepts none.
pub(crate) async fn connect(to: SocketAddr) -> Option<TcpStream> {
    timeout(STALL, TcpStream::connect(to)).await.ok()?.ok()
}

/// Sends the bodies of a crowd at once. The connections are open until the result is dropped.
pub(crate) async fn send_bodies(to: SocketAddr, plan: BodyPlan) -> Vec<Option<TcpStream>> {
    send_bodies_after(to, plan, |plan, number| plan.head(&format!("crowd-{number}"))).await
}

/// Sends the bodies of a crowd at once, each after its own head.
pub(crate) async fn send_bodies_after(
    to: SocketAddr,
    plan: BodyPlan,
    head: fn(&BodyPlan, usize) -> String,
) -> Vec<Option<TcpStream>> {
    let pieces = plan.pieces();
    let clients = (0..CROWD).map(|number| {
        let pieces = pieces.clone();
        spawn(async move {
            let plan = if number % COMPLETE_EVERY == 0 { plan.complete() } else { plan };
            let head = head(&plan, number);
            let mut stream = connect(to).await?;
            let until = Instant::now() + SENDING_TIME;
            if write_until(&mut stream, head.as_bytes(), until).await {
                plan.send(&mut stream, &pieces).await;
            }
            Some(stream)
        })
    });
    join_all(clients).await.into_iter().map(Result::unwrap).collect()
}

/// Sends the start of a head on each of `count` connections.
pub(crate) async fn send_heads(
    to: SocketAddr,
    count: usize,
    head_bytes: usize,
) -> Vec<Option<TcpStream>> {
    let clients = (0..count).map(|number| {
        spawn(async move {
            let mut stream = connect(to).await?;
            let head = format!(
                "POST /lookup/ HTTP/1.1\r\nhost: desk.example\r\n{ID}: head-{number}\r\nx-padding: "
            );
            let head = format!("{head:x<head_bytes$}");
            write_until(&mut stream, head.as_bytes(), Instant::now() + SENDING_TIME).await;
            Some(stream)
        })
    });
    join_all(clients).await.into_iter().map(Result::unwrap).collect()
}

/// Sends a request on each of `count` connections and reads nothing.
pub(crate) async fn send_requests(
    to: SocketAddr,
    path: &'static str,
    count: usize,
) -> Vec<Option<TcpStream>> {
    send_requests_with(to, path, count, |_| String::new()).await
}

/// Sends a request with more lines in its head on each of `count` connections and reads nothing.
pub(crate) async fn send_requests_with(
    to: SocketAddr,
    path: &'static str,
    count: usize,
    lines: fn(usize) -> String,
) -> Vec<Option<TcpStream>> {
    let clients = (0..count).map(|number| {
        spawn(async move {
            let mut stream = connect(to).await?;
            let lines = lines(number);
            let head = format!(
                "POST {path} HTTP/1.1\r\nhost: desk.example\r\n{ID}: unread-{number}\r\n\
                 {KEY}: {DESK_KEY}\r\n{lines}content-length: 0\r\n\r\n"
            );
            write_until(&mut stream, head.as_bytes(), Instant::now() + SENDING_TIME).await;
            Some(stream)
        })
    });
    join_all(clients).await.into_iter().map(Result::unwrap).collect()
}
