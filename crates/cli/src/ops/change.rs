//! Sends the difference between two documents as a change.

use comfreyway_core::{
    config::{Change, ChangeId, Document},
    ids::OperatorName,
};
use comfreyway_proto::operator::{ChangeOutcomeName, ChangeReport, ChangeStateName};

use crate::CliError;

use super::Client;

/// Settings of a change.
#[derive(Clone, Debug)]
pub struct ChangeSettings {
    /// Author of the change.
    pub author: OperatorName,
    /// Identifier of an earlier attempt; `None` for a new change.
    pub id: Option<ChangeId>,
    /// True to check the change without applying it.
    pub dry_run: bool,
}

/// Sends the edits that turn `current` into `wanted`. Returns `None` if there
/// are none and no earlier attempt was accepted.
///
/// # Errors
///
/// Fails if the daemon can't be reached or its response is lost.
pub async fn submit_document(
    client: &Client,
    settings: &ChangeSettings,
    current: &Document,
    wanted: &Document,
) -> Result<Option<ChangeReport>, CliError> {
    let edits = current.diff(wanted);
    if edits.is_empty() {
        return match settings.id {
            Some(id) => earlier_attempt(client, id).await,
            None => Ok(None),
        };
    }
    let id = settings.id.unwrap_or_else(|| ChangeId::new(current.version, rand::random()));
    let change = Change { id, author: settings.author.clone(), edits };
    client.change(change, settings.dry_run).await.map(Some)
}

/// Returns the report of an earlier attempt, if it was accepted.
async fn earlier_attempt(client: &Client, id: ChangeId) -> Result<Option<ChangeReport>, CliError> {
    let state = client.change_state(&id.to_string()).await?;
    if state.state != ChangeStateName::Accepted {
        return Ok(None);
    }
    Ok(Some(ChangeReport {
        id: state.id,
        outcome: ChangeOutcomeName::Accepted,
        version: state.change.map(|change| change.version),
        text: state.text,
        findings: Vec::new(),
        conflicts: Vec::new(),
    }))
}
