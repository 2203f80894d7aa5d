//! Scheduling for a fleet: coordinators, their clients, quotas and runners.

#![allow(clippy::unwrap_used)]

mod beginnings;
mod caller_memory;
mod client;
mod coordinator;
mod coordinator_search;
mod crash_evidence;
mod cut_off_hosts;
mod directory;
mod floors;
mod hosts;
mod long_prompts;
mod model;
mod quarantine;
mod quota_changes;
mod quotas;
mod rate_limits;
mod releases;
mod request_digest;
mod retry_budget;
mod returns;
mod rollouts;
mod runner_fleet;
mod runner_paths;
mod scheduler;
mod shares;
mod stop_schedule;
mod streams;
mod support;
mod uneven_runners;
