//! Distribution of durations, relative to what was expected.

/// Buckets for each doubling of the duration.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets: from 1/64 of the expected duration to 1024 times.
const BUCKETS: usize = 64;

/// Doublings below the expected duration that are told apart.
const MIN_DOUBLINGS: f64 = -6.0;

/// Weight that remains of older durations with each new one, so that the median follows
/// the load.
const DECAY: f64 = 0.99;

/// Histogram of relative durations, weighted by age.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Durations {
    buckets: [f64; BUCKETS],
    total: f64,
}

impl Default for Durations {
    fn default() -> Self {
        Self { buckets: [0.0; BUCKETS], total: 0.0 }
    }
}

impl Durations {
    pub(super) fn observe(&mut self, ratio: f64) {
        self.buckets.iter_mut().for_each(|weight| *weight *= DECAY);
        self.buckets[bucket(ratio)] += 1.0;
        self.total = self.total * DECAY + 1.0;
    }

    /// Returns the weight of all durations.
    pub(super) fn weight(&self) -> f64 {
        self.total
    }

    /// Returns the upper bound of the median's bucket.
    pub(super) fn median(&self) -> f64 {
        let mut below = 0.0;
        let median = self.buckets.iter().position(|weight| {
            below += weight;
            2.0 * below >= self.total
        });
        upper_bound(median.unwrap_or(BUCKETS - 1))
    }
}

fn bucket(ratio: f64) -> usize {
    let doublings = ratio.max(f64::MIN_POSITIVE).log2() - MIN_DOUBLINGS;
    ((doublings * BUCKETS_PER_DOUBLING).max(0.0) as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> f64 {
    ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING + MIN_DOUBLINGS).exp2()
}
