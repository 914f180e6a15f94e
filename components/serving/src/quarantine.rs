//! Quarantine of requests that are suspected of crashing leaves.
//!
//! If a leaf resets while it runs several requests, any of them may be the cause; if it runs only
//! one, that one is. A request suspected at two leaves is quarantined if it ran alone at one of
//! them. Otherwise it may only run alone, which either clears it or proves that it crashes leaves.
//! So a frequent harmless request that ran next to the crashing one at both leaves is not refused.

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    wigeonramp_units::{Fingerprint, Instant, LeafId, Span},
};

/// Number of different leaves with a reset after which a request may be quarantined.
const MIN_LEAVES: usize = 2;
/// Maximum number of entries; the oldest are evicted first. The limit prevents a caller with many
/// requests from exhausting the memory.
const MAX_ENTRIES: usize = 4_096;

/// Whether and how a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Without restrictions.
    Clear,
    /// On one leaf first, as its only request.
    Alone,
    /// Must not run.
    Quarantined,
}

/// Suspected request as sent in heartbeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedSuspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Leaves that reset while it ran.
    pub leaves: Vec<LeafId>,
    /// Whether it ran alone at one of them. If the sender does not report it, the worst case is
    /// assumed.
    #[serde(default = "assume_proven")]
    pub proven: bool,
    /// Time until the entry expires.
    pub expires_in: Span,
    /// Whether the request has succeeded since.
    pub cleared: bool,
}

const fn assume_proven() -> bool {
    true
}

#[derive(Clone, Debug)]
struct Entry {
    /// Leaves that reset while the request ran.
    leaves: Vec<LeafId>,
    /// Whether it ran alone at one of them.
    proven: bool,
    expires: Instant,
    /// When it succeeded after the last reset.
    cleared: Option<Instant>,
}

/// Suspected requests known to one host.
#[derive(Clone, Debug)]
pub struct Quarantine {
    ttl: Span,
    entries: IndexMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Creates a quarantine whose entries expire after `ttl`.
    pub fn new(ttl: Span) -> Self {
        Self { ttl, entries: IndexMap::new() }
    }

    /// Records that the leaf reset while it ran the request, either `alone` or next to others.
    pub fn record_reset(
        &mut self,
        fingerprint: Fingerprint,
        leaf: LeafId,
        alone: bool,
        now: Instant,
    ) {
        let expires = now + self.ttl;
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
        let new_entry = || Entry { leaves: Vec::new(), proven: false, expires, cleared: None };
        let entry = self.entries.entry(fingerprint).or_insert_with(new_entry);
        if entry.cleared.is_some() {
            *entry = new_entry();
        }
        entry
    }

    /// Records that the request succeeded at a leaf. Returns whether it was a suspect.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return false };
        if entry.cleared.is_some() || entry.expires <= now {
            return false;
        }
        entry.cleared = Some(now);
        entry.leaves.clear();
        true
    }

    /// Returns whether and how the request may run.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        let entry = self.entries.get(&fingerprint);
        match entry.filter(|entry| entry.cleared.is_none() && now < entry.expires) {
            None => Verdict::Clear,
            Some(entry) if entry.is_quarantined() => Verdict::Quarantined,
            Some(_) => Verdict::Alone,
        }
    }

    /// Returns the entries to send in a heartbeat.
    pub fn export(&mut self, now: Instant) -> Vec<SharedSuspect> {
        self.expire(now);
        let shared = |(fingerprint, entry): (&Fingerprint, &Entry)| SharedSuspect {
            fingerprint: *fingerprint,
            leaves: entry.leaves.clone(),
            proven: entry.proven,
            expires_in: entry.expires.since(now),
            cleared: entry.cleared.is_some(),
        };
        self.entries.iter().map(shared).collect()
    }

    /// Merges the entries of a received heartbeat.
    pub fn merge(&mut self, suspects: &[SharedSuspect], now: Instant) {
        for suspect in suspects {
            let expires = now + suspect.expires_in.min(self.ttl);
            if suspect.cleared {
                self.merge_cleared(suspect.fingerprint, expires, now);
                continue;
            }
            self.merge_suspect(suspect, expires, now);
        }
    }

    /// Clears the request unless it has been suspected again since. Entries expire a fixed time
    /// after their last reset, so the entry that expires later has the newer reset.
    fn merge_cleared(&mut self, fingerprint: Fingerprint, expires: Instant, now: Instant) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return };
        if entry.cleared.is_none() && entry.expires <= expires + MAX_HEARTBEAT_DELAY {
            entry.cleared = Some(now);
            entry.leaves.clear();
        }
    }

    fn merge_suspect(&mut self, suspect: &SharedSuspect, expires: Instant, now: Instant) {
        let known = self.entries.get(&suspect.fingerprint);
        let cleared = known.filter(|entry| entry.cleared.is_some());
        if cleared.is_some_and(|entry| expires <= entry.expires + MAX_HEARTBEAT_DELAY) {
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

/// Maximum delay of a heartbeat. A difference in expiry above this is due to a newer reset and not
/// to the delay.
const MAX_HEARTBEAT_DELAY: Span = Span::secs(1);

impl Entry {
    fn is_quarantined(&self) -> bool {
        self.proven && self.leaves.len() >= MIN_LEAVES
    }
}
