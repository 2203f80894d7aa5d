//! The state of a scheduler in the log.

use super::{RunnerState, UpstreamScheduler};

/// Maximum number of runners in one log line. Thousands would log 100 KB a
/// second.
const MAX_LOGGED: usize = 32;

impl std::fmt::Display for UpstreamScheduler {
    /// Writes one line for the log: the number of waiting requests, and each runner
    /// with its load and rates; of many runners only those that fail or are leaving.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let busy: usize = self.runners.iter().map(|(_, runner)| runner.in_progress()).sum();
        write!(f, "{} wait, {busy} in progress;", self.queue.len())?;
        for workspace in self.shares.over_share().into_iter().take(MAX_LOGGED) {
            write!(f, " {workspace} over its share;")?;
        }
        let all = self.runners.iter().count();
        let few = all <= MAX_LOGGED;
        if !few {
            write!(f, " {all} runners, those with failures, limited or leaving:")?;
        }
        let is_logged = |runner: &RunnerState| {
            let is_limited = runner.rate_limit_per_s().is_some();
            few || is_limited || runner.failures > 0 || runner.leaving
        };
        for (name, runner) in self.runners.iter().filter(|(_, r)| is_logged(r)).take(MAX_LOGGED) {
            let (load, slots) = (runner.in_progress(), runner.slots);
            let (prefill, decode) = (runner.prefill_us(), runner.decode_us());
            write!(f, " {name} {load}/{slots} {prefill:.0}/{decode:.0} us")?;
            write!(f, " {} pending", runner.pending_prompt_tokens)?;
            if runner.failures > 0 {
                write!(f, " {} failures", runner.failures)?;
            }
            if let Some(per_s) = runner.rate_limit_per_s() {
                write!(f, " limit {per_s:.2}/s")?;
            }
            if runner.leaving {
                write!(f, " leaving")?;
            }
        }
        Ok(())
    }
}
