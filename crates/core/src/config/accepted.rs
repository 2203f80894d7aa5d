//! The accepted configuration with its recent history, and the rule by which a
//! change is accepted on top of it.

use std::collections::VecDeque;

use super::{
    AcceptedChange, Change, ChangeId, Conflict, Document, Edit, Finding, Refusal, Severity,
    touched::Touched,
};

/// Most changes that the history keeps.
pub const MAX_HISTORY_CHANGES: usize = 256;

/// Most bytes of the edits over all changes of the history. Older changes keep
/// their author and identity only.
pub const MAX_HISTORY_BYTES: usize = 384 << 10;

/// The document in force and the changes that led to it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AcceptedConfig {
    document: Document,
    history: VecDeque<AcceptedChange>,
}

/// What becomes of a change on top of one accepted configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalOutcome {
    /// The change makes a new version, once it is written.
    Next {
        /// The configuration with the change.
        next: Box<AcceptedConfig>,
        /// Findings that don't stand in the way.
        warnings: Vec<Finding>,
    },
    /// The identity was accepted before, as this version.
    Duplicate(u64),
    /// Every edit is in force already at this version; nothing to write.
    Unchanged(u64),
    /// The change can't be accepted.
    Refused(Refusal),
}

impl AcceptedConfig {
    /// A configuration from its parts, as read from the store or a peer. A
    /// history that does not end at the document's version, or that has gaps,
    /// is dropped.
    #[must_use]
    pub fn new(document: Document, history: VecDeque<AcceptedChange>) -> Self {
        let versions = history.iter().rev().map(|change| change.version);
        let expected = (1..=document.version).rev();
        let whole =
            history.len() as u64 <= document.version && versions.eq(expected.take(history.len()));
        let history = if whole { history } else { VecDeque::new() };
        Self { document, history }
    }

    /// The document in force.
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The recent changes, oldest first, without gaps.
    #[must_use]
    pub fn history(&self) -> &VecDeque<AcceptedChange> {
        &self.history
    }

    /// The version in force.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// The accepted change with this identity, if the history still has it.
    #[must_use]
    pub fn find(&self, id: ChangeId) -> Option<&AcceptedChange> {
        self.history.iter().find(|change| change.id == id)
    }

    /// Oldest base that a change may have: every later version is in the
    /// history.
    #[must_use]
    pub fn oldest_base(&self) -> u64 {
        self.version() - self.history.len() as u64
    }

    /// Decides on a change. `now_ms` is for people only.
    #[must_use]
    pub fn propose(&self, change: &Change, now_ms: u64) -> ProposalOutcome {
        if let Some(known) = self.find(change.id) {
            return ProposalOutcome::Duplicate(known.version);
        }
        self.rebase(change, now_ms).unwrap_or_else(ProposalOutcome::Refused)
    }

    fn rebase(&self, change: &Change, now_ms: u64) -> Result<ProposalOutcome, Refusal> {
        change.check().map_err(|finding| Refusal::Invalid(vec![finding]))?;
        self.check_base(change.id.base())?;
        let touched = Touched::after(&self.history, change.id.base());
        let conflicts: Vec<_> =
            change.edits.iter().filter_map(|edit| self.conflict(edit, &touched)).collect();
        if !conflicts.is_empty() {
            return Err(Refusal::Conflict(conflicts));
        }
        let open = |edit: &&Edit| !self.holds(edit, &touched);
        let edits: Vec<_> = change.edits.iter().filter(open).cloned().collect();
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

    /// True if the edit's result is in force. A removal of an element that was
    /// there at the base counts if somebody else removed it since.
    fn holds(&self, edit: &Edit, touched: &Touched<'_>) -> bool {
        let present = self.document.element(&edit.key());
        match edit {
            Edit::Set(element) => present.as_ref() == Some(element),
            Edit::Remove(_) => present.is_none() && touched.last(edit).is_some(),
        }
    }

    fn conflict(&self, edit: &Edit, touched: &Touched<'_>) -> Option<Conflict> {
        let theirs = self.document.element(&edit.key());
        let first = touched.last(edit)?;
        if theirs.as_ref() == edit.value() {
            return None;
        }
        Some(Conflict {
            key: edit.key(),
            yours: edit.value().cloned(),
            theirs,
            author: first.author.clone(),
            change: first.id,
            version: first.version,
        })
    }

    fn with_entry(&self, document: Document, entry: AcceptedChange) -> Self {
        let mut history = self.history.clone();
        history.push_back(entry);
        trim(&mut history);
        Self { document, history }
    }

    /// Applies changes that are known to be accepted as the next versions.
    /// Returns none if they are not the next ones in order, or if the edits of
    /// one were not kept.
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
        trim(&mut next.history);
        Some(next)
    }

    /// The changes after `version`, if the history has all of them whole.
    #[must_use]
    pub fn changes_since(&self, version: u64) -> Option<Vec<AcceptedChange>> {
        if version < self.oldest_base() {
            return None;
        }
        let later: Vec<_> = self.history.iter().filter(|c| c.version > version).cloned().collect();
        later.iter().all(|c| c.edits.is_some()).then_some(later)
    }
}

fn trim(history: &mut VecDeque<AcceptedChange>) {
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
