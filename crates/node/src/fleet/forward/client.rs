//! The host that holds the caller.

use std::time::Duration;

use bytes::Bytes;
use comfreyway_core::fleet::RunnerEntry;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};

use crate::fleet::runner_connections::{RunnerConnection, SendFailure, connect};

use super::{
    ForwardHost,
    hop::{self, Outcome},
};

/// Connect timeout between hosts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Reason for the lack of a runner's response.
#[derive(Debug)]
pub(in crate::fleet) enum ForwardFailure {
    /// No byte was sent to the runner: the other host reaches others, but can't connect to
    /// this one.
    Unreachable,
    /// No byte was sent to the runner: the other host is down, cut off too, or busy.
    NotSent(&'static str),
    /// The request may have run.
    Unknown(String),
}

/// Sends a request to a runner through another host, and waits for the response head. The
/// connection is for this request alone. The last value is true if the runner's response
/// ends with its connection.
pub(in crate::fleet) async fn send_through(
    host: &ForwardHost,
    runner: &RunnerEntry,
    mut req: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, RunnerConnection, bool), ForwardFailure> {
    let attempt = rand::random::<u64>();
    let headers = req.headers_mut();
    hop::clear(headers);
    hop::set(headers, hop::TOKEN, host.token);
    hop::set(headers, hop::ATTEMPT, attempt);
    hop::set(headers, hop::UPSTREAM, &runner.upstream);
    hop::set(headers, hop::RUNNER, runner.address);
    let mut connection = match connect(host.address, CONNECT_TIMEOUT).await {
        Ok(connection) => connection,
        Err(SendFailure::NotSent(reason)) => return Err(ForwardFailure::NotSent(reason.as_str())),
        Err(SendFailure::Unknown(cause)) => return Err(ForwardFailure::Unknown(cause)),
    };
    let mut res = match connection.try_send(req).await {
        Ok(res) => res,
        Err((_, Some(_))) => return Err(ForwardFailure::NotSent("closed")),
        Err((cause, None)) => return Err(ForwardFailure::Unknown(cause)),
    };
    let outcome = Outcome::read(res.headers(), attempt);
    let is_unframed = res.headers().contains_key(hop::UNFRAMED);
    hop::clear(res.headers_mut());
    match outcome {
        Some(Outcome::Response) => Ok((res, connection, is_unframed)),
        Some(Outcome::Unreachable) => Err(ForwardFailure::Unreachable),
        Some(outcome @ (Outcome::CutOff | Outcome::Busy)) => {
            Err(ForwardFailure::NotSent(outcome.as_str()))
        }
        Some(Outcome::Unknown) => Err(ForwardFailure::Unknown(
            "the runner sent no usable response to the other host".to_owned(),
        )),
        None => Err(ForwardFailure::Unknown("the other host's response is invalid".to_owned())),
    }
}
