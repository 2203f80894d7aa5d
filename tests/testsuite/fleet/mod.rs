//! Serving a fleet through the platform's store, with real daemons.

mod beginnings;
mod broken_requests;
mod configuration;
mod crashing_fleet;
mod crashing_prompts;
mod crashing_requests;
mod endless_responses;
mod forwarding;
pub(crate) mod harness;
mod hosts;
mod malformed_input;
mod occupied_ports;
mod planned_stop;
mod rate_limits;
mod repeated_responses;
mod requests;
mod responses;
mod restart_soak;
mod rollback;
mod rollouts;
mod runner_notices;
mod runners;
mod slow_callers;
mod soak;
mod stray_responses;
mod truncated_responses;
mod versions;
