//! Schedules of query arrivals.

use {
    crate::class::QueryClass,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    wigeonramp_units::{PerSecond, Span},
};

/// Scheduled arrival of one query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Time since the start of the run.
    pub at: Span,
    /// Index of the query class.
    pub class: usize,
    /// Index of the body among the distinct bodies of the class.
    pub body_index: u64,
}

/// Poisson arrivals, determined by a seed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// Arrivals in ascending order of time.
    pub arrivals: Vec<Arrival>,
    /// Duration of the run.
    pub length: Span,
}

impl Schedule {
    /// Draws arrivals at `rate` over `length`, distributed over `classes` by weight.
    pub fn poisson(classes: &[QueryClass], rate: PerSecond, length: Span, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut at = next_gap(&mut rng, rate);
        while at < length {
            let class = pick_class(&mut rng, classes);
            let body_index = rng.random_range(0..classes[class].distinct);
            arrivals.push(Arrival { at, class, body_index });
            at = at + next_gap(&mut rng, rate);
        }
        Self { arrivals, length }
    }
}

/// Draws the exponentially distributed time to the next arrival.
fn next_gap(rng: &mut ChaCha8Rng, rate: PerSecond) -> Span {
    const MICROS_PER_SECOND: f64 = 1e6;
    let uniform: f64 = rng.random();
    let gap = -(1.0 - uniform).ln() * MICROS_PER_SECOND / f64::from(rate.get().max(1));
    Span(gap as u64)
}

/// Draws the index of a class by weight.
fn pick_class(rng: &mut ChaCha8Rng, classes: &[QueryClass]) -> usize {
    let total: u32 = classes.iter().map(|class| class.weight).sum();
    let mut remaining = rng.random_range(0..total);
    for (index, class) in classes.iter().enumerate() {
        if remaining < class.weight {
            return index;
        }
        remaining -= class.weight;
    }
    classes.len() - 1
}
