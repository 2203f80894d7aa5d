//! Traces of the most recent requests of this host, for operators.
//!
//! The trace of a request is a short list of steps: granted, dispatched,
//! requeued, answered or refused, with the time of each. The store limits the
//! number of requests and steps, contains no bodies and no headers, and evicts
//! the oldest requests first.

mod record;
mod store;
mod tally;

pub use self::{
    record::{TraceEntry, TraceRecord, TraceStep},
    store::{Trace, TraceStore},
    tally::ClassTally,
};
