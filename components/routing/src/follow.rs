//! Selection of the origin of changes: the store itself or another host.
//!
//! Each host knows how old its news is: all changes that the store acknowledged before some point in
//! time have been received. A host that watches the store knows it from calls that the store
//! answers; a follower from the host that it follows, whose every message says it. So a follower
//! needs no sign of a failure, and data from an origin that gets no changes itself is no sign of
//! life. A host whose news is out of date goes over to a host with fresher news. If it knows none, it
//! takes over as a watcher, in waves with the others.

use {
    crate::{
        members::{MemberInfo, Membership},
        sources::{preceding_in_zone, ranked, takes_over, watchers},
    },
    indexmap::IndexMap,
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, Span},
};

/// Time after the start in which a host does not watch the store, so that hosts that start together
/// learn of each other first and do not all call the store.
const DISCOVERY_TIME: Span = Span::millis(250);
/// Time for which a host without an origin waits for the first host of its own zone to become ready.
const SAME_ZONE_WAIT: Span = Span::millis(450);
/// Interval without changes after which a host sends a keepalive to its followers.
pub const KEEP_ALIVE: Span = Span::millis(300);
/// Time without data after which the followed host counts as failed. This is much shorter than the
/// time after which a killed or suspended host counts as lost, because changes have to take effect
/// within seconds.
const SILENCE_TIMEOUT: Span = Span::millis(900);
/// Age from which news is out of date. Between two probes of the store it reaches half of this, or
/// three quarters with a slow store.
pub const MAX_NEWS_AGE: Span = Span::millis(1_600);
/// Minimum difference in age from which another host's news counts as fresher.
const FRESHER_BY: Span = Span::millis(300);
/// Time for which a host that failed as an origin is not followed, and for which a host that has
/// taken over watches the store.
const EXCLUSION_TIME: Span = Span::secs(4);
/// Time for which a host that was chosen for its fresher news is followed, whatever its place in the
/// order. It is shorter than the time for which that host watches the store.
const FRESHER_TIME: Span = Span::secs(3);
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
    /// Time before which all changes that the store acknowledged have been received.
    current_until: Option<Instant>,
    /// Time since which this host has known its news to be out of date.
    outdated_since: Option<Instant>,
    /// What other hosts have said of their own news, as `current_until`.
    others: IndexMap<Ipv4Addr, Instant>,
    /// Hosts that are not followed, each with the end of its exclusion.
    excluded: IndexMap<Ipv4Addr, Instant>,
    /// Time since which this host lags behind another one, and that host.
    behind: Option<(Instant, Ipv4Addr)>,
    /// Time at which the followed host was chosen or data from it last arrived.
    last_data_at: Instant,
    /// Time until which this host watches the store because it has taken over.
    direct_until: Instant,
    /// Time until which the followed host is kept because it had fresher news.
    kept_until: Instant,
}

