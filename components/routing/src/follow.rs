//! Selection of the origin of changes: the store itself or another host.
//!
//! If every host watched the store, each change would cost store calls in proportion to the number
//! of hosts. Instead a few hosts watch the store and the others follow one of them. All hosts rank
//! the live hosts by the same order, so no agreement is needed: different views of the membership
//! only lead to a few more or fewer watches.

use {
    crate::members::{MemberInfo, Membership, entry_order},
    indexmap::{IndexMap, IndexSet},
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, Span, ZoneId},
};

/// Minimum number of hosts that watch the store; there is at least one in each zone.
const MIN_WATCHERS: usize = 4;
/// Time after the start in which a host does not watch the store, so that hosts that start together
/// learn of each other first and do not all call the store.
const DISCOVERY_TIME: Span = Span::millis(250);
/// Time without an origin after which a host watches the store itself.
const NO_ORIGIN_TIMEOUT: Span = Span::millis(1_200);
/// Time for which a host without an origin waits for the watcher of its own zone to become ready.
const SAME_ZONE_WAIT: Span = Span::millis(450);
/// Interval without changes after which a host sends a keepalive to its followers.
pub const KEEP_ALIVE: Span = Span::millis(300);
/// Time without data after which the followed host counts as failed. This is much shorter than the
/// time after which a killed or suspended host counts as lost, because changes have to take effect
/// within seconds.
const SILENCE_TIMEOUT: Span = Span::millis(900);
/// Number of followed hosts that fail in a row before this host watches the store itself; all
/// watchers may be lost together.
const MAX_FAILURES: u32 = 2;
/// Time for which a host that failed as an origin is not followed, and for which this host watches
/// the store itself after `MAX_FAILURES`.
const EXCLUSION_TIME: Span = Span::secs(4);
/// Time for which a follower may lag behind another host before it fetches from that one. It is
/// longer than the lag between watchers that pause between their calls to the store.
const MAX_FOLLOWER_LAG: Span = Span::millis(600);
/// Time for which this host's own watch of the store may lag behind another host.
const MAX_WATCH_LAG: Span = Span::millis(900);

/// Origin of changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// No origin yet.
    Nobody,
    /// The platform's store.
    Store,
    /// Another host.
    Host(Ipv4Addr),
}

/// Selects the origin of changes for one host.
#[derive(Clone, Debug)]
pub struct OriginSelector {
    started: Instant,
    origin: Origin,
    /// Time since which there is no origin.
    no_origin_since: Option<Instant>,
    /// Hosts that are not followed, each with the end of its exclusion.
    excluded: IndexMap<Ipv4Addr, Instant>,
    /// Time since which this host lags behind another one, and that host.
    behind: Option<(Instant, Ipv4Addr)>,
    /// Time at which the followed host was chosen or data from it last arrived.
    last_data_at: Instant,
    /// Number of followed hosts that failed since data last arrived.
    failures: u32,
    /// Time until which this host watches the store itself because the followed hosts failed.
    direct_until: Instant,
}

