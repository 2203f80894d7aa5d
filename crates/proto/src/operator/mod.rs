//! Types of the operators' HTTP interface.
//!
//! The types in [`generated`] are generated from `schema/operator.json`;
//! CONTRIBUTING.md has the command. Elements of the configuration use the types
//! of the core crate, so that the interface, the store and the peers share one
//! representation.

#[allow(missing_docs, clippy::unwrap_used, reason = "generated")]
pub mod generated;

pub use self::generated::{
    ChangeOutcomeName, ChangeReport, ChangeRequest, ChangeState, ChangeStateName, ClassReport,
    ConfigExport, ConfigReport, HistoryReport, HostPhase, HostVersion, OperatorProblem, PoolReport,
    RequestReport, RequestStep, StatusReport,
};
