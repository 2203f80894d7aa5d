//! What one request may crash its runner with.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use super::{PromptPart, RequestDigest, Suspect};

/// What one request may crash its runner with: the parts of its prompt, and the request as a
/// whole. Cheap to clone.
///
/// A prompt may have thousands of parts, as many as fit into a request's head, so they are
/// looked up, not searched one by one.
///
/// # Examples
///
/// ```
/// use comfreyway_core::fleet::{PromptPart, Suspect, SuspectList};
///
/// let parts = [PromptPart(0xb), PromptPart(0xa), PromptPart(0xb)];
/// let suspects = SuspectList::new(parts, None);
/// assert!(suspects.contains(Suspect::Part(PromptPart(0xa))));
/// let last = suspects.iter().max_by_key(|(_, position)| *position);
/// assert_eq!(last, Some((Suspect::Part(PromptPart(0xb)), 2)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SuspectList {
    /// Each part once, in the order of parts, with its last position in the prompt.
    parts: Arc<[(PromptPart, u32)]>,
    request: Option<RequestDigest>,
}

impl SuspectList {
    /// Creates the list of a request. The parts are in the order of the prompt.
    #[must_use]
    pub fn new<I>(parts: I, request: Option<RequestDigest>) -> Self
    where
        I: IntoIterator<Item = PromptPart>,
    {
        let mut parts: Vec<_> = parts.into_iter().zip(0..).collect();
        parts.sort_unstable_by_key(|(part, position)| (*part, Reverse(*position)));
        parts.dedup_by_key(|(part, _)| *part);
        Self { parts: parts.into(), request }
    }

    /// Returns the number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len() + usize::from(self.request.is_some())
    }

    /// Returns true if nothing is suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the parts of the prompt, each once.
    pub fn parts(&self) -> impl ExactSizeIterator<Item = PromptPart> {
        self.parts.iter().map(|(part, _)| *part)
    }

    /// Returns all suspects, each with its last position in the prompt. The request as a whole
    /// is behind all parts.
    pub fn iter(&self) -> impl Iterator<Item = (Suspect, usize)> {
        let parts = self.parts.iter();
        let parts = parts.map(|(part, position)| (Suspect::Part(*part), *position as usize));
        let request = self.request.map(|digest| (Suspect::Request(digest), self.parts.len()));
        parts.chain(request)
    }

    /// Returns true if this is one of the suspects.
    #[must_use]
    pub fn contains(&self, suspect: Suspect) -> bool {
        match suspect {
            Suspect::Part(part) => {
                self.parts.binary_search_by_key(&part, |(part, _)| *part).is_ok()
            }
            Suspect::Request(digest) => self.request == Some(digest),
        }
    }

    /// Returns the suspects that are keys of the map. Costs no more than the smaller of the two.
    #[must_use]
    pub fn found_in<V>(&self, map: &BTreeMap<Suspect, V>) -> Vec<Suspect> {
        if map.len() < self.len() {
            return map.keys().copied().filter(|suspect| self.contains(*suspect)).collect();
        }
        let suspects = self.iter().map(|(suspect, _)| suspect);
        suspects.filter(|suspect| map.contains_key(suspect)).collect()
    }
}

/// Creates the list of a request from its parts, in the order of the prompt, and its digest.
impl<const N: usize> From<[Suspect; N]> for SuspectList {
    fn from(suspects: [Suspect; N]) -> Self {
        let parts = suspects.iter().filter_map(|suspect| match suspect {
            Suspect::Part(part) => Some(*part),
            Suspect::Request(_) => None,
        });
        let request = suspects.iter().find_map(|suspect| match suspect {
            Suspect::Part(_) => None,
            Suspect::Request(digest) => Some(*digest),
        });
        Self::new(parts, request)
    }
}
