//! Canary runs: an unseen request first runs on one shard, so that a request that crashes leaves
//! reaches at most two of them.

use {
    indexmap::IndexMap,
    wigeonramp_units::{Fingerprint, Instant, Span},
};

/// The shard on which an unseen request runs first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Canary {
    /// Index among the shards of the pinned snapshots.
    pub(super) shard: usize,
    /// Number of shards tried so far.
    pub(super) shards_tried: usize,
}

impl Canary {
    /// Selects the same shard for each resubmission of the request, at any entry host.
    pub(super) fn new(fingerprint: Fingerprint, shards: usize) -> Self {
        let shard = fingerprint.0 % (shards.max(1) as u64);
        Self { shard: shard as usize, shards_tried: 1 }
    }

    /// Moves to the next shard, when no replica of this one could run the request. Returns false
    /// after the last shard.
    pub(super) fn advance(&mut self, shards: usize) -> bool {
        if self.shards_tried >= shards {
            return false;
        }
        self.shards_tried += 1;
        self.shard = (self.shard + 1) % shards;
        true
    }
}

/// Fingerprints that this host has seen succeed recently.
#[derive(Clone, Debug)]
pub struct KnownFingerprints {
    ttl: Span,
    capacity: usize,
    /// Times of the last successes. A full map evicts an arbitrary entry, which only costs that
    /// request another canary.
    last_successes: IndexMap<Fingerprint, Instant>,
}

impl KnownFingerprints {
    /// Remembers each success for `ttl`, and at most `capacity` fingerprints.
    pub fn new(ttl: Span, capacity: usize) -> Self {
        Self { ttl, capacity: capacity.max(1), last_successes: IndexMap::new() }
    }

    /// Records that a query with the fingerprint succeeded.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.last_successes.len() >= self.capacity
            && !self.last_successes.contains_key(&fingerprint)
        {
            self.last_successes.swap_remove_index(0);
        }
        self.last_successes.insert(fingerprint, now);
    }

    /// Removes a fingerprint whose request was running when a leaf reset.
    pub fn remove(&mut self, fingerprint: Fingerprint) {
        self.last_successes.swap_remove(&fingerprint);
    }

    /// Returns whether a query with the fingerprint has succeeded within the last `ttl`.
    pub fn is_known(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.last_successes.get(&fingerprint).is_some_and(|at| now.since(*at) < self.ttl)
    }
}
