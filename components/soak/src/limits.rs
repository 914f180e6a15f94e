//! Request limits that leaves name in a run.

use {
    crate::fleet::{Fleet, NamedLimit},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Time between two limits, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..1_500;
/// Time for which a leaf names a limit, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 4_500..9_000;
/// Limits in requests per second.
const LIMITS: std::ops::Range<u32> = 1..30;

/// Limits of one run; one leaf at a time names one.
pub(crate) struct LeafLimits {
    rng: SmallRng,
    next_at: Instant,
    /// Index of the leaf that names a limit.
    current: Option<usize>,
}

impl LeafLimits {
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), next_at: Instant::now(), current: None }
    }

    /// Does what is due; returns the description of a limit that begins.
    pub fn advance(&mut self, fleet: &mut Fleet) -> Option<String> {
        let now = Instant::now();
        if now < self.next_at {
            return None;
        }
        if self.finish(fleet) {
            self.next_at = now + Duration::from_millis(self.rng.random_range(PAUSE_MS));
            return None;
        }
        let index = self.rng.random_range(0..fleet.leaves.len());
        let limit = self.rng.random_range(LIMITS);
        let (leaf, _) = &fleet.leaves[index];
        leaf.set_limit(Some(&limit.to_string()));
        let id = leaf.id().to_owned();
        let description = format!("{id} names a limit of {limit} a second");
        fleet.history.limits.push(NamedLimit {
            leaf: id,
            limit: f64::from(limit),
            start: now,
            end: None,
        });
        self.current = Some(index);
        self.next_at = now + Duration::from_millis(self.rng.random_range(LENGTH_MS));
        Some(description)
    }

    /// Ends the limit, if any; returns whether there was one.
    pub fn finish(&mut self, fleet: &mut Fleet) -> bool {
        let Some(index) = self.current.take() else { return false };
        fleet.leaves[index].0.set_limit(None);
        if let Some(limit) = fleet.history.limits.last_mut() {
            limit.end = Some(Instant::now());
        }
        true
    }
}
