//! A leaf with slots, pauses, a speed of its own, and a version that may be bad.

use {
    super::plan::{Plan, VersionFault, When},
    rand::{Rng, RngExt},
    std::collections::VecDeque,
    wigeonramp_units::{Instant, Span},
};

/// Window of the measured load of a leaf.
const LOAD_WINDOW: Span = Span::secs(1);

pub struct SimLeaf {
    pub is_candidate: bool,
    pub zone: usize,
    speed: f64,
    free_at: [Instant; 2],
    pause_offset: u64,
    arrivals: VecDeque<Instant>,
}

/// How a request ends at a leaf.
pub struct Served {
    pub done: Instant,
    pub status: u16,
    pub is_bad: bool,
}

impl SimLeaf {
    pub fn new(is_candidate: bool, zone: usize, plan: &Plan, rng: &mut impl Rng) -> Self {
        Self {
            is_candidate,
            zone,
            speed: rng.random_range(0.8..1.3),
            free_at: [Instant(0); 2],
            pause_offset: rng.random_range(0..plan.pause.0.0),
            arrivals: VecDeque::new(),
        }
    }

    /// Returns the time from which the leaf works again if it pauses.
    fn resumed(&self, at: Instant, plan: &Plan) -> Instant {
        let (interval, length) = plan.pause;
        let into = (at.0 + self.pause_offset) % interval.0;
        if into < length.0 { at + Span(length.0 - into) } else { at }
    }

    fn is_bad_now(&mut self, plan: &Plan, route: usize, age: f64, now: Instant) -> bool {
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| now.since(*at) > LOAD_WINDOW) {
            self.arrivals.pop_front();
        }
        match plan.when {
            _ if !self.is_candidate => false,
            When::Always => true,
            When::Later(part) => age >= part,
            When::UnderLoad(rate) => self.arrivals.len() as f64 > rate,
            When::OneRoute => route == 1,
        }
    }

    /// Serves a request that arrives now; `age` is the order's age as a part of its duration.
    pub fn serve(
        &mut self,
        plan: &Plan,
        route: usize,
        age: f64,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Served {
        let mut work = rng.random_range(4_000.0..11_000.0) * self.speed;
        let is_bad_now = self.is_bad_now(plan, route, age, now);
        let (mut status, mut is_bad) = (200, false);
        match plan.version_fault {
            VersionFault::Failing(share) if is_bad_now && rng.random_bool(share) => {
                (status, is_bad) = (500, true);
            }
            VersionFault::Slow(share, factor) if is_bad_now && rng.random_bool(share) => {
                work *= factor;
                is_bad = true;
            }
            _ => {}
        }
        let slot = usize::from(self.free_at[1] < self.free_at[0]);
        let start = self.resumed(now.max(self.free_at[slot]), plan);
        let done = self.resumed(start + Span(work as u64), plan);
        self.free_at[slot] = done;
        Served { done, status, is_bad }
    }
}
