//! Time at which a gathered reply must leave this host to reach its caller within the target
//! latency.
//!
//! The target latency counts from the caller's first attempt to its receipt of the whole reply.
//! Three parts of it are spent outside the wait for leaves:
//!
//! - before the request was sent: the caller resolved an address, opened a connection or retried.
//!   Callers announce how long they still wait, and most callers of a route start with the same
//!   wait, so an announcement below the common one shows the time already spent;
//! - on the way: one round trip of the connection, half of it for the request and half for the
//!   reply;
//! - in this host: its event loop notices a due timer late, and encoding and writing the reply
//!   takes processor time. Both grow with the load and shrink with the host's share of a core.
//!
//! Each is measured; this module holds the estimates and adds them up. A reserve is added for
//! delays that no measurement of this host shows, such as queues on the links and at the caller. It
//! answers the load under which nearly every gathered request waits for a paused or slow leaf until
//! its reply is due: without a reserve each of these replies arrives around the target latency, and
//! many after it.

use {indexmap::IndexMap, std::collections::VecDeque, wigeonramp_units::Span};

/// Round-trip time assumed until a connection of any caller has a measured one.
const INITIAL_ROUND_TRIP: Span = Span::millis(4);
/// Round trips that a caller needs before the first request on a connection: it connects to a host
/// that resolves the name, gets the addresses, and connects to one of them.
const FIRST_ROUND_TRIPS: u64 = 3;
/// Upper bound of the margin for the variation of the round-trip time, in percent of that time.
const MAX_MARGIN_PERCENT: u64 = 50;
/// Number of recent announcements per route from which the common wait is derived.
const ANNOUNCEMENTS: usize = 32;
/// Minimum number of recent announcements of the same wait; a single one can be a caller with a
/// wait of its own.
const MIN_EQUAL: usize = 2;
/// Largest difference of announcements that count as equal; callers round to milliseconds.
const EQUAL_WITHIN: Span = Span::millis(1);
/// Weight of a new sample in the mean, as a divisor.
const MEAN_DIVISOR: f64 = 8.0;
/// Weight of a new sample in the mean deviation, as a divisor.
const DEVIATION_DIVISOR: f64 = 4.0;
/// Number of mean deviations above the mean that an estimate allows for.
const DEVIATIONS: f64 = 2.0;
/// Delay assumed for each part of the host's own delay before the first measurement.
const INITIAL_DELAY: Span = Span::millis(1);
/// Upper bound of the host's own delay, in percent of the target latency: a host with longer delays
/// would otherwise give up most parts and still be late.
const MAX_OWN_PERCENT: u64 = 25;

/// Reserve for delays that are not measured, in percent of the target latency. A late reply is
/// of little use to its caller, while only few parts arrive in this last part of the wait.
const RESERVE_PERCENT: u64 = 5;

/// Round-trip time of one connection, as its acknowledgements show it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RoundTrip {
    /// Smoothed time.
    pub smoothed: Span,
    /// Mean deviation of the samples.
    pub variation: Span,
    /// Shortest time of the last minutes; none if unknown.
    pub shortest: Option<Span>,
}

impl RoundTrip {
    /// Returns the time that a request and its reply need. A peer that delays acknowledgements
    /// raises the smoothed time and the variation but delays no reply, so the shortest time counts
    /// and the variation adds a bounded margin.
    fn with_margin(self) -> Span {
        let base = self.shortest.unwrap_or(self.smoothed);
        Span(base.0 + self.variation.min(base.percent(MAX_MARGIN_PERCENT)).0)
    }
}

/// What a host knows of the way to the caller when a request arrives.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallerPath {
    /// Round-trip time of the connection; none if it was not measured.
    pub round_trip: Option<RoundTrip>,
    /// Whether the request is the first on its connection.
    pub is_first: bool,
    /// Time for which the caller announced to wait.
    pub time_left: Option<Span>,
}

/// Parts of the target latency that are not available for the wait for leaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Overhead {
    /// Time that the caller spent before it sent the request.
    pub before: Span,
    /// Time that request and reply spend on the network.
    pub way: Span,
    /// Time from the moment at which the reply is due until it is written.
    pub own: Span,
    /// Reserve for delays that are not measured.
    pub reserve: Span,
}

impl Overhead {
    /// Returns the sum of all parts.
    pub fn total(&self) -> Span {
        Span(self.before.0 + self.way.0 + self.own.0 + self.reserve.0)
    }

    /// Returns the time between the caller's first attempt and its receipt of a reply that is
    /// written `latency` after the request's arrival.
    pub fn at_caller(&self, latency: Span) -> Span {
        Span(self.before.0 + self.way.0 + latency.0)
    }
}

/// Mean and mean deviation of a delay.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayEstimate {
    /// Mean and mean deviation in microseconds; none before the first sample.
    state: Option<(f64, f64)>,
}

