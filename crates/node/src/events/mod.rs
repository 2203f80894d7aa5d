//! Numbered log events.
//!
//! Every line that the daemon logs is one of the events in [`Event`], with its
//! values as key-value fields. `docs/EVENTS.md` lists them; a test checks that
//! both agree. [`log_event!`](crate::events::log_event) writes an event.

mod event;

pub use self::event::Event;

/// Logs an event with key-value fields, as in
/// `log_event!(Event::RequestUnknown, id:% = id, reason = reason.as_str())`.
macro_rules! log_event {
    ($event:expr $(, $($fields:tt)*)?) => {{
        let event: $crate::events::Event = $event;
        ::log::log!(
            target: "comfreyway",
            event.level(),
            event = event.code() $(, $($fields)*)?;
            "{}",
            event.text()
        );
    }};
}

pub(crate) use log_event;
