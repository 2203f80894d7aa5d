//! A line of a daemon's log.

use std::borrow::Cow;

/// A log line with an event, borrowed from the log.
///
/// # Examples
///
/// ```
/// use comfreyway_cli::explain::LogLine;
///
/// let text = "[2026-12-03T10:00:00.250Z INFO  comfreyway] request not run event=CF0201 \
///             id=a1 reason=shed";
/// let line = LogLine::parse("h1", text).unwrap();
/// assert_eq!((line.event, line.field("reason")), ("CF0201", Some("shed")));
/// assert_eq!(line.at_ms, Some(36_000_250));
/// assert!(LogLine::parse("h1", "listening").is_none());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine<'a> {
    /// Host named before the line, otherwise the source that was passed in.
    pub source: &'a str,
    /// Time of day in milliseconds, or time since an experiment's start; `None`
    /// if no time precedes the text.
    pub at_ms: Option<u64>,
    /// Number of the event.
    pub event: &'a str,
    /// The event's fixed text.
    pub text: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

/// Precedes the number of an event.
const EVENT_FIELD: &str = " event=";

impl<'a> LogLine<'a> {
    /// Parses a line. Returns `None` if it has no event.
    #[must_use]
    pub fn parse(source: &'a str, line: &'a str) -> Option<Self> {
        let (head, rest) = line.split_once(EVENT_FIELD)?;
        let (event, rest) = rest.split_once(' ').unwrap_or((rest, ""));
        let (before, text) = head.rsplit_once("] ").unwrap_or(("", head));
        let at_ms = before.split([' ', '[', '\t']).find_map(time_ms);
        // A log collected from several hosts has the host's name before the
        // line.
        let prefix = before.split('[').next().unwrap_or_default();
        let host = prefix.split_whitespace().rfind(|word| time_ms(word).is_none());
        let source = host.filter(|word| !word.starts_with('-')).unwrap_or(source);
        Some(Self { source, at_ms, event, text, fields: fields(rest) })
    }

    /// Returns the value of a field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(key, _)| *key == name).map(|(_, value)| *value)
    }

    /// Returns the value of a field as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Returns the value of a field that may be missing. Hosts of earlier versions
    /// log `Some(..)` and `None`.
    #[must_use]
    pub fn optional_field(&self, name: &str) -> Option<Cow<'a, str>> {
        let value = self.field(name)?;
        if ["none", "None"].contains(&value) {
            return None;
        }
        let inner = value.strip_prefix("Some(").and_then(|v| v.strip_suffix(')'));
        Some(Cow::Borrowed(inner.unwrap_or(value).trim_matches('"')))
    }

    /// Returns the fields as logged, except the request's identifier.
    #[must_use]
    pub fn details(&self) -> String {
        let fields = self.fields.iter().filter(|(key, _)| *key != "id");
        fields.map(|(key, value)| format!("{key}={value}")).collect::<Vec<_>>().join(" ")
    }
}

/// Splits `a=1 b=two words c=3`. A value extends to the next name.
fn fields(text: &str) -> Vec<(&str, &str)> {
    let mut starts = Vec::new();
    let mut from = 0;
    for word in text.split(' ') {
        if let Some((name, _)) = word.split_once('=')
            && is_name(name)
        {
            starts.push((from, name));
        }
        from += word.len() + 1;
    }
    let ends = starts.iter().skip(1).map(|(start, _)| start - 1).chain([text.len()]);
    let ends: Vec<_> = ends.collect();
    let values = starts.iter().zip(ends);
    values.map(|((start, name), end)| (*name, &text[start + name.len() + 1..end])).collect()
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_lowercase() || b == b'_')
}

/// Parses `2026-12-03T10:00:00.250Z`, `10:00:00.250`, or seconds as in
/// `12.250`.
fn time_ms(word: &str) -> Option<u64> {
    let word = word.trim_end_matches(['Z', ']', 's', ':']);
    let time = word.rsplit_once('T').map_or(word, |(_, time)| time);
    let mut ms = 0;
    let mut parts = time.split(':').peekable();
    while let Some(part) = parts.next() {
        if parts.peek().is_some() {
            ms = (ms + part.parse::<u64>().ok()?) * 60;
        } else {
            // A whole number without colons is not a time.
            let bare = !time.contains(':');
            let whole = (!bare).then_some((part, ""));
            let (seconds, rest) = part.split_once('.').or(whole)?;
            let thousandths: String = rest.chars().chain("000".chars()).take(3).collect();
            ms = (ms + seconds.parse::<u64>().ok()?) * 1_000 + thousandths.parse::<u64>().ok()?;
        }
    }
    Some(ms)
}
