//! Checks a request against limits and configuration.

use actix_web::{
    HttpRequest,
    http::{Method, Version, header::HeaderMap},
    web::Bytes,
};
use comfreyway_core::{
    config::{Class, Document, Upstream, UpstreamKind},
    ids::{ClassName, ModelName, PoolId, UpstreamName, WorkspaceName},
    outcome::NotRunReason,
    prompt::{block_hashes, token_count},
    request::BlockHash,
};
use comfreyway_proto::{
    caller::{ChatRequest, prompt_parts},
    headers,
};

use crate::control::CallerKey;

use super::{refusal::Refusal, traffic::TrafficState};

/// Path of the chat interface of model engines.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Longest identity that a caller may give, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Bytes between name, value and end of a header line.
const HEADER_LINE_EXTRA: usize = 4;

/// What the head of a request asks for.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) workspace: WorkspaceName,
    class: Option<ClassName>,
    key: Option<String>,
    wanted: Wanted,
}

/// Which back end a request is for.
#[derive(Debug)]
enum Wanted {
    /// The engine that serves the model named in the body.
    Chat,
    /// The upstream of a route.
    Route { upstream: UpstreamName, class: Option<ClassName> },
}

/// A request that may be submitted.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) pool: PoolId,
    pub(super) workspace: WorkspaceName,
    pub(super) class_name: ClassName,
    pub(super) class: Class,
    pub(super) key: Option<CallerKey>,
    pub(super) from_engine: bool,
    pub(super) checks_fencing: bool,
    pub(super) resumes: bool,
    pub(super) prompt: Prompt,
}

/// What the scheduler reads of a prompt. Empty for a plain service.
#[derive(Debug, Default)]
pub(super) struct Prompt {
    pub(super) prefill_tokens: u32,
    pub(super) max_decode_tokens: Option<u32>,
    pub(super) prefix: Vec<BlockHash>,
}

/// Checks what can be checked before the body arrives.
pub(super) fn check_head(
    traffic: &TrafficState,
    document: &Document,
    req: &HttpRequest,
) -> Result<Head, Refusal> {
    check_header_size(req.headers(), traffic.limits.max_header_bytes)?;
    if req.version() < Version::HTTP_11 {
        // An answer to HTTP/1.0 ends with its connection, so that a short one
        // looks whole.
        return Err(bad("HTTP/1.1 is needed to tell a whole answer from a short one"));
    }
    if document.version == 0 {
        return Err(refuse(NotRunReason::NotReady, "this host has no configuration yet"));
    }
    let wanted = find_wanted(document, req)?;
    let workspace = parse::<WorkspaceName>(req.headers(), headers::WORKSPACE)?
        .ok_or_else(|| bad(format!("the header {} is missing", headers::WORKSPACE)))?;
    if !document.workspaces.contains_key(&workspace) {
        let detail = format!("no workspace {workspace} is configured");
        return Err(refuse(NotRunReason::UnknownWorkspace, detail));
    }
    let class = parse::<ClassName>(req.headers(), headers::CLASS)?;
    let key = single(req.headers(), headers::IDEMPOTENCY_KEY)?.map(str::to_owned);
    if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        let name = headers::IDEMPOTENCY_KEY;
        return Err(bad(format!("the header {name} has 1 to {MAX_KEY_BYTES} bytes")));
    }
    Ok(Head { workspace, class, key, wanted })
}

/// Checks the rest once the body has arrived.
pub(super) fn admit(
    traffic: &TrafficState,
    document: &Document,
    req: &HttpRequest,
    head: Head,
    body: &Bytes,
) -> Result<Admitted, Refusal> {
    let Head { workspace, class, key, wanted } = head;
    let (upstream_name, route_class, prompt) = match wanted {
        Wanted::Chat => {
            let chat = parse_chat(body)?;
            (upstream_of_model(document, &chat.model)?, None, read_prompt(&chat))
        }
        Wanted::Route { upstream, class } => (upstream, class, Prompt::default()),
    };
    let (class_name, class) = find_class(document, class.or(route_class))?;
    if !class.idempotent && key.is_none() {
        let name = headers::IDEMPOTENCY_KEY;
        let detail = format!("class {class_name} is not idempotent; send the header {name}");
        return Err(refuse(NotRunReason::MissingIdentity, detail));
    }
    let upstream = find_upstream(document, &upstream_name)?;
    let pool = PoolId { upstream: upstream_name, region: region(traffic, document)? };
    Ok(Admitted {
        pool,
        workspace,
        class_name,
        class: class.clone(),
        key: key.map(|key| CallerKey { key, digest: digest(req, body) }),
        from_engine: upstream.kind == UpstreamKind::Engine,
        checks_fencing: upstream.checks_fencing,
        resumes: upstream.resumes,
        prompt,
    })
}

