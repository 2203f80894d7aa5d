//! Edits of single elements.

use serde::{Deserialize, Serialize};

use super::{Document, Element, ElementKey, Finding};

/// Upper bound of an element's JSON size in bytes, with names of maximum length
/// but without its note or path prefix.
pub(super) const MAX_ELEMENT_BYTES: usize = 384;

/// Sets or removes one element.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Adds the element or replaces its value.
    Set(Element),
    /// Removes the element. Removing an upstream removes its runners.
    Remove(ElementKey),
}

impl Edit {
    /// Returns the key of the element that the edit changes.
    #[must_use]
    pub fn key(&self) -> ElementKey {
        match self {
            Self::Set(element) => element.key(),
            Self::Remove(key) => key.clone(),
        }
    }

    /// Returns the value that the edit sets; none for a removal.
    #[must_use]
    pub fn value(&self) -> Option<&Element> {
        match self {
            Self::Set(element) => Some(element),
            Self::Remove(_) => None,
        }
    }

    /// Returns an upper bound of the edit's JSON size in bytes.
    #[must_use]
    pub fn size_bound(&self) -> usize {
        let text = match self {
            Self::Set(Element::Workspace(_, workspace)) => workspace.note.len(),
            Self::Set(Element::Route(prefix, _)) | Self::Remove(ElementKey::Route(prefix)) => {
                prefix.len()
            }
            _ => 0,
        };
        MAX_ELEMENT_BYTES + text
    }
}

impl Document {
    /// Returns the element with this key.
    #[must_use]
    pub fn element(&self, key: &ElementKey) -> Option<Element> {
        match key {
            ElementKey::Class(name) => {
                self.classes.get(name).map(|v| Element::Class(name.clone(), v.clone()))
            }
            ElementKey::DataCentre(name) => {
                self.data_centres.get(name).map(|v| Element::DataCentre(name.clone(), v.clone()))
            }
            ElementKey::Model(name) => {
                self.models.get(name).map(|v| Element::Model(name.clone(), v.clone()))
            }
            ElementKey::Route(prefix) => {
                self.routes.get(prefix).map(|v| Element::Route(prefix.clone(), v.clone()))
            }
            ElementKey::Runner(upstream, name) => {
                let runner = self.upstreams.get(upstream)?.runners.get(name)?;
                Some(Element::Runner(upstream.clone(), name.clone(), runner.clone()))
            }
            ElementKey::Upstream(name) => {
                self.upstreams.get(name).map(|v| Element::Upstream(name.clone(), v.spec()))
            }
            ElementKey::Workspace(name) => {
                self.workspaces.get(name).map(|v| Element::Workspace(name.clone(), v.clone()))
            }
        }
    }

    /// Applies one edit, without changing the version.
    ///
    /// # Errors
    ///
    /// Fails if the edit removes an element that does not exist, or sets a
    /// runner of an upstream that does not exist.
    pub fn apply(&mut self, edit: &Edit) -> Result<(), Finding> {
        match edit {
            Edit::Set(element) => self.set(element),
            Edit::Remove(key) => self.remove(key),
        }
    }

    fn set(&mut self, element: &Element) -> Result<(), Finding> {
        match element.clone() {
            Element::Class(name, value) => drop(self.classes.insert(name, value)),
            Element::DataCentre(name, value) => drop(self.data_centres.insert(name, value)),
            Element::Model(name, value) => drop(self.models.insert(name, value)),
            Element::Route(prefix, value) => drop(self.routes.insert(prefix, value)),
            Element::Runner(upstream, name, value) => {
                let Some(parent) = self.upstreams.get_mut(&upstream) else {
                    return Err(not_configured(&ElementKey::Upstream(upstream)));
                };
                parent.runners.insert(name, value);
            }
            Element::Upstream(name, spec) => {
                self.upstreams.entry(name).or_insert_with(|| spec.into()).set_spec(spec);
            }
            Element::Workspace(name, value) => drop(self.workspaces.insert(name, value)),
        }
        Ok(())
    }

    fn remove(&mut self, key: &ElementKey) -> Result<(), Finding> {
        let removed = match key {
            ElementKey::Class(name) => self.classes.remove(name).is_some(),
            ElementKey::DataCentre(name) => self.data_centres.remove(name).is_some(),
            ElementKey::Model(name) => self.models.remove(name).is_some(),
            ElementKey::Route(prefix) => self.routes.remove(prefix).is_some(),
            ElementKey::Runner(upstream, name) => {
                let parent = self.upstreams.get_mut(upstream);
                parent.is_some_and(|u| u.runners.remove(name).is_some())
            }
            ElementKey::Upstream(name) => self.upstreams.remove(name).is_some(),
            ElementKey::Workspace(name) => self.workspaces.remove(name).is_some(),
        };
        if removed { Ok(()) } else { Err(not_configured(key)) }
    }
}

fn not_configured(key: &ElementKey) -> Finding {
    Finding::error(key.to_string(), "is not configured; add it first or check the name")
}
