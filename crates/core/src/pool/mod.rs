//! The pool owner's decisions: which request runs next, where, and which is
//! refused.
//!
//! One [`Pool`] holds the waiting records of one pool and knows exactly what it
//! has granted. [`Pool::handle`] takes one typed input and the time, and appends
//! the resulting actions to the caller's buffer.

mod action;
mod input;
mod runner;
mod settings;
mod state;

pub use self::{
    action::PoolAction,
    input::{CacheEvent, LoadReport, PoolInput},
    runner::RunnerSpec,
    settings::PoolSettings,
    state::Pool,
};
