//! Returns of the store from earlier copies, beside the other faults of a run.

use {
    crate::fleet::Fleet,
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IteratorRandom},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::store::{StoreCopy, StoreFault},
};

/// Age of the oldest copy that the store comes back from.
const MAX_AGE: Duration = Duration::from_secs(10);
/// Interval of copies.
const COPY_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two returns, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 2_000..12_000;
/// Time for which the store is away, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 200..1_500;
/// Time until operators and leaves write again what was lost, in milliseconds.
const REWRITE_MS: std::ops::Range<u64> = 0..1_200;

enum Step {
    Leave,
    Return,
    Rewrite,
}

/// Returns of the store from copies in one run.
pub(crate) struct StoreCopies {
    rng: SmallRng,
    copies: VecDeque<(Instant, StoreCopy)>,
    next_copy: Instant,
    next_step: (Instant, Step),
}

impl StoreCopies {
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = Instant::now();
        let first = now + Duration::from_millis(rng.random_range(PAUSE_MS));
        Self { rng, copies: VecDeque::new(), next_copy: now, next_step: (first, Step::Leave) }
    }

    /// Does what is due; returns the description of a return from a copy.
    pub fn advance(&mut self, fleet: &mut Fleet) -> Option<String> {
        let now = Instant::now();
        if now >= self.next_copy {
            self.next_copy = now + COPY_INTERVAL;
            self.copies.push_back((now, fleet.store.copy()));
            while self.copies.front().is_some_and(|(at, _)| now - *at > MAX_AGE) {
                self.copies.pop_front();
            }
        }
        let (due, step) = &self.next_step;
        if now < *due {
            return None;
        }
        fleet.record_disturbance();
        let (pause, next, description) = match step {
            Step::Leave => {
                fleet.store.set_fault(StoreFault::Reset);
                (OUTAGE_MS, Step::Return, None)
            }
            Step::Return => {
                let age = self.restore(fleet, now);
                (REWRITE_MS, Step::Rewrite, Some(format!("store back from a copy of {age:?} ago")))
            }
            Step::Rewrite => {
                fleet.write_again();
                (PAUSE_MS, Step::Leave, None)
            }
        };
        let pause = Duration::from_millis(self.rng.random_range(pause));
        self.next_step = (now + pause, next);
        description
    }

    fn restore(&mut self, fleet: &mut Fleet, now: Instant) -> Duration {
        let copy = self.copies.iter().choose(&mut self.rng);
        let age = copy.map_or(Duration::ZERO, |(at, _)| now - *at);
        if let Some((_, copy)) = copy {
            fleet.store.restore(copy);
        }
        fleet.store.set_fault(StoreFault::None);
        age
    }

    /// Leaves the store in service with everything that was written.
    pub fn finish(&mut self, fleet: &mut Fleet) {
        fleet.store.set_fault(StoreFault::None);
        fleet.write_again();
    }
}
