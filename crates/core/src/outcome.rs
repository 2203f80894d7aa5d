//! The closed lists of outcomes and reasons that callers and counters see.

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
            /// Every reason of the list, in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// The reason as it stands in headers, metrics and logs.
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
    /// Why a request was not run. Each is a proof that no byte of the request
    /// reached an upstream.
    NotRunReason {
        /// The request line, headers or body could not be read.
        BadRequest = "bad-request",
        /// The body or a header is larger than the limit.
        TooLarge = "too-large",
        /// The caller did not send the whole body in time.
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
        /// The class is not idempotent and the request has no identity.
        MissingIdentity = "missing-identity",
        /// The identity was used before with another body.
        IdentityReused = "identity-reused",
        /// The target can no longer be met.
        TargetUnreachable = "target-unreachable",
        /// Shed because the pool has no capacity left for this tier.
        Shed = "shed",
        /// The queue is full in count or bytes.
        QueueFull = "queue-full",
        /// The upstream has no live runner.
        NoRunner = "no-runner",
        /// No owner of the pool could be reached in time.
        NoOwner = "no-owner",
        /// The runner refused the connection and the retry budget is spent.
        ConnectFailed = "connect-failed",
        /// The caller left while the request was waiting.
        CallerGone = "caller-gone",
        /// The host is stopping and accepts no new work.
        Stopping = "stopping",
        /// The host has no configuration yet.
        NotReady = "not-ready",
        /// The host can't prove that its configuration is the newest, so that a
        /// key may have been taken away.
        StaleConfiguration = "stale-configuration",
        /// No workspace holds the key.
        UnknownKey = "unknown-key",
        /// The workspace has used up its quota.
        OverQuota = "over-quota",
        /// The time limit ended before a runner was free.
        TimeLimit = "time-limit",
        /// Runners turned the request away and the retry budget is spent.
        TurnedAway = "turned-away",
    }
}

reason_enum! {
    /// Why the outcome of a request can't be told. It may have run.
    UnknownReason {
        /// The upstream's connection broke before the answer's end.
        UpstreamBroke = "upstream-broke",
        /// The upstream did not answer in time.
        UpstreamTimeout = "upstream-timeout",
        /// The host that held the request is gone.
        HolderGone = "holder-gone",
        /// The identity may be older than what this owner remembers.
        BeyondMemory = "beyond-memory",
        /// The identity could not be checked: an earlier attempt may have run.
        Unchecked = "unchecked",
        /// The request ran, but its answer is no longer kept.
        ResultExpired = "result-expired",
        /// The caller left while the answer was streaming.
        CallerGone = "caller-gone",
        /// The operator's limit on a planned stop cut the stream.
        StopLimit = "stop-limit",
    }
}

reason_enum! {
    /// Why a request that had a grant went back to waiting. In each case no
    /// byte of the request has reached an upstream.
    RetryReason {
        /// The runner refused the connection.
        ConnectRefused = "connect-refused",
        /// The connection was not established in time.
        ConnectTimeout = "connect-timeout",
        /// The grant's lifetime ended before it could be used.
        GrantExpired = "grant-expired",
        /// The grant came from an owner with an older epoch.
        StaleEpoch = "stale-epoch",
        /// The pool's owner changed while the request was waiting.
        OwnerChanged = "owner-changed",
        /// The runner is leaving.
        RunnerLeaving = "runner-leaving",
        /// The runner stated that it did not run the request.
        TurnedAway = "turned-away",
    }
}

/// What a caller is told about a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome", content = "reason")]
pub enum Outcome {
    /// The whole answer was delivered.
    Answered,
    /// The request was never dispatched.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

impl Outcome {
    /// The outcome's name without its reason.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// The reason's name, or an empty text for an answered request.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::Answered => "",
            Self::NotRun(reason) => reason.as_str(),
            Self::Unknown(reason) => reason.as_str(),
        }
    }
}
