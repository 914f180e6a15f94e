//! Settings of a leaf's normal behaviour, apart from faults.

use {
    rand::{Rng, RngExt},
    serde::{Deserialize, Serialize},
    std::f64::consts::TAU,
    wigeonramp_units::{Percent, Span},
};

/// Behaviour of a leaf. New settings replace all fields: missing ones take their defaults.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeafSettings {
    /// Time that a request occupies its slot.
    pub service: ServiceTime,
    /// Percentage of requests that are slowed down by `straggler_factor`.
    pub straggler_percent: Percent,
    /// Factor of the service time of stragglers.
    pub straggler_factor: u32,
    /// Maximum number of requests waiting for a slot; further ones get status 503.
    pub queue: usize,
    /// Number of rows in each response.
    pub rows: u32,
    /// Number of responses to requests within the allowance after which the cold state ends.
    pub cold_requests: u32,
    /// Time after which the cold state ends.
    pub cold_time: Span,
    /// Service time of a cold leaf in percent of a warm leaf's.
    pub cold_slowdown: Percent,
    /// Time after the announcement of a cold start (first response with the new boot id, or reset)
    /// during which excess load still counts as unannounced, because the client may not have seen
    /// the announcement yet.
    pub announce_grace: Span,
    /// State that `/health` reports.
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

/// Log-normal distribution of service times, limited to `max`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// Median.
    pub median: Span,
    /// Standard deviation of the logarithm, in hundredths; with 0 every request takes the median.
    pub sigma: Percent,
    /// Upper limit.
    pub max: Span,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self { median: Span::millis(8), sigma: Percent(30), max: Span::secs(1) }
    }
}

impl ServiceTime {
    /// Draws a random service time.
    pub(crate) fn sample<R: Rng>(&self, rng: &mut R) -> Span {
        let sigma = f64::from(self.sigma.get()) / 100.0;
        // Box-Muller transform; `1.0 - x` keeps the logarithm's argument above 0.
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * rng.random::<f64>()).cos();
        let micros = self.median.0 as f64 * (sigma * normal).exp();
        Span(micros as u64).min(self.max)
    }
}

/// State that `/health` reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthReport {
    /// The actual state and load.
    Truthful,
    /// Warm and idle, whatever the actual state.
    AlwaysWell,
    /// Cold and fully loaded, whatever the actual state.
    AlwaysIll,
}
