//! Selection of the first attempts that go to the candidate.
//!
//! Load: many hosts with a few requests per second each, whose sum must stay within the bound on
//! the exposure. A host accumulates credit with each request; the credit starts at a random
//! fraction, so that the rounding of many hosts has no bias.

use {
    super::order::{Phase, ReleaseBounds},
    rand::{Rng, RngExt},
    wigeonramp_units::{Instant, Span},
};

/// Part of the exposure share that the canary phase uses. The rest is for the steps after it.
const CANARY_FRACTION: f64 = 0.35;
/// Part of the slack that all hosts together spend at the start of an order, which shows a version
/// that is bad at once and gives one leaf of it a normal load.
const BURST_FRACTION: f64 = 0.2;
/// Part of the slack that is spent evenly over the canary phase while the request rate is not
/// known.
const EVEN_FRACTION: f64 = 0.25;
/// Highest value of that part, used at a service without requests.
const MAX_EVEN_FRACTION: f64 = 0.6;
/// Lowest value of that part.
const MIN_EVEN_FRACTION: f64 = 0.06;
/// Time for whose requests the slack is kept for the steps after the canary phase.
const KEPT_FOR_STEPS: Span = Span::millis(400);
/// Part of the first attempts that the burst may use, so that the baseline is measured in the same
/// time.
const BURST_SHARE: f64 = 0.5;
/// Highest credit; a host whose requests pause does not send a burst afterwards.
const MAX_CREDIT: f64 = 1.5;
/// Part of an order's duration that the canary phase takes.
pub const CANARY_PERCENT: u64 = 62;

/// Credit of one host for one order.
#[derive(Clone, Debug)]
pub struct Credit {
    credit: f64,
    burst: f64,
    /// This host's part of the slack.
    slack: f64,
    /// Slack of all hosts.
    whole_slack: f64,
    canary_seconds: f64,
    /// Part of the slack that is spent evenly over the canary phase.
    even_fraction: f64,
    credited_at: Instant,
}

impl Credit {
    /// Creates the credit of a host with this share of the traffic. Only hosts that saw the order
    /// appear spend from the slack: one that has just started may be one of many.
    pub fn new(
        bounds: &ReleaseBounds,
        duration: Span,
        traffic_share: f64,
        saw_appear: bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Self {
        let slack = if saw_appear { bounds.exposure_slack * traffic_share.min(1.0) } else { 0.0 };
        let canary = duration.percent(CANARY_PERCENT).0.max(1) as f64 / 1e6;
        let burst = slack * BURST_FRACTION;
        let rounded = burst.floor() + f64::from(u8::from(rng.random::<f64>() < burst.fract()));
        Self {
            credit: rng.random(),
            burst: rounded,
            slack,
            whole_slack: bounds.exposure_slack.max(1.0),
            canary_seconds: canary,
            even_fraction: EVEN_FRACTION,
            credited_at: now,
        }
    }

    /// Whether the next first attempt goes to the candidate, which uses the credit.
    pub fn take(
        &mut self,
        phase: Phase,
        bounds: &ReleaseBounds,
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        let share = match phase.share() {
            Some(share) => share,
            None => {
                if self.burst >= 1.0 && rng.random::<f64>() < BURST_SHARE {
                    self.burst -= 1.0;
                    return true;
                }
                let per_second = self.slack * self.even_fraction / self.canary_seconds;
                self.credit += now.since(self.credited_at).0 as f64 / 1e6 * per_second;
                bounds.exposure_share * CANARY_FRACTION
            }
        };
        self.credited_at = now;
        self.credit = (self.credit + share).min(MAX_CREDIT);
        let taken = self.credit >= 1.0;
        if taken {
            self.credit -= 1.0;
        }
        taken
    }

    /// Sets the request rate of the service: the more requests, the more of the slack the steps
    /// after the canary phase need.
    pub fn set_rate(&mut self, per_second: u32) {
        if per_second > 0 {
            let kept = f64::from(per_second) * KEPT_FOR_STEPS.0 as f64 / 1e6 / self.whole_slack;
            self.even_fraction =
                (MAX_EVEN_FRACTION - kept).clamp(MIN_EVEN_FRACTION, MAX_EVEN_FRACTION);
        }
    }

    /// Returns the credit of an attempt that found no leaf of the candidate.
    pub fn give_back(&mut self) {
        self.credit = (self.credit + 1.0).min(MAX_CREDIT);
    }
}
