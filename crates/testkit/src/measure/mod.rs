//! Reading what a process costs, and fitting how the cost grows.

mod fit;
mod metrics_page;
mod process;
mod table;

pub use self::{
    fit::Fit,
    metrics_page::MetricsPage,
    process::{ProcessSample, ProcessUse},
    table::Table,
};
