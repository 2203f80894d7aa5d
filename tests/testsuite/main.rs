//! Integration tests with real processes, one module per feature.

#![allow(clippy::unwrap_used)]

mod callers;
mod config_change;
mod config_distribution;
mod config_fleet;
mod early_responses;
mod fleet;
mod hosts;
mod operator_workflow;
mod planned_stop;
mod platform_outage;
mod support;
mod upstream_leaving;
mod upstream_links;
