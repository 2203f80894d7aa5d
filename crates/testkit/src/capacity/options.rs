//! Command line of the measurement.

use std::{path::PathBuf, str::FromStr, time::Duration};

use bpaf::{OptionParser, Parser, construct, long};

/// One part of the measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// Throughput and added latency of one daemon.
    Data,
    /// Memory of one daemon by number of open streams.
    Memory,
    /// CPU time of control and memory by runners, workspaces, classes and load.
    Control,
    /// CPU time of control by hosts, with calls to the key-value service.
    Hosts,
    /// CPU time of a fleet's coordinator by hosts, requests and runners.
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
    /// Measured time of one run, in seconds.
    pub seconds: u64,
    /// CSV file to write the tables to.
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

/// Returns the parser of the command line.
#[must_use]
pub fn options() -> OptionParser<CapacityOptions> {
    let parts = long("part")
        .help("Run this part only: data, memory, control, hosts or coordination; may be repeated")
        .argument("PART")
        .many();
    let seconds =
        long("seconds").help("Measured seconds of each run (default: 5)").argument("N").fallback(5);
    let csv = long("csv").help("Write the tables to this file as CSV").argument("FILE").optional();
    construct!(CapacityOptions { parts, seconds, csv })
        .to_options()
        .descr("Measures the resource use of a comfreyway daemon and how it scales")
}
