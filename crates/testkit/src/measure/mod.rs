//! CPU time, memory and descriptors of processes, metrics pages, fits and tables.

mod fit;
mod footprint;
mod metrics_page;
mod process;
mod table;

pub use self::{
    fit::Fit,
    footprint::{FootprintSampler, PeakFootprint, in_transit_bytes},
    metrics_page::MetricsPage,
    process::{CpuUsage, ProcessSample},
    table::Table,
};
