//! Which requests may go to which version while a rollout lasts.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    fleet::{RunnerVersion, Share},
    ids::ClassName,
};

use super::{RolloutLimits, RolloutProgress};

/// Fraction of the slack that the canary uses. The rest covers requests that are granted
/// while the verdict is on its way to other hosts.
const SLACK_FRACTION: f64 = 0.5;

/// Requests of a class that the canary may get at once, beyond its share of the class.
const CLASS_SLACK: f64 = 4.0;

/// Maximum number of classes that are counted.
const MAX_CLASSES: usize = 256;

/// What the gate lets through.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GateMode {
    /// The target version gets its permitted share of each class.
    Canary,
    /// The target version gets this fraction of the requests.
    Fraction(f64),
    /// New requests go to the target version only. Streams of other versions go on.
    TargetOnly,
    /// The other versions get nothing: their runners are stopped.
    Completed,
    /// The target version gets nothing.
    Blocked,
}

/// Requests granted since the order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Counts {
    granted: f64,
    exposed: f64,
}

/// Decides which version a request may go to, and counts what each gets.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionGate {
    target: RunnerVersion,
    former: BTreeSet<RunnerVersion>,
    limits: RolloutLimits,
    share: Share,
    mode: GateMode,
    total: Counts,
    classes: BTreeMap<ClassName, Counts>,
    /// Counts since the present mode began.
    in_mode: Counts,
}

impl VersionGate {
    /// Creates the gate of a rollout to `target`, with the counts of earlier coordinators.
    #[must_use]
    pub fn new(target: RunnerVersion, limits: RolloutLimits, progress: &RolloutProgress) -> Self {
        Self {
            target,
            former: progress.former.iter().cloned().collect(),
            limits,
            share: Share::new(1, 1),
            mode: GateMode::Canary,
            total: Counts { granted: progress.granted, exposed: progress.exposed },
            classes: BTreeMap::new(),
            in_mode: Counts::default(),
        }
    }

    /// Returns the target version.
    #[must_use]
    pub fn target(&self) -> &RunnerVersion {
        &self.target
    }

    /// Returns what the gate lets through.
    #[must_use]
    pub fn mode(&self) -> GateMode {
        self.mode
    }

    /// Sets what the gate lets through.
    pub fn set_mode(&mut self, mode: GateMode) {
        if self.mode != mode {
            self.mode = mode;
            self.in_mode = Counts::default();
        }
    }

    /// Sets the share of the slack that this coordinator may use.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Adds a version that serves beside the target.
    pub fn add_former(&mut self, version: &RunnerVersion) {
        if *version != self.target && !self.former.contains(version) {
            self.former.insert(version.clone());
        }
    }

    /// Returns what the next coordinator needs to know.
    #[must_use]
    pub fn progress(&self) -> RolloutProgress {
        let Counts { granted, exposed } = self.total;
        RolloutProgress { granted, exposed, former: self.former.iter().cloned().collect() }
    }

    /// Returns true if runners of this version get no requests at all.
    #[must_use]
    pub fn is_closed(&self, version: Option<&RunnerVersion>) -> bool {
        match self.mode {
            GateMode::Blocked => version == Some(&self.target),
            GateMode::Completed => version.is_some_and(|version| self.former.contains(version)),
            GateMode::Canary | GateMode::Fraction(_) | GateMode::TargetOnly => false,
        }
    }

    /// Returns true if a request of a class may go to a runner of this version. `is_bound`
    /// is true if no other version may run it.
    #[must_use]
    pub fn accepts(
        &self,
        class: &ClassName,
        version: Option<&RunnerVersion>,
        is_bound: bool,
    ) -> bool {
        if self.is_closed(version) {
            return false;
        }
        let is_target = version == Some(&self.target);
        match self.mode {
            _ if is_bound => true,
            GateMode::Canary => !is_target || self.may_expose(class),
            GateMode::Fraction(_) => !is_target || self.is_below_fraction(),
            GateMode::TargetOnly => is_target || !version.is_some_and(|v| self.former.contains(v)),
            GateMode::Completed | GateMode::Blocked => true,
        }
    }

    /// Returns true if a request is better sent to the target version than to another.
    #[must_use]
    pub fn prefers(&self, class: &ClassName, version: Option<&RunnerVersion>) -> bool {
        version == Some(&self.target) && self.accepts(class, version, false)
    }

    /// Returns true if requests of some classes may go to runners that others may not.
    #[must_use]
    pub fn tells_classes_apart(&self) -> bool {
        matches!(self.mode, GateMode::Canary | GateMode::Fraction(_))
    }

    /// Counts a grant.
    pub fn granted(&mut self, class: &ClassName, version: Option<&RunnerVersion>) {
        self.count(class, version, 1.0);
    }

    /// Takes back the count of a grant that reached no runner.
    pub fn not_run(&mut self, class: &ClassName, version: Option<&RunnerVersion>) {
        self.count(class, version, -1.0);
    }

    fn count(&mut self, class: &ClassName, version: Option<&RunnerVersion>, requests: f64) {
        let exposed = if version == Some(&self.target) { requests } else { 0.0 };
        let is_known = self.classes.len() < MAX_CLASSES || self.classes.contains_key(class);
        let of_class = is_known.then(|| self.classes.entry(class.clone()).or_default());
        for counts in [&mut self.total, &mut self.in_mode].into_iter().chain(of_class) {
            counts.granted = (counts.granted + requests).max(0.0);
            counts.exposed = (counts.exposed + exposed).max(0.0);
        }
    }

    fn may_expose(&self, class: &ClassName) -> bool {
        let RolloutLimits { exposure_share, exposure_slack } = self.limits;
        let slack = self.share.of(exposure_slack) * SLACK_FRACTION;
        let of_class = self.classes.get(class).copied().unwrap_or_default();
        let within = |counts: Counts, slack: f64| {
            counts.exposed + 1.0 <= exposure_share * counts.granted + slack
        };
        within(self.total, slack) && within(of_class, CLASS_SLACK.min(slack))
    }

    fn is_below_fraction(&self) -> bool {
        let GateMode::Fraction(fraction) = self.mode else { return true };
        self.in_mode.exposed <= fraction * self.in_mode.granted
    }
}
