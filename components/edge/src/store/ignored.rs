//! Objects that cannot be read, each of which is logged once.

use {indexmap::IndexMap, wigeonramp_platform::objects::ObjectKind, wigeonramp_units::Revision};

/// Maximum number of objects that are remembered; beyond it the oldest one is forgotten and may be
/// logged again.
const MAX_OBJECTS: usize = 512;

/// The objects that have been logged.
#[derive(Debug, Default)]
pub(super) struct IgnoredObjects {
    revisions: IndexMap<(ObjectKind, String), Revision>,
    /// Number of objects without a readable name that the last answer for a kind had.
    unnamed: IndexMap<ObjectKind, usize>,
}

impl IgnoredObjects {
    /// Records an object that cannot be read; returns whether this state of it is new.
    pub fn is_new(&mut self, kind: ObjectKind, name: &str, revision: Revision) -> bool {
        let before = self.revisions.insert((kind, name.to_owned()), revision);
        if self.revisions.len() > MAX_OBJECTS {
            self.revisions.shift_remove_index(0);
        }
        before != Some(revision)
    }

    /// Records the number of objects without a readable name; returns whether it has changed.
    pub fn is_new_count(&mut self, kind: ObjectKind, count: usize) -> bool {
        self.unnamed.insert(kind, count).unwrap_or_default() != count
    }
}
