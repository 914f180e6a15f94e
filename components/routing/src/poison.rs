//! Requests that crash the leaves that run them.
//!
//! A connection that breaks while a request runs, together with another sign of the leaf's crash,
//! makes the request a suspect at that leaf. A request suspected at `CRASHED_LEAVES` leaves is
//! refused for a while, at every host: the entries travel between the hosts. A success anywhere on
//! this host clears it.

use {
    crate::leaves::LeafKey,
    indexmap::IndexMap,
    wigeonramp_units::{Fingerprint, Instant, Span},
};

/// Leaves at which a request breaks before it is refused.
pub const CRASHED_LEAVES: u32 = 2;
/// Time for which a request is refused, or remembered as a suspect, after its last broken connection.
const REMEMBERED: Span = Span::secs(60);
/// Entries kept; the oldest go first.
const MAX_ENTRIES: usize = 512;

/// A broken connection and another sign of the leaf's crash lie this close together.
const CRASH_WINDOW: Span = Span::millis(1_500);

/// Signs of crashed leaves seen lately by one host.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    broken: Vec<(Fingerprint, LeafKey, Instant)>,
    others: Vec<(LeafKey, Instant)>,
}

impl CrashDetector {
    /// A request's connection broke before any answer; returns whether the leaf has shown another
    /// sign of a crash, so that the request is to blame.
    pub fn broke(&mut self, fingerprint: Fingerprint, leaf: LeafKey, now: Instant) -> bool {
        self.forget(now);
        if self.others.iter().any(|(other, _)| *other == leaf) {
            return true;
        }
        self.broken.push((fingerprint, leaf, now));
        false
    }

    /// An idle connection to the leaf ended, or the leaf takes no connection; returns the requests to
    /// blame.
    pub fn sign(&mut self, leaf: LeafKey, now: Instant) -> Vec<Fingerprint> {
        self.forget(now);
        self.others.push((leaf, now));
        let of_leaf = self.broken.extract_if(.., |(_, broken, _)| *broken == leaf);
        of_leaf.map(|(fingerprint, ..)| fingerprint).collect()
    }

    fn forget(&mut self, now: Instant) {
        let recent = |at: Instant| now.since(at) < CRASH_WINDOW;
        self.broken.retain(|(_, _, at)| recent(*at));
        self.others.retain(|(_, at)| recent(*at));
    }
}

/// Suspected requests known to one host.
#[derive(Clone, Debug, Default)]
pub struct PoisonList {
    entries: IndexMap<Fingerprint, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u32,
    until: Instant,
}

impl PoisonList {
    /// A connection broke while the request ran.
    pub fn broke(&mut self, fingerprint: Fingerprint, now: Instant) {
        let entry = self.entry(fingerprint, now);
        entry.crashes += 1;
        entry.until = now + REMEMBERED;
    }

    /// Another host refuses the request.
    pub fn told(&mut self, fingerprint: Fingerprint, now: Instant) {
        let entry = self.entry(fingerprint, now);
        if entry.crashes < CRASHED_LEAVES {
            entry.crashes = CRASHED_LEAVES;
            entry.until = now + REMEMBERED;
        }
    }

    /// A leaf answered the request.
    pub fn answered(&mut self, fingerprint: Fingerprint) {
        if !self.entries.is_empty() {
            self.entries.shift_remove(&fingerprint);
        }
    }

    /// Whether the request is refused.
    pub fn refuses(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.crashes >= CRASHED_LEAVES && now < entry.until)
    }

    /// Requests that this host refuses, newest first, at most `n`.
    pub fn refused(&self, n: usize, now: Instant) -> Vec<Fingerprint> {
        let refused = |entry: &Entry| entry.crashes >= CRASHED_LEAVES && now < entry.until;
        let all = self.entries.iter().rev().filter(|(_, entry)| refused(entry));
        all.map(|(fingerprint, _)| *fingerprint).take(n).collect()
    }

    fn entry(&mut self, fingerprint: Fingerprint, now: Instant) -> &mut Entry {
        if self.entries.get(&fingerprint).is_some_and(|entry| entry.until <= now) {
            self.entries.shift_remove(&fingerprint);
        }
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            self.entries.shift_remove_index(0);
        }
        self.entries.entry(fingerprint).or_insert(Entry { crashes: 0, until: now })
    }
}
