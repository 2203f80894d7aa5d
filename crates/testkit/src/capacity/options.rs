//! Command line of the measurement.

use std::{path::PathBuf, str::FromStr, time::Duration};

use bpaf::{OptionParser, Parser, construct, long};

/// One part of the measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// Throughput and added latency of one daemon.
    Data,
    /// Memory of one daemon by open streams.
    Memory,
    /// Cost of control by runners, workspaces, classes and load.
    Control,
    /// Cost of control by hosts, with calls to the key-value service.
    Hosts,
    /// Cost of coordinating a fleet by hosts, requests and runners.
    Coordination,
}

impl FromStr for Part {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "data" => Ok(Self::Data),
            "memory" => Ok(Self::Memory),
            "control" => Ok(Self::Control),
            "hosts" => Ok(Self::Hosts),
            "coordination" => Ok(Self::Coordination),
            _ => Err("expected data, memory, control, hosts or coordination".to_owned()),
        }
    }
}

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct CapacityOptions {
    /// Parts to run; all of them if empty.
    pub parts: Vec<Part>,
    /// Counted time of one run, in seconds.
    pub seconds: u64,
    /// File for the tables as CSV.
    pub csv: Option<PathBuf>,
}

impl CapacityOptions {
    pub(super) fn includes(&self, part: Part) -> bool {
        self.parts.is_empty() || self.parts.contains(&part)
    }

    pub(super) fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }
}

/// Parser of the command line.
#[must_use]
pub fn options() -> OptionParser<CapacityOptions> {
    let parts = long("part")
        .help("Run this part only: data, memory, control, hosts or coordination; may be repeated")
        .argument("PART")
        .many();
    let seconds =
        long("seconds").help("Counted time of each run (default: 5)").argument("N").fallback(5);
    let csv = long("csv").help("Write the tables to this file as CSV").argument("FILE").optional();
    construct!(CapacityOptions { parts, seconds, csv })
        .to_options()
        .descr("Measures what a comfreyway daemon costs and how that grows")
}
