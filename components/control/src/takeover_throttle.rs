//! Extra care of a holder that took a leaf over.
//!
//! The old holder may still run one request in warm-only rights, or one that it sent before its end.
//! For one session time the new holder stays one request below what a cold leaf bears.

use {
    crate::assignment::{Assignment, Holding},
    std::collections::BTreeMap,
    wigeonramp_units::{Epoch, InstanceId, Instant, LeafId, Slots, Span},
};

#[derive(Clone, Copy, Debug)]
struct Taken {
    epoch: Epoch,
    seen: Instant,
}

/// When this instance learned of its takeovers.
#[derive(Clone, Debug)]
pub struct TakeoverThrottle {
    session_time: Span,
    taken: BTreeMap<LeafId, Taken>,
}

impl TakeoverThrottle {
    /// No takeovers.
    pub fn new(session_time: Span) -> Self {
        Self { session_time, taken: BTreeMap::new() }
    }

    /// This instance adopted `assignment`; a takeover counts from the first time it is seen.
    pub fn on_assignment(&mut self, me: &InstanceId, assignment: &Assignment, now: Instant) {
        let mine = assignment.holdings.iter().filter(|(_, h)| h.taken_over && h.instance == *me);
        let taken = |(leaf, holding): (&LeafId, &Holding)| {
            let epoch = holding.epoch;
            let known = self.taken.get(leaf).filter(|known| known.epoch == epoch);
            (leaf.clone(), known.copied().unwrap_or(Taken { epoch, seen: now }))
        };
        self.taken = mine.map(taken).collect();
    }

    /// Requests at the same time that a cold `leaf` may get at first, out of the declared number.
    pub fn cold_in_flight(&self, leaf: &LeafId, declared: Slots, now: Instant) -> Slots {
        let recent = |taken: &Taken| now.since(taken.seen) < self.session_time;
        if !self.taken.get(leaf).is_some_and(recent) {
            return declared;
        }
        Slots(declared.get().saturating_sub(1).max(1))
    }
}
