//! Exponentially weighted moving averages.

/// An exponentially weighted moving average, with equal weights for the first
/// five samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Ewma {
    mean: f64,
    samples: u32,
}

/// Weight of a new sample after the first five.
const WEIGHT: f64 = 0.2;

impl Ewma {
    pub(super) fn observe(&mut self, value: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean += weight * (value - self.mean);
    }

    /// Returns the average, or None before the first sample.
    pub(super) fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean)
    }
}
