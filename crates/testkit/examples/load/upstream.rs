//! Minimal upstream server: token streams at low CPU cost, and a plain service.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::OnceLock,
    time::{Duration, Instant},
};

use actix_rt::time::{Interval, interval};
use actix_web::{
    HttpResponse,
    web::{self, ServiceConfig},
};
use bytes::Bytes;
use comfreyway_testkit::LocalServer;
use futures_util::{Stream, stream};

/// Any free port, on all IPv4 addresses: runners use many loopback addresses.
const ANY_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Response of the plain service, as large as that of a status lookup.
const STATUS: &str =
    r#"{"rack":"r-17","state":"in service","tenant":"state-library","load_kw":3.2}"#;

/// Start of the data of one event, as large as a chunk with one token.
const CHUNK: &str = r#"{"id":"c-1","object":"chat.completion.chunk","created":1733258137,"model":"dala","choices":[{"index":0,"delta":{"content":" token"},"finish_reason":null}],"#;

/// JSON key of the time at which an event was sent.
pub(crate) const SENT_AT_KEY: &str = r#""sent_at_us":"#;

/// Returns the time since the first call, in microseconds. Sender and reader
/// run in one process, so both measure from the same start.
pub(crate) fn elapsed_us() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    let elapsed = START.get_or_init(Instant::now).elapsed();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// Starts a server. Its streams have `events` events, one every `pause`, and an
/// end marker; on any other path it answers as a plain service.
pub(crate) fn start(events: u32, pause: Duration) -> io::Result<LocalServer> {
    LocalServer::start(ANY_ADDRESS, move |cfg: &mut ServiceConfig| {
        cfg.route(
            "/v1/chat/completions",
            web::post().to(move |_: Bytes| async move {
                HttpResponse::Ok()
                    .content_type("text/event-stream")
                    .streaming(tokens(events, pause))
            }),
        );
        cfg.default_service(web::to(|| async {
            HttpResponse::Ok().content_type("application/json").body(STATUS)
        }));
    })
}

fn tokens(events: u32, pause: Duration) -> impl Stream<Item = Result<Bytes, io::Error>> {
    let start = (interval(pause), 1);
    stream::unfold(start, move |(ticks, number)| next(ticks, number, events))
}

async fn next(
    mut ticks: Interval,
    number: u32,
    events: u32,
) -> Option<(Result<Bytes, io::Error>, (Interval, u32))> {
    if number > events + 1 {
        return None;
    }
    ticks.tick().await;
    let event = match number > events {
        true => format!("id: {number}\ndata: [DONE]\n\n"),
        false => format!("id: {number}\ndata: {CHUNK}{SENT_AT_KEY}{}}}\n\n", elapsed_us()),
    };
    let event = Bytes::from(event);
    Some((Ok(event), (ticks, number + 1)))
}
