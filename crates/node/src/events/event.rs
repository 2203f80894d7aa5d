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
    StopCut = "CF0104", Warn, "planned stop cut requests in progress";
    /// The settings changed while the process runs.
    ReloadAsked = "CF0105", Info, "settings changed; they take effect at the next start";
    /// A request was refused. Fields: id, reason.
    RequestNotRun = "CF0201", Debug, "request not run";
    /// The outcome of a request is unknown. Fields: id, reason.
    RequestUnknown = "CF0202", Warn, "outcome of request unknown";
    /// A dispatch was not sent and waits again. Fields: id, runner, reason.
    RequestRetried = "CF0203", Info, "request waits again, nothing was sent";
    /// An upstream's stream broke and was resumed. Fields: id, runner, after.
    StreamResumed = "CF0204", Info, "upstream stream resumed";
    /// A stream was cancelled because its caller left. Fields: id, runner.
    StreamCancelled = "CF0205", Info, "upstream stream cancelled";
    /// An answer was too large to be kept for repeats. Fields: id.
    ResultNotKept = "CF0206", Info, "answer too large to be kept";
    /// The control thread has ended while a request came. Fields: id.
    ControlLost = "CF0301", Error, "control thread has ended";
    /// A configuration is in force on this host. Fields: version.
    ConfigInForce = "CF0401", Info, "configuration in force";
    /// A change was accepted. Fields: change, author, from, to, elements.
    ChangeAccepted = "CF0402", Info, "configuration change accepted";
    /// A change was refused. Fields: change, author, cause.
    ChangeRefused = "CF0403", Info, "configuration change refused";
    /// The outcome of a change is unknown. Fields: change, author, cause.
    ChangeUnknown = "CF0404", Warn, "outcome of configuration change unknown";
    /// The stored configuration can't be read. Fields: cause.
    StoreUnreadable = "CF0405", Warn, "stored configuration can't be read";
    /// The stored configuration can be read again. Fields: version.
    StoreReadable = "CF0406", Info, "stored configuration can be read again";
    /// A call on the operators' port lacked the secret. Fields: from.
    SecretWrong = "CF0407", Warn, "operators' call without the secret";
    /// An operator asked for a planned stop.
    StopRequested = "CF0408", Info, "operator asked for a planned stop";
}
