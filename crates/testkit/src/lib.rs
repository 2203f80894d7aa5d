//! Stand-ins for the services that the scheduler talks to, and a fault proxy.
//!
//! Each stand-in runs on its own thread, listens on a loopback address with a
//! port chosen by the kernel, and stops on drop. Services, engines and runners
//! log the requests that they ran, so that a test counts runs there and not in
//! the daemon.
//!
//! - [`engine`]: a model engine with batching, a prefix cache, resume and cancel.
//! - [`service`]: a plain service that echoes its requests.
//! - [`store`]: the platform's store with outages, delays, lost replies and rate
//!   limits.
//! - [`fleet_runner`]: a runner of a fleet.
//! - [`raw_runner`]: a runner that writes its responses byte by byte.
//! - [`repeating_runner`]: a runner that sends a second copy of a response.
//! - [`runner_process`]: a runner that is a process of its own.
//! - [`scripted_runner`]: a runner whose bytes a test writes itself.
//! - [`daemon`]: daemon processes.
//! - [`proxy`]: a TCP proxy that injects faults on one link.
//! - [`load`] and [`measure`]: a load generator, and measurement of its cost.
//! - [`experiment`]: simulations of the scheduler against baselines in virtual
//!   time.
//! - [`capacity`]: the measurements for `docs/CAPACITY.md`.

pub mod capacity;
mod cut;
pub mod daemon;
pub mod early_runner;
pub mod engine;
pub mod experiment;
pub mod fleet_runner;
pub mod gate;
pub mod leaving;
pub mod load;
pub mod measure;
pub mod proxy;
pub mod raw_runner;
pub mod repeating_runner;
pub mod run_log;
pub mod runner_process;
pub mod scripted_runner;
pub mod server;
pub mod service;
pub mod store;

pub use self::{
    gate::Gate,
    leaving::Leaving,
    run_log::{Run, RunLog},
    server::{ANY_PORT, LocalServer},
};
