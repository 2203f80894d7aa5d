//! Headers between the two hosts.

use std::{fmt::Display, str::FromStr};

use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};

/// The token of the other host.
pub(super) const TOKEN: HeaderName = HeaderName::from_static("comfreyway-hop-token");

/// Random number of the attempt, in the request and in its response.
pub(super) const ATTEMPT: HeaderName = HeaderName::from_static("comfreyway-hop-attempt");

/// Upstream of the runner.
pub(super) const UPSTREAM: HeaderName = HeaderName::from_static("comfreyway-hop-upstream");

/// Address of the runner.
pub(super) const RUNNER: HeaderName = HeaderName::from_static("comfreyway-hop-runner");

/// What became of the request, as [`Outcome`].
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("comfreyway-hop-outcome");

/// Present if the runner's response has no length and ends with its connection.
pub(super) const UNFRAMED: HeaderName = HeaderName::from_static("comfreyway-hop-unframed");

const ALL: [HeaderName; 6] = [TOKEN, ATTEMPT, UPSTREAM, RUNNER, OUTCOME, UNFRAMED];

/// What became of a request at the other host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::fleet) enum Outcome {
    /// The runner's response follows.
    Response,
    /// Not sent: the other host can't connect to the runner, but to others of the upstream.
    Unreachable,
    /// Not sent: the other host may reach no runner of the upstream itself.
    CutOff,
    /// Not sent: the other host takes no such request now.
    Busy,
    /// Sent, and there is no usable response.
    Unknown,
}

impl Outcome {
    const ALL: [Self; 5] =
        [Self::Response, Self::Unreachable, Self::CutOff, Self::Busy, Self::Unknown];

    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Unreachable => "unreachable",
            Self::CutOff => "cut-off",
            Self::Busy => "busy",
            Self::Unknown => "unknown",
        }
    }

    /// Reads the outcome of the response to this attempt; none if there is no valid one.
    pub(super) fn read(headers: &HeaderMap, attempt: u64) -> Option<Self> {
        if read::<u64>(headers, &ATTEMPT) != Some(attempt) {
            return None;
        }
        let text = headers.get(OUTCOME)?.to_str().ok()?;
        Self::ALL.into_iter().find(|outcome| outcome.as_str() == text)
    }
}

/// Reads a header.
pub(super) fn read<T>(headers: &HeaderMap, name: &HeaderName) -> Option<T>
where
    T: FromStr,
{
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Sets a header.
pub(super) fn set<T>(headers: &mut HeaderMap, name: HeaderName, value: T)
where
    T: Display,
{
    match HeaderValue::from_str(&value.to_string()) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(e) => log::error!("invalid value for header {name}: {e}"),
    }
}

/// Removes all headers between hosts.
pub(super) fn clear(headers: &mut HeaderMap) {
    for name in ALL {
        headers.remove(name);
    }
}
