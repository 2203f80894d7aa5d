//! Timeline of a request.

use std::fmt;

use super::{Cause, LogLine};

/// Events that concern a single request.
const REQUEST_EVENTS: [&str; 9] =
    ["CF0501", "CF0502", "CF0503", "CF0504", "CF0505", "CF0506", "CF0507", "CF0508", "CF0509"];

/// Log lines of one request, and the other lines of the same logs.
#[derive(Clone, Debug)]
pub struct RequestTimeline<'a> {
    id: &'a str,
    /// Lines of the request, in time order.
    pub(super) steps: Vec<LogLine<'a>>,
    /// All other lines, in time order.
    pub(super) other_lines: Vec<LogLine<'a>>,
}

impl<'a> RequestTimeline<'a> {
    /// Selects the request's lines from those of all hosts. Returns `None` if
    /// there are none.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_cli::explain::{LogLine, RequestTimeline};
    ///
    /// let text = "[10:00:00.250 INFO  comfreyway] request refused, not run event=CF0502 id=a1 \
    ///             reason=over-quota workspace=desk waited_ms=0 retry_ms=900";
    /// let lines = LogLine::parse("h1", text).into_iter().collect();
    /// let timeline = RequestTimeline::new("a1", lines).unwrap();
    /// assert!(timeline.to_string().contains("used up its quota"));
    /// ```
    #[must_use]
    pub fn new(id: &'a str, mut lines: Vec<LogLine<'a>>) -> Option<Self> {
        // The sort is stable: lines of one host within a millisecond keep their
        // order.
        lines.sort_by_key(|line| line.at_ms);
        let is_step = |line: &LogLine<'_>| {
            REQUEST_EVENTS.contains(&line.event) && line.field("id") == Some(id)
        };
        let (steps, other_lines): (Vec<_>, Vec<_>) = lines.into_iter().partition(is_step);
        (!steps.is_empty()).then_some(Self { id, steps, other_lines })
    }

    /// Returns the outcome of the request and its cause.
    #[must_use]
    pub fn cause(&self) -> Cause {
        Cause::from_timeline(self)
    }
}

impl fmt::Display for RequestTimeline<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.id)?;
        let start = self.steps.first().and_then(|line| line.at_ms).unwrap_or_default();
        for line in &self.steps {
            let after = line.at_ms.unwrap_or(start).saturating_sub(start);
            writeln!(f, "{after:>7} ms  {}  {}: {}", line.source, line.text, line.details())?;
        }
        let cause = self.cause();
        writeln!(f, "outcome: {}", cause.outcome)?;
        write!(f, "cause:   {}", cause.text)?;
        for line in &cause.evidence {
            write!(f, "\n         - {line}")?;
        }
        Ok(())
    }
}
