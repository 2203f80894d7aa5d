//! The configuration in force with its recent history, and the merge of changes
//! into it.

use std::collections::VecDeque;

use super::{
    AcceptedChange, Change, ChangeId, Conflict, Document, Edit, Finding, Refusal, Severity,
    change_index::ChangeIndex,
};

/// Maximum number of changes in the history.
pub const MAX_HISTORY_CHANGES: usize = 256;

/// Maximum size of all edits in the history, by [`Edit::size_bound`]. Older
/// changes are kept without their edits.
pub const MAX_HISTORY_BYTES: usize = 384 << 10;

/// The document in force and the recent changes that led to it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AcceptedConfig {
    document: Document,
    history: VecDeque<AcceptedChange>,
}

/// Result of applying a change to an accepted configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalOutcome {
    /// The change results in a new version, which is to be written.
    Next {
        /// The configuration with the change.
        next: Box<AcceptedConfig>,
        /// Findings that don't prevent acceptance.
        warnings: Vec<Finding>,
    },
    /// The same change was accepted before, as this version.
    Duplicate(u64),
    /// Every edit is already in force at this version; nothing is to be
    /// written.
    Unchanged(u64),
    /// The change can't be accepted.
    Refused(Refusal),
}

impl AcceptedConfig {
    /// Creates a configuration from parts read from the store or a peer. Drops
    /// a history that has gaps or does not end at the document's version.
    #[must_use]
    pub fn new(document: Document, history: VecDeque<AcceptedChange>) -> Self {
        let versions = history.iter().rev().map(|change| change.version);
        let expected = (1..=document.version).rev();
        let contiguous =
            history.len() as u64 <= document.version && versions.eq(expected.take(history.len()));
        let history = if contiguous { history } else { VecDeque::new() };
        Self { document, history }
    }

    /// Returns the document in force.
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the recent changes, oldest first, without gaps.
    #[must_use]
    pub fn history(&self) -> &VecDeque<AcceptedChange> {
        &self.history
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// Returns the accepted change with this identifier, if still in the
    /// history.
    #[must_use]
    pub fn find(&self, id: ChangeId) -> Option<&AcceptedChange> {
        self.history.iter().find(|change| change.id == id)
    }

    /// Returns the oldest base that a change may have. The history covers every
    /// later version.
    #[must_use]
    pub fn oldest_base(&self) -> u64 {
        self.version() - self.history.len() as u64
    }

    /// Returns the result of applying a change to this configuration. `now_ms`
    /// is recorded as [`AcceptedChange::at_ms`].
    #[must_use]
    pub fn propose(&self, change: &Change, now_ms: u64) -> ProposalOutcome {
        if let Some(earlier) = self.find(change.id) {
            return ProposalOutcome::Duplicate(earlier.version);
        }
        self.rebase(change, now_ms).unwrap_or_else(ProposalOutcome::Refused)
    }

    fn rebase(&self, change: &Change, now_ms: u64) -> Result<ProposalOutcome, Refusal> {
        change.check().map_err(|finding| Refusal::Invalid(vec![finding]))?;
        self.check_base(change.id.base())?;
        let index = ChangeIndex::after(&self.history, change.id.base());
        let conflicts: Vec<_> =
            change.edits.iter().filter_map(|edit| self.conflict(edit, &index)).collect();
        if !conflicts.is_empty() {
            return Err(Refusal::Conflict(conflicts));
        }
        let not_in_force = |edit: &&Edit| !self.is_in_force(edit, &index);
        let edits: Vec<_> = change.edits.iter().filter(not_in_force).cloned().collect();
        if edits.is_empty() {
            return Ok(ProposalOutcome::Unchanged(self.version()));
        }
        let mut document = self.document.clone();
        for edit in &edits {
            document.apply(edit).map_err(|finding| Refusal::Invalid(vec![finding]))?;
        }
        document.version += 1;
        let warnings = document.validate();
        if warnings.iter().any(|f| f.severity == Severity::Error) {
            return Err(Refusal::Invalid(warnings));
        }
        let entry = AcceptedChange {
            version: document.version,
            id: change.id,
            author: change.author.clone(),
            at_ms: now_ms,
            edits: Some(edits),
        };
        Ok(ProposalOutcome::Next { next: Box::new(self.with_entry(document, entry)), warnings })
    }

    fn check_base(&self, base: u64) -> Result<(), Refusal> {
        let (oldest, version) = (self.oldest_base(), self.version());
        if (oldest..=version).contains(&base) {
            return Ok(());
        }
        Err(Refusal::Base { base, oldest, version })
    }

    /// Returns true if the edit's result is already in force. For a removal,
    /// the element must have been removed since the base.
    fn is_in_force(&self, edit: &Edit, index: &ChangeIndex<'_>) -> bool {
        let present = self.document.element(&edit.key());
        match edit {
            Edit::Set(element) => present.as_ref() == Some(element),
            Edit::Remove(_) => present.is_none() && index.last_overlap(edit).is_some(),
        }
    }

    fn conflict(&self, edit: &Edit, index: &ChangeIndex<'_>) -> Option<Conflict> {
        let theirs = self.document.element(&edit.key());
        let other = index.last_overlap(edit)?;
        if theirs.as_ref() == edit.value() {
            return None;
        }
        Some(Conflict {
            key: edit.key(),
            yours: edit.value().cloned(),
            theirs,
            author: other.author.clone(),
            change: other.id,
            version: other.version,
        })
    }

    fn with_entry(&self, document: Document, entry: AcceptedChange) -> Self {
        let mut history = self.history.clone();
        history.push_back(entry);
        trim_history(&mut history);
        Self { document, history }
    }

    /// Applies accepted changes, without validation. Returns none if they are
    /// not the next versions in order, if the edits of one were not kept, or if
    /// one can't be applied.
    #[must_use]
    pub fn replay(&self, changes: &[AcceptedChange]) -> Option<Self> {
        let mut next = self.clone();
        for change in changes {
            if change.version != next.version() + 1 {
                return None;
            }
            for edit in change.edits.as_ref()? {
                next.document.apply(edit).ok()?;
            }
            next.document.version = change.version;
            next.history.push_back(change.clone());
        }
        trim_history(&mut next.history);
        Some(next)
    }

    /// Returns the changes after `version`, if the history has all of them with
    /// their edits.
    #[must_use]
    pub fn changes_since(&self, version: u64) -> Option<Vec<AcceptedChange>> {
        if version < self.oldest_base() {
            return None;
        }
        let later: Vec<_> = self.history.iter().filter(|c| c.version > version).cloned().collect();
        later.iter().all(|c| c.edits.is_some()).then_some(later)
    }
}

fn trim_history(history: &mut VecDeque<AcceptedChange>) {
    while history.len() > MAX_HISTORY_CHANGES {
        history.pop_front();
    }
    let mut bytes = 0;
    for change in history.iter_mut().rev() {
        let edits = change.edits.as_deref().unwrap_or_default();
        bytes += edits.iter().map(Edit::size_bound).sum::<usize>();
        if bytes > MAX_HISTORY_BYTES {
            change.edits = None;
        }
    }
}
