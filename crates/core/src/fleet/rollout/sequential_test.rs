//! Sequential test of whether bad responses have become more frequent.

/// Cumulative sum of log-likelihood ratios of a higher rate of bad responses against the
/// usual one. It does not fall below zero, so that a version which turns bad later is found
/// as soon as one that is bad from the beginning.
///
/// # Errors of the test
///
/// With the usual rate, the sum exceeds its threshold about once in e^[`THRESHOLD`] =
/// 10^6 responses. With the higher rate it takes about `THRESHOLD` divided by the mean
/// ratio: 8 responses if all are bad, 16 if two of five are and one of a hundred usually is.
///
/// # Examples
///
/// ```
/// use comfreyway_core::fleet::SequentialTest;
///
/// let mut test = SequentialTest::default();
/// for number in 0..10_000 {
///     test.observe(number % 50 == 0, 0.02, 0.1);
/// }
/// assert!(!test.exceeded());
/// (0..8).for_each(|_| test.observe(true, 0.02, 0.1));
/// assert!(test.exceeded());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SequentialTest {
    sum: f64,
    exceeded: bool,
}

/// Natural logarithm of the responses of a good version between two false alarms.
const THRESHOLD: f64 = 13.8;

/// Bounds of the rates, so that no single response decides.
const MIN_RATE: f64 = 0.01;
const MAX_RATE: f64 = 0.95;

impl SequentialTest {
    /// Adds a response. `usual` is the usual rate of bad ones, `increase` the least
    /// increase that matters.
    pub fn observe(&mut self, is_bad: bool, usual: f64, increase: f64) {
        let usual = usual.clamp(MIN_RATE, MAX_RATE - MIN_RATE);
        let higher = (usual + increase.max(usual)).min(MAX_RATE);
        let ratio = match is_bad {
            true => higher / usual,
            false => (1.0 - higher) / (1.0 - usual),
        };
        self.sum = (self.sum + ratio.ln()).max(0.0);
        self.exceeded |= self.sum >= THRESHOLD;
    }

    /// Returns true if the rate of bad responses was found to be higher than usual.
    #[must_use]
    pub fn exceeded(&self) -> bool {
        self.exceeded
    }

    /// Returns the fraction of the threshold that the present sum reaches.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        self.sum / THRESHOLD
    }
}
