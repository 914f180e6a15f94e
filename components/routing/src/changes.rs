//! Changes of leaves and evacuations, in the order of the store's revisions.
//!
//! A host that follows the store keeps the last changes, so that another host can be brought up to
//! date from it without a call to the store.

use {
    crate::leaf::LeafRegistration,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
    wigeonramp_units::{LeafId, Revision, Span, ZoneId},
};

/// Changes kept; a host that is further behind gets everything anew.
const KEPT: usize = 2_048;

/// One change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// A leaf is registered, or its registration has changed.
    Leaf(LeafRegistration),
    /// A registration is gone; it may come back within `grace`.
    LeafGone {
        /// The leaf.
        id: LeafId,
        /// Time for which the leaf is still used.
        grace: Span,
    },
    /// A zone is taken out of use or back.
    Evacuation {
        /// The zone.
        zone: ZoneId,
        /// Whether it is out of use.
        out: bool,
    },
}

/// Changes of one kind of object that bring another host up to date.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// Whether these are all objects, so that others are gone.
    pub whole: bool,
    /// Revision up to which the changes are complete.
    pub upto: Revision,
    /// Revision of the last change.
    pub changed: Revision,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// The last changes of one kind of object.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    floor: Revision,
    upto: Revision,
    changed: Revision,
    entries: VecDeque<(Revision, Change)>,
}

impl ChangeLog {
    /// Revision up to which this host knows everything; zero when it knows nothing.
    pub fn upto(&self) -> Revision {
        self.upto
    }

    /// Revision of the last change known.
    pub fn changed(&self) -> Revision {
        self.changed
    }

    /// All objects were read anew; earlier changes are not known one by one.
    pub fn restart(&mut self, upto: Revision, changed: Revision) {
        self.entries.clear();
        self.floor = upto;
        self.upto = upto;
        self.changed = changed.max(self.changed);
    }

    /// Adds changes that are complete up to `upto`; false when they are known already.
    pub fn extend(&mut self, upto: Revision, changes: &[Change]) -> bool {
        if upto <= self.upto {
            return false;
        }
        self.upto = upto;
        if !changes.is_empty() {
            self.changed = upto;
        }
        for change in changes {
            if self.entries.len() == KEPT
                && let Some((revision, _)) = self.entries.pop_front()
            {
                self.floor = revision;
            }
            self.entries.push_back((upto, change.clone()));
        }
        true
    }

    /// The changes after `known`; none when they are no longer kept one by one.
    pub fn since(&self, known: Revision) -> Option<Update> {
        if known < self.floor || known == Revision(0) {
            return None;
        }
        let later = self.entries.iter().filter(|(revision, _)| *revision > known);
        Some(Update {
            whole: false,
            upto: self.upto,
            changed: self.changed,
            changes: later.map(|(_, change)| change.clone()).collect(),
        })
    }
}
