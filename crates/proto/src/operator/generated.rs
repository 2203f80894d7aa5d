#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Outcome of a change. Accepted: it is in this version and every later one. Checked: a dry run found it valid. Refused and conflict: nothing was written. Unknown: it may have been accepted."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum ChangeOutcomeName {
    #[serde(rename = "accepted")]
    Accepted,
    #[serde(rename = "checked")]
    Checked,
    #[serde(rename = "refused")]
    Refused,
    #[serde(rename = "conflict")]
    Conflict,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for ChangeOutcomeName {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Accepted => f.write_str("accepted"),
            Self::Checked => f.write_str("checked"),
            Self::Refused => f.write_str("refused"),
            Self::Conflict => f.write_str("conflict"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for ChangeOutcomeName {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "accepted" => Ok(Self::Accepted),
            "checked" => Ok(Self::Checked),
            "refused" => Ok(Self::Refused),
            "conflict" => Ok(Self::Conflict),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ChangeOutcomeName {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ChangeOutcomeName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Report on a change."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ChangeReport {
    #[doc = "Elements that another change modified first."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub conflicts: ::std::vec::Vec<::comfreyway_core::config::Conflict>,
    #[doc = "Errors and warnings."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub findings: ::std::vec::Vec<::comfreyway_core::config::Finding>,
    #[doc = "Id of the change."]
    pub id: ::std::string::String,
    pub outcome: ChangeOutcomeName,
    #[doc = "Cause and what to do next."]
    pub text: ::std::string::String,
    #[doc = "The version that it made."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<u64>,
}
#[doc = "Request to change the configuration."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ChangeRequest {
    #[doc = "The change with its id."]
    pub change: ::comfreyway_core::config::Change,
    #[doc = "True to check the change without applying it."]
    #[serde(default)]
    pub dry_run: bool,
}
#[doc = "What is known of an earlier change."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ChangeState {
    #[doc = "The accepted change."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub change: ::std::option::Option<::comfreyway_core::config::AcceptedChange>,
    #[doc = "Id of the change."]
    pub id: ::std::string::String,
    pub state: ChangeStateName,
    #[doc = "What it means and what to do next."]
    pub text: ::std::string::String,
}
#[doc = "Accepted: found in the history. Absent: in none of the versions after its base that this host knows. Forgotten: the history no longer reaches back to its base."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum ChangeStateName {
    #[serde(rename = "accepted")]
    Accepted,
    #[serde(rename = "absent")]
    Absent,
    #[serde(rename = "forgotten")]
    Forgotten,
}
impl ::std::fmt::Display for ChangeStateName {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Accepted => f.write_str("accepted"),
            Self::Absent => f.write_str("absent"),
            Self::Forgotten => f.write_str("forgotten"),
        }
    }
}
impl ::std::str::FromStr for ChangeStateName {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "accepted" => Ok(Self::Accepted),
            "absent" => Ok(Self::Absent),
            "forgotten" => Ok(Self::Forgotten),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ChangeStateName {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ChangeStateName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "One class in force and how its target was met on the host that responds."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ClassReport {
    #[doc = "Requests with a complete response from this host since its start."]
    pub answered: u64,
    #[doc = "Target between two tokens, in milliseconds."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub between_tokens_ms: ::std::option::Option<f64>,
    #[doc = "True if a stream is cancelled when its caller disconnects."]
    pub cancellable: bool,
    #[doc = "Target to the first token, in milliseconds."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub first_token_ms: ::std::option::Option<f64>,
    #[doc = "False if a request must run at most once."]
    pub idempotent: bool,
    #[doc = "Answered requests whose first byte, or whole response, arrived within the target."]
    pub in_target: u64,
    #[doc = "Name of the class."]
    pub name: ::std::string::String,
    #[doc = "Requests that this host did not run."]
    pub not_run: u64,
    #[doc = "Tier; 0 is shed last."]
    pub tier: u8,
    #[doc = "Requests of this host whose outcome is unknown."]
    pub unknown: u64,
    #[doc = "Target to the end of the response, in milliseconds."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub whole_answer_ms: ::std::option::Option<f64>,
}
#[doc = "The configuration in force."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ConfigExport {
    #[doc = "The document."]
    pub document: ::comfreyway_core::config::Document,
    #[doc = "Version of the configuration."]
    pub version: u64,
}
#[doc = "Versions of the configuration in force."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ConfigReport {
    #[doc = "This host and those that it has a session with."]
    pub hosts: ::std::vec::Vec<HostVersion>,
    #[doc = "True if the host serves with it."]
    pub ready: bool,
    #[doc = "True if the last read of the key-value service succeeded."]
    pub store_reachable: bool,
    #[doc = "Version in force on the host that responds."]
    pub version: u64,
}
#[doc = "The recent changes."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct HistoryReport {
    #[doc = "Accepted changes, newest first."]
    pub changes: ::std::vec::Vec<::comfreyway_core::config::AcceptedChange>,
    #[doc = "Version in force on the host that responds."]
    pub version: u64,
}
#[doc = "State of a host towards its callers."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum HostPhase {
    #[serde(rename = "starting")]
    Starting,
    #[serde(rename = "ready")]
    Ready,
    #[serde(rename = "stopping")]
    Stopping,
}
impl ::std::fmt::Display for HostPhase {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Starting => f.write_str("starting"),
            Self::Ready => f.write_str("ready"),
            Self::Stopping => f.write_str("stopping"),
        }
    }
}
impl ::std::str::FromStr for HostPhase {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "starting" => Ok(Self::Starting),
            "ready" => Ok(Self::Ready),
            "stopping" => Ok(Self::Stopping),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for HostPhase {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for HostPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Version in force on one host."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct HostVersion {
    #[doc = "Name of the host."]
    pub host: ::std::string::String,
    #[doc = "The last version that it announced; absent if it has announced none."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<u64>,
}
#[doc = "Why a call was not served (RFC 9457)."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct OperatorProblem {
    #[doc = "Cause and what to do next."]
    pub detail: ::std::string::String,
    #[doc = "HTTP status."]
    pub status: u16,
    #[doc = "Short text on the problem."]
    pub title: ::std::string::String,
}
#[doc = "`OperatorsInterface`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct OperatorsInterface(pub ::serde_json::Value);
impl ::std::ops::Deref for OperatorsInterface {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<OperatorsInterface> for ::serde_json::Value {
    fn from(value: OperatorsInterface) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for OperatorsInterface {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "State of one pool at its owner."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct PoolReport {
    #[doc = "Term of the owner."]
    pub epoch: ::std::string::String,
    #[doc = "Granted requests whose end is not known yet."]
    pub in_progress: u64,
    #[doc = "Host that owns the pool and schedules its requests."]
    pub owner: ::std::string::String,
    #[doc = "Upstream and region."]
    pub pool: ::std::string::String,
    #[doc = "Waiting requests of all hosts."]
    pub waiting: u64,
}
#[doc = "Steps and explanation of one request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct RequestReport {
    #[doc = "Class of the request."]
    pub class: ::std::string::String,
    #[doc = "The steps in sentences."]
    pub explanation: ::std::vec::Vec<::std::string::String>,
    #[doc = "Id of the request."]
    pub id: ::std::string::String,
    #[doc = "The pool that serves it."]
    pub pool: ::std::string::String,
    #[doc = "The steps in chronological order."]
    pub steps: ::std::vec::Vec<RequestStep>,
    #[doc = "Workspace of the request."]
    pub workspace: ::std::string::String,
}
#[doc = "One step of a request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct RequestStep {
    #[doc = "Time since the request arrived, in milliseconds."]
    pub after_ms: f64,
    #[doc = "Runner or reason; empty for none."]
    pub detail: ::std::string::String,
    #[doc = "What happened."]
    pub step: ::std::string::String,
}
#[doc = "State of one host and what it knows of other hosts."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct StatusReport {
    #[doc = "Classes in force, highest tier first."]
    pub classes: ::std::vec::Vec<ClassReport>,
    pub config: ConfigReport,
    #[doc = "Name of the host that responds."]
    pub host: ::std::string::String,
    #[doc = "Requests of this host whose dispatch has not ended."]
    pub in_progress: u64,
    pub phase: HostPhase,
    #[doc = "Pools that this host owns."]
    pub pools: ::std::vec::Vec<PoolReport>,
    #[doc = "Requests of this host that wait for a grant."]
    pub waiting: u64,
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
