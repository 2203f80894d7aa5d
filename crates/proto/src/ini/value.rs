//! Text forms of values.

use std::{fmt, str::FromStr, time::Duration};

use super::section::Expected;

/// A duration with its unit, such as `1300ms`.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use comfreyway_proto::ini::DurationText;
///
/// let text: DurationText = "1300ms".parse().unwrap();
/// assert_eq!(text.0, Duration::from_millis(1300));
/// assert_eq!(DurationText(Duration::from_secs(2)).to_string(), "2s");
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DurationText(pub Duration);

/// Units and their length in microseconds.
const UNITS: &[(&str, u64)] =
    &[("us", 1), ("ms", 1_000), ("s", 1_000_000), ("m", 60_000_000), ("h", 3_600_000_000)];

impl FromStr for DurationText {
    type Err = Expected;

    fn from_str(s: &str) -> Result<Self, Expected> {
        let expected = Expected("a whole number with us, ms, s, m or h, such as 1300ms");
        let digits = s.find(|c: char| !c.is_ascii_digit()).unwrap_or(s.len());
        let (number, unit) = s.split_at(digits);
        let number: u64 = number.parse().map_err(|_| expected)?;
        let unit = UNITS.iter().find(|(name, _)| *name == unit.trim()).ok_or(expected)?;
        let us = number.checked_mul(unit.1).ok_or(expected)?;
        Ok(Self(Duration::from_micros(us)))
    }
}

impl fmt::Display for DurationText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let us = self.0.as_micros();
        if us.is_multiple_of(1_000_000) && us > 0 {
            write!(f, "{}s", us / 1_000_000)
        } else if us.is_multiple_of(1_000) {
            write!(f, "{}ms", us / 1_000)
        } else {
            write!(f, "{us}us")
        }
    }
}

/// `yes` or `no`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct YesNo(pub bool);

impl FromStr for YesNo {
    type Err = Expected;

    fn from_str(s: &str) -> Result<Self, Expected> {
        match s {
            "yes" => Ok(Self(true)),
            "no" => Ok(Self(false)),
            _ => Err(Expected("yes or no")),
        }
    }
}

impl fmt::Display for YesNo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0 { "yes" } else { "no" })
    }
}
