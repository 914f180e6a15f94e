//! What one host knows of one leaf.
//!
//! Health is learned from traffic: how long answers take compared with what is usual on their
//! route, requests that are overdue now, and broken connections. What the leaf says of its own
//! health is not asked.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    wigeonramp_units::{Instant, LeafId, ServiceId, Span, ZoneId},
};

/// A leaf as it registers itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeafRegistration {
    /// Its id; mostly new at each start.
    pub id: LeafId,
    /// The service that it answers for.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it is cold.
    pub cold_left: Span,
    /// Its start, in milliseconds since 1970 on its own clock; tells starts under one id apart.
    pub born: Option<u64>,
}

/// Weight of a new answer in the slowness of a leaf.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// The slowness that is remembered halves its distance from the usual in this time, so that a leaf
/// that was slow is tried again.
const SLOWNESS_HALF_LIFE: Span = Span::secs(4);
/// Bound of the slowness, so that one very late answer is forgotten in time.
const MAX_SLOWNESS: f64 = 20.0;
/// Slowness that a failed answer counts as.
const FAILED_SLOWNESS: f64 = 8.0;
/// A request is overdue after this many hundredths of its usual time.
const OVERDUE_PERCENT: u64 = 250;
/// Shortest time after which a request is overdue.
const MIN_OVERDUE: Span = Span::millis(15);
/// First pause after a broken connection; doubles with each further one.
const FIRST_PAUSE: Span = Span::millis(400);
/// Longest pause after broken connections.
const MAX_PAUSE: Span = Span::secs(4);
/// Doublings of the pause.
const MAX_DOUBLINGS: u32 = 4;

/// How a send to a leaf ended, for the leaf's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthSignal {
    /// A sound answer.
    Answered,
    /// The leaf answered that it did not or could not serve the request.
    Failed,
    /// The connection broke or could not be opened.
    Broken,
    /// No answer while it mattered.
    Silent,
    /// This host gave the send up for reasons of its own.
    Abandoned,
}

/// A leaf and its measured health.
#[derive(Clone, Debug)]
pub struct Leaf {
    /// What it registered.
    pub entry: LeafRegistration,
    /// End of its cold state.
    pub cold_until: Instant,
    /// Its registration has lapsed; it is used until then.
    pub lapsed_until: Option<Instant>,
    /// Another leaf answered at its address.
    pub misdirected: bool,
    pending: Vec<Pending>,
    slowness: f64,
    slowness_at: Instant,
    broken: u32,
    paused_until: Instant,
    cold_tokens: f64,
    cold_tokens_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    sent: Instant,
    overdue: Instant,
}

impl Leaf {
    /// A leaf about which only its registration is known.
    pub fn new(entry: LeafRegistration, now: Instant) -> Self {
        let cold_until = now + entry.cold_left;
        Self {
            entry,
            cold_until,
            lapsed_until: None,
            misdirected: false,
            pending: Vec::new(),
            slowness: 1.0,
            slowness_at: now,
            broken: 0,
            paused_until: Instant(0),
            cold_tokens: 0.0,
            cold_tokens_at: now,
        }
    }

    /// Takes in a changed registration; returns whether it is another start of the leaf, so that
    /// nothing learned of it before holds.
    pub fn update(&mut self, entry: LeafRegistration, now: Instant) -> bool {
        let restarted = entry.born != self.entry.born
            || entry.address != self.entry.address
            || entry.service != self.entry.service;
        if restarted {
            let pending = std::mem::take(&mut self.pending);
            *self = Leaf::new(entry, now);
            self.pending = pending;
            return true;
        }
        self.cold_until = now + entry.cold_left;
        self.entry = entry;
        self.lapsed_until = None;
        false
    }

    /// A request is sent that usually takes `usual`.
    pub fn sent(&mut self, usual: Span, now: Instant) {
        let overdue = now + usual.percent(OVERDUE_PERCENT).max(MIN_OVERDUE);
        self.pending.push(Pending { sent: now, overdue });
    }

    /// A request that was sent at `sent` has ended.
    pub fn ended(&mut self, sent: Instant, usual: Span, end: HealthSignal, now: Instant) {
        if let Some(at) = self.pending.iter().position(|pending| pending.sent == sent) {
            self.pending.swap_remove(at);
        }
        let ratio = now.since(sent).0 as f64 / usual.0.max(1) as f64;
        match end {
            HealthSignal::Answered => {
                self.broken = 0;
                self.learn(ratio, now);
            }
            HealthSignal::Failed => self.learn(ratio.max(FAILED_SLOWNESS), now),
            HealthSignal::Silent => {
                self.learn(ratio.max(FAILED_SLOWNESS), now);
                self.pause(now);
            }
            HealthSignal::Broken => self.pause(now),
            HealthSignal::Abandoned => {}
        }
    }

    fn learn(&mut self, ratio: f64, now: Instant) {
        let known = self.slowness(now);
        let ratio = ratio.min(MAX_SLOWNESS);
        self.slowness = known + (ratio - known) * SLOWNESS_WEIGHT;
        self.slowness_at = now;
    }

    fn pause(&mut self, now: Instant) {
        if now < self.paused_until {
            return;
        }
        let pause = FIRST_PAUSE * (1 << self.broken.min(MAX_DOUBLINGS));
        self.broken += 1;
        self.paused_until = now + pause.min(MAX_PAUSE);
    }

    /// How many times the usual time its answers take.
    pub fn slowness(&self, now: Instant) -> f64 {
        let age = now.since(self.slowness_at).0 as f64 / SLOWNESS_HALF_LIFE.0 as f64;
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(age)
    }

    /// Requests sent and not ended.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Whether a request sent to it is overdue.
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.pending.iter().any(|pending| pending.overdue <= now)
    }

    /// End of the pause after broken connections.
    pub fn paused_until(&self) -> Instant {
        self.paused_until
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// The leaf did not take a connection, so it may have started anew: it counts as cold for
    /// `time`, the declared time after a start, until its registration says otherwise.
    pub fn was_down(&mut self, time: Span, now: Instant) {
        self.cold_until = self.cold_until.max(now + time);
    }

    /// Sends that the cold leaf is allowed now, one at most, when this host may send it `per_second`.
    fn cold_room(&self, per_second: f64, now: Instant) -> f64 {
        let earned = now.since(self.cold_tokens_at).0 as f64 / 1e6 * per_second;
        (self.cold_tokens + earned).min(1.0)
    }

    /// Whether the cold leaf is allowed a send.
    pub fn may_take_cold(&self, per_second: f64, now: Instant) -> bool {
        self.cold_room(per_second, now) >= 1.0
    }

    /// Counts one send to the cold leaf.
    pub fn take_cold(&mut self, per_second: f64, now: Instant) {
        self.cold_tokens = self.cold_room(per_second, now) - 1.0;
        self.cold_tokens_at = now;
    }
}
