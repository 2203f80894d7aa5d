//! Check of fencing tokens.

use comfreyway_core::ids::Epoch;

/// Rejects fencing tokens lower than the highest seen.
#[derive(Debug, Default)]
pub(super) struct FencingCheck {
    highest: Epoch,
}

impl FencingCheck {
    /// Returns true if the number is not lower than the highest seen, or is empty.
    pub(super) fn accepts(&mut self, text: &str) -> bool {
        let Some(epoch) = parse(text) else { return text.is_empty() };
        let accepted = epoch >= self.highest;
        self.highest = self.highest.max(epoch);
        accepted
    }
}

fn parse(text: &str) -> Option<Epoch> {
    let (issued, provisional) = text.split_once('.')?;
    Some(Epoch { issued: issued.parse().ok()?, provisional: provisional.parse().ok()? })
}
