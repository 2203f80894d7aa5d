//! The part of the fleet's room that one coordinator may use.

/// Hosts that ask a coordinator, out of all hosts of the fleet.
///
/// Hosts that can't reach each other have different coordinators. The shares
/// of all coordinators add up to the whole, so together they stay within it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    asking: u32,
    known: u32,
}

impl Share {
    /// The share of `asking` hosts out of `known` ones.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::fleet::Share;
    ///
    /// assert_eq!(Share::new(4, 8).of(10.0), 5.0);
    /// assert_eq!(Share::new(9, 8).of(10.0), 10.0);
    /// ```
    #[must_use]
    pub fn new(asking: usize, known: usize) -> Self {
        let clamp = |n: usize| u32::try_from(n.max(1)).unwrap_or(u32::MAX);
        Self { asking: clamp(asking), known: clamp(known) }
    }

    /// This share of an amount.
    #[must_use]
    pub fn of(self, amount: f64) -> f64 {
        amount * (f64::from(self.asking) / f64::from(self.known)).min(1.0)
    }

    /// This share of a runner's places, at least one.
    #[must_use]
    pub fn of_slots(self, slots: u32) -> u32 {
        (self.of(f64::from(slots)).round() as u32).max(1)
    }
}
