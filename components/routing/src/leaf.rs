//! One leaf as this host sees it.
//!
//! Health is derived from traffic alone: the latency of responses relative to the typical latency
//! of their route, requests that are overdue, and broken connections. The leaf's own health reports
//! are not used.

use {
    crate::{connections::ConnectionRoom, notices::Notice, releases::order::Version},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    wigeonramp_units::{Instant, LeafId, ServiceId, Span, ZoneId},
};

/// Registration of a leaf.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeafRegistration {
    /// Id of the leaf; usually new at each start.
    pub id: LeafId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone of the leaf.
    pub zone: ZoneId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining and gets no new requests.
    pub draining: bool,
    /// Remaining time for which it is cold.
    pub cold_left: Span,
    /// Time of its start, in milliseconds since 1970 on its own clock; distinguishes starts under
    /// the same id.
    pub born: Option<u64>,
    /// Number of the heartbeat that wrote the registration; rises while the process runs.
    #[serde(default)]
    pub sequence: u64,
    /// Version of the program that it runs; none if it names none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
}

/// One process of a leaf, which may start again under the same id.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeafInstance {
    /// Id of the leaf.
    pub id: LeafId,
    /// Time of the process's start, in milliseconds since 1970 on its own clock.
    pub born: Option<u64>,
}

impl LeafRegistration {
    /// Returns the process that wrote the registration.
    pub fn instance(&self) -> LeafInstance {
        LeafInstance { id: self.id.clone(), born: self.born }
    }
}

/// Weight of a new response in the moving average of the latency ratio.
const RATIO_WEIGHT: f64 = 0.3;
/// Half-life with which the latency ratio decays towards 1, so that a leaf that was slow is tried
/// again.
const RATIO_HALF_LIFE: Span = Span::secs(4);
/// Upper bound of the latency ratio, so that one very late response does not weigh for long.
const MAX_RATIO: f64 = 20.0;
/// Minimum latency ratio that a failed attempt is recorded with.
const FAILED_RATIO: f64 = 8.0;
/// Time after which a request is overdue, in percent of the typical latency.
const OVERDUE_PERCENT: u64 = 250;
/// Shortest time after which a request is overdue.
const MIN_OVERDUE: Span = Span::millis(15);
/// First backoff after a broken connection; doubles with each further one.
const FIRST_BACKOFF: Span = Span::millis(400);
/// Longest backoff after broken connections.
const MAX_BACKOFF: Span = Span::secs(4);
/// Maximum number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 4;

/// End of an attempt as it counts for the leaf's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthSignal {
    /// The leaf sent a valid response.
    Answered,
    /// The leaf responded that it did not or could not serve the request.
    Failed,
    /// The connection broke or could not be opened.
    Broken,
    /// The leaf did not respond in time.
    Silent,
    /// This host ended the attempt for a reason unrelated to the leaf.
    Abandoned,
}

/// A leaf with the health that this host measured.
#[derive(Clone, Debug)]
pub struct Leaf {
    /// Registration of the leaf.
    pub registration: LeafRegistration,
    /// End of its cold state by its registration.
    pub cold_until: Instant,
    /// End of the cold state in which it may be since it did not accept a connection, and the time
    /// of that.
    presumed_cold: Option<(Instant, Instant)>,
    /// Time until which the leaf is used although its registration has lapsed.
    pub grace_until: Option<Instant>,
    /// Whether another leaf responded at its address.
    pub address_reused: bool,
    /// What its process has said of itself.
    pub notice: Notice,
    /// Connections of this host to it.
    pub room: ConnectionRoom,
    pending: Vec<Pending>,
    /// Moving average of latency divided by typical latency.
    latency_ratio: f64,
    latency_ratio_at: Instant,
    /// Backoffs since the last valid response.
    backoffs: u32,
    backoff_until: Instant,
    cold_tokens: f64,
    cold_tokens_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    sent: Instant,
    overdue: Instant,
}

impl Leaf {
    /// Creates a leaf without measurements.
    pub fn new(registration: LeafRegistration, now: Instant) -> Self {
        let cold_until = now + registration.cold_left;
        Self {
            registration,
            cold_until,
            presumed_cold: None,
            grace_until: None,
            address_reused: false,
            notice: Notice::default(),
            room: ConnectionRoom::default(),
            pending: Vec::new(),
            latency_ratio: 1.0,
            latency_ratio_at: now,
            backoffs: 0,
            backoff_until: Instant(0),
            cold_tokens: 0.0,
            cold_tokens_at: now,
        }
    }

    /// Applies a changed registration. Returns whether the leaf has restarted, in which case its
    /// health is reset.
    pub fn update(&mut self, registration: LeafRegistration, now: Instant) -> bool {
        let restarted = registration.born != self.registration.born
            || registration.address != self.registration.address
            || registration.service != self.registration.service;
        if restarted {
            let pending = std::mem::take(&mut self.pending);
            let is_same_process = registration.born.is_some()
                && registration.instance() == self.registration.instance();
            let notice = if is_same_process { self.notice } else { Notice::default() };
            let room = self.room.restarted();
            *self = Leaf { pending, notice, room, ..Leaf::new(registration, now) };
            return true;
        }
        self.cold_until = now + registration.cold_left;
        self.presumed_cold = None;
        self.registration = registration;
        self.grace_until = None;
        false
    }

