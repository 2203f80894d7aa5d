//! Scheduling of the requests of one upstream.
//!
//! Built for three loads: bursts that need more slots than there are,
//! heterogeneous runners of which a third is several times slower, and prompt
//! lengths that differ by a factor of 100.
//!
//! - A runner never gets more requests than it has slots, so that no request
//!   waits in an engine's own queue, which has no tiers. One that names a rate limit
//!   gets them at that rate, and counts as the slots that this rate keeps in use.
//! - Requests are ordered by tier. Within a tier, requests that can still meet
//!   their target come first, then the late ones; both are ordered by latest
//!   start.
//! - A request goes to the runner with the least expected time to its first
//!   token. It waits instead if it would be late there and another runner could
//!   still meet its target, or if its prompt would pause other streams for longer
//!   than its own target between tokens allows.
//! - A runner that holds the beginning of a prompt has less to prefill; a request even
//!   waits for its slot if that saves more time than it takes.
//! - A request that can't be started in time is refused at once.
//! - Within a tier, workspaces get fair shares of full runners: requests beyond a
//!   workspace's share come after the others, and are refused first.
//! - A class that gets far fewer of its requests started than all classes do goes
//!   first, however low its tier.

mod ewma;
mod floor;
mod granting;
mod learning;
mod lengths;
mod placement;
mod prompt_index;
mod queue;
mod rate_limit;
mod reach;
mod returns;
mod rollout;
mod runner;
mod runner_index;
mod runners;
mod shares;
mod shedding;
mod state;
mod status;

pub use self::{
    runner::{DispatchFailure, RunnerState},
    state::{Decision, UpstreamScheduler},
};
