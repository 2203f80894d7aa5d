//! What became of the latest requests of this host, for operators.
//!
//! Each request leaves a short list of steps: when it was granted, dispatched,
//! sent back, answered or refused. The store is bounded in requests and steps,
//! holds no bodies and no headers, and forgets the oldest first.

mod record;
mod store;
mod tally;

pub use self::{
    record::{TraceEntry, TraceRecord, TraceStep},
    store::{Trace, TraceStore},
    tally::ClassTally,
};
