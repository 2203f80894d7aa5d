//! Identifiers shared by all roles.

use std::{fmt, str::FromStr, sync::Arc};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

quick_error! {
    /// A text that is not a valid identifier.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum IdError {
        /// The name is empty or longer than [`MAX_NAME_BYTES`].
        Length(len: usize) {
            display("a name has 1 to {MAX_NAME_BYTES} bytes, this one has {len}")
        }
        /// The name holds a character outside of `a-z A-Z 0-9 . _ - / @ :`.
        Character(c: char) {
            display("a name holds letters, digits and . _ - / @ : only, not {c:?}")
        }
        /// The request identifier is not 32 hexadecimal digits.
        RequestId {
            display("a request identifier is 32 hexadecimal digits")
        }
    }
}

fn check_name(s: &str) -> Result<(), IdError> {
    if s.is_empty() || s.len() > MAX_NAME_BYTES {
        return Err(IdError::Length(s.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || ".-_/@:".contains(c);
    match s.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks and stores a name.
            ///
            /// # Errors
            ///
            /// Fails if the name is empty, too long, or holds another character
            /// than letters, digits and `. _ - / @ :`.
            pub fn new(s: &str) -> Result<Self, IdError> {
                check_name(s)?;
                Ok(Self(Arc::from(s)))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(s: &str) -> Result<Self, IdError> {
                Self::new(s)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(s: String) -> Result<Self, IdError> {
                Self::new(&s)
            }
        }
    };
}

name_type!(
    /// Name of a class of work.
    ClassName
);
name_type!(
    /// Name of a data centre.
    DataCentreName
);
name_type!(
    /// Name of a region, a set of data centres that are close to each other.
    RegionName
);
name_type!(
    /// Name of a host as given in its settings.
    HostName
);
name_type!(
    /// Name of a model that an engine serves.
    ModelName
);
name_type!(
    /// Name of an operator, as the author of a change.
    OperatorName
);
name_type!(
    /// Name of one runner of an upstream.
    RunnerName
);
name_type!(
    /// Name of an upstream, a set of runners with one purpose.
    UpstreamName
);
name_type!(
    /// Name of a workspace.
    WorkspaceName
);

/// Identity of one accepted request. Unique over all hosts and restarts.
///
/// # Examples
///
/// ```
/// use comfreyway_core::ids::RequestId;
///
/// let id = RequestId::new(7);
/// assert_eq!(id.to_string().parse(), Ok(id));
/// ```
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(u128);

impl RequestId {
    /// Wraps a value from the host's generator.
    #[must_use]
    pub fn new(value: u128) -> Self {
        Self(value)
    }

    /// The wrapped value.
    #[must_use]
    pub fn value(self) -> u128 {
        self.0
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        if s.len() != 32 {
            return Err(IdError::RequestId);
        }
        u128::from_str_radix(s, 16).map(Self).map_err(|_| IdError::RequestId)
    }
}

/// One run of the daemon on a host. A host that restarts or is replaced gets a
/// higher incarnation, so that it is never taken for its predecessor.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HostId {
    /// Name from the settings.
    pub name: HostName,
    /// Start time of this run in microseconds since the Unix epoch.
    pub incarnation: u64,
}

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

/// One pool: the runners of one upstream in one region.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PoolId {
    /// The upstream that the runners belong to.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// The region that the runners stand in.
    #[serde(rename = "r")]
    pub region: RegionName,
}

impl fmt::Display for PoolId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.upstream, self.region)
    }
}

/// Term of a pool's owner, and the fencing number on orders to upstreams.
///
/// Ordered by `issued` first. An owner that serves during an outage of the
/// key-value service keeps the last known issued number and raises
/// `provisional`, so any number issued later is higher.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Epoch {
    /// Number issued by compare-and-swap at the key-value service.
    pub issued: u64,
    /// Zero for an issued epoch, else the count of takeovers without service.
    pub provisional: u32,
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.issued, self.provisional)
    }
}

/// Importance of a class. Tier 0 is the highest and is shed last.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Tier(pub u8);

impl fmt::Display for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
