//! A fleet behind many hosts: what every host knows of it, and who decides.
//!
//! - [`FleetConfig`] is the operators' configuration as the hosts use it: routes,
//!   workspaces and upstreams.
//! - [`RunnerDirectory`] turns the runners' own entries in the store into one
//!   opinion on each runner. The strictest statement wins.
//! - [`elect()`] names the host that coordinates. Every host is able to.
//! - [`UpstreamScheduler`] orders and places the requests of one upstream.
//! - [`Coordinator`] ranks and places requests of the hosts that ask it, and
//!   holds the quotas and the retry budget. It answers the load of all its
//!   hosts together: bursts, large workspaces, callers that repeat.
//! - [`CoordinatorClient`] is the other side: the requests of one host. When its coordinator
//!   is gone, it asks the host's own coordinator, which then uses only this
//!   host's share of runners and quotas.
//!
//! A request is dispatched only by the host that holds the caller's connection,
//! so two coordinators at the same time may overfill a runner for a moment and
//! can't run a request twice.

mod budget;
mod client;
mod config;
mod coordinator;
mod directory;
mod member;
mod message;
mod quota;
mod runner;
mod scheduler;
mod sessions;
mod share;

pub use self::{
    budget::{RetryBudget, RetryBudgetLimits},
    client::{ClientAction, CoordinatorClient},
    config::{CallerLimits, FleetConfig, Quota, RetryPolicy, Route, UpstreamConfig, Workspace},
    coordinator::Coordinator,
    directory::{RunnerChange, RunnerDirectory},
    member::{Member, elect},
    message::{PlacementReply, PlacementRequest, RequestUpdate},
    quota::{QuotaTolerance, Quotas, SHARE_LEASE},
    runner::{RunnerEntry, RunnerKey},
    scheduler::{Decision, DispatchFailure, RunnerState, UpstreamScheduler},
    sessions::{HostSessions, OpenOutcome},
    share::Share,
};
