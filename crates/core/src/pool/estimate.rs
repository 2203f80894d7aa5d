//! Expected response lengths, learned per class and workspace.

use std::collections::BTreeMap;

use crate::{
    ids::{ClassName, WorkspaceName},
    request::RequestRecord,
};

/// Work of one generated token, in prefill-token equivalents.
pub(super) const WORK_PER_DECODE_TOKEN: u64 = 12;

/// Margin for longer responses, in mean absolute errors.
const MARGIN_ERRORS: f64 = 2.0;

/// Response length assumed before the first observation.
const DEFAULT_DECODE_TOKENS: f64 = 128.0;

/// Weight of a new observation.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Maximum number of class and workspace pairs with their own estimate.
const MAX_PAIRS: usize = 16_384;

/// Maximum number of classes with their own estimate.
const MAX_CLASSES: usize = 1_024;

/// An exponentially weighted mean with its mean absolute error.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Mean of the observations; recent ones have more weight.
    pub mean: f64,
    /// Mean absolute difference between estimate and observation.
    pub error: f64,
    /// Number of observations.
    pub samples: u64,
}

impl Estimate {
    pub(super) fn observe(&mut self, value: f64) {
        self.samples += 1;
        if self.samples == 1 {
            self.mean = value;
            return;
        }
        self.error += SAMPLE_WEIGHT * ((value - self.mean).abs() - self.error);
        self.mean += SAMPLE_WEIGHT * (value - self.mean);
    }
}

/// Learned response lengths.
#[derive(Debug, Default)]
pub(super) struct DecodeEstimates {
    by_class_and_workspace: BTreeMap<(ClassName, WorkspaceName), Estimate>,
    by_class: BTreeMap<ClassName, Estimate>,
    overall: Estimate,
}

impl DecodeEstimates {
    /// Returns the expected number of generated tokens and a margin for longer
    /// responses. Their sum never exceeds the caller's limit.
    pub(super) fn predict(&self, record: &RequestRecord) -> (u32, u32) {
        if record.prefill_tokens == 0 {
            return (0, 0);
        }
        let pair = (record.class.clone(), record.workspace.clone());
        let estimate =
            self.by_class_and_workspace.get(&pair).or_else(|| self.by_class.get(&record.class));
        let mean = estimate.map_or(DEFAULT_DECODE_TOKENS, |e| e.mean);
        let margin = estimate.map_or(0.0, |e| e.error * MARGIN_ERRORS);
        let max = record.max_decode_tokens.unwrap_or(u32::MAX);
        let expected = (mean.ceil() as u32).min(max);
        (expected, (margin.ceil() as u32).min(max - expected))
    }

    pub(super) fn observe(&mut self, record: &RequestRecord, decode_tokens: u32) {
        let value = f64::from(decode_tokens);
        self.overall.observe(value);
        observe_bounded(&mut self.by_class, record.class.clone(), value, MAX_CLASSES);
        let pair = (record.class.clone(), record.workspace.clone());
        observe_bounded(&mut self.by_class_and_workspace, pair, value, MAX_PAIRS);
    }

    pub(super) fn classes(&self) -> &BTreeMap<ClassName, Estimate> {
        &self.by_class
    }
}

fn observe_bounded<K>(map: &mut BTreeMap<K, Estimate>, key: K, value: f64, max: usize)
where
    K: Ord,
{
    if let Some(estimate) = map.get_mut(&key) {
        estimate.observe(value);
    } else if map.len() < max {
        let mut estimate = Estimate::default();
        estimate.observe(value);
        map.insert(key, estimate);
    }
}