impl OriginSelector {
    /// Creates the selector of a host that has just started.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            origin: Origin::Nobody,
            no_origin_since: Some(now),
            current_until: None,
            outdated_since: None,
            others: IndexMap::new(),
            excluded: IndexMap::new(),
            behind: None,
            last_data_at: now,
            direct_until: now,
            kept_until: now,
        }
    }

    /// Returns the current origin of changes.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// Returns the time before which all changes that the store acknowledged have been received;
    /// none before the first.
    pub fn current_until(&self) -> Option<Instant> {
        self.current_until
    }

    /// Returns the age of this host's news; none before the first.
    pub fn news_age(&self, now: Instant) -> Option<Span> {
        self.current_until.map(|until| now.since(until))
    }

    /// Whether this host's news has been found out of date.
    pub fn is_outdated(&self) -> bool {
        self.outdated_since.is_some()
    }

    /// Records that all changes that the store acknowledged before `until` have been received.
    /// Returns whether the news was out of date and is not any more.
    pub fn on_current(&mut self, until: Instant, now: Instant) -> bool {
        self.current_until = self.current_until.max(Some(until));
        let is_recent = now.since(until) < MAX_NEWS_AGE;
        is_recent && self.outdated_since.take().is_some()
    }

    /// Records that the host failed as an origin.
    pub fn on_failure(&mut self, host: Ipv4Addr, now: Instant) {
        self.excluded.insert(host, now + EXCLUSION_TIME);
        self.others.swap_remove(&host);
        if self.origin == Origin::Host(host) {
            self.origin = Origin::Nobody;
        }
    }

    /// Records data from the host.
    pub fn on_data(&mut self, host: Ipv4Addr, now: Instant) {
        if self.origin == Origin::Host(host) {
            self.last_data_at = now;
        }
    }

    /// Records the age of another host's news, as that host has just said it.
    pub fn on_news_age(&mut self, host: Ipv4Addr, age: Span, now: Instant) {
        self.others.insert(host, now - age);
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
        self.others.retain(|_, until| now.since(*until) < MAX_NEWS_AGE);
        if let Origin::Host(host) = self.origin
            && now.since(self.last_data_at) >= SILENCE_TIMEOUT
        {
            self.on_failure(host, now);
        }
        if now.since(self.current_until.unwrap_or(self.started)) >= MAX_NEWS_AGE {
            self.outdated_since.get_or_insert(now);
        }
        let before = self.origin;
        let ahead = self.host_ahead(now);
        if let (Some(host), Origin::Host(slow)) = (ahead, self.origin) {
            self.replace_origin(slow, host, now);
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

    /// Follows a host with fresher news in place of the followed one.
    fn replace_origin(&mut self, old: Ipv4Addr, new: Ipv4Addr, now: Instant) {
        self.kept_until = now + FRESHER_TIME;
        if new == old {
            return;
        }
        self.excluded.insert(old, now + EXCLUSION_TIME);
        self.origin = Origin::Host(new);
        self.last_data_at = now;
    }

    /// Returns the host that this one lagged behind for too long, once.
    fn host_ahead(&mut self, now: Instant) -> Option<Ipv4Addr> {
        let max_lag = if self.origin == Origin::Store { MAX_WATCH_LAG } else { MAX_FOLLOWER_LAG };
        let (_, host) = self.behind.filter(|(since, _)| now.since(*since) >= max_lag)?;
        self.behind = None;
        Some(host)
    }

    fn choose(&mut self, members: &Membership, now: Instant) -> Origin {
        if self.must_watch(members, now) {
            return Origin::Store;
        }
        if let Some(since) = self.outdated_since {
            if let Some(host) = self.freshest(members, now) {
                if let Origin::Host(old) = self.origin {
                    self.replace_origin(old, host, now);
                }
                self.kept_until = now + FRESHER_TIME;
                return Origin::Host(host);
            }
            if takes_over(members, now.since(since), now) {
                self.direct_until = now + EXCLUSION_TIME;
                return Origin::Store;
            }
        }
        self.choose_host(members, now)
    }

    /// Whether this host watches the store, because of its place in the order or because it has taken
    /// over.
    fn must_watch(&self, members: &Membership, now: Instant) -> bool {
        let own = members.own();
        if own.leaving {
            return false;
        }
        let discovery_over = now.since(self.started) >= DISCOVERY_TIME;
        let has_taken_over = now < self.direct_until && !own.store_failing;
        has_taken_over || (discovery_over && watchers(members, now).contains(&own.ip))
    }

    /// Chooses the host to follow: the first usable one before this host in its zone, or one that
    /// watches the store.
    fn choose_host(&self, members: &Membership, now: Instant) -> Origin {
        let usable = |info: &&MemberInfo| {
            info.ready && !info.store_failing && !self.excluded.contains_key(&info.ip)
        };
        let in_zone = preceding_in_zone(members, now);
        let is_kept = now < self.kept_until;
        let may_stay = |info: &&MemberInfo| is_kept || in_zone.iter().any(|i| i.ip == info.ip);
        if let Origin::Host(ip) = self.origin
            && members.alive(now).filter(usable).filter(may_stay).any(|info| info.ip == ip)
        {
            return self.origin;
        }
        if let Some(info) = in_zone.iter().copied().find(usable) {
            return Origin::Host(info.ip);
        }
        // Waits for a host of this zone that is not ready yet: the first update from a followed host
        // carries its whole state, which costs least to transfer within the zone.
        let is_starting = |info: &&MemberInfo| !info.ready && !info.store_failing;
        if in_zone.iter().any(is_starting)
            && self.no_origin_since.is_some_and(|since| now.since(since) < SAME_ZONE_WAIT)
        {
            return Origin::Nobody;
        }
        let watchers = watchers(members, now);
        let others = ranked(members, now).into_iter().filter(|info| info.ip != members.own().ip);
        let mut watching = others.filter(|info| watchers.contains(&info.ip));
        watching.find(usable).map_or(Origin::Nobody, |info| Origin::Host(info.ip))
    }

    /// Returns the host whose news is known to be fresher than this one's: the followed one if it is,
    /// preferably one of this zone otherwise, and among those the one with the latest news.
    fn freshest(&self, members: &Membership, now: Instant) -> Option<Ipv4Addr> {
        let zone = &members.own().zone;
        let own = self.current_until.unwrap_or(self.started);
        let usable = |info: &&MemberInfo| info.ready && !self.excluded.contains_key(&info.ip);
        let usable = members.alive(now).filter(usable);
        let known = usable.filter_map(|info| Some((info, *self.others.get(&info.ip)?)));
        let fresher = known.filter(|(_, until)| *until > own + FRESHER_BY);
        let best = fresher.max_by_key(|(info, until)| {
            (self.origin == Origin::Host(info.ip), info.zone == *zone, *until)
        });
        best.map(|(info, _)| info.ip)
    }
}
