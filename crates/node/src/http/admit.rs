//! Validates requests against the limits and the configuration.

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

/// Path of the chat completions API of model engines.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Largest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Bytes of a header line besides name and value: `: ` and CRLF.
const HEADER_LINE_EXTRA: usize = 4;

/// What the request line and headers select.
#[derive(Debug)]
pub(super) struct RequestHead {
    pub(super) workspace: WorkspaceName,
    class: Option<ClassName>,
    key: Option<String>,
    backend: Backend,
}

/// Back end selected by the path.
#[derive(Debug)]
enum Backend {
    /// The model engine that serves the model named in the body.
    Chat,
    /// The upstream of a route.
    Route { upstream: UpstreamName, class: Option<ClassName> },
}

/// A validated request that can be submitted to the scheduler.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) pool: PoolId,
    pub(super) workspace: WorkspaceName,
    pub(super) class_name: ClassName,
    pub(super) class: Class,
    pub(super) key: Option<CallerKey>,
    pub(super) is_engine: bool,
    pub(super) checks_fencing: bool,
    pub(super) resumes: bool,
    pub(super) prompt: PromptInfo,
}

/// Scheduling inputs taken from a prompt. Empty for a plain service.
#[derive(Debug, Default)]
pub(super) struct PromptInfo {
    pub(super) prefill_tokens: u32,
    pub(super) max_decode_tokens: Option<u32>,
    pub(super) prefix: Vec<BlockHash>,
}

/// Performs the checks that don't need the body.
pub(super) fn check_head(
    traffic: &TrafficState,
    document: &Document,
    req: &HttpRequest,
) -> Result<RequestHead, Refusal> {
    check_header_size(req.headers(), traffic.limits.max_header_bytes)?;
    if req.version() < Version::HTTP_11 {
        // A response to HTTP/1.0 may be delimited by the end of the connection,
        // so a truncated response would look complete.
        return Err(bad_request(
            "HTTP/1.1 is required, so that a truncated response can be detected",
        ));
    }
    if document.version == 0 {
        return Err(refuse(NotRunReason::NotReady, "this host has no configuration yet"));
    }
    let backend = find_backend(document, req)?;
    let workspace = parse_header::<WorkspaceName>(req.headers(), headers::WORKSPACE)?
        .ok_or_else(|| bad_request(format!("the header {} is missing", headers::WORKSPACE)))?;
    if !document.workspaces.contains_key(&workspace) {
        let detail = format!("no workspace {workspace} is configured");
        return Err(refuse(NotRunReason::UnknownWorkspace, detail));
    }
    let class = parse_header::<ClassName>(req.headers(), headers::CLASS)?;
    let key = single_header(req.headers(), headers::IDEMPOTENCY_KEY)?.map(str::to_owned);
    if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        let name = headers::IDEMPOTENCY_KEY;
        return Err(bad_request(format!("the header {name} must have 1 to {MAX_KEY_BYTES} bytes")));
    }
    Ok(RequestHead { workspace, class, key, backend })
}

/// Performs the remaining checks once the body has arrived.
pub(super) fn admit(
    traffic: &TrafficState,
    document: &Document,
    req: &HttpRequest,
    head: RequestHead,
    body: &Bytes,
) -> Result<Admitted, Refusal> {
    let RequestHead { workspace, class, key, backend } = head;
    let (upstream_name, route_class, prompt) = match backend {
        Backend::Chat => {
            let chat = parse_chat(body)?;
            (upstream_of_model(document, &chat.model)?, None, prompt_info(&chat))
        }
        Backend::Route { upstream, class } => (upstream, class, PromptInfo::default()),
    };
    let (class_name, class) = find_class(document, class.or(route_class))?;
    if !class.idempotent && key.is_none() {
        let name = headers::IDEMPOTENCY_KEY;
        let detail = format!("class {class_name} is not idempotent; send the header {name}");
        return Err(refuse(NotRunReason::MissingIdentity, detail));
    }
    let upstream = find_upstream(document, &upstream_name)?;
    let pool = PoolId { upstream: upstream_name, region: find_region(traffic, document)? };
    Ok(Admitted {
        pool,
        workspace,
        class_name,
        class: class.clone(),
        key: key.map(|key| CallerKey { key, digest: digest(req, body) }),
        is_engine: upstream.kind == UpstreamKind::Engine,
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

fn find_backend(document: &Document, req: &HttpRequest) -> Result<Backend, Refusal> {
    let path = req.path();
    if path == CHAT_PATH {
        if req.method() == Method::POST {
            return Ok(Backend::Chat);
        }
        let detail = format!("{CHAT_PATH} accepts POST only");
        return Err(refuse(NotRunReason::MethodNotAllowed, detail));
    }
    if req.method() == Method::CONNECT || req.method() == Method::TRACE {
        let detail = format!("{} is not forwarded", req.method());
        return Err(refuse(NotRunReason::MethodNotAllowed, detail));
    }
    let Some((_, route)) = document.route(path) else {
        return Err(refuse(NotRunReason::UnknownRoute, "no route matches the path"));
    };
    Ok(Backend::Route { upstream: route.upstream.clone(), class: route.class.clone() })
}

fn parse_chat(body: &Bytes) -> Result<ChatRequest, Refusal> {
    serde_json::from_slice(body)
        .map_err(|e| bad_request(format!("the body is not a chat request: {e}")))
}

fn upstream_of_model(document: &Document, model: &str) -> Result<UpstreamName, Refusal> {
    let found = ModelName::new(model).ok().and_then(|name| document.models.get(&name));
    found
        .map(|model| model.upstream.clone())
        .ok_or_else(|| refuse(NotRunReason::UnknownModel, "no model of this name is configured"))
}

fn prompt_info(chat: &ChatRequest) -> PromptInfo {
    let text: String = prompt_parts(chat).collect();
    PromptInfo {
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
        let detail =
            format!("the header {} is missing and the route names no class", headers::CLASS);
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

fn find_region(
    traffic: &TrafficState,
    document: &Document,
) -> Result<comfreyway_core::ids::RegionName, Refusal> {
    let name = &traffic.data_centre;
    document.data_centres.get(name).map(|data_centre| data_centre.region.clone()).ok_or_else(|| {
        refuse(NotRunReason::NotReady, format!("data centre {name} is not configured"))
    })
}

/// Returns a digest of method, URI and body. It distinguishes a repeat from a
/// different request with the same idempotency key.
fn digest(req: &HttpRequest, body: &Bytes) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [req.method().as_str(), &req.uri().to_string()] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(body);
    *hasher.finalize().as_bytes()
}

fn parse_header<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = single_header(headers, name)? else { return Ok(None) };
    text.parse().map(Some).map_err(|e| bad_request(format!("the header {name} is invalid: {e}")))
}

fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name);
    let first = values.next();
    if values.next().is_some() {
        return Err(bad_request(format!("the header {name} occurs more than once")));
    }
    first
        .map(|value| {
            value.to_str().map_err(|_| bad_request(format!("the header {name} is not ASCII")))
        })
        .transpose()
}

fn bad_request<T>(detail: T) -> Refusal
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
