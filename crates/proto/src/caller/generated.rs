#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "`CallersInterface`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct CallersInterface(pub ::serde_json::Value);
impl ::std::ops::Deref for CallersInterface {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<CallersInterface> for ::serde_json::Value {
    fn from(value: CallersInterface) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for CallersInterface {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = "The parts of a chat completion, or of one chunk of its stream, that the scheduler reads."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
pub struct ChatAnswer {
    #[doc = "Tokens that the engine counted."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<TokenUsage>,
}
#[doc = "One message of a conversation."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatMessage {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub content: ::std::option::Option<MessageContent>,
    #[doc = "Author of the message, such as user or assistant."]
    pub role: ::std::string::String,
}
#[doc = "The parts of a chat completion request that the scheduler reads. The body itself is forwarded unchanged, unknown fields included."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct ChatRequest {
    #[doc = "Limit on generated tokens; newer name of max_tokens."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_completion_tokens: ::std::option::Option<u32>,
    #[doc = "Limit on generated tokens."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u32>,
    #[doc = "The conversation so far."]
    pub messages: ::std::vec::Vec<ChatMessage>,
    #[doc = "Name of the model."]
    pub model: ::std::string::String,
    #[doc = "True for a response in server-sent events."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stream: ::std::option::Option<bool>,
}
#[doc = "One part of a message."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
pub struct ContentPart {
    #[doc = "Text of the part, if it has one."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub text: ::std::option::Option<::std::string::String>,
}
#[doc = "Text of a message, as one string or in parts."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(untagged)]
pub enum MessageContent {
    Nothing,
    Text(::std::string::String),
    Parts(::std::vec::Vec<ContentPart>),
}
impl ::std::convert::From<::std::vec::Vec<ContentPart>> for MessageContent {
    fn from(value: ::std::vec::Vec<ContentPart>) -> Self {
        Self::Parts(value)
    }
}
#[doc = "Problem details (RFC 9457) with the outcome of the request."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Problem {
    #[doc = "Cause, or what the caller can do."]
    pub detail: ::std::string::String,
    #[doc = "Outcome of the request."]
    pub outcome: ProblemOutcome,
    #[doc = "Reason for the outcome, from a closed list."]
    pub reason: ::std::string::String,
    #[doc = "Id of the request."]
    pub request_id: ::std::string::String,
    #[doc = "Time in milliseconds after which the caller may try again."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
    #[doc = "HTTP status code."]
    pub status: u16,
    #[doc = "Short text on the kind of the problem."]
    pub title: ::std::string::String,
    #[doc = "Kind of the problem as a URI reference."]
    #[serde(rename = "type")]
    pub type_: ::std::string::String,
}
#[doc = "Outcome of the request."]
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
pub enum ProblemOutcome {
    #[serde(rename = "not-run")]
    NotRun,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for ProblemOutcome {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not-run"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for ProblemOutcome {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ProblemOutcome {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ProblemOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Breakdown of the prompt's tokens."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
pub struct PromptTokensDetails {
    #[doc = "Tokens that were served from the prefix cache."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub cached_tokens: ::std::option::Option<u32>,
}
#[doc = "Tokens that the engine counted."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
pub struct TokenUsage {
    #[doc = "Generated tokens."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub completion_tokens: ::std::option::Option<u32>,
    #[doc = "Tokens of the prompt."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub prompt_tokens: ::std::option::Option<u32>,
    #[doc = "Breakdown of the prompt's tokens."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub prompt_tokens_details: ::std::option::Option<PromptTokensDetails>,
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
