//! The list of events.

use log::Level;

macro_rules! events {
    ($($(#[$meta:meta])* $variant:ident = $code:literal, $level:ident, $text:literal;)+) => {
        /// Something that the daemon logs.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Event {
            $($(#[$meta])* $variant,)+
        }

        impl Event {
            /// Every event, in order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// Number of the event as it stands in the log.
            #[must_use]
            pub fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)+
                }
            }

            /// Level that the event is logged at.
            #[must_use]
            pub fn level(self) -> Level {
                match self {
                    $(Self::$variant => Level::$level,)+
                }
            }

            /// Fixed text of the event.
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
    /// The process listens. Fields: host, callers, peers, operators.
    Started = "CF0101", Info, "daemon started";
    /// A planned stop began. Fields: in_progress.
    Stopping = "CF0102", Info, "planned stop began";
    /// The process ends. Fields: in_progress.
    Stopped = "CF0103", Info, "daemon stopped";
    /// The stop limit or a second signal cut streams. Fields: in_progress.
    StopAborted = "CF0104", Warn, "planned stop cut requests in progress";
    /// The settings changed while the process runs.
    SettingsChanged = "CF0105", Info, "settings changed; they take effect at the next start";
    /// A request was refused. Fields: id, reason.
    RequestNotRun = "CF0201", Debug, "request not run";
    /// The outcome of a request is unknown. Fields: id, reason.
    RequestUnknown = "CF0202", Warn, "outcome of request unknown";
    /// A dispatch was not sent and waits again. Fields: id, runner, reason.
    RequestRequeued = "CF0203", Info, "request waits again, nothing was sent";
    /// An upstream's stream broke and was resumed. Fields: id, runner, after.
    StreamResumed = "CF0204", Info, "upstream stream resumed";
    /// A stream was cancelled because its caller left. Fields: id, runner.
    StreamCancelled = "CF0205", Info, "upstream stream cancelled";
    /// An answer was too large to be kept for repeats. Fields: id.
    ResultNotStored = "CF0206", Info, "answer too large to be kept";
    /// The control thread has ended while a request came. Fields: id.
    ControlThreadEnded = "CF0301", Error, "control thread has ended";
    /// A configuration is in force on this host. Fields: version.
    ConfigInForce = "CF0401", Info, "configuration in force";
    /// A change was accepted. Fields: change, author, from, to, elements.
    ChangeAccepted = "CF0402", Info, "configuration change accepted";
    /// A change was refused. Fields: change, author, cause.
    ChangeRefused = "CF0403", Info, "configuration change refused";
    /// The outcome of a change is unknown. Fields: change, author, cause.
    ChangeUnknown = "CF0404", Warn, "outcome of configuration change unknown";
    /// The stored configuration can't be read. Fields: cause.
    StoredConfigUnreadable = "CF0405", Warn, "stored configuration can't be read";
    /// The stored configuration can be read again. Fields: version.
    StoredConfigReadable = "CF0406", Info, "stored configuration can be read again";
    /// A call on the operators' port lacked the secret. Fields: from.
    SecretRejected = "CF0407", Warn, "operators' call without the secret";
    /// An operator asked for a planned stop.
    StopRequested = "CF0408", Info, "operator asked for a planned stop";
    /// The answer went to its caller whole. Fields: id, class, workspace, upstream, runner, sent, waited_ms, first_ms, total_ms, status, revision.
    RequestAnswered = "CF0501", Info, "request answered";
    /// Fields: id, reason, class, workspace, waited_ms, retry_ms, revision, proof_ms.
    RequestRefused = "CF0502", Info, "request refused, not run";
    /// Fields: id, reason, runner, sent, total_ms.
    RequestOutcomeUnknown = "CF0503", Warn, "outcome of request unknown, told to its caller";
    /// Fields: id, runner, address, workspace, cost, waited_ms, left_ms, after.
    RequestDispatched = "CF0504", Info, "request sent to runner";
    /// Fields: id, runner, reason.
    RunnerTurnedAway = "CF0505", Info, "runner did not run request, it waits again";
    /// Fields: id, runner, cause, after, after_ms.
    RunnerResponseUnusable = "CF0506", Warn, "runner gave no usable answer";
    /// Fields: id, sent, reason, after.
    RequestRetried = "CF0507", Info, "request goes to another runner";
    /// Fields: id, reason, after, total_ms.
    StreamCut = "CF0508", Warn, "stream cut, its caller sees no end";
    /// Fields: id, stage, runner, total_ms.
    RequestAbandoned = "CF0509", Info, "caller left before the answer's end";
    /// Fields: version, revision.
    FleetConfigInForce = "CF0511", Info, "fleet configuration in force";
    /// Fields: revision, cause.
    FleetConfigUnreadable = "CF0512", Error, "fleet configuration can't be read";
    /// Fields: key, cause.
    EntryUnreadable = "CF0513", Warn, "entry of the store can't be used";
    /// Fields: runner, upstream, places.
    RunnerUsable = "CF0521", Info, "runner may be used";
    /// Fields: runner, upstream.
    RunnerLeaving = "CF0522", Info, "runner is leaving";
    /// Fields: runner, upstream.
    RunnerRemoved = "CF0523", Info, "runner is gone";
    /// Fields: upstream, runners.
    RunnersUsable = "CF0524", Info, "runners may be used";
    /// Fields: host, address.
    CoordinatorChosen = "CF0531", Info, "another host coordinates";
    /// Fields: host.
    CoordinatorConnected = "CF0532", Info, "session with the coordinator is up";
    /// Fields: host, cause.
    CoordinatorDisconnected = "CF0533", Info, "session with the coordinator is lost";
    /// Fields: host, proof_ms.
    CoordinatorStoreUnreachable = "CF0534", Info, "coordinator does not reach the store";
    /// Fields: host.
    ClientHostConnected = "CF0535", Info, "host asks this one";
    /// Fields: host, cause.
    ClientHostDisconnected = "CF0536", Info, "host asks this one no more";
    /// Fields: host.
    SessionQueueFull = "CF0537", Warn, "session ends, its queue is full";
    /// Fields: cause.
    StoreWatchLost = "CF0541", Warn, "store can't be followed";
    /// Fields: revision.
    StoreWatchRestored = "CF0542", Info, "store is followed again";
    /// Fields: host, revision.
    StoreStateRelayed = "CF0543", Info, "coordinator tells of the store";
    /// Fields: proof_ms.
    StoreCalledDirectly = "CF0544", Info, "coordinator's proof is old, calling the store";
    /// Fields: cause.
    RegistrationFailed = "CF0545", Info, "own entry in the store can't be written";
    /// Fields: upstream, load. Written by the host that coordinates, once a second.
    LoadStatus = "CF0551", Info, "load of an upstream";
    /// Fields: lines.
    LinesDropped = "CF0601", Warn, "log lines dropped";
    /// Fields: port, cause.
    AcceptFailed = "CF0602", Warn, "connection can't be accepted";
}
