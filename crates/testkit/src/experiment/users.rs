//! Workloads of the two users.

use std::time::Duration;

use comfreyway_core::request::Target;

use super::workload::{ClassShape, Workload};

const fn stream(first_ms: u64, between_ms: u64) -> Target {
    Target::Stream {
        first_token: Duration::from_millis(first_ms),
        between_tokens: Duration::from_millis(between_ms),
    }
}

/// Exit interviews: summaries for a waiting interviewer, single answers, tagged
/// reasons, and themed reports over a quarter's transcripts.
pub const AYAQ: Workload = Workload {
    name: "ayaq",
    data_centres: ["alatau", "medeu", "bostandyk"],
    classes: &[
        ClassShape {
            name: "summary",
            tier: 0,
            target: stream(1_300, 76),
            prefill: (1_500, 5_000),
            decode: (150, 350),
            work_share: 0.3,
            reread: 0.5,
        },
        ClassShape {
            name: "single-answer",
            tier: 1,
            target: stream(2_000, 100),
            prefill: (300, 500),
            decode: (20, 60),
            work_share: 0.1,
            reread: 0.0,
        },
        ClassShape {
            name: "tagged-reasons",
            tier: 1,
            target: Target::Whole(Duration::from_secs(12)),
            prefill: (1_000, 3_000),
            decode: (40, 100),
            work_share: 0.15,
            reread: 0.3,
        },
        ClassShape {
            name: "themed-report",
            tier: 2,
            target: stream(30_000, 150),
            prefill: (20_000, 50_000),
            decode: (500, 1_000),
            work_share: 0.45,
            reread: 0.5,
        },
    ],
    tier_weights: [4.0, 2.0, 1.0],
};

/// Rack desk: quotes while a customer is on the phone, lookups, fault triage,
/// and findings from a tenant's whole lease history.
pub const DERWENT: Workload = Workload {
    name: "derwent",
    data_centres: ["derwent-a", "derwent-b", "glenorchy"],
    classes: &[
        ClassShape {
            name: "quote",
            tier: 0,
            target: stream(1_300, 76),
            prefill: (800, 2_000),
            decode: (100, 200),
            work_share: 0.25,
            reread: 0.2,
        },
        ClassShape {
            name: "lookup",
            tier: 1,
            target: Target::Whole(Duration::from_secs(3)),
            prefill: (150, 300),
            decode: (10, 30),
            work_share: 0.1,
            reread: 0.0,
        },
        ClassShape {
            name: "triage",
            tier: 1,
            target: Target::Whole(Duration::from_secs(12)),
            prefill: (800, 2_500),
            decode: (60, 120),
            work_share: 0.2,
            reread: 0.0,
        },
        ClassShape {
            name: "lease-history",
            tier: 2,
            target: stream(25_000, 150),
            prefill: (15_000, 40_000),
            decode: (400, 800),
            work_share: 0.45,
            reread: 0.3,
        },
    ],
    tier_weights: [1.0, 1.0, 1.0],
};
