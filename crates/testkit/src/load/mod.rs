//! HTTP load generator for a daemon or, directly, an upstream.

mod generator;
mod request;
mod result;
mod spec;

pub use self::{
    generator::run,
    request::RequestTemplate,
    result::LoadResult,
    spec::{LoadSpec, Pace},
};
