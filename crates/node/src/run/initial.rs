//! Initial configuration of an embedded platform.

use std::path::Path;

use comfreyway_core::{
    config::{Change, ChangeId, ChangeOutcome, Document, Edit, Severity},
    ids::OperatorName,
};

use crate::config::ConfigHandle;

use super::RunError;

/// Version of the empty configuration, which the initial change is based on.
const EMPTY_VERSION: u64 = 0;

/// Nonce in the id of the initial change.
const INITIAL_NONCE: u64 = 1;

/// Author of the initial change in the history.
const AUTHOR: &str = "initial-configuration";

/// Reads and validates the initial configuration file.
pub(crate) fn read_initial(file: &Path) -> Result<Vec<Edit>, RunError> {
    let invalid = |cause: String| RunError::InitialConfiguration(file.to_owned(), cause);
    let text = std::fs::read_to_string(file).map_err(|e| invalid(e.to_string()))?;
    let document = comfreyway_proto::ini::read(&text).map_err(|e| invalid(e.to_string()))?;
    let findings = document.validate();
    if let Some(finding) = findings.iter().find(|f| f.severity == Severity::Error) {
        return Err(invalid(finding.to_string()));
    }
    Ok(Document::default().diff(&document))
}

/// Writes the initial configuration as the first change.
pub(crate) async fn write_initial(
    config: &ConfigHandle,
    file: &Path,
    edits: Vec<Edit>,
) -> Result<(), RunError> {
    let author = OperatorName::new(AUTHOR)
        .map_err(|e| RunError::InitialConfiguration(file.to_owned(), e.to_string()))?;
    let id = ChangeId::new(EMPTY_VERSION, INITIAL_NONCE);
    match config.change(Change { id, author, edits }).await {
        ChangeOutcome::Accepted { .. } => Ok(()),
        ChangeOutcome::Refused(refusal) => {
            Err(RunError::InitialConfiguration(file.to_owned(), format!("refused: {refusal:?}")))
        }
        ChangeOutcome::Unknown { .. } => {
            let cause = "the embedded key-value service did not respond".to_owned();
            Err(RunError::InitialConfiguration(file.to_owned(), cause))
        }
    }
}
