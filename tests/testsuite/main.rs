//! Integration tests with real processes, one module per feature.

#![allow(clippy::unwrap_used)]

mod support;
mod upstream_leaving;
mod upstream_links;