impl OriginSelector {
    /// Creates the selector of a host that has just started.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            origin: Origin::Nobody,
            no_origin_since: Some(now),
            excluded: IndexMap::new(),
            behind: None,
            last_data_at: now,
            failures: 0,
            direct_until: now,
        }
    }

    /// Returns the current origin of changes.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// Records that the host failed as an origin.
    pub fn on_failure(&mut self, host: Ipv4Addr, now: Instant) {
        self.excluded.insert(host, now + EXCLUSION_TIME);
        if self.origin != Origin::Host(host) {
            return;
        }
        self.origin = Origin::Nobody;
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            self.failures = 0;
            self.direct_until = now + EXCLUSION_TIME;
        }
    }

    /// Records data from the host.
    pub fn on_data(&mut self, host: Ipv4Addr, now: Instant) {
        if self.origin == Origin::Host(host) {
            self.last_data_at = now;
            self.failures = 0;
        }
    }

    /// Records that another host has changes that this one does not have.
    pub fn on_lag(&mut self, host: Ipv4Addr, now: Instant) {
        self.behind.get_or_insert((now, host));
    }

    /// Records that this host has all changes that it knows to exist.
    pub fn on_caught_up(&mut self) {
        self.behind = None;
    }

    /// Selects the origin. Returns a host to fetch changes from as well if this host lags behind
    /// it.
    pub fn select(&mut self, members: &Membership, now: Instant) -> Option<Ipv4Addr> {
        self.excluded.retain(|_, until| now < *until);
        if let Origin::Host(host) = self.origin
            && now.since(self.last_data_at) >= SILENCE_TIMEOUT
        {
            self.on_failure(host, now);
        }
        let before = self.origin;
        let ahead = self.host_ahead(now);
        if let (Some(host), Origin::Host(slow)) = (ahead, self.origin) {
            if slow != host {
                self.excluded.insert(slow, now + EXCLUSION_TIME);
            }
            self.origin = Origin::Host(host);
            self.last_data_at = now;
            return ahead;
        }
        self.origin = self.choose(members, now);
        if self.origin != before {
            self.last_data_at = now;
        }
        match self.origin {
            Origin::Nobody => {
                self.no_origin_since.get_or_insert(now);
            }
            Origin::Store | Origin::Host(_) => self.no_origin_since = None,
        }
        ahead
    }

    /// Returns the host that this one lagged behind for too long, once.
    fn host_ahead(&mut self, now: Instant) -> Option<Ipv4Addr> {
        let max_lag = if self.origin == Origin::Store { MAX_WATCH_LAG } else { MAX_FOLLOWER_LAG };
        let (_, host) = self.behind.filter(|(since, _)| now.since(*since) >= max_lag)?;
        self.behind = None;
        Some(host)
    }

    fn choose(&self, members: &Membership, now: Instant) -> Origin {
        let own = members.own();
        let discovery_over = now.since(self.started) >= DISCOVERY_TIME;
        let watchers = watchers(members, now);
        if discovery_over && !own.leaving && watchers.contains(&own.ip) {
            return Origin::Store;
        }
        if now < self.direct_until && !own.leaving {
            return Origin::Store;
        }
        let usable = |info: &&MemberInfo| {
            info.ready && !info.store_failing && !self.excluded.contains_key(&info.ip)
        };
        let ready: Vec<&MemberInfo> = members.alive(now).filter(usable).collect();
        if let Origin::Host(ip) = self.origin
            && ready.iter().any(|info| info.ip == ip && info.zone == own.zone)
        {
            return self.origin;
        }
        // Waits for a watcher of this zone that is not ready yet: the first update from a followed
        // host carries its whole state, which costs least to transfer within the zone.
        let watcher_in_zone = members.alive(now).any(|info| {
            info.zone == own.zone
                && watchers.contains(&info.ip)
                && !info.ready
                && !info.store_failing
        });
        if watcher_in_zone
            && self.no_origin_since.is_some_and(|since| now.since(since) < SAME_ZONE_WAIT)
        {
            return Origin::Nobody;
        }
        let is_watcher = |info: &&&MemberInfo| watchers.contains(&info.ip);
        let in_zone = ready.iter().filter(is_watcher).find(|info| info.zone == own.zone);
        let watcher = in_zone.or_else(|| ready.iter().find(is_watcher));
        if let Some(info) = watcher {
            return Origin::Host(info.ip);
        }
        let timed_out =
            self.no_origin_since.is_none_or(|since| now.since(since) >= NO_ORIGIN_TIMEOUT);
        if timed_out && !own.leaving { Origin::Store } else { Origin::Nobody }
    }
}

/// Returns the hosts that watch the store: the first of each zone and further ones up to the
/// minimum, in the order in which callers get addresses, because every host knows the state of the
/// first ones best. Hosts whose calls to the store fail come last, so that others take over from
/// them.
fn watchers(members: &Membership, now: Instant) -> IndexSet<Ipv4Addr> {
    let own = members.own();
    let mut all: Vec<&MemberInfo> = members.alive(now).collect();
    if !own.leaving {
        all.push(own);
    }
    all.sort_by(|a, b| a.store_failing.cmp(&b.store_failing).then_with(|| entry_order(a, b)));
    let mut zones: IndexSet<&ZoneId> = IndexSet::new();
    let mut chosen: IndexSet<Ipv4Addr> =
        all.iter().filter(|info| zones.insert(&info.zone)).map(|info| info.ip).collect();
    for info in all {
        if chosen.len() >= MIN_WATCHERS {
            break;
        }
        chosen.insert(info.ip);
    }
    chosen
}
