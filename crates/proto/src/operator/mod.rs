//! Border types of the operators' interface.
//!
//! The types in [`generated`] come from `schema/operator.json`; CONTRIBUTING.md
//! tells how to generate them again. Elements of the configuration keep their
//! own types, so that the interface, the store and the peers have one form of
//! them.

#[allow(missing_docs, clippy::unwrap_used, reason = "generated")]
pub mod generated;

pub use self::generated::{
    ChangeOutcomeName, ChangeReport, ChangeRequest, ChangeState, ChangeStateName, ClassReport,
    ConfigExport, ConfigReport, HistoryReport, HostPhase, HostVersion, OperatorProblem, PoolReport,
    RequestReport, RequestStep, StatusReport,
};
