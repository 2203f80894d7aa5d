//! The operators' configuration as the hosts use it.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{ClassName, Tier, UpstreamName, WorkspaceName},
    request::Target,
};

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// Runs once at most.
    Never,
    /// May run more than once.
    Idempotent,
    /// A stream that another runner may continue after a given event.
    Resumable,
}

/// One class of work and how its requests are told by host and path.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the class.
    pub class: ClassName,
    /// Value of the `Host` header.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// Upstreams with their weights, at least one.
    pub upstreams: Vec<(UpstreamName, u32)>,
    /// What may be done again.
    pub retry: RetryPolicy,
    /// True if the answer is a stream of events.
    pub streaming: bool,
    /// Longest time that a request may be kept.
    pub time_limit: Duration,
    /// Target of the class.
    pub target: Target,
    /// Tier of the class.
    pub tier: Tier,
    /// Most runners that one request may be sent to.
    pub max_attempts: u32,
    /// True if no key is needed.
    pub public: bool,
}

impl Route {
    /// The upstream for a request, by weight. `pick` is any number that is
    /// spread evenly over requests.
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

/// Rate that a workspace may use; a rate of zero is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate_per_s: f64,
    /// Units at once.
    pub burst: f64,
    /// True if a request counts by its tokens, false if it counts as one.
    pub by_tokens: bool,
    /// Units of a request that tells no tokens, where tokens are counted.
    pub plain_cost: f64,
}

/// A workspace with its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Tier of its requests, if it differs from that of their class.
    pub tier: Option<Tier>,
    /// Its quota.
    pub quota: Quota,
}

/// Tiers of classes within one tier of a workspace.
const CLASS_TIERS: u8 = 16;

impl Workspace {
    /// The tier of a request of this workspace: the workspace's own tier goes
    /// first, and that of the class decides among equals.
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

/// An upstream as the operators describe it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamConfig {
    /// True for model engines.
    pub engine: bool,
    /// Most connections to one runner from all hosts.
    pub max_connections: u32,
    /// Generated tokens in one event of a stream.
    pub tokens_per_event: u32,
}

impl UpstreamConfig {
    /// Unused connections that one of `hosts` hosts may keep to a runner with so
    /// many places, so that all hosts together stay within the limit of the
    /// runner while all its places are taken.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::fleet::UpstreamConfig;
    ///
    /// let upstream = UpstreamConfig { engine: true, max_connections: 540, tokens_per_event: 5 };
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
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a caller to send a head or a body.
    pub read_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Version that the operators gave it.
    pub version: u64,
    /// Revision of the store that wrote it.
    pub revision: u64,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, UpstreamConfig>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// True if callers need a key on routes that are not public.
    pub keys_required: bool,
    routes: BTreeMap<String, Vec<Route>>,
    workspaces: BTreeMap<WorkspaceName, Workspace>,
    keys: BTreeMap<String, WorkspaceName>,
}

impl FleetConfig {
    /// A plan without routes and workspaces.
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

    /// Adds a workspace with its keys.
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

    /// The route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The workspace that holds a key.
    #[must_use]
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.get(self.keys.get(key)?)
    }

    /// A workspace by name.
    #[must_use]
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&Workspace> {
        self.workspaces.get(name)
    }
}
