//! Requests suspected of crashing leaves.
//!
//! A reset while several requests ran proves nothing about each of them; a reset while one ran
//! alone does. A request suspected at two leaves is quarantined if it ran alone at one of them;
//! otherwise it may only run alone, which either clears it or proves it. So a frequent innocent
//! request that stood next to the crashing one at both leaves is not refused.

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    wigeonramp_units::{Fingerprint, Instant, LeafId, Span},
};

/// Leaves with a reset that make a quarantine.
const LEAVES: usize = 2;
/// Entries kept; the oldest go first, so that a caller with many requests cannot fill the memory.
const MAX_ENTRIES: usize = 4_096;

/// How a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Like any other.
    Clear,
    /// First on one leaf, alone.
    Alone,
    /// Not at all.
    Quarantined,
}

/// An entry for heartbeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedSuspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Leaves that reset while it ran.
    pub leaves: Vec<LeafId>,
    /// Whether it ran alone at one of them. A sender that does not say so is taken at its worst.
    #[serde(default = "unknown_is_proven")]
    pub proven: bool,
    /// Time until the entry expires.
    pub expires_in: Span,
    /// Whether the request has succeeded since.
    pub cleared: bool,
}

const fn unknown_is_proven() -> bool {
    true
}

#[derive(Clone, Debug)]
struct Entry {
    leaves: Vec<LeafId>,
    proven: bool,
    expires: Instant,
    cleared: Option<Instant>,
}

/// Suspects known to one host.
#[derive(Clone, Debug)]
pub struct Quarantine {
    time: Span,
    entries: IndexMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Suspects are forgotten after `time`.
    pub fn new(time: Span) -> Self {
        Self { time, entries: IndexMap::new() }
    }

    /// The leaf reset while the request ran, `alone` or next to others.
    pub fn record_reset(
        &mut self,
        fingerprint: Fingerprint,
        leaf: LeafId,
        alone: bool,
        now: Instant,
    ) {
        let expires = now + self.time;
        let entry = self.entry(fingerprint, expires, now);
        entry.proven |= alone;
        entry.expires = expires;
        if !entry.leaves.contains(&leaf) {
            entry.leaves.push(leaf);
        }
    }

    fn entry(&mut self, fingerprint: Fingerprint, expires: Instant, now: Instant) -> &mut Entry {
        self.expire(now);
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            self.entries.shift_remove_index(0);
        }
        let fresh = || Entry { leaves: Vec::new(), proven: false, expires, cleared: None };
        let entry = self.entries.entry(fingerprint).or_insert_with(fresh);
        if entry.cleared.is_some() {
            *entry = fresh();
        }
        entry
    }

    /// The request succeeded on any leaf; returns whether it was a suspect.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return false };
        if entry.cleared.is_some() || entry.expires <= now {
            return false;
        }
        entry.cleared = Some(now);
        entry.leaves.clear();
        true
    }

    /// How the request may run.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        let entry = self.entries.get(&fingerprint);
        match entry.filter(|entry| entry.cleared.is_none() && now < entry.expires) {
            None => Verdict::Clear,
            Some(entry) if entry.is_quarantined() => Verdict::Quarantined,
            Some(_) => Verdict::Alone,
        }
    }

    /// Entries for a heartbeat.
    pub fn export(&mut self, now: Instant) -> Vec<SharedSuspect> {
        self.expire(now);
        let share = |(fingerprint, entry): (&Fingerprint, &Entry)| SharedSuspect {
            fingerprint: *fingerprint,
            leaves: entry.leaves.clone(),
            proven: entry.proven,
            expires_in: entry.expires.since(now),
            cleared: entry.cleared.is_some(),
        };
        self.entries.iter().map(share).collect()
    }

    /// Takes in the entries of a heartbeat.
    pub fn merge(&mut self, suspects: &[SharedSuspect], now: Instant) {
        for suspect in suspects {
            let expires = now + suspect.expires_in.min(self.time);
            if suspect.cleared {
                self.merge_cleared(suspect.fingerprint, expires, now);
                continue;
            }
            self.merge_suspect(suspect, expires, now);
        }
    }

    /// A clearing counts against suspicions that are not newer than it; both carry the time left
    /// since the last reset.
    fn merge_cleared(&mut self, fingerprint: Fingerprint, expires: Instant, now: Instant) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return };
        if entry.cleared.is_none() && entry.expires <= expires + CLOCK_SLACK {
            entry.cleared = Some(now);
            entry.leaves.clear();
        }
    }

    fn merge_suspect(&mut self, suspect: &SharedSuspect, expires: Instant, now: Instant) {
        let known = self.entries.get(&suspect.fingerprint);
        let cleared = known.filter(|entry| entry.cleared.is_some());
        if cleared.is_some_and(|entry| expires <= entry.expires + CLOCK_SLACK) {
            return;
        }
        let entry = self.entry(suspect.fingerprint, expires, now);
        entry.expires = entry.expires.max(expires);
        entry.proven |= suspect.proven;
        for leaf in &suspect.leaves {
            if !entry.leaves.contains(leaf) {
                entry.leaves.push(leaf.clone());
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now < entry.expires);
    }
}

/// Heartbeats take up to this long to arrive; an entry that expires later than this after the
/// known one stems from a newer reset.
const CLOCK_SLACK: Span = Span::secs(1);

impl Entry {
    fn is_quarantined(&self) -> bool {
        self.proven && self.leaves.len() >= LEAVES
    }
}
