//! Where a host learns of changes: from the store itself, or from another host.
//!
//! A watch on every host would cost the store calls in proportion to the fleet for each change. A
//! few hosts watch the store; the others follow one of them. All hosts rank the living hosts alike,
//! so no agreement is needed: hosts with different views only make a few watches more or less.

use {
    crate::members::{MemberInfo, Membership, entry_order},
    indexmap::{IndexMap, IndexSet},
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, Span, ZoneId},
};

/// Hosts that watch the store at least, besides one in each zone.
const MIN_WATCHERS: usize = 4;
/// Time after the start in which a host only listens to others, so that hosts that start together
/// do not all turn to the store.
const LISTEN_FIRST: Span = Span::millis(250);
/// Time after the start, or without anybody to follow, after which a host turns to the store itself.
const ALONE_AFTER: Span = Span::millis(1_200);
/// Time for which a host waits for the watching host of its own zone to know everything.
const NEAR_FIRST: Span = Span::millis(450);
/// Time after which a host that is followed says something, whether or not it has learned anything.
pub const KEEP_ALIVE: Span = Span::millis(300);
/// Time without a word from the source after which it counts as failed. A host that is killed or
/// suspended is left long before it counts as lost: changes have to be in force within seconds.
const SOURCE_SILENT: Span = Span::millis(900);
/// Sources that fail one after the other until the host turns to the store itself; all watching
/// hosts may be lost together.
const MAX_FAILED: u32 = 2;
/// Time for which a host that failed as a source is not followed.
const SHUN: Span = Span::secs(4);
/// Time for which a host may be behind what another one knows before it turns to that one; longer
/// than hosts that watch the store differ by pausing between their calls.
const BEHIND: Span = Span::millis(600);
/// Time for which a host's own watch of the store may be behind.
const WATCH_BEHIND: Span = Span::millis(900);

/// Where changes come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// Nowhere yet.
    Nobody,
    /// The store.
    Store,
    /// Another host.
    Host(Ipv4Addr),
}

/// The choice of one host.
#[derive(Clone, Debug)]
pub struct OriginSelector {
    started: Instant,
    origin: Origin,
    lost_since: Option<Instant>,
    shunned: IndexMap<Ipv4Addr, Instant>,
    behind: Option<(Instant, Ipv4Addr)>,
    /// When the host that is followed was chosen or heard last.
    heard: Instant,
    /// Sources that failed since one was heard.
    failed: u32,
    /// Until when the host uses the store itself because its sources failed.
    direct_until: Instant,
}

impl OriginSelector {
    /// A host that has just started.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            origin: Origin::Nobody,
            lost_since: Some(now),
            shunned: IndexMap::new(),
            behind: None,
            heard: now,
            failed: 0,
            direct_until: now,
        }
    }

    /// Where changes come from now.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// The host does not serve as a source.
    pub fn failed(&mut self, host: Ipv4Addr, now: Instant) {
        self.shunned.insert(host, now + SHUN);
        if self.origin != Origin::Host(host) {
            return;
        }
        self.origin = Origin::Nobody;
        self.failed += 1;
        if self.failed >= MAX_FAILED {
            self.failed = 0;
            self.direct_until = now + SHUN;
        }
    }

    /// The host has sent something.
    pub fn heard(&mut self, host: Ipv4Addr, now: Instant) {
        if self.origin == Origin::Host(host) {
            self.heard = now;
            self.failed = 0;
        }
    }

    /// Another host knows changes that this one does not.
    pub fn behind(&mut self, host: Ipv4Addr, now: Instant) {
        self.behind.get_or_insert((now, host));
    }

    /// This host knows all that it heard of.
    pub fn caught_up(&mut self) {
        self.behind = None;
    }

    /// Chooses anew; returns the host to fetch changes from besides, when the origin is behind.
    pub fn decide(&mut self, members: &Membership, now: Instant) -> Option<Ipv4Addr> {
        self.shunned.retain(|_, until| now < *until);
        if let Origin::Host(host) = self.origin
            && now.since(self.heard) >= SOURCE_SILENT
        {
            self.failed(host, now);
        }
        let before = self.origin;
        let fetch = self.late_source(now);
        if let (Some(host), Origin::Host(slow)) = (fetch, self.origin) {
            if slow != host {
                self.shunned.insert(slow, now + SHUN);
            }
            self.origin = Origin::Host(host);
            self.heard = now;
            return fetch;
        }
        self.origin = self.choose(members, now);
        if self.origin != before {
            self.heard = now;
        }
        match self.origin {
            Origin::Nobody => {
                self.lost_since.get_or_insert(now);
            }
            Origin::Store | Origin::Host(_) => self.lost_since = None,
        }
        fetch
    }

    fn late_source(&mut self, now: Instant) -> Option<Ipv4Addr> {
        let patience = if self.origin == Origin::Store { WATCH_BEHIND } else { BEHIND };
        let (_, host) = self.behind.filter(|(since, _)| now.since(*since) >= patience)?;
        self.behind = None;
        Some(host)
    }

    fn choose(&self, members: &Membership, now: Instant) -> Origin {
        let own = members.own();
        let listened = now.since(self.started) >= LISTEN_FIRST;
        let watchers = watchers(members, now);
        if listened && !own.leaving && watchers.contains(&own.ip) {
            return Origin::Store;
        }
        if now < self.direct_until && !own.leaving {
            return Origin::Store;
        }
        let usable =
            |info: &&MemberInfo| info.ready && !info.blind && !self.shunned.contains_key(&info.ip);
        let ready: Vec<&MemberInfo> = members.alive(now).filter(usable).collect();
        if let Origin::Host(ip) = self.origin
            && ready.iter().any(|info| info.ip == ip && info.zone == own.zone)
        {
            return self.origin;
        }
        // The first answer carries everything known; within the zone it costs least.
        let near_soon = members.alive(now).any(|info| {
            info.zone == own.zone && watchers.contains(&info.ip) && !info.ready && !info.blind
        });
        if near_soon && self.lost_since.is_some_and(|since| now.since(since) < NEAR_FIRST) {
            return Origin::Nobody;
        }
        let is_watcher = |info: &&&MemberInfo| watchers.contains(&info.ip);
        let near = ready.iter().filter(is_watcher).find(|info| info.zone == own.zone);
        let any = near.or_else(|| ready.iter().find(is_watcher));
        if let Some(info) = any {
            return Origin::Host(info.ip);
        }
        let lost = self.lost_since.is_none_or(|since| now.since(since) >= ALONE_AFTER);
        if lost && !own.leaving { Origin::Store } else { Origin::Nobody }
    }
}

/// Hosts that watch the store: the first of each zone and some more, in the order in which they are
/// named to callers, because every host knows the state of those best. Hosts whose calls fail come
/// last, so that others take over from them.
fn watchers(members: &Membership, now: Instant) -> IndexSet<Ipv4Addr> {
    let own = members.own();
    let mut all: Vec<&MemberInfo> = members.alive(now).collect();
    if !own.leaving {
        all.push(own);
    }
    all.sort_by(|a, b| a.blind.cmp(&b.blind).then_with(|| entry_order(a, b)));
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
