//! Answers of the host itself, and the bodies of all answers.

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

use super::call::Call;

quick_error! {
    /// Why a stream was broken off after its head had gone out.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    #[allow(unreachable_pub, reason = "the macro knows no narrower visibility")]
    pub enum RelayError {
        /// The runner broke off and the stream can't go on elsewhere.
        Broken {
            display("the runner broke off")
        }
        /// The time limit ended.
        TimeLimit {
            display("the time limit ended")
        }
    }
}

type EventStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, RelayError>>>>;

/// The body of an answer.
pub(super) type AnswerBody = Either<Full<Bytes>, StreamBody<EventStream>>;

/// A body that is there as a whole.
pub(super) fn whole(body: Bytes) -> AnswerBody {
    Either::Left(Full::new(body))
}

/// A body that arrives piece by piece.
pub(super) fn streamed<S>(stream: S) -> AnswerBody
where
    S: Stream<Item = Result<Frame<Bytes>, RelayError>> + 'static,
{
    Either::Right(StreamBody::new(Box::pin(stream)))
}

/// The answer to a request that was not run.
pub(super) fn not_run(
    call: Option<&Call>,
    reason: NotRunReason,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let mut res = problem(call, Outcome::NotRun(reason));
    if let Some(time) = retry_after {
        let text = format!("{:.3}", time.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            res.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    res
}

/// The answer to a request that may have run.
pub(super) fn unknown(call: &Call, reason: UnknownReason) -> Response<AnswerBody> {
    problem(Some(call), Outcome::Unknown(reason))
}

fn problem(call: Option<&Call>, outcome: Outcome) -> Response<AnswerBody> {
    let text = format!(r#"{{"outcome":"{}","reason":"{}"}}"#, outcome.as_str(), outcome.reason());
    let mut res = Response::new(whole(Bytes::from(text)));
    let status = StatusCode::from_u16(http_status(outcome).as_u16());
    *res.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(call) = call
        && let Ok(id) = HeaderValue::from_bytes(call.caller_id.as_bytes())
    {
        headers.insert(header(call.names.request_id), id);
    }
    res
}
