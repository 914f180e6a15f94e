//! What leaves say of themselves in a run: that they are leaving, or that they want a pause.

use {
    crate::fleet::{Fleet, LeafPause},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Time between two notices, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 200..900;
/// Time for which a leaf says that it is leaving, in milliseconds; longer than hosts may still use it.
const LEAVING_MS: std::ops::Range<u64> = 4_000..5_500;
/// Time for which a leaf turns all requests away, in milliseconds.
const REFUSING_MS: std::ops::Range<u64> = 300..2_500;
/// Pauses that leaves ask for, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 700..3_500;

/// A notice that a leaf gives at the moment, with the index of the leaf.
enum Current {
    Leaving(usize),
    Pausing(usize),
}

/// Notices of one run; one leaf at a time gives one.
pub(crate) struct LeafNotices {
    rng: SmallRng,
    next_at: Instant,
    current: Option<Current>,
}

impl LeafNotices {
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), next_at: Instant::now(), current: None }
    }

    /// Does what is due; returns the description of a notice that begins.
    pub fn advance(&mut self, fleet: &mut Fleet) -> Option<String> {
        let now = Instant::now();
        if now < self.next_at {
            return None;
        }
        if self.finish(fleet) {
            self.next_at = now + Duration::from_millis(self.rng.random_range(GAP_MS));
            return None;
        }
        let index = self.rng.random_range(0..fleet.leaves.len());
        let leaf = fleet.leaves[index].0.clone();
        let id = leaf.id().to_owned();
        if self.rng.random() {
            leaf.set_leaving(true);
            fleet.history.leaving.push((id.clone(), now));
            self.current = Some(Current::Leaving(index));
            self.next_at = now + Duration::from_millis(self.rng.random_range(LEAVING_MS));
            return Some(format!("{id} says that it is leaving"));
        }
        let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
        leaf.set_pause(Some(&format!("{}", pause.as_secs_f64())));
        let (start, end) = (now, None);
        fleet.history.pauses.push(LeafPause { leaf: id.clone(), pause, start, end });
        self.current = Some(Current::Pausing(index));
        self.next_at = now + Duration::from_millis(self.rng.random_range(REFUSING_MS));
        Some(format!("{id} asks for pauses of {pause:?}"))
    }

    /// Ends the notice, if any; returns whether there was one. A leaf that was leaving is replaced.
    pub fn finish(&mut self, fleet: &mut Fleet) -> bool {
        match self.current.take() {
            None => return false,
            Some(Current::Pausing(index)) => {
                fleet.leaves[index].0.set_pause(None);
                if let Some(pause) = fleet.history.pauses.last_mut() {
                    pause.end = Some(Instant::now());
                }
            }
            Some(Current::Leaving(index)) => {
                let leaf = fleet.leaves[index].0.clone();
                leaf.unregister();
                if let Err(err) = fleet.add_leaf(leaf.service(), "b") {
                    eprintln!("cannot start a leaf of service {}: {err}", leaf.service());
                }
            }
        }
        true
    }
}
