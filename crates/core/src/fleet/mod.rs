//! Scheduling for a fleet of many hosts.
//!
//! - [`FleetConfig`] is the operators' configuration as the hosts use it: routes,
//!   workspaces and upstreams.
//! - [`RunnerDirectory`] derives the state of each runner from the runners' own
//!   entries in the store. The most restrictive report wins.
//! - [`elect()`] selects the coordinator. Any host can be elected.
//! - [`UpstreamScheduler`] orders and places the requests of one upstream.
//! - [`StreamVersions`] and [`VersionHistory`] bind streams to the software version
//!   that began them.
//! - [`Quarantine`] keeps requests away from runners that they crash.
//! - [`Rollout`] moves an upstream to another software version.
//! - [`RunnerLimits`] holds the rate limits that runners name.
//! - [`RunnerPaths`] decides whether a host sends to a runner itself or through another
//!   host.
//! - [`CallerMemory`] bounds what callers can make a host hold, and decides who gives way.
//! - [`FleetHosts`] counts the hosts among which quotas and runners are shared.
//! - [`Coordinator`] schedules the requests of its client hosts, and enforces the
//!   quotas and the retry budget. It is built for the combined load of these
//!   hosts: bursts, large workspaces, callers that retry.
//! - [`CoordinatorClient`] tracks the requests of one host. When its coordinator
//!   is down, it uses the host's own coordinator, which is limited to this host's
//!   share of runners and quotas.
//!
//! Only the host that holds the caller's connection dispatches a request, so two
//! coordinators at the same time may briefly overfill a runner but can't run a
//! request twice.

mod budget;
mod caller_memory;
mod client;
mod config;
mod coordinator;
mod coordinator_search;
mod directory;
mod hosts;
mod member;
mod message;
mod prompt_part;
mod quarantine;
mod quota;
mod request_digest;
mod rollout;
mod runner;
mod runner_limits;
mod runner_load;
mod runner_notice;
mod runner_paths;
mod scheduler;
mod sessions;
mod share;
mod stop_schedule;
mod stream;
mod stream_retention;
mod stream_versions;
mod suspect;
mod suspect_list;
mod version_history;

pub use self::{
    budget::{RetryBudget, RetryBudgetLimits},
    caller_memory::{CallerId, CallerMemory, CallerMemoryError, CallerMemoryLimits, WorkspaceKey},
    client::{ClientAction, CoordinatorClient, EndedSession},
    config::{CallerLimits, FleetConfig, Quota, RetryPolicy, Route, UpstreamConfig, Workspace},
    coordinator::Coordinator,
    coordinator_search::CoordinatorSearch,
    directory::{RunnerChange, RunnerDirectory},
    hosts::FleetHosts,
    member::{Member, elect},
    message::{PlacementReply, PlacementRequest, RequestUpdate},
    prompt_part::{PromptPart, SizedPart},
    quarantine::{Quarantine, RecordSource, SuspectRecord, SuspectRun, SuspectState},
    quota::{QuotaTolerance, Quotas, SHARE_LEASE},
    request_digest::{InvalidDigest, RequestContent, RequestDigest},
    rollout::{
        GateMode, Rollout, RolloutEvidence, RolloutLimits, RolloutOrder, RolloutPhase,
        RolloutProgress, RolloutSample, RolloutState, RolloutStatus, SequentialTest, UpstreamUse,
        VersionGate,
    },
    runner::{RunnerEntry, RunnerKey, RunnerVersion},
    runner_limits::{LimitReport, NamedLimit, RunnerLimits},
    runner_load::RunnerLoad,
    runner_notice::RunnerNotice,
    runner_paths::{RunnerPath, RunnerPaths},
    scheduler::{Decision, DispatchFailure, RunnerState, UpstreamScheduler},
    sessions::{HostSessions, OpenOutcome},
    share::{Share, ShareBasis},
    stop_schedule::{StopPhase, StopSchedule},
    stream::{StreamBinding, StreamId, StreamRecord},
    stream_retention::{StreamRetention, stream_retention},
    stream_versions::StreamVersions,
    suspect::{InvalidSuspect, Suspect},
    suspect_list::SuspectList,
    version_history::{GoneVersion, VersionHistory},
};
