//! What a runner says of its load in a response.

use serde::{Deserialize, Serialize};

/// Load of a runner at the moment of a response.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunnerLoad {
    /// Requests that it runs.
    #[serde(rename = "r")]
    pub running: u32,
    /// Requests that wait in it.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Requests that it can run at once.
    #[serde(rename = "s")]
    pub slots: u32,
    /// How long work takes there now, relative to the usual time: runners may share their
    /// machines with others.
    #[serde(rename = "x")]
    pub slowdown: f64,
}

/// Slowdowns nearer to 1 than this are as good as none.
const MIN_CHANGE: f64 = 0.1;

impl RunnerLoad {
    /// Returns true if work takes longer or shorter than usual.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::fleet::RunnerLoad;
    ///
    /// let load = RunnerLoad { running: 3, waiting: 0, slots: 8, slowdown: 2.5 };
    /// assert!(load.is_unusual());
    /// assert!(!RunnerLoad { slowdown: 1.0, ..load }.is_unusual());
    /// ```
    #[must_use]
    pub fn is_unusual(self) -> bool {
        (self.slowdown - 1.0).abs() > MIN_CHANGE
    }
}
