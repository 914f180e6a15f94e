//! Requests that crash the leaves that run them.
//!
//! A connection that breaks while a request runs makes the request a suspect at that leaf. A
//! request suspected at `CRASHED_LEAVES` leaves is refused for a while, at every host: the entries
//! travel between the hosts. A success anywhere on this host clears it.

use {
    indexmap::IndexMap,
    wigeonramp_units::{Fingerprint, Instant, Span},
};

/// Leaves at which a request breaks before it is refused.
pub const CRASHED_LEAVES: u32 = 2;
/// Time for which a request is refused, or remembered as a suspect, after its last broken connection.
const REMEMBERED: Span = Span::secs(60);
/// Entries kept; the oldest go first.
const MAX_ENTRIES: usize = 512;

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
