//! What operators can ask about afterwards.

use {
    std::sync::atomic::{AtomicU64, Ordering},
    wigeonramp_serving::upstream::State,
    wigeonramp_units::{AttemptId, Fingerprint, LeafId},
};

/// Counters and events of the data path.
#[derive(Debug, Default)]
pub struct Observer {
    broken_answers: AtomicU64,
    dropped_replies: AtomicU64,
}

impl Observer {
    /// A leaf entered another state.
    pub fn leaf_state(&self, leaf: &LeafId, state: State) {
        log::info!("leaf {leaf} is {state}");
    }

    /// A request ran when its leaf reset.
    pub fn suspect(&self, leaf: &LeafId, fingerprint: Fingerprint, alone: bool) {
        log::warn!("leaf {leaf} reset while request {fingerprint} ran (alone: {alone})");
    }

    /// A suspected request succeeded.
    pub fn cleared(&self, leaf: &LeafId, fingerprint: Fingerprint) {
        log::info!("request {fingerprint} succeeded at leaf {leaf}, no longer suspected");
    }

    /// A connection is given up although its request has no answer.
    pub fn silent_connection(&self, leaf: &LeafId, attempt: AttemptId) {
        log::warn!("leaf {leaf}: connection of attempt {attempt} is silent, closed");
    }

    /// A leaf's answer did not match its call.
    pub fn broken_answer(&self, leaf: &LeafId, attempt: AttemptId, what: &str) {
        self.broken_answers.fetch_add(1, Ordering::Relaxed);
        log::warn!("leaf {leaf}: answer to attempt {attempt} dropped: {what}");
    }

    /// A reply did not match its attempt in the merge.
    pub fn dropped_reply(&self, attempt: AttemptId, what: &str) {
        self.dropped_replies.fetch_add(1, Ordering::Relaxed);
        log::warn!("reply to attempt {attempt} dropped: {what}");
    }

    /// Number of answers of leaves that were dropped.
    pub fn broken_answers(&self) -> u64 {
        self.broken_answers.load(Ordering::Relaxed)
    }

    /// Number of replies that were dropped in the merge.
    pub fn dropped_replies(&self) -> u64 {
        self.dropped_replies.load(Ordering::Relaxed)
    }
}