impl DelayEstimate {
    /// Records a sample.
    pub fn record(&mut self, sample: Span) {
        let sample = sample.0 as f64;
        self.state = Some(match self.state {
            None => (sample, sample / 2.0),
            Some((mean, deviation)) => {
                let error = sample - mean;
                let deviation = deviation + (error.abs() - deviation) / DEVIATION_DIVISOR;
                (mean + error / MEAN_DIVISOR, deviation)
            }
        });
    }

    /// Returns a delay that most samples stay below, or `initial` before the first sample.
    pub fn upper(&self, initial: Span) -> Span {
        let upper = |(mean, deviation)| Span((mean + DEVIATIONS * deviation) as u64);
        self.state.map_or(initial, upper)
    }
}

/// Waits that the callers of one route announced recently.
#[derive(Clone, Debug, Default)]
struct AnnouncedWaits {
    recent: VecDeque<Span>,
}

impl AnnouncedWaits {
    fn record(&mut self, wait: Span) {
        if self.recent.len() == ANNOUNCEMENTS {
            self.recent.pop_front();
        }
        self.recent.push_back(wait);
    }

    /// Returns the longest wait that several recent requests announced.
    fn common(&self) -> Option<Span> {
        let count = |wait: Span| {
            let is_equal = |other: &&Span| other.0 <= wait.0 && **other + EQUAL_WITHIN >= wait;
            self.recent.iter().filter(is_equal).count()
        };
        self.recent.iter().copied().filter(|wait| count(*wait) >= MIN_EQUAL).max()
    }
}

/// Estimates of a host from which the time of a reply follows.
#[derive(Clone, Debug, Default)]
pub struct ReplyTiming {
    /// Delay with which the event loop handles a due timer.
    timer_delay: DelayEstimate,
    /// Time from the decision on a reply to its last byte written.
    write_delay: DelayEstimate,
    /// Round-trip times of all callers, for connections without one.
    round_trips: DelayEstimate,
    waits: IndexMap<String, AnnouncedWaits>,
}

impl ReplyTiming {
    /// Records the delay with which a timer was handled.
    pub fn record_timer_delay(&mut self, delay: Span) {
        self.timer_delay.record(delay);
    }

    /// Records the time from the decision on a reply to its last byte written.
    pub fn record_write_delay(&mut self, delay: Span) {
        self.write_delay.record(delay);
    }

    /// Returns the host's own delay between the time at which a reply is due and its last byte
    /// written.
    pub fn own_delay(&self) -> Span {
        Span(self.timer_delay.upper(INITIAL_DELAY).0 + self.write_delay.upper(INITIAL_DELAY).0)
    }

    /// Returns the overhead of a request on `route` with this target latency, and records what the
    /// request shows about the route's callers.
    pub fn overhead(&mut self, route: &str, target_latency: Span, path: &CallerPath) -> Overhead {
        let way = self.way(path);
        let own = self.own_delay().min(target_latency.percent(MAX_OWN_PERCENT));
        let before = self.before(route, path, way).filter(|before| *before < target_latency);
        let reserve = target_latency.percent(RESERVE_PERCENT);
        Overhead { before: before.unwrap_or_default(), way, own, reserve }
    }

    /// Returns the time that the caller spent before the request, if it can be told.
    fn before(&mut self, route: &str, path: &CallerPath, round_trip: Span) -> Option<Span> {
        let spent = path.time_left.and_then(|left| self.spent(route, left, path.is_first));
        match spent {
            Some(spent) if path.is_first => Some(spent.max(round_trip)),
            None if path.is_first => Some(round_trip * FIRST_ROUND_TRIPS),
            spent => spent,
        }
    }

    /// Returns the time on the network.
    fn way(&mut self, path: &CallerPath) -> Span {
        match path.round_trip {
            Some(round_trip) => {
                let way = round_trip.with_margin();
                self.round_trips.record(way);
                way
            }
            None => self.round_trips.upper(INITIAL_ROUND_TRIP),
        }
    }

    /// Returns the time that a caller spent before its request if it started with the wait that is
    /// common on the route; none if the common wait is unknown or shorter. The first request on a
    /// connection never has the whole wait left, so it does not count for the common one.
    fn spent(&mut self, route: &str, left: Span, is_first: bool) -> Option<Span> {
        if !self.waits.contains_key(route) {
            self.waits.insert(route.to_owned(), AnnouncedWaits::default());
        }
        let waits = &mut self.waits[route];
        if !is_first {
            waits.record(left);
        }
        let common = waits.common().filter(|common| *common >= left)?;
        Some(Span(common.0 - left.0))
    }

    /// Drops the estimates of routes that are no longer configured.
    pub fn retain_routes(&mut self, route: impl Fn(&str) -> bool) {
        self.waits.retain(|name, _| route(name));
    }
}