    /// Records that a request with this typical latency was sent.
    pub fn on_sent(&mut self, typical_latency: Span, now: Instant) {
        let overdue = now + typical_latency.percent(OVERDUE_PERCENT).max(MIN_OVERDUE);
        self.pending.push(Pending { sent: now, overdue });
    }

    /// Records the end of a request that was sent at `sent`.
    pub fn on_ended(
        &mut self,
        sent: Instant,
        typical_latency: Span,
        signal: HealthSignal,
        now: Instant,
    ) {
        if let Some(at) = self.pending.iter().position(|pending| pending.sent == sent) {
            self.pending.swap_remove(at);
        }
        let ratio = now.since(sent).0 as f64 / typical_latency.0.max(1) as f64;
        match signal {
            HealthSignal::Answered => {
                self.backoffs = 0;
                self.notice.on_answered(now);
                self.record_ratio(ratio, now);
            }
            HealthSignal::Failed => self.record_ratio(ratio.max(FAILED_RATIO), now),
            HealthSignal::Silent => {
                self.record_ratio(ratio.max(FAILED_RATIO), now);
                self.back_off(now);
            }
            HealthSignal::Broken => self.back_off(now),
            HealthSignal::Abandoned => {}
        }
    }

    fn record_ratio(&mut self, ratio: f64, now: Instant) {
        let current = self.latency_ratio(now);
        let ratio = ratio.min(MAX_RATIO);
        self.latency_ratio = current + (ratio - current) * RATIO_WEIGHT;
        self.latency_ratio_at = now;
    }

    fn back_off(&mut self, now: Instant) {
        if now < self.backoff_until {
            return;
        }
        let backoff = FIRST_BACKOFF * (1 << self.backoffs.min(MAX_DOUBLINGS));
        self.backoffs += 1;
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Returns the average latency as a multiple of the typical latency, decayed towards 1 since
    /// the last measurement.
    pub fn latency_ratio(&self, now: Instant) -> f64 {
        let age = now.since(self.latency_ratio_at).0 as f64 / RATIO_HALF_LIFE.0 as f64;
        1.0 + (self.latency_ratio - 1.0) * 0.5_f64.powf(age)
    }

    /// Returns the number of requests that have not ended.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Whether a pending request is overdue.
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.pending.iter().any(|pending| pending.overdue <= now)
    }

    /// Returns the end of the backoff after broken connections.
    pub fn backoff_until(&self) -> Instant {
        self.backoff_until
    }

    /// Whether the leaf is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_end()
    }

    /// Returns the end of its cold state, as far as this host knows.
    pub fn cold_end(&self) -> Instant {
        self.presumed_cold.map_or(self.cold_until, |(until, _)| until.max(self.cold_until))
    }

    /// Marks the leaf as cold because it did not accept a connection and may have restarted.
    /// `cold_for` is the declared time for which a leaf is cold after a start; a new registration
    /// overrides this.
    pub fn on_connect_failed(&mut self, cold_for: Span, now: Instant) {
        self.presumed_cold = Some((now + cold_for, now));
    }

    /// Forgets the failures since `since`, which were not the leaf's.
    pub fn forget_failures(&mut self, since: Instant) {
        self.presumed_cold.take_if(|(_, at)| *at >= since);
        self.backoffs = 0;
        self.backoff_until = Instant::default();
        if self.latency_ratio_at >= since {
            self.latency_ratio = 1.0;
        }
        self.room.forget_resets();
    }

    /// Returns the tokens for requests to the cold leaf: at most one, refilled at `per_second`.
    fn cold_tokens(&self, per_second: f64, now: Instant) -> f64 {
        let earned = now.since(self.cold_tokens_at).0 as f64 / 1e6 * per_second;
        (self.cold_tokens + earned).min(1.0)
    }

    /// Whether this host may send a request to the cold leaf.
    pub fn has_cold_token(&self, per_second: f64, now: Instant) -> bool {
        self.cold_tokens(per_second, now) >= 1.0
    }

    /// Returns the time until this host may send the leaf a request as far as its being cold
    /// matters.
    pub fn cold_wait(&self, per_second: Option<f64>, now: Instant) -> Span {
        let Some(per_second) = per_second.filter(|_| self.is_cold(now)) else { return Span::ZERO };
        let missing = 1.0 - self.cold_tokens(per_second, now);
        if missing <= 0.0 {
            return Span::ZERO;
        }
        // A rate of zero gives an infinite time, which the conversion bounds.
        let refill = Span((missing / per_second * 1e6).ceil() as u64);
        refill.min(self.cold_end().since(now))
    }

    /// Takes the token for one request to the cold leaf.
    pub fn take_cold_token(&mut self, per_second: f64, now: Instant) {
        self.cold_tokens = self.cold_tokens(per_second, now) - 1.0;
        self.cold_tokens_at = now;
    }
}
