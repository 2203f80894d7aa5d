//! The operators' configuration as the hosts use it.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{ClassName, Tier, UpstreamName, WorkspaceName},
    request::Target,
};

/// Whether and how a request may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// Must not run more than once.
    Never,
    /// May run more than once.
    Idempotent,
    /// Is a stream that another runner may continue after a given event.
    Resumable,
}

/// A class of requests, matched by host and path.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the class.
    pub class: ClassName,
    /// Value of the `Host` header.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// Upstreams with their weights, at least one.
    pub upstreams: Vec<(UpstreamName, u32)>,
    /// Whether and how requests may be retried.
    pub retry: RetryPolicy,
    /// True if the response is a stream of events.
    pub streaming: bool,
    /// Maximum time from a request's arrival to its complete response.
    pub time_limit: Duration,
    /// Response time to aim for; a request that misses it still runs.
    pub target: Target,
    /// Tier of its requests, within that of their workspace if it has one.
    pub tier: Tier,
    /// Maximum number of runners that one request may be sent to.
    pub max_attempts: u32,
    /// True if no API key is needed.
    pub public: bool,
    /// True if prompts of its requests share beginnings.
    pub shares_prompts: bool,
}

impl Route {
    /// Selects an upstream by weight. `pick` is any number that is uniformly
    /// distributed over requests.
    #[must_use]
    pub fn upstream(&self, pick: u64) -> Option<&UpstreamName> {
        let total: u64 = self.upstreams.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = pick.checked_rem(total)?;
        for (name, weight) in &self.upstreams {
            if left < u64::from(*weight) {
                return Some(name);
            }
            left -= u64::from(*weight);
        }
        None
    }
}

/// Rate limit of a workspace. A rate of zero means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate_per_s: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// True if a request costs its tokens, false if it costs one unit.
    pub by_tokens: bool,
    /// Cost of a request that states no tokens, if `by_tokens` is set.
    pub plain_cost: f64,
}

/// A workspace with its tier and quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Tier of its requests. If set, it takes precedence over the class's tier.
    pub tier: Option<Tier>,
    /// Quota of the workspace.
    pub quota: Quota,
}

/// Number of class tiers within one workspace tier.
const CLASS_TIERS: u8 = 16;

impl Workspace {
    /// Returns the tier of a request of this workspace, ordered by the
    /// workspace's tier first and then by the tier of the class.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::{fleet::{Quota, Workspace}, ids::Tier};
    ///
    /// let name = "union-desk".parse().unwrap();
    /// let workspace = Workspace { name, tier: Some(Tier(1)), quota: Quota::default() };
    /// assert!(workspace.tier_of(Tier(0)) < workspace.tier_of(Tier(2)));
    /// ```
    #[must_use]
    pub fn tier_of(&self, class: Tier) -> Tier {
        match self.tier {
            None => class,
            Some(own) => {
                let within = class.0.min(CLASS_TIERS - 1);
                Tier(own.0.saturating_mul(CLASS_TIERS).saturating_add(within))
            }
        }
    }
}

/// Configuration of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamConfig {
    /// True for model engines.
    pub engine: bool,
    /// Maximum number of connections to one runner from all hosts.
    pub max_connections: u32,
    /// Number of generated tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Tokens that a runner holds in memory, among them beginnings of prompts; none if it
    /// keeps none.
    pub prompt_memory: Option<u32>,
}

impl UpstreamConfig {
    /// Returns the number of idle connections that each of `hosts` hosts may keep
    /// to a runner with this many slots, so that all hosts together stay within the
    /// runner's limit while all its slots are taken.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::fleet::UpstreamConfig;
    ///
    /// let upstream = UpstreamConfig {
    ///     engine: true,
    ///     max_connections: 540,
    ///     tokens_per_event: 5,
    ///     prompt_memory: None,
    /// };
    /// assert_eq!(upstream.max_idle_connections(4, 68), 7);
    /// assert_eq!(upstream.max_idle_connections(4, 1_000), 0);
    /// ```
    #[must_use]
    pub fn max_idle_connections(&self, slots: u32, hosts: usize) -> usize {
        self.max_connections.saturating_sub(slots) as usize / hosts.max(1)
    }
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for a caller to send a head or a body.
    pub read_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Version assigned by the operators.
    pub version: u64,
    /// Store revision at which it was written.
    pub revision: u64,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, UpstreamConfig>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// True if callers need an API key on routes that are not public, also while no workspace
    /// has one.
    pub keys_required: bool,
    routes: BTreeMap<String, Vec<Route>>,
    workspaces: BTreeMap<WorkspaceName, Workspace>,
    keys: BTreeMap<String, WorkspaceName>,
}

impl FleetConfig {
    /// Creates a configuration without routes, upstreams and workspaces.
    #[must_use]
    pub fn new(version: u64, revision: u64, limits: CallerLimits) -> Self {
        Self {
            version,
            revision,
            upstreams: BTreeMap::new(),
            limits,
            keys_required: false,
            routes: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            keys: BTreeMap::new(),
        }
    }

    /// Adds an upstream.
    #[must_use]
    pub fn with_upstream(mut self, name: UpstreamName, upstream: UpstreamConfig) -> Self {
        self.upstreams.insert(name, upstream);
        self
    }

    /// Adds a route.
    #[must_use]
    pub fn with_route(mut self, route: Route) -> Self {
        let routes = self.routes.entry(route.host.clone()).or_default();
        let at = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(at, route);
        self
    }

    /// Requires API keys on routes that are not public. Without a workspace none is accepted.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use comfreyway_core::fleet::{CallerLimits, FleetConfig};
    ///
    /// let limits = CallerLimits {
    ///     max_head_bytes: 16 << 10,
    ///     max_body_bytes: 4 << 20,
    ///     read_timeout: Duration::from_secs(3),
    ///     idle_timeout: Duration::from_secs(15),
    /// };
    /// let config = FleetConfig::new(1, 1, limits).with_required_keys();
    /// assert!(config.keys_required);
    /// assert!(config.workspace_of("any key").is_none());
    /// ```
    #[must_use]
    pub fn with_required_keys(mut self) -> Self {
        self.keys_required = true;
        self
    }

    /// Adds a workspace with its API keys, which are required from then on.
    #[must_use]
    pub fn with_workspace<I>(mut self, workspace: Workspace, keys: I) -> Self
    where
        I: IntoIterator<Item = String>,
    {
        self.keys_required = true;
        self.keys.extend(keys.into_iter().map(|key| (key, workspace.name.clone())));
        self.workspaces.insert(workspace.name.clone(), workspace);
        self
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten()
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the workspace that an API key belongs to.
    #[must_use]
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.get(self.keys.get(key)?)
    }

    /// Returns the weights by which workspaces share full runners: the rates of their quotas.
    /// A workspace without a quota has none.
    #[must_use]
    pub fn weights(&self) -> BTreeMap<WorkspaceName, f64> {
        let workspaces = self.workspaces.values().filter(|w| w.quota.rate_per_s > 0.0);
        workspaces.map(|w| (w.name.clone(), w.quota.rate_per_s)).collect()
    }

    /// Returns a workspace by name.
    #[must_use]
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&Workspace> {
        self.workspaces.get(name)
    }
}
