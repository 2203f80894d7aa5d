//! Responses of the host itself, and the bodies of all responses.

use std::{pin::Pin, time::Duration};

use bytes::Bytes;
use comfreyway_core::outcome::{NotRunReason, Outcome, UnknownReason};
use futures_util::Stream;
use http_body_util::{Either, Full, StreamBody};
use hyper::{
    Response, StatusCode,
    body::Frame,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use quick_error::quick_error;

use crate::{fleet::platform_format::header, http::http_status};

use super::admitted::AdmittedRequest;

quick_error! {
    /// Reason for aborting a stream after its head was sent.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    #[allow(unreachable_pub, reason = "the macro knows no narrower visibility")]
    pub enum RelayError {
        /// The runner's stream broke and can't resume at another runner.
        Broken {
            display("the runner's stream broke")
        }
        /// The time limit was reached.
        TimeLimit {
            display("time limit reached")
        }
    }
}

type EventStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, RelayError>>>>;

/// The body of a response.
pub(super) type ResponseBody = Either<Full<Bytes>, StreamBody<EventStream>>;

/// Returns a body that is already complete.
pub(super) fn buffered(body: Bytes) -> ResponseBody {
    Either::Left(Full::new(body))
}

/// Returns a body that is sent chunk by chunk.
pub(super) fn streamed<S>(stream: S) -> ResponseBody
where
    S: Stream<Item = Result<Frame<Bytes>, RelayError>> + 'static,
{
    Either::Right(StreamBody::new(Box::pin(stream)))
}

/// Returns the response to a request that was not run.
pub(super) fn not_run(
    request: Option<&AdmittedRequest>,
    reason: NotRunReason,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let mut res = problem(request, Outcome::NotRun(reason));
    if let Some(retry_after) = retry_after {
        let text = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            res.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    res
}

/// Returns the response to a request that may have run.
pub(super) fn unknown(request: &AdmittedRequest, reason: UnknownReason) -> Response<ResponseBody> {
    problem(Some(request), Outcome::Unknown(reason))
}

fn problem(request: Option<&AdmittedRequest>, outcome: Outcome) -> Response<ResponseBody> {
    let text = format!(r#"{{"outcome":"{}","reason":"{}"}}"#, outcome.as_str(), outcome.reason());
    let mut res = Response::new(buffered(Bytes::from(text)));
    let status = StatusCode::from_u16(http_status(outcome).as_u16());
    *res.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(request) = request
        && let Ok(id) = HeaderValue::from_bytes(request.caller_id.as_bytes())
    {
        headers.insert(header(request.header_names.request_id), id);
    }
    res
}
