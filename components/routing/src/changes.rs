//! Log of changes to leaves, evacuations and orders of releases, in the order of the store's
//! revisions.
//!
//! A host keeps the most recent changes so that it can bring other hosts up to date without a call
//! to the store.

use {
    crate::{leaf::LeafRegistration, position::Position, releases::order::StoredOrder},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
    wigeonramp_units::{Instant, LeafId, ServiceId, Span, ZoneId},
};

/// Maximum number of changes in the log; a host that is further behind gets all objects.
const CAPACITY: usize = 2_048;

/// A change to a leaf, an evacuation or an order of a release.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// A leaf is registered, or its registration has changed.
    Leaf(LeafRegistration),
    /// A registration was removed; it may be renewed within `grace`.
    LeafGone {
        /// Id of the leaf.
        id: LeafId,
        /// Time for which the leaf stays in use.
        grace: Span,
    },
    /// A zone is out of service, or back in service after `grace`.
    Evacuation {
        /// Availability zone.
        zone: ZoneId,
        /// Whether it is out of service.
        out: bool,
        /// Position at which the evacuation was written; the default for its end.
        #[serde(default)]
        written: Position,
        /// Time for which the zone stays out of service.
        #[serde(default)]
        grace: Span,
    },
    /// An order was written, or its status has changed.
    Order(StoredOrder),
    /// The order of a service was deleted.
    OrderGone {
        /// The service.
        service: ServiceId,
    },
}

impl Change {
    /// Returns the change that puts a zone back in service after `grace`.
    pub fn end_of_evacuation(zone: ZoneId, grace: Span) -> Self {
        Change::Evacuation { zone, out: false, written: Position::default(), grace }
    }

    /// Returns the leaf that the change is about.
    pub fn leaf(&self) -> Option<&LeafId> {
        match self {
            Change::Leaf(registration) => Some(&registration.id),
            Change::LeafGone { id, .. } => Some(id),
            Change::Evacuation { .. } | Change::Order(_) | Change::OrderGone { .. } => None,
        }
    }
}

/// Changes to one kind of object that bring another host up to date.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// Whether the changes list all objects, so that others no longer exist.
    pub whole: bool,
    /// Position up to which the update is complete.
    pub upto: Position,
    /// Position of the last change to an object.
    pub changed: Position,
    /// Changes in order.
    pub changes: Vec<Change>,
}

/// The most recent changes to one kind of object.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// Position after which all changes are in the log; all are of its era.
    floor: Position,
    upto: Position,
    changed: Position,
    entries: VecDeque<Entry>,
}

/// A change in the log.
#[derive(Clone, Debug)]
struct Entry {
    position: Position,
    /// Time at which the change was learnt, from which its grace period counts.
    learnt_at: Instant,
    change: Change,
}

impl Entry {
    /// Returns the change with the rest of its grace period.
    fn change_at(&self, now: Instant) -> Change {
        let passed = now.since(self.learnt_at);
        let mut change = self.change.clone();
        match &mut change {
            Change::LeafGone { grace, .. } | Change::Evacuation { grace, .. } => {
                *grace = *grace - passed;
            }
            Change::Leaf(_) | Change::Order(_) | Change::OrderGone { .. } => {}
        }
        change
    }
}

impl ChangeLog {
    /// Returns the position up to which this host is up to date; the default when it has no data.
    pub fn upto(&self) -> Position {
        self.upto
    }

    /// Returns the position of the last known change.
    pub fn changed(&self) -> Position {
        self.changed
    }

    /// Resets the log after all objects were read; earlier changes are not available one by one.
    pub fn restart(&mut self, upto: Position, changed: Position) {
        self.entries.clear();
        self.floor = upto;
        self.upto = upto;
        self.changed = changed.max(self.changed);
    }

    /// Appends changes that are complete up to `upto`; returns false if they are already known or
    /// do not continue what is known.
    pub fn extend(&mut self, upto: Position, changes: &[Change], now: Instant) -> bool {
        if upto == self.upto || !upto.continues(self.upto) {
            return false;
        }
        self.upto = upto;
        if !changes.is_empty() {
            self.changed = upto;
        }
        for change in changes {
            if self.entries.len() == CAPACITY
                && let Some(oldest) = self.entries.pop_front()
            {
                self.floor = oldest.position;
            }
            self.entries.push_back(Entry {
                position: upto,
                learnt_at: now,
                change: change.clone(),
            });
        }
        true
    }

    /// Returns the changes after `known`; none if the log does not go back that far.
    pub fn since(&self, known: Position, now: Instant) -> Option<Update> {
        if !known.is_known() || !known.continues(self.floor) {
            return None;
        }
        let later = self.entries.iter().filter(|entry| entry.position > known);
        Some(Update {
            whole: false,
            upto: self.upto,
            changed: self.changed,
            changes: later.map(|entry| entry.change_at(now)).collect(),
        })
    }
}
