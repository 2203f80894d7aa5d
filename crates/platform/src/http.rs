//! HTTP calls to the platform, with failures sorted by what is certain.

use std::{io, time::Duration};

use awc::{
    Client, ClientResponse, Connector,
    error::{ConnectError, PayloadError, SendRequestError},
};
use bytes::Bytes;
use futures_util::Stream;

use crate::PlatformError;

/// Largest accepted reply, in bytes.
pub(crate) const MAX_REPLY_BYTES: usize = 32 << 20;

/// A client that follows no redirect, since that would send a call twice.
pub(crate) fn client(time_limit: Duration) -> Client {
    Client::builder()
        .connector(Connector::new().timeout(time_limit))
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Sorts a failure to send by whether any byte can have left this process.
pub(crate) fn send_error(error: &SendRequestError) -> PlatformError {
    let cause = error.to_string();
    if nothing_sent(error) {
        PlatformError::NotDone(cause)
    } else {
        PlatformError::Uncertain(cause)
    }
}

fn nothing_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) | SendRequestError::Http(_) => true,
        // The connector reports a connection that closed after the request
        // was written as `Disconnected`.
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(ConnectError::Io(e)) => e.kind() != io::ErrorKind::BrokenPipe,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}

/// Reads a whole reply.
pub(crate) async fn read_body<S>(res: &mut ClientResponse<S>) -> Result<Vec<u8>, PlatformError>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let body = res.body().limit(MAX_REPLY_BYTES).await;
    body.map(|b| b.to_vec()).map_err(|e| PlatformError::Uncertain(e.to_string()))
}
