//! Size limits, which keep the document small enough for the key-value service
//! and for one frame between peers.

use crate::config::{Document, Finding, edit::MAX_ELEMENT_BYTES};

/// Maximum length of a workspace's note, in bytes.
pub const MAX_NOTE_BYTES: usize = 1_024;

/// Maximum length of a route's path prefix, in bytes.
pub const MAX_ROUTE_PREFIX_BYTES: usize = 512;

/// Maximum JSON size of a document, in bytes. Leaves room for the history in a
/// frame between peers.
const MAX_DOCUMENT_BYTES: usize = 2 << 20;

pub(super) fn check(document: &Document, findings: &mut Vec<Finding>) {
    for (name, workspace) in &document.workspaces {
        if workspace.note.len() > MAX_NOTE_BYTES {
            let text = too_long("note", workspace.note.len(), MAX_NOTE_BYTES);
            findings.push(Finding::error(format!("workspace {name}: note"), text));
        }
        if workspace.note.chars().any(char::is_control) || workspace.note.trim() != workspace.note {
            let text = "the note must be one line without leading or trailing space";
            findings.push(Finding::error(format!("workspace {name}: note"), text));
        }
    }
    for prefix in document.routes.keys().filter(|p| p.len() > MAX_ROUTE_PREFIX_BYTES) {
        let place = format!("route {}…", prefix.chars().take(32).collect::<String>());
        let text = too_long("path prefix", prefix.len(), MAX_ROUTE_PREFIX_BYTES);
        findings.push(Finding::error(place, text));
    }
    let bytes = size_bound(document);
    if bytes > MAX_DOCUMENT_BYTES {
        let text = format!(
            "takes up to {bytes} bytes, over the limit of {MAX_DOCUMENT_BYTES}; \
             remove elements or shorten notes"
        );
        findings.push(Finding::error("configuration", text));
    }
}

fn too_long(what: &str, len: usize, limit: usize) -> String {
    format!("the {what} has {len} bytes, over the limit of {limit}; shorten it")
}

/// Returns an upper bound of the document's JSON size, without encoding it.
fn size_bound(document: &Document) -> usize {
    let runners: usize = document.upstreams.values().map(|u| u.runners.len()).sum();
    let elements = document.classes.len()
        + document.data_centres.len()
        + document.models.len()
        + document.routes.len()
        + document.upstreams.len()
        + document.workspaces.len()
        + runners;
    let notes: usize = document.workspaces.values().map(|w| w.note.len()).sum();
    let prefixes: usize = document.routes.keys().map(String::len).sum();
    elements * MAX_ELEMENT_BYTES + notes + prefixes
}
