//! Behaviour of leaves without faults.

use {
    rand::{Rng, RngExt},
    serde::{Deserialize, Serialize},
    std::f64::consts::TAU,
    wigeonramp_units::{Percent, Span},
};

/// How leaves behave; replaced as a whole, missing fields take their defaults.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeafSettings {
    /// Time that a request takes in its slot.
    pub service: ServiceTime,
    /// Requests that take `straggler_factor` times as long, in hundredths.
    pub straggler_percent: Percent,
    /// Slowdown of straggling requests.
    pub straggler_factor: u32,
    /// Requests that wait for a slot before further ones get status 503.
    pub queue: usize,
    /// Rows in each answer.
    pub rows: u32,
    /// Answers within the allowance that end the cold state.
    pub cold_requests: u32,
    /// Time that ends the cold state.
    pub cold_time: Span,
    /// Service time of a cold leaf in hundredths of that of a warm one.
    pub cold_slowdown: Percent,
    /// Time from the first sign of a cold start (first answer with the new boot id, or reset) in
    /// which excess load counts as unannounced, because the sender may not have seen the sign.
    pub announce_grace: Span,
    /// What `/health` says.
    pub health: HealthReport,
}

impl Default for LeafSettings {
    fn default() -> Self {
        Self {
            service: ServiceTime::default(),
            straggler_percent: Percent(0),
            straggler_factor: 10,
            queue: 8,
            rows: 3,
            cold_requests: 16,
            cold_time: Span::secs(10),
            cold_slowdown: Percent(200),
            announce_grace: Span::millis(20),
            health: HealthReport::Truthful,
        }
    }
}

/// A log-normal distribution, cut at `max`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// Half of the requests take no longer.
    pub median: Span,
    /// Standard deviation of the logarithm, in hundredths; 0 makes all requests take the median.
    pub sigma: Percent,
    /// No request takes longer.
    pub max: Span,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self { median: Span::millis(8), sigma: Percent(30), max: Span::secs(1) }
    }
}

impl ServiceTime {
    /// Draws one service time.
    pub(crate) fn draw<R: Rng>(&self, rng: &mut R) -> Span {
        let sigma = f64::from(self.sigma.get()) / 100.0;
        // Box-Muller transform; `1.0 - x` keeps the logarithm's argument above 0.
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * rng.random::<f64>()).cos();
        let micros = self.median.0 as f64 * (sigma * normal).exp();
        Span(micros as u64).min(self.max)
    }
}

/// What `/health` says.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthReport {
    /// The leaf's real state and load.
    Truthful,
    /// Warm and idle, whatever is true.
    AlwaysWell,
    /// Cold and fully loaded, whatever is true.
    AlwaysIll,
}
