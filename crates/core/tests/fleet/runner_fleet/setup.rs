//! What a play consists of, and what it counts.

use comfreyway_core::fleet::{PromptPart, Suspect};
use rand::{RngExt, rngs::StdRng};

use super::digest;

/// The runners of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Pool {
    /// Twelve engines, whose prompts share parts.
    Engines,
    /// Three runners of a plain service, whose callers repeat their requests.
    Service,
}

impl Pool {
    pub(super) fn size(self) -> usize {
        match self {
            Self::Engines => 12,
            Self::Service => 3,
        }
    }

    pub(super) fn slots(self) -> u32 {
        match self {
            Self::Engines => 5,
            Self::Service => 6,
        }
    }

    /// Time to the first token, and from there to the end of the response.
    pub(super) fn draw_times(self, rng: &mut StdRng) -> (u64, u64) {
        match self {
            Self::Engines => (rng.random_range(40..250), rng.random_range(300..3_000)),
            Self::Service => (rng.random_range(30..100), 0),
        }
    }

    /// Time from the first token to the crash, or from the arrival at a plain service.
    pub(super) fn crash_ms(self) -> u64 {
        match self {
            Self::Engines => 60,
            Self::Service => 0,
        }
    }
}

/// What crashes runners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Crashing {
    /// A part of prompts, at this position.
    Part(u64, usize),
    /// A request, which its callers repeat.
    Request(u64),
}

impl Crashing {
    pub(crate) fn suspect(self) -> Suspect {
        match self {
            Self::Part(part, _) => Suspect::Part(PromptPart(part)),
            Self::Request(body) => Suspect::Request(digest(body)),
        }
    }

    /// Crashes of which the users know, before they count what still reaches runners.
    pub(super) fn known_crashes(self) -> usize {
        match self {
            Self::Part(..) => 5,
            Self::Request(_) => 3,
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Faults {
    None,
    /// Runners crash, one or several at a time, and connections break.
    Runners,
    /// Also hosts and coordinators are killed.
    Hosts,
    /// Hosts and coordinators are killed, and hosts are cut off from the others.
    Cuts,
    /// Hosts are cut off from all runners: their connections are reset and new ones
    /// refused, or all hang.
    RunnerCuts,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) crashes: usize,
    /// Crashing suspects that are quarantined.
    pub(crate) found: usize,
    /// Sound requests since crashing ones began, and those that were answered.
    pub(crate) sound: usize,
    pub(crate) sound_answered: usize,
    /// Sound requests at hosts that have been cut off from all runners for the contact
    /// time, and at the others meanwhile, with those of them that were answered.
    pub(crate) at_cut: usize,
    pub(crate) at_cut_answered: usize,
    pub(crate) at_others: usize,
    pub(crate) at_others_answered: usize,
    /// Sound requests later than twice the contact time after the known crashes, and
    /// those that began, or were answered by a plain service.
    pub(crate) sound_late: usize,
    pub(crate) sound_began_late: usize,
}

impl Counts {
    pub(crate) fn add(&mut self, other: Self) {
        self.crashes += other.crashes;
        self.found += other.found;
        self.sound += other.sound;
        self.sound_answered += other.sound_answered;
        self.at_cut += other.at_cut;
        self.at_cut_answered += other.at_cut_answered;
        self.at_others += other.at_others;
        self.at_others_answered += other.at_others_answered;
        self.sound_late += other.sound_late;
        self.sound_began_late += other.sound_began_late;
    }
}
