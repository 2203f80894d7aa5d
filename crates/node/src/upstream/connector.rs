//! Connects to upstreams.

use std::task::{Context, Poll};

use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector};
use actix_web::dev::Service;
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;

use socket2::SockRef;

use super::strict_stream::StrictStream;

/// Receive buffer of an upstream connection, in bytes. A stream of 5,000 tokens
/// a second fills it in a quarter of a second, and it allows 100 MB/s over the
/// 2 ms between data centres. Without a limit the kernel buffers megabytes for
/// a caller that does not read.
const RECEIVE_BUFFER_BYTES: usize = 256 << 10;

/// Opens connections without Nagle's algorithm that report their end as an
/// error.
#[derive(Clone, Debug, Default)]
pub(super) struct StrictConnector;

impl Service<ConnectInfo<Uri>> for StrictConnector {
    type Response = Connection<Uri, StrictStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let connecting = Connector::default().service().call(info);
        Box::pin(async move {
            let (stream, uri) = connecting.await?.into_parts();
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            let socket = SockRef::from(&stream);
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).map_err(ConnectError::Io)?;
            Ok(Connection::new(uri, StrictStream::new(stream)))
        })
    }
}
