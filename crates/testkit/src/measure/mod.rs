//! CPU time and memory of processes, metrics pages, fits and tables.

mod fit;
mod metrics_page;
mod process;
mod table;

pub use self::{
    fit::Fit,
    metrics_page::MetricsPage,
    process::{CpuUsage, ProcessSample},
    table::Table,
};
