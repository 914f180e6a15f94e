//! The canary: an unseen request first runs on one shard, so that a crashing one harms at most two
//! leaves.

use {
    indexmap::IndexMap,
    wigeonramp_units::{Fingerprint, Instant, Span},
};

/// Where an unseen request runs first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Canary {
    /// Index of the shard.
    pub(super) shard: usize,
    /// Shards tried so far.
    pub(super) tried: usize,
}

impl Canary {
    /// The same shard for each repetition of the request, at any entry host.
    pub(super) fn new(fingerprint: Fingerprint, shards: usize) -> Self {
        let shard = fingerprint.0 % (shards.max(1) as u64);
        Self { shard: shard as usize, tried: 1 }
    }

    /// Moves on when no replica of the shard could run the request; false after the last shard.
    pub(super) fn move_on(&mut self, shards: usize) -> bool {
        if self.tried >= shards {
            return false;
        }
        self.tried += 1;
        self.shard = (self.shard + 1) % shards;
        true
    }
}

/// Fingerprints that this host has seen succeed recently.
#[derive(Clone, Debug)]
pub struct KnownFingerprints {
    time: Span,
    cap: usize,
    /// By time of the last success. A full map loses an arbitrary entry, which only costs that
    /// request another canary.
    seen: IndexMap<Fingerprint, Instant>,
}

impl KnownFingerprints {
    /// Remembers a success for `time`, and at most `cap` of them.
    pub fn new(time: Span, cap: usize) -> Self {
        Self { time, cap: cap.max(1), seen: IndexMap::new() }
    }

    /// A query with the fingerprint succeeded.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.seen.len() >= self.cap && !self.seen.contains_key(&fingerprint) {
            self.seen.swap_remove_index(0);
        }
        self.seen.insert(fingerprint, now);
    }

    /// A query with the fingerprint was running when a leaf reset.
    pub fn remove(&mut self, fingerprint: Fingerprint) {
        self.seen.swap_remove(&fingerprint);
    }

    /// Whether it has succeeded recently.
    pub fn is_known(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.seen.get(&fingerprint).is_some_and(|at| now.since(*at) < self.time)
    }
}
