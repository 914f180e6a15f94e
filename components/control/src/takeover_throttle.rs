//! Lower concurrency towards a leaf that was taken over.
//!
//! The old holder may still have one request in flight, sent under warm-only rights or just before
//! its process ended. For one session time the new holder therefore sends one concurrent request
//! less than a cold leaf can handle.

use {
    crate::assignment::{Assignment, Holding},
    std::collections::BTreeMap,
    wigeonramp_units::{Epoch, InstanceId, Instant, LeafId, Slots, Span},
};

#[derive(Clone, Copy, Debug)]
struct Takeover {
    epoch: Epoch,
    first_seen: Instant,
}

/// Leaves that this instance took over, with the time at which it learned of each takeover.
#[derive(Clone, Debug)]
pub struct TakeoverThrottle {
    session_time: Span,
    takeovers: BTreeMap<LeafId, Takeover>,
}

impl TakeoverThrottle {
    /// Creates a throttle without takeovers.
    pub fn new(session_time: Span) -> Self {
        Self { session_time, takeovers: BTreeMap::new() }
    }

    /// Records that this instance adopted `assignment`. A takeover counts from the first assignment
    /// that shows it.
    pub fn on_assignment(&mut self, instance: &InstanceId, assignment: &Assignment, now: Instant) {
        let mine =
            assignment.holdings.iter().filter(|(_, h)| h.taken_over && h.instance == *instance);
        let takeover = |(leaf, holding): (&LeafId, &Holding)| {
            let epoch = holding.epoch;
            let known = self.takeovers.get(leaf).filter(|known| known.epoch == epoch);
            (leaf.clone(), known.copied().unwrap_or(Takeover { epoch, first_seen: now }))
        };
        self.takeovers = mine.map(takeover).collect();
    }

    /// Number of concurrent requests that a cold `leaf` may get at first; `declared` is the
    /// configured number.
    pub fn cold_in_flight(&self, leaf: &LeafId, declared: Slots, now: Instant) -> Slots {
        let recent = |takeover: &Takeover| now.since(takeover.first_seen) < self.session_time;
        if !self.takeovers.get(leaf).is_some_and(recent) {
            return declared;
        }
        Slots(declared.get().saturating_sub(1).max(1))
    }
}
