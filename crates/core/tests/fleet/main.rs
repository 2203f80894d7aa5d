//! Decisions for a fleet: ranking, quotas, runners, and whom a host asks.

#![allow(clippy::unwrap_used)]

mod coordinator;
mod desk;
mod directory;
mod model;
mod quota_changes;
mod quotas;
mod ranking;
mod support;
