//! Load on a daemon or straight on a stand-in.

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