fn check_header_size(headers: &HeaderMap, limit: usize) -> Result<(), Refusal> {
    let size = |(name, value): (&actix_web::http::header::HeaderName, &_)| {
        let value: &actix_web::http::header::HeaderValue = value;
        name.as_str().len() + value.len() + HEADER_LINE_EXTRA
    };
    if headers.iter().map(size).sum::<usize>() > limit {
        let detail = format!("the headers are larger than {limit} bytes");
        return Err(refuse(NotRunReason::TooLarge, detail));
    }
    Ok(())
}

fn find_wanted(document: &Document, req: &HttpRequest) -> Result<Wanted, Refusal> {
    let path = req.path();
    if path == CHAT_PATH {
        if req.method() == Method::POST {
            return Ok(Wanted::Chat);
        }
        let detail = format!("{CHAT_PATH} takes POST only");
        return Err(refuse(NotRunReason::MethodNotAllowed, detail));
    }
    if req.method() == Method::CONNECT || req.method() == Method::TRACE {
        let detail = format!("{} is not forwarded", req.method());
        return Err(refuse(NotRunReason::MethodNotAllowed, detail));
    }
    let Some((_, route)) = document.route(path) else {
        return Err(refuse(NotRunReason::UnknownRoute, "no route matches the path"));
    };
    Ok(Wanted::Route { upstream: route.upstream.clone(), class: route.class.clone() })
}

fn parse_chat(body: &Bytes) -> Result<ChatRequest, Refusal> {
    serde_json::from_slice(body).map_err(|e| bad(format!("the body is not a chat request: {e}")))
}

fn upstream_of_model(document: &Document, model: &str) -> Result<UpstreamName, Refusal> {
    let found = ModelName::new(model).ok().and_then(|name| document.models.get(&name));
    found
        .map(|model| model.upstream.clone())
        .ok_or_else(|| refuse(NotRunReason::UnknownModel, "no model of this name is configured"))
}

fn read_prompt(chat: &ChatRequest) -> Prompt {
    let text: String = prompt_parts(chat).collect();
    Prompt {
        prefill_tokens: token_count(&text),
        max_decode_tokens: chat.max_completion_tokens.or(chat.max_tokens),
        prefix: block_hashes(&text),
    }
}

fn find_class(
    document: &Document,
    name: Option<ClassName>,
) -> Result<(ClassName, &Class), Refusal> {
    let Some(name) = name else {
        let detail = format!("the header {} is missing and the route names none", headers::CLASS);
        return Err(refuse(NotRunReason::UnknownClass, detail));
    };
    match document.classes.get(&name) {
        Some(class) => Ok((name, class)),
        None => {
            let detail = format!("no class {name} is configured");
            Err(refuse(NotRunReason::UnknownClass, detail))
        }
    }
}

fn find_upstream<'a>(document: &'a Document, name: &UpstreamName) -> Result<&'a Upstream, Refusal> {
    document
        .upstreams
        .get(name)
        .ok_or_else(|| refuse(NotRunReason::NoRunner, format!("upstream {name} is not configured")))
}

fn region(
    traffic: &TrafficState,
    document: &Document,
) -> Result<comfreyway_core::ids::RegionName, Refusal> {
    let name = &traffic.data_centre;
    document.data_centres.get(name).map(|data_centre| data_centre.region.clone()).ok_or_else(|| {
        refuse(NotRunReason::NotReady, format!("data centre {name} is not configured"))
    })
}

/// Digest of method, path and body, to tell a repeat from another request under
/// the same identity.
fn digest(req: &HttpRequest, body: &Bytes) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [req.method().as_str(), &req.uri().to_string()] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(body);
    *hasher.finalize().as_bytes()
}

fn parse<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = single(headers, name)? else { return Ok(None) };
    text.parse().map(Some).map_err(|e| bad(format!("the header {name} can't be read: {e}")))
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name);
    let first = values.next();
    if values.next().is_some() {
        return Err(bad(format!("the header {name} stands twice")));
    }
    first
        .map(|value| value.to_str().map_err(|_| bad(format!("the header {name} is not ASCII"))))
        .transpose()
}

fn bad<T>(detail: T) -> Refusal
where
    T: Into<String>,
{
    refuse(NotRunReason::BadRequest, detail)
}

fn refuse<T>(reason: NotRunReason, detail: T) -> Refusal
where
    T: Into<String>,
{
    Refusal::not_run(reason, detail)
}
