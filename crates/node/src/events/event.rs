//! Definitions of all log events.

use log::Level;

macro_rules! events {
    ($($(#[$meta:meta])* $variant:ident = $code:literal, $level:ident, $text:literal;)+) => {
        /// An event in the daemon's log.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Event {
            $($(#[$meta])* $variant,)+
        }

        impl Event {
            /// All events, in order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// Returns the number written in the log field `event`.
            #[must_use]
            pub fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)+
                }
            }

            /// Returns the log level.
            #[must_use]
            pub fn level(self) -> Level {
                match self {
                    $(Self::$variant => Level::$level,)+
                }
            }

            /// Returns the message text.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }
    };
}

events! {
    /// The process accepts connections. Fields: host, callers, peers,
    /// operators.
    Started = "CF0101", Info, "daemon started";
    /// A planned stop began; new requests are refused. Fields: in_progress.
    Stopping = "CF0102", Info, "planned stop began";
    /// The process is about to exit. Fields: in_progress.
    Stopped = "CF0103", Info, "daemon stopped";
    /// The stop limit or a second signal aborted requests. Fields: in_progress.
    StopAborted = "CF0104", Warn, "planned stop aborted requests in progress";
    /// The settings file changed while the process was running.
    SettingsChanged = "CF0105", Info, "settings changed; they take effect at the next start";
    /// An address of the settings is in use or the machine does not have it; the process
    /// waits for it. Fields: address, cause.
    AddressUnavailable = "CF0106", Warn, "address can't be bound yet, waiting for it";
    /// A request was refused. Fields: id, reason.
    RequestNotRun = "CF0201", Debug, "request not run";
    /// The outcome of a request is unknown. Fields: id, reason.
    RequestUnknown = "CF0202", Warn, "outcome of request unknown";
    /// Nothing was sent to the granted runner; the request was requeued.
    /// Fields: id, reason.
    RequestRequeued = "CF0203", Info, "request requeued, nothing was sent";
    /// A connection to an upstream broke and the response was resumed. Fields:
    /// id, runner, received.
    StreamResumed = "CF0204", Info, "upstream stream resumed";
    /// A request was cancelled at the upstream because its caller disconnected.
    /// Fields: id.
    StreamCancelled = "CF0205", Info, "upstream stream cancelled";
    /// A response was too large to store for repeats. Fields: id.
    ResultNotStored = "CF0206", Info, "response too large to be recorded";
    /// A request arrived after the control thread had ended. Fields: id.
    ControlThreadEnded = "CF0301", Error, "control thread has ended";
    /// A configuration took effect on this host. Fields: version.
    ConfigInForce = "CF0401", Info, "configuration in force";
    /// A configuration change was accepted. Fields: change, author, from, to,
    /// elements.
    ChangeAccepted = "CF0402", Info, "configuration change accepted";
    /// A configuration change was refused. Fields: change, author, cause.
    ChangeRefused = "CF0403", Info, "configuration change refused";
    /// The outcome of a configuration change is unknown. Fields: change,
    /// author, cause.
    ChangeUnknown = "CF0404", Warn, "outcome of configuration change unknown";
    /// The stored configuration can't be read. Fields: cause.
    StoredConfigUnreadable = "CF0405", Warn, "stored configuration can't be read";
    /// The stored configuration can be read again. Fields: version.
    StoredConfigReadable = "CF0406", Info, "stored configuration can be read again";
    /// A call on the operators' port had no secret or a wrong one. Fields:
    /// from.
    SecretRejected = "CF0407", Warn, "operators' call without a valid secret";
    /// An operator requested a planned stop.
    StopRequested = "CF0408", Info, "operator requested a planned stop";
    /// The complete response was sent to the caller. Fields: id, class,
    /// workspace, upstream, runner, sent, waited_ms, first_ms, total_ms,
    /// status, framing, events, revision.
    RequestAnswered = "CF0501", Info, "request answered";
    /// A request was refused without running. Fields: id, reason, class,
    /// workspace, waited_ms, retry_ms, revision, proof_ms.
    RequestRefused = "CF0502", Info, "request refused, not run";
    /// The caller was sent an unknown outcome. Fields: id, reason, runner,
    /// sent, total_ms.
    RequestOutcomeUnknown = "CF0503", Warn, "outcome of request unknown, reported to its caller";
    /// A request was sent to a runner. Fields: id, runner, address, version,
    /// workspace, cost, waited_ms, left_ms, after, resumes, parts, digest.
    RequestDispatched = "CF0504", Info, "request sent to runner";
    /// A runner declared that it did not run a request, which was requeued.
    /// Fields: id, runner, reason.
    RunnerTurnedAway = "CF0505", Info, "runner did not run request, request requeued";
    /// A runner's response was missing, broken or invalid. Fields: id, runner,
    /// cause, after, after_ms.
    RunnerResponseUnusable = "CF0506", Warn, "runner sent no usable response";
    /// A request is sent to another runner. Fields: id, sent, reason, after.
    RequestRetried = "CF0507", Info, "request retried at another runner";
    /// A stream ended before its end marker. Fields: id, reason, after,
    /// total_ms.
    StreamCut = "CF0508", Warn, "stream cut before its end marker";
    /// The caller disconnected before the response was complete. Fields: id,
    /// stage, runner, total_ms.
    RequestAbandoned = "CF0509", Info, "caller disconnected before the response was complete";
    /// A request waits for a runner for a long time. Fields: id, class, workspace,
    /// upstream, waited_ms.
    RequestWaiting = "CF0510", Info, "request waits for a runner";
    /// A request was sent through another host. Fields: id, runner, through, outcome.
    RequestForwarded = "CF0515", Info, "request sent through another host";
    /// A runner refused a connection of this host or did not accept it in time. Fields:
    /// address, reason.
    RunnerUnreachable = "CF0516", Info, "runner can't be reached from this host";
    /// Fields: address.
    RunnerReachable = "CF0517", Info, "runner can be reached from this host again";
    /// Callers hold all the memory or connections that they may. Those without progress gave
    /// way, others were refused. Fields: evicted, refused, connections, held_bytes.
    CallersGaveWay = "CF0518", Warn, "callers gave way or were refused, for want of memory";
    /// A fleet configuration took effect on this host. Fields: version,
    /// revision.
    FleetConfigInForce = "CF0511", Info, "fleet configuration in force";
    /// The stored fleet configuration is invalid. Fields: revision, cause.
    FleetConfigUnreadable = "CF0512", Error, "fleet configuration can't be read";
    /// The store came back with a configuration older than the one in force, which
    /// is kept. Fields: version, in_force, revision.
    FleetConfigOlder = "CF0514", Warn, "stored fleet configuration is older than the one in force";
    /// A store entry is invalid. Fields: key, cause.
    EntryUnreadable = "CF0513", Warn, "store entry can't be used";
    /// A runner may receive requests. Fields: runner, upstream, places.
    RunnerUsable = "CF0521", Info, "runner usable";
    /// A runner is draining and receives no new requests. Fields: runner,
    /// upstream.
    RunnerLeaving = "CF0522", Info, "runner is draining";
    /// A runner was removed from the store. Fields: runner, upstream.
    RunnerRemoved = "CF0523", Info, "runner removed";
    /// Many runners became usable at once; replaces one `RunnerUsable` for
    /// each. Fields: upstream, runners.
    RunnersUsable = "CF0524", Info, "runners usable";
    /// A runner asked this host to send it nothing for a while. Fields: runner,
    /// rest_ms.
    RunnerResting = "CF0525", Info, "runner asked for rest";
    /// A runner names a rate limit, or another one. Fields: runner, per_s.
    RunnerLimited = "CF0526", Info, "runner has a rate limit";
    /// A runner names no rate limit any more. Fields: runner.
    RunnerLimitLifted = "CF0527", Info, "rate limit of runner lifted";
    /// A runner names a rate limit that is no decimal number; what it named before
    /// stays in force. Fields: id, runner.
    RunnerLimitUnreadable = "CF0528", Warn, "rate limit of runner can't be read";
    /// This host uses another host as its coordinator. Fields: host, address.
    CoordinatorChosen = "CF0531", Info, "another host is the coordinator";
    /// The session with the coordinator was established. Fields: host.
    CoordinatorConnected = "CF0532", Info, "session with the coordinator is up";
    /// The session with the coordinator ended. Fields: host, cause.
    CoordinatorDisconnected = "CF0533", Info, "session with the coordinator is lost";
    /// The coordinator can't reach the store. Fields: host, proof_ms.
    CoordinatorStoreUnreachable = "CF0534", Info, "coordinator can't reach the store";
    /// A client host opened a session with this coordinator. Fields: host.
    ClientHostConnected = "CF0535", Info, "client host connected";
    /// A client host's session ended. Fields: host, cause.
    ClientHostDisconnected = "CF0536", Info, "client host disconnected";
    /// A session was closed because its send queue was full. Fields: host.
    SessionQueueFull = "CF0537", Warn, "session closed, its send queue is full";
    /// A message for the coordinator found its session ended. Its requests are placed
    /// again. Fields: host.
    SessionEnded = "CF0540", Info, "session ended before a message was sent on it";
    /// The share of quotas, slots and retries that this coordinator uses changed:
    /// client hosts, with this one, as a fraction of the known hosts. `absent` of
    /// these have no session. Fields: clients, known, absent.
    ShareChanged = "CF0538", Info, "share of the fleet changed";
    /// Several versions serve, and a client host was sent the versions of all recent
    /// streams, so that these can go on if this host goes down. Fields: host, streams.
    StreamsCopied = "CF0539", Info, "versions of streams copied to a client host";
    /// The store's record of the versions that serve side by side could not be
    /// written. Fields: cause.
    VersionRecordNotWritten = "CF0547", Info, "record of versions can't be written";
    /// Streams of a version that no runner has any more can't be taken up again: all have
    /// expired. Fields: upstream, version.
    VersionExpired = "CF0557", Info, "version that has left is no longer remembered";
    /// Requests with a part of a prompt are tried one at a time: runners broke off their
    /// responses to it one after the other. Fields: part, runners.
    PromptPartSuspected = "CF0548", Info, "prompt part may crash runners";
    /// Requests with a part of a prompt are refused from now on: the runners crashed as
    /// they responded to it. Fields: part, runners.
    PromptPartQuarantined = "CF0549", Warn, "prompt part quarantined";
    /// Operators allowed a quarantined part again. Fields: part.
    PromptPartAllowed = "CF0550", Info, "prompt part allowed again";
    /// Repeats of a request are tried one at a time: runners broke off their responses to
    /// it one after the other. Fields: digest, runners.
    RequestSuspected = "CF0553", Info, "request may crash runners";
    /// Repeats of a request are refused from now on: the runners crashed as they ran it.
    /// Fields: digest, runners.
    RequestQuarantined = "CF0554", Warn, "request quarantined";
    /// Operators allowed a quarantined request again. Fields: digest.
    RequestAllowed = "CF0555", Info, "request allowed again";
    /// Operators ordered a rollout, or this host has read the order. Fields: upstream,
    /// target, duration_ms, elapsed_ms, revision.
    RolloutOrdered = "CF0561", Info, "rollout ordered";
    /// A rollout entered a phase at this host. Fields: upstream, target, phase, good, bad,
    /// bad_class, suspicion, exposed, granted.
    RolloutPhase = "CF0562", Info, "rollout went on";
    /// The state of a rollout could not be written to the store. Fields: upstream, cause.
    RolloutNotWritten = "CF0563", Info, "state of rollout can't be written";
    /// A quarantined suspect could not be written to the store. Fields: key, cause.
    QuarantineNotWritten = "CF0552", Info, "quarantine can't be written";
    /// The watch on the store failed. Fields: cause.
    StoreWatchLost = "CF0541", Warn, "store can't be watched";
    /// The watch on the store works again. Fields: revision.
    StoreWatchRestored = "CF0542", Info, "store is watched again";
    /// The coordinator sent a newer state of the store. Fields: host, revision.
    StoreStateRelayed = "CF0543", Info, "coordinator relayed the state of the store";
    /// The store state relayed by the coordinator is stale, so this host calls
    /// the store itself. Fields: proof_ms.
    StoreCalledDirectly = "CF0544", Info, "relayed state of the store is stale, calling the store";
    /// The store came back from an older copy. `known` is the last revision that
    /// was known before. Fields: era, known.
    StoreRolledBack = "CF0546", Warn, "store came back from an older copy";
    /// This host could not write its own store entry. Fields: cause.
    RegistrationFailed = "CF0545", Info, "own store entry can't be written";
    /// Load of an upstream, written once a second by its coordinator. Fields:
    /// upstream, load.
    LoadStatus = "CF0551", Info, "load of an upstream";
    /// Use of an upstream's retry budget, written by its coordinator in each second with
    /// retries. Fields: upstream, retries.
    RetryStatus = "CF0556", Info, "retries of an upstream";
    /// The log queue was full. Fields: lines.
    LinesDropped = "CF0601", Warn, "log lines dropped";
    /// A connection could not be accepted. Fields: port, cause.
    AcceptFailed = "CF0602", Warn, "connection can't be accepted";
}
