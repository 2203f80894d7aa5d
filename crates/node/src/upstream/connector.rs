//! Makes connections to upstreams.

use std::task::{Context, Poll};

use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector};
use actix_web::dev::Service;
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;

use super::strict_stream::StrictStream;

/// Makes connections that send without delay and whose end is an error.
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
            Ok(Connection::new(uri, StrictStream::new(stream)))
        })
    }
}
