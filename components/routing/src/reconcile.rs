//! What a host believes after the store has come back from a copy.
//!
//! For a moment the store holds an older state, until operators and leaves have written again what
//! was lost. A host that knows better keeps what it knows: entries that are older than what it has
//! seen are put off, and objects that are missing are kept. What the store still says when this
//! time is over is believed.

use {
    crate::{changes::Change, leaf::LeafRegistration, leaves::Leaves, position::Position},
    indexmap::IndexMap,
    wigeonramp_units::{Instant, LeafId, Span, StoreEra, ZoneId},
};

/// Time after the store's return in which operators and leaves write again what was lost.
const SETTLE_TIME: Span = Span::secs(4);
/// Time for which removed leaves are remembered; a copy is seconds old.
const MEMORY: Span = Span::secs(600);
/// Maximum number of removed leaves that are remembered.
const MAX_REMOVED: usize = 4_096;
/// Maximum number of ended evacuations that are remembered of each zone.
const MAX_ENDED: usize = 16;

/// Version of a leaf's registration; that of a later process is higher.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EntryVersion {
    /// Start of the leaf's process.
    born: Option<u64>,
    /// Number of the heartbeat that wrote it.
    sequence: u64,
}

/// A change that is put off.
#[derive(Clone, Debug)]
struct Deferred {
    until: Instant,
    change: Change,
}

/// A removed leaf.
#[derive(Clone, Copy, Debug)]
struct Removed {
    version: EntryVersion,
    at: Instant,
}

/// Evacuations of one zone.
#[derive(Clone, Debug, Default)]
struct ZoneHistory {
    /// Position at which the one in force was written.
    current: Option<Position>,
    /// Positions at which ended ones were written, the latest last.
    ended: Vec<Position>,
}

/// Decides which changes are applied and which are put off.
#[derive(Clone, Debug, Default)]
pub struct Reconciler {
    era: StoreEra,
    settles_at: Option<Instant>,
    removed: IndexMap<LeafId, Removed>,
    zones: IndexMap<ZoneId, ZoneHistory>,
    deferred: Vec<Deferred>,
}

fn version(registration: &LeafRegistration) -> EntryVersion {
    EntryVersion { born: registration.born, sequence: registration.sequence }
}

/// Whether two changes are about the same leaf or zone.
fn is_same_object(a: &Change, b: &Change) -> bool {
    match (a, b) {
        (Change::Evacuation { zone, .. }, Change::Evacuation { zone: other, .. }) => zone == other,
        _ => a.leaf().is_some() && a.leaf() == b.leaf(),
    }
}

impl Reconciler {
    /// Records the era of the store from which changes are received. Returns whether it is later
    /// than the one before.
    pub fn enter_era(&mut self, era: StoreEra, now: Instant) -> bool {
        if era <= self.era {
            return false;
        }
        let is_first = self.era == StoreEra(0);
        self.era = era;
        if !is_first {
            self.settles_at = Some(now + SETTLE_TIME);
        }
        !is_first
    }

    /// Returns the time for which objects are kept that the store does not have.
    pub fn grace(&self, now: Instant) -> Span {
        self.settles_at.map_or(Span::ZERO, |at| at.since(now))
    }

    fn is_settling(&self, now: Instant) -> bool {
        self.grace(now) > Span::ZERO
    }

    /// Whether a change is to be applied now; otherwise it is put off. `leaves` are those known
    /// before the change.
    pub fn admits(&mut self, change: &Change, leaves: &Leaves, now: Instant) -> bool {
        let defer_until = match change {
            Change::Leaf(registration) if self.is_outdated(registration, leaves, now) => {
                self.settles_at
            }
            Change::Evacuation { zone, out: true, written, .. }
                if self.has_ended(zone, *written, now) =>
            {
                self.settles_at
            }
            Change::Evacuation { out: false, grace, .. } if *grace > Span::ZERO => {
                Some(now + *grace)
            }
            _ => None,
        };
        self.deferred.retain(|deferred| !is_same_object(&deferred.change, change));
        if let Some(until) = defer_until {
            self.deferred.push(Deferred { until, change: change.clone() });
            return false;
        }
        self.record(change, leaves, now);
        true
    }

    /// Whether the host has seen a later version of the registration, or the end of the leaf.
    fn is_outdated(&self, registration: &LeafRegistration, leaves: &Leaves, now: Instant) -> bool {
        if !self.is_settling(now) {
            return false;
        }
        let known = leaves.key_of(&registration.id).and_then(|key| leaves.get(key));
        if let Some(known) = known {
            return version(registration) < version(&known.registration);
        }
        let removed = self.removed.get(&registration.id);
        removed.is_some_and(|removed| version(registration) <= removed.version)
    }

    /// Whether the evacuation written at this position has ended in an earlier era. An object of
    /// the copy has the revision that it had then.
    fn has_ended(&self, zone: &ZoneId, written: Position, now: Instant) -> bool {
        let ended = self.zones.get(zone).map_or(&[][..], |zone| &zone.ended);
        let is_same = |ended: &Position| {
            ended.era() < written.era() && ended.revision() == written.revision()
        };
        self.is_settling(now) && ended.iter().any(is_same)
    }

    fn record(&mut self, change: &Change, leaves: &Leaves, now: Instant) {
        match change {
            Change::Leaf(registration) => {
                self.removed.swap_remove(&registration.id);
            }
            Change::LeafGone { id, grace } if *grace == Span::ZERO => {
                let known = leaves.key_of(id).and_then(|key| leaves.get(key));
                if let Some(known) = known {
                    self.on_removed(&known.registration, now);
                }
            }
            Change::LeafGone { .. } => {}
            Change::Evacuation { zone, out: true, written, .. } => {
                self.zones.entry(zone.clone()).or_default().current = Some(*written);
            }
            Change::Evacuation { zone, out: false, .. } => {
                let zone = self.zones.entry(zone.clone()).or_default();
                zone.ended.extend(zone.current.take());
                if zone.ended.len() > MAX_ENDED {
                    zone.ended.remove(0);
                }
            }
            Change::Order(_) | Change::OrderGone { .. } => {}
        }
    }

    /// Records that a leaf is no longer known.
    pub fn on_removed(&mut self, registration: &LeafRegistration, now: Instant) {
        self.removed.retain(|_, removed| now.since(removed.at) < MEMORY);
        if self.removed.len() < MAX_REMOVED {
            let removed = Removed { version: version(registration), at: now };
            self.removed.insert(registration.id.clone(), removed);
        }
    }

    /// Returns the changes that were put off until now.
    pub fn take_due(&mut self, now: Instant) -> Vec<Change> {
        let is_due = |deferred: &mut Deferred| deferred.until <= now;
        self.deferred.extract_if(.., is_due).map(|deferred| deferred.change).collect()
    }

    /// Returns the changes that are put off, for hosts that do not know what this one has seen. The
    /// end of an evacuation has the time that is left until it.
    pub fn deferred(&self, now: Instant) -> impl Iterator<Item = Change> {
        self.deferred.iter().map(move |Deferred { until, change }| match change {
            Change::Evacuation { zone, out: false, written, .. } => {
                let grace = until.since(now);
                Change::Evacuation { zone: zone.clone(), out: false, written: *written, grace }
            }
            change => change.clone(),
        })
    }

    /// Returns the position at which the evacuation in force of a zone was written.
    pub fn evacuated_at(&self, zone: &ZoneId) -> Position {
        self.zones.get(zone).and_then(|zone| zone.current).unwrap_or_default()
    }
}
