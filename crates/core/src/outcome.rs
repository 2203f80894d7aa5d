//! The closed sets of outcomes and reasons reported to callers, metrics and
//! logs.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! reason_enum {
    ($(#[$meta:meta])* $name:ident { $($(#[$vmeta:meta])* $variant:ident = $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub enum $name {
            $($(#[$vmeta])* #[serde(rename = $text)] $variant,)+
        }

        impl $name {
            /// All reasons, in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// Returns the reason's name in headers, metrics and logs.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reason_enum! {
    /// Why a request was not run. Each reason guarantees that no upstream
    /// executed the request: either it was never sent, or every runner that
    /// received it declared that it did not execute it.
    NotRunReason {
        /// The request line, headers or body are malformed.
        BadRequest = "bad-request",
        /// The body or a header is larger than the limit.
        TooLarge = "too-large",
        /// The caller did not send the complete body in time.
        SlowBody = "slow-body",
        /// The method is not allowed on this path.
        MethodNotAllowed = "method-not-allowed",
        /// No class of this name is configured.
        UnknownClass = "unknown-class",
        /// No workspace of this name is configured.
        UnknownWorkspace = "unknown-workspace",
        /// No model of this name is configured.
        UnknownModel = "unknown-model",
        /// No route matches the path.
        UnknownRoute = "unknown-route",
        /// The class is not idempotent and the request has no idempotency key.
        MissingIdentity = "missing-identity",
        /// The idempotency key was used before with a different method, path or
        /// body.
        IdentityReused = "identity-reused",
        /// The latency target can no longer be met.
        TargetUnreachable = "target-unreachable",
        /// Shed because the pool has no capacity left for this tier.
        Shed = "shed",
        /// The queue has reached its limit on requests or bytes.
        QueueFull = "queue-full",
        /// The upstream has no runner, or is not configured.
        NoRunner = "no-runner",
        /// No owner of the pool could be reached in time.
        NoOwner = "no-owner",
        /// Connecting to the runner failed and no retry is left.
        ConnectFailed = "connect-failed",
        /// The caller disconnected while the request was waiting.
        CallerGone = "caller-gone",
        /// The host is shutting down and accepts no new requests.
        Stopping = "stopping",
        /// The host has no configuration yet.
        NotReady = "not-ready",
        /// The host can't prove that its configuration is the newest, so the
        /// caller's key may have been revoked.
        StaleConfiguration = "stale-configuration",
        /// The API key belongs to no workspace.
        UnknownKey = "unknown-key",
        /// The workspace has used up its quota.
        OverQuota = "over-quota",
        /// The time limit expired before a runner was free.
        TimeLimit = "time-limit",
        /// A runner declared that it did not execute the request, and the retry
        /// budget is spent.
        TurnedAway = "turned-away",
        /// The request goes on with a stream, and the software version that began
        /// it is not known.
        VersionUnknown = "version-unknown",
        /// The request goes on with a stream, and no runner has the software
        /// version that began it.
        VersionGone = "version-gone",
        /// The host has no memory left for requests of this size.
        MemoryLimit = "memory-limit",
        /// The prompt has a part under which runners crashed one after the other.
        PromptQuarantined = "prompt-quarantined",
        /// Runners crashed one after the other as they ran this request.
        RequestQuarantined = "request-quarantined",
    }
}

reason_enum! {
    /// Why the outcome of a request is unknown. The request may have run.
    UnknownReason {
        /// The connection to the upstream broke before the end of the response.
        UpstreamBroke = "upstream-broke",
        /// The upstream did not respond in time.
        UpstreamTimeout = "upstream-timeout",
        /// The host that held the request is down.
        HolderGone = "holder-gone",
        /// The owner's record of idempotency keys does not reach back far
        /// enough to rule out an earlier attempt.
        BeyondMemory = "beyond-memory",
        /// The idempotency key could not be checked: an earlier attempt may
        /// have run.
        Unchecked = "unchecked",
        /// The request ran, but its response is no longer kept.
        ResultExpired = "result-expired",
        /// The caller disconnected while the response was streaming.
        CallerGone = "caller-gone",
        /// The stream was cut because the host's shutdown exceeded the
        /// `stop-limit` setting.
        StopLimit = "stop-limit",
    }
}

reason_enum! {
    /// Why a request that had a grant went back to waiting. In each case it was
    /// not sent to a runner, or the runner declared that it did not execute it.
    RetryReason {
        /// The runner refused the connection.
        ConnectRefused = "connect-refused",
        /// The connection was not established in time.
        ConnectTimeout = "connect-timeout",
        /// The grant expired before it was used.
        GrantExpired = "grant-expired",
        /// The runner has seen a newer epoch of the pool than the grant's.
        StaleEpoch = "stale-epoch",
        /// The pool's owner changed while the request was waiting.
        OwnerChanged = "owner-changed",
        /// The runner is draining.
        RunnerLeaving = "runner-leaving",
        /// The runner asked this host to send nothing for a while.
        RunnerResting = "runner-resting",
        /// The runner declared that it did not execute the request.
        TurnedAway = "turned-away",
        /// Another runner than the one addressed received the request, and did not
        /// execute it.
        Misdirected = "misdirected",
    }
}

impl RetryReason {
    /// Returns true if the request has arrived at a runner, which did not execute it.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::outcome::RetryReason;
    ///
    /// assert!(RetryReason::TurnedAway.has_arrived());
    /// assert!(!RetryReason::ConnectRefused.has_arrived());
    /// ```
    #[must_use]
    pub fn has_arrived(self) -> bool {
        matches!(self, Self::TurnedAway | Self::Misdirected)
    }
}

/// Outcome of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome", content = "reason")]
pub enum Outcome {
    /// The complete response was delivered.
    Answered,
    /// No upstream executed the request.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

impl Outcome {
    /// Returns the name of the outcome without its reason.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the name of the reason, or an empty string if there is none.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::Answered => "",
            Self::NotRun(reason) => reason.as_str(),
            Self::Unknown(reason) => reason.as_str(),
        }
    }
}
