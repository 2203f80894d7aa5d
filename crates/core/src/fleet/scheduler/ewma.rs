//! Running means.

/// A mean in which recent observations weigh more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Ewma {
    mean: f64,
    samples: u32,
}

/// Weight of an observation once many were made.
const WEIGHT: f64 = 0.2;

impl Ewma {
    pub(super) fn observe(&mut self, value: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean += weight * (value - self.mean);
    }

    /// The mean, if anything was observed.
    pub(super) fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean)
    }
}
