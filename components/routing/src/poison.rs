//! Detection and refusal of poison requests, which crash the leaves that run them.
//!
//! A request becomes a suspect if its connection to a leaf breaks and there is another sign that
//! the leaf has crashed. A request suspected at `CRASHED_LEAVES` leaves is refused for a while, on
//! every host: hosts share the refused requests. A leaf's response to the request clears it on this
//! host. A host that has lost its links to leaves takes back what it concluded from the loss, and
//! tells no other host of its conclusions while its links are in doubt.

use {
    crate::leaves::LeafKey,
    indexmap::IndexMap,
    wigeonramp_units::{Fingerprint, Instant, Span},
};

/// Number of leaves that a request crashes before it is refused.
pub const CRASHED_LEAVES: u32 = 2;
/// Time for which a request is refused or remains a suspect after its last broken connection.
const RETENTION: Span = Span::secs(60);
/// Maximum number of entries; the oldest are dropped first.
const MAX_ENTRIES: usize = 512;

/// Maximum time between a broken connection and another sign of the leaf's crash.
const CRASH_WINDOW: Span = Span::millis(1_500);

/// Correlates broken connections with other recent signs that a leaf has crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    broken: Vec<(Fingerprint, LeafKey, Instant)>,
    other_signs: Vec<(LeafKey, Instant)>,
}

impl CrashDetector {
    /// Records that a request's connection broke before any response. Returns whether the leaf has
    /// shown another sign of a crash, so that the request is a suspect.
    pub fn on_connection_broken(
        &mut self,
        fingerprint: Fingerprint,
        leaf: LeafKey,
        now: Instant,
    ) -> bool {
        self.drop_expired(now);
        if self.other_signs.iter().any(|(crashed, _)| *crashed == leaf) {
            return true;
        }
        self.broken.push((fingerprint, leaf, now));
        false
    }

    /// Records that an idle connection to the leaf ended or that the leaf refused a connection.
    /// Returns the requests that become suspects.
    pub fn on_crash_sign(&mut self, leaf: LeafKey, now: Instant) -> Vec<Fingerprint> {
        self.drop_expired(now);
        self.other_signs.push((leaf, now));
        let of_leaf = self.broken.extract_if(.., |(_, broken, _)| *broken == leaf);
        of_leaf.map(|(fingerprint, ..)| fingerprint).collect()
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.since(at) < CRASH_WINDOW;
        self.broken.retain(|(_, _, at)| is_recent(*at));
        self.other_signs.retain(|(_, at)| is_recent(*at));
    }
}

/// Suspected and refused requests known to one host.
#[derive(Clone, Debug, Default)]
pub struct PoisonList {
    entries: IndexMap<Fingerprint, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u32,
    /// Time of the last crash that this host has seen.
    last_crash: Instant,
    /// Whether another host refuses the request.
    is_told: bool,
    until: Instant,
}

impl Entry {
    fn is_refused(&self, now: Instant) -> bool {
        self.crashes >= CRASHED_LEAVES && now < self.until
    }
}

impl PoisonList {
    /// Records that a leaf probably crashed while it ran the request.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Instant) {
        let entry = self.entry(fingerprint, now);
        entry.crashes += 1;
        entry.last_crash = now;
        entry.until = now + RETENTION;
    }

    /// Records that another host refuses the request.
    pub fn add_refused(&mut self, fingerprint: Fingerprint, now: Instant) {
        let entry = self.entry(fingerprint, now);
        entry.is_told = true;
        if entry.crashes < CRASHED_LEAVES {
            entry.crashes = CRASHED_LEAVES;
            entry.until = now + RETENTION;
        }
    }

    /// Takes back the crashes since `since`, which were none.
    pub fn take_back(&mut self, since: Instant) {
        self.entries.retain(|_, entry| entry.is_told || entry.last_crash < since);
    }

    /// Records that a leaf responded to the request, which clears it.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if !self.entries.is_empty() {
            self.entries.shift_remove(&fingerprint);
        }
    }

    /// Whether the request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.entries.get(&fingerprint).is_some_and(|entry| entry.is_refused(now))
    }

    /// Returns the requests that this host refuses, newest first, at most `n`.
    pub fn refused(&self, n: usize, now: Instant) -> Vec<Fingerprint> {
        let refused = self.entries.iter().rev().filter(|(_, entry)| entry.is_refused(now));
        refused.map(|(fingerprint, _)| *fingerprint).take(n).collect()
    }

    /// Returns the entry of the request, a new one if there is none or it has expired.
    fn entry(&mut self, fingerprint: Fingerprint, now: Instant) -> &mut Entry {
        if self.entries.get(&fingerprint).is_some_and(|entry| entry.until <= now) {
            self.entries.shift_remove(&fingerprint);
        }
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            self.entries.shift_remove_index(0);
        }
        self.entries.entry(fingerprint).or_insert(Entry {
            crashes: 0,
            last_crash: now,
            is_told: false,
            until: now,
        })
    }
}
