//! The schedule of arrivals.

use {
    crate::class::QueryClass,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    wigeonramp_units::{PerSecond, Span},
};

/// One query that will be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Time after the start of the run.
    pub at: Span,
    /// Index of the class.
    pub class: usize,
    /// Which of the class's bodies is sent.
    pub body_index: u64,
}

/// Poisson arrivals, fixed by a seed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// Arrivals by ascending time.
    pub arrivals: Vec<Arrival>,
    /// Length of the run.
    pub length: Span,
}

impl Schedule {
    /// Arrivals at `rate` over `length`, split over `classes` by weight.
    pub fn poisson(classes: &[QueryClass], rate: PerSecond, length: Span, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut at = next_gap(&mut rng, rate);
        while at < length {
            let class = pick(&mut rng, classes);
            let body_index = rng.random_range(0..classes[class].distinct);
            arrivals.push(Arrival { at, class, body_index });
            at = at + next_gap(&mut rng, rate);
        }
        Self { arrivals, length }
    }
}

fn next_gap(rng: &mut ChaCha8Rng, rate: PerSecond) -> Span {
    const MICROS_PER_SECOND: f64 = 1e6;
    let uniform: f64 = rng.random();
    let gap = -(1.0 - uniform).ln() * MICROS_PER_SECOND / f64::from(rate.get().max(1));
    Span(gap as u64)
}

fn pick(rng: &mut ChaCha8Rng, classes: &[QueryClass]) -> usize {
    let total: u32 = classes.iter().map(|class| class.weight).sum();
    let mut left = rng.random_range(0..total);
    for (index, class) in classes.iter().enumerate() {
        if left < class.weight {
            return index;
        }
        left -= class.weight;
    }
    classes.len() - 1
}
