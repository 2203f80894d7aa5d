//! Difference of two documents as a list of edits.

use super::{Document, Edit, Element, ElementKey};

impl Document {
    /// Returns every element, with upstreams before runners.
    pub fn elements(&self) -> impl Iterator<Item = Element> {
        let classes = self.classes.iter().map(|(k, v)| Element::Class(k.clone(), v.clone()));
        let data_centres =
            self.data_centres.iter().map(|(k, v)| Element::DataCentre(k.clone(), v.clone()));
        let models = self.models.iter().map(|(k, v)| Element::Model(k.clone(), v.clone()));
        let routes = self.routes.iter().map(|(k, v)| Element::Route(k.clone(), v.clone()));
        let upstreams = self.upstreams.iter().map(|(k, v)| Element::Upstream(k.clone(), v.spec()));
        let runners = self.upstreams.iter().flat_map(|(upstream, value)| {
            let runner_element = |(k, v): (&_, &super::Runner)| {
                Element::Runner(upstream.clone(), Clone::clone(k), v.clone())
            };
            value.runners.iter().map(runner_element)
        });
        let workspaces =
            self.workspaces.iter().map(|(k, v)| Element::Workspace(k.clone(), v.clone()));
        classes
            .chain(data_centres)
            .chain(models)
            .chain(routes)
            .chain(upstreams)
            .chain(runners)
            .chain(workspaces)
    }

    /// Returns the edits that turn this document into `target`.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::config::{Document, Workspace};
    ///
    /// let old = Document::default();
    /// let mut new = old.clone();
    /// new.workspaces.insert("lab".parse().unwrap(), Workspace::default());
    /// assert_eq!(old.diff(&new).len(), 1);
    /// ```
    #[must_use]
    pub fn diff(&self, target: &Self) -> Vec<Edit> {
        let removed =
            self.elements().map(|e| e.key()).filter(|key| self.needs_removal(key, target));
        let changed = target.elements().filter(|e| self.element(&e.key()).as_ref() != Some(e));
        removed.map(Edit::Remove).chain(changed.map(Edit::Set)).collect()
    }

    /// Returns true if `target` needs an edit that removes `key`. A runner of a
    /// removed upstream needs none, because the upstream's removal includes it.
    fn needs_removal(&self, key: &ElementKey, target: &Self) -> bool {
        let upstream_kept = match key {
            ElementKey::Runner(upstream, _) => target.upstreams.contains_key(upstream),
            _ => true,
        };
        upstream_kept && target.element(key).is_none()
    }
}
