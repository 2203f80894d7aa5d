//! Expected lengths of responses.
//!
//! Built for classes whose responses differ by a factor of 100 in length. The mean of the
//! class says little of one request; its caller's hint says more, but is often far off. Both
//! are combined by how far off each has been lately.

use std::collections::BTreeMap;

use crate::{ids::ClassName, request::RequestRecord};

use super::ewma::Ewma;

/// Generated tokens assumed before the first response of a class.
const DEFAULT_TOKENS: f64 = 100.0;

/// Maximum number of classes whose response lengths are learned.
const MAX_CLASSES: usize = 1_024;

/// Variances of logarithms assumed before the first responses: a class spreads by a factor
/// of e, a hint is off by a factor of two.
const PRIOR_CLASS_VARIANCE: f64 = 1.0;
const PRIOR_HINT_VARIANCE: f64 = 0.5;

/// Number of responses as which an assumed variance counts.
const PRIOR_RESPONSES: f64 = 5.0;

/// Weight of a new response in means and variances, once there are many.
const MIN_WEIGHT: f64 = 0.05;

/// Mean and variance of logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct LogMoments {
    mean: f64,
    variance: f64,
    samples: f64,
}

impl LogMoments {
    fn observe(&mut self, value: f64) {
        self.samples += 1.0;
        let weight = MIN_WEIGHT.max(1.0 / self.samples);
        let delta = value - self.mean;
        self.mean += weight * delta;
        self.variance = (1.0 - weight) * (self.variance + weight * delta * delta);
    }

    fn variance(&self, prior: f64) -> f64 {
        let total = self.variance * self.samples + prior * PRIOR_RESPONSES;
        total / (self.samples + PRIOR_RESPONSES)
    }
}

/// Lengths of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassLengths {
    tokens: Ewma,
    log_tokens: LogMoments,
    /// Of the length divided by the hint.
    log_error: LogMoments,
}

/// Learned lengths of responses, by class.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseLengths {
    classes: BTreeMap<ClassName, ClassLengths>,
}

impl ResponseLengths {
    /// Records the length of a response.
    pub(super) fn observe(&mut self, record: &RequestRecord, tokens: u32) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&record.class) {
            return;
        }
        let lengths = self.classes.entry(record.class.clone()).or_default();
        let tokens = f64::from(tokens);
        lengths.tokens.observe(tokens);
        let log_tokens = tokens.max(1.0).ln();
        lengths.log_tokens.observe(log_tokens);
        if let Some(hint) = record.length_hint {
            lengths.log_error.observe(log_tokens - f64::from(hint.max(1)).ln());
        }
    }

    /// Returns the expected number of generated tokens of a request.
    pub(super) fn expected(&self, record: &RequestRecord) -> f64 {
        let max = record.max_decode_tokens.map_or(f64::INFINITY, f64::from).max(1.0);
        let lengths = self.classes.get(&record.class).copied().unwrap_or_default();
        let of_class = lengths.tokens.get().unwrap_or(DEFAULT_TOKENS);
        let Some(hint) = record.length_hint else { return of_class.min(max) };
        let by_hint = f64::from(hint.max(1)).ln() + lengths.log_error.mean;
        let hint_variance = lengths.log_error.variance(PRIOR_HINT_VARIANCE);
        if lengths.tokens.get().is_none() {
            return by_hint.exp().min(max);
        }
        let class_variance = lengths.log_tokens.variance(PRIOR_CLASS_VARIANCE);
        let sum = (hint_variance + class_variance).max(f64::MIN_POSITIVE);
        let weight = class_variance / sum;
        let mean = weight * by_hint + (1.0 - weight) * lengths.log_tokens.mean;
        let variance = hint_variance * class_variance / sum;
        (mean + variance / 2.0).exp().min(max)
    }
}
