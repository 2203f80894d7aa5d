//! The share of the fleet's capacity that one coordinator may use.

/// The hosts from which a coordinator computes its shares.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareBasis {
    /// Hosts that use this coordinator, the local one included.
    pub clients: usize,
    /// Hosts that may be serving.
    pub known: usize,
    /// Known hosts that are probably down.
    pub absent: usize,
}

impl ShareBasis {
    /// Returns the share of the runners' slots. Slots of absent hosts are used: a slot
    /// that two hosts use delays requests, one that none uses is lost.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::fleet::{Share, ShareBasis};
    ///
    /// let basis = ShareBasis { clients: 6, known: 9, absent: 1 };
    /// assert_eq!(basis.slot_share(), Share::new(6, 8));
    /// assert_eq!(basis.budget_share(), Share::new(6, 9));
    /// ```
    #[must_use]
    pub fn slot_share(self) -> Share {
        Share::new(self.clients, self.known.saturating_sub(self.absent))
    }

    /// Returns the share of the retry budget, which must hold over all hosts.
    #[must_use]
    pub fn budget_share(self) -> Share {
        Share::new(self.clients, self.known)
    }
}

/// Client hosts of a coordinator, as a fraction of all hosts of the fleet.
///
/// Hosts that can't reach each other have different coordinators. The shares of
/// all coordinators add up to one, so together they stay within the capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    clients: u32,
    known: u32,
}

impl Share {
    /// Creates the share of `clients` hosts out of `known` ones.
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
    pub fn new(clients: usize, known: usize) -> Self {
        let clamp = |n: usize| u32::try_from(n.max(1)).unwrap_or(u32::MAX);
        Self { clients: clamp(clients), known: clamp(known) }
    }

    /// Returns this share of an amount.
    #[must_use]
    pub fn of(self, amount: f64) -> f64 {
        amount * (f64::from(self.clients) / f64::from(self.known)).min(1.0)
    }

    /// Returns this share of a runner's slots, at least one.
    #[must_use]
    pub fn of_slots(self, slots: u32) -> u32 {
        (self.of(f64::from(slots)).round() as u32).max(1)
    }
}
