//! Numbered log events.
//!
//! Every line that the daemon logs is one of the events in [`Event`], with its
//! values as key-value fields. `docs/EVENTS.md` lists them; a test checks that
//! both agree. [`log_event!`](crate::events::log_event) writes an event.

mod event;

pub use self::event::Event;

/// Value of a log field that may be missing, which is written as `none`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Optional<T>(pub(crate) Option<T>);

impl<T> std::fmt::Display for Optional<T>
where
    T: std::fmt::Display,
{
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("none"),
        }
    }
}

/// Values of a log field, separated by commas; none are written as `none`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct List<'a, T>(pub(crate) &'a [T]);

impl<T> std::fmt::Display for List<'_, T>
where
    T: std::fmt::Display,
{
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Some((first, rest)) = self.0.split_first() else { return f.write_str("none") };
        write!(f, "{first}")?;
        rest.iter().try_for_each(|value| write!(f, ",{value}"))
    }
}

/// Displays this many of the values, as [`List`] does, and the number of the others.
pub(crate) struct ListStart<'a, T>(pub(crate) &'a [T], pub(crate) usize);

impl<T> std::fmt::Display for ListStart<'_, T>
where
    T: std::fmt::Display,
{
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (shown, others) = self.0.split_at(self.1.min(self.0.len()));
        List(shown).fmt(f)?;
        if others.is_empty() { Ok(()) } else { write!(f, ",+{}", others.len()) }
    }
}

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
