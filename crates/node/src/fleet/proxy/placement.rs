//! Placement request of an admitted request.

use std::time::Duration;

use comfreyway_core::{
    fleet::{
        FleetConfig, PlacementRequest, RequestDigest, RetryPolicy, Route, SizedPart, StreamBinding,
        StreamId, Workspace, stream_retention,
    },
    ids::{HostId, RequestId, WorkspaceName},
    request::{BlockHash, RequestRecord},
};

/// Workspace of requests that need no API key.
const PUBLIC_WORKSPACE: &str = "public";

/// Minimum length of a beginning worth knowing: prefilling fewer tokens takes a few
/// milliseconds.
const MIN_BEGINNING_TOKENS: u32 = 256;

/// Number of parts of a prompt from which on not every beginning is remembered. Each doubling
/// adds half as many beginnings, since a head may name thousands of parts.
const DENSE_PARTS: usize = 32;

/// What is known of a request when it is submitted.
pub(super) struct PlacementInput<'a> {
    pub(super) id: RequestId,
    pub(super) host: &'a HostId,
    pub(super) config: &'a FleetConfig,
    pub(super) route: &'a Route,
    pub(super) workspace: Option<&'a Workspace>,
    pub(super) usage: Option<(u32, u32)>,
    /// Parts of the prompt that other requests may share.
    pub(super) parts: &'a [SizedPart],
    /// The caller's estimate of the generated tokens.
    pub(super) length_hint: Option<u32>,
    /// The caller's id of the attempt that began the stream.
    pub(super) began_as: &'a str,
    /// True if the request goes on with a stream.
    pub(super) takes_up: bool,
    /// Time that the caller said it would wait.
    pub(super) caller_wait: Option<Duration>,
    pub(super) body_bytes: usize,
    pub(super) digest: RequestDigest,
}

/// Returns the placement request; `None` if the route has no upstream.
pub(super) fn placement_request(input: &PlacementInput<'_>) -> Option<PlacementRequest> {
    let PlacementInput { id, config, route, workspace, usage, body_bytes, .. } = *input;
    let name = workspace.map(|w| w.name.clone());
    let name = name.or_else(|| WorkspaceName::new(PUBLIC_WORKSPACE).ok())?;
    let stream = (route.retry == RetryPolicy::Resumable).then(|| {
        let stream = StreamId::new(&name, input.began_as);
        let binding = match input.takes_up {
            true => StreamBinding::continues(stream, None),
            false => StreamBinding::begins(stream),
        };
        binding.with_retention(stream_retention(route.time_limit, input.caller_wait))
    });
    // A stream stays at its upstream.
    let pick = stream.as_ref().map_or(id.value() as u64, |stream| stream.id.hash());
    let upstream = route.upstream(pick)?.clone();
    let engine = config.upstreams.get(&upstream).is_some_and(|u| u.engine);
    let quota = workspace.map(|w| w.quota).unwrap_or_default();
    let cost = match usage {
        _ if !quota.by_tokens => 1.0,
        Some((prompt, generated)) => f64::from(prompt) + f64::from(generated),
        None => quota.plain_cost,
    };
    let tier = workspace.map_or(route.tier, |w| w.tier_of(route.tier));
    let shares = engine && route.shares_prompts;
    let beginnings = if shares { beginnings(input.parts) } else { Vec::new() };
    let record = RequestRecord {
        id,
        entry: input.host.clone(),
        workspace: name,
        class: route.class.clone(),
        tier,
        target: route.target,
        age: Duration::ZERO,
        prefill_tokens: if engine { usage.map_or(1, |(prompt, _)| prompt.max(1)) } else { 0 },
        max_decode_tokens: usage.map(|(_, generated)| generated),
        prefix: beginnings.iter().map(|(hash, _)| *hash).collect(),
        prefix_tokens: beginnings.iter().map(|(_, tokens)| *tokens).collect(),
        length_hint: input.length_hint.filter(|_| engine),
        body_bytes: u32::try_from(body_bytes).unwrap_or(u32::MAX),
    };
    let time_limit = route.time_limit;
    Some(PlacementRequest {
        record,
        upstream,
        cost,
        time_limit,
        prior_attempts: 0,
        rejections: 0,
        resubmitted: false,
        avoid: None,
        stream,
        parts: input.parts.iter().map(|sized| sized.part).collect(),
        digest: Some(input.digest),
    })
}

/// Returns the beginnings of a prompt that other requests may share, with their tokens. The
/// hash of each covers all parts before it: a runner can only use a part after the same ones.
fn beginnings(parts: &[SizedPart]) -> Vec<(BlockHash, u32)> {
    let mut hasher = blake3::Hasher::new();
    let mut tokens = 0_u32;
    let mut beginnings = Vec::new();
    for (count, sized) in (1..).zip(parts) {
        hasher.update(&sized.part.0.to_be_bytes());
        tokens = tokens.saturating_add(sized.tokens);
        if tokens < MIN_BEGINNING_TOKENS || !is_remembered(count) {
            continue;
        }
        let hash = hasher.finalize();
        let (halves, _) = hash.as_bytes().as_chunks::<8>();
        beginnings.push((BlockHash(u64::from_be_bytes(halves[0])), tokens));
    }
    beginnings
}

/// Returns true if the beginning of this many parts is remembered. Depends on nothing else, so
/// that prompts with the same beginning remember the same ones.
fn is_remembered(count: usize) -> bool {
    let doublings = (2 * count / DENSE_PARTS).max(1).ilog2();
    count.is_multiple_of(1 << doublings)
}
