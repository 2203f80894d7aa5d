//! Types and formats of settings values.

use std::{net::SocketAddr, time::Duration};

use comfreyway_core::ids::{DataCentreName, HostName, RegionName};

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;
const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60 * MILLIS_PER_SECOND;
const MILLIS_PER_HOUR: u64 = 60 * MILLIS_PER_MINUTE;
const MAX_DURATION_MS: u64 = 366 * 24 * MILLIS_PER_HOUR;
const MAX_COUNT: u32 = 1_000_000;

/// A type of settings values.
pub trait SettingValue: Sized {
    /// Describes a valid value in error messages.
    const EXPECTED: &'static str;

    /// Parses a value. Returns `None` if it is invalid.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use comfreyway_node::settings::SettingValue;
    ///
    /// assert_eq!(Duration::parse("250ms"), Some(Duration::from_millis(250)));
    /// assert_eq!(Duration::parse("soon"), None);
    /// ```
    fn parse(s: &str) -> Option<Self>;
}

impl SettingValue for Duration {
    const EXPECTED: &'static str = "a duration of at least 1ms such as 500ms, 10s, 5m or 1h";

    fn parse(s: &str) -> Option<Self> {
        let (digits, unit) = split_unit(s);
        let factor = match unit {
            "ms" => 1,
            "s" => MILLIS_PER_SECOND,
            "m" => MILLIS_PER_MINUTE,
            "h" => MILLIS_PER_HOUR,
            _ => return None,
        };
        let ms = digits.parse::<u64>().ok()?.checked_mul(factor)?;
        (1..=MAX_DURATION_MS).contains(&ms).then(|| Duration::from_millis(ms))
    }
}

/// A size in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Size(pub(super) usize);

impl SettingValue for Size {
    const EXPECTED: &'static str = "a size of at least 1 byte such as 4096, 32KiB, 4MiB or 1GiB";

    fn parse(s: &str) -> Option<Self> {
        let (digits, unit) = split_unit(s);
        let factor = match unit {
            "" => 1,
            "KiB" => KIB,
            "MiB" => MIB,
            "GiB" => GIB,
            _ => return None,
        };
        let bytes = digits.parse::<u64>().ok()?.checked_mul(factor)?;
        let bytes = u32::try_from(bytes).ok().filter(|&n| n > 0)?;
        usize::try_from(bytes).ok().map(Self)
    }
}

/// A positive integer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Count(pub(super) usize);

impl SettingValue for Count {
    const EXPECTED: &'static str = "a whole number from 1 to 1000000";

    fn parse(s: &str) -> Option<Self> {
        let n = s.parse::<u32>().ok().filter(|n| (1..=MAX_COUNT).contains(n))?;
        usize::try_from(n).ok().map(Self)
    }
}

/// A duration, or `none` for no limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct OptionalDuration(pub(super) Option<Duration>);

impl SettingValue for OptionalDuration {
    const EXPECTED: &'static str = "none, or a duration such as 10s, 5m or 1h";

    fn parse(s: &str) -> Option<Self> {
        if s == "none" {
            return Some(Self(None));
        }
        Duration::parse(s).map(|limit| Self(Some(limit)))
    }
}

impl SettingValue for SocketAddr {
    const EXPECTED: &'static str = "an IP address and port such as 10.0.0.1:8080";

    fn parse(s: &str) -> Option<Self> {
        s.parse().ok()
    }
}

impl SettingValue for HostName {
    const EXPECTED: &'static str = "a name of 1 to 64 letters, digits and . _ - / @ :";

    fn parse(s: &str) -> Option<Self> {
        Self::new(s).ok()
    }
}

impl SettingValue for DataCentreName {
    const EXPECTED: &'static str = HostName::EXPECTED;

    fn parse(s: &str) -> Option<Self> {
        Self::new(s).ok()
    }
}

impl SettingValue for RegionName {
    const EXPECTED: &'static str = HostName::EXPECTED;

    fn parse(s: &str) -> Option<Self> {
        Self::new(s).ok()
    }
}

impl SettingValue for f64 {
    const EXPECTED: &'static str = "a number of at least 0 such as 0.2 or 50";

    fn parse(s: &str) -> Option<Self> {
        s.parse().ok().filter(|n: &Self| n.is_finite() && *n >= 0.0)
    }
}

/// The text as given in the file.
impl SettingValue for String {
    const EXPECTED: &'static str = "a text";

    fn parse(s: &str) -> Option<Self> {
        Some(s.to_owned())
    }
}

fn split_unit(s: &str) -> (&str, &str) {
    let end = s.find(|c: char| !c.is_ascii_digit()).unwrap_or(s.len());
    s.split_at(end)
}
