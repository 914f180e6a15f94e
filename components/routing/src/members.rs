//! Gossip-based membership: the hosts of the system as one host sees them.
//!
//! Each host increments its own heartbeat counter and sends the newest counter that it knows of
//! every host to a few random others. A host whose counter stops rising is considered lost. Clocks
//! of different hosts are never compared: the age of a counter is measured on the clock of the host
//! that saw it rise.

use {
    crate::{connections::HostCounts, limits::LimitHosts, quotas::QuotaHosts},
    indexmap::{IndexMap, IndexSet},
    rand::{Rng, seq::IteratorRandom},
    std::{cmp::Ordering, net::Ipv4Addr},
    wigeonramp_units::{Instant, Span, ZoneId},
    xxhash_rust::xxh3::xxh3_64,
};

/// Age of the last heartbeat from which a host is considered lost and not given to callers.
pub const LOST_AFTER: Span = Span::millis(4_000);
/// Number of candidates for callers in each zone: the hosts that are first in the order in which
/// callers get addresses. Their state is in every heartbeat message, so the other hosts know it
/// well.
const CANDIDATES: usize = 6;
/// Time after its last heartbeat for which a host's request rate counts in the traffic shares of
/// the others: callers may still use it although this host does not receive its heartbeats.
const RATE_RETENTION: Span = Span::secs(12);
/// Minimum traffic share of a host, as a fraction of an equal share.
const MIN_SHARE: f64 = 0.15;
/// Fraction of the busiest host's request rate from which a host counts as used by callers. Every
/// host has some requests: the platform's own checks.
const ACTIVE_FRACTION: f64 = 0.1;
/// Time after its last heartbeat for which a lost host keeps its share of request limits: it may
/// still send to leaves on the other side of a network partition.
const LIMIT_SHARE_RETENTION: Span = Span::secs(600);
/// Maximum number of hosts that have a share of the quotas of accounts: those that callers use
/// most.
const MAX_QUOTA_OWNERS: usize = 18;
/// Traffic share of a host that does not know any other host yet.
const UNKNOWN_SHARE: f64 = 0.01;
/// Fraction of a cold leaf's capacity that all hosts together use. The margin keeps hosts with
/// different views of the membership below the capacity.
const COLD_FRACTION: f64 = 0.5;
/// Time after the start within which a host may not know all others yet.
const DISCOVERY_TIME: Span = Span::secs(4);
/// Maximum number of other hosts that are known. Datagrams of any sender name hosts; the largest
/// deployment has 570.
const MAX_MEMBERS: usize = 2_048;

/// State of a host as it is gossiped.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberInfo {
    /// Address of the host; the ports are the same on all hosts.
    pub ip: Ipv4Addr,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Incarnation number, which rises with each start.
    pub incarnation: u64,
    /// Heartbeat counter of this incarnation.
    pub heartbeat: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Recent requests from callers per second.
    pub rate: f64,
    /// Processor cores used for sending to leaves, estimated from the number of attempts.
    pub load: f64,
    /// Processor cores available to the host.
    pub capacity: f64,
    /// Whether its calls to the store are failing.
    pub store_failing: bool,
    /// Whether it has lost its links to all leaves.
    pub links_lost: bool,
    /// Age of its last heartbeat, as measured by the sender of this report.
    pub age: Span,
}

/// State of this host that changes while it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnState {
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Recent requests from callers per second.
    pub rate: f64,
    /// Processor cores used for sending to leaves.
    pub load: f64,
    /// Whether its calls to the store are failing.
    pub store_failing: bool,
    /// Whether it has lost its links to all leaves.
    pub links_lost: bool,
}

#[derive(Clone, Debug)]
struct Member {
    info: MemberInfo,
    /// Time of the last heartbeat; none if only its address is known.
    last_heartbeat: Option<Instant>,
}

/// This host's view of the membership.
#[derive(Clone, Debug)]
pub struct Membership {
    own: MemberInfo,
    started: Instant,
    others: IndexMap<Ipv4Addr, Member>,
}

impl Membership {
    /// Creates a membership of this host alone.
    pub fn new(own: MemberInfo, now: Instant) -> Self {
        Self { own, started: now, others: IndexMap::new() }
    }

    /// Returns the state of this host.
    pub fn own(&self) -> &MemberInfo {
        &self.own
    }

    /// Updates the state of this host.
    pub fn set_own(&mut self, state: OwnState) {
        self.own.ready = state.ready;
        self.own.leaving = state.leaving;
        self.own.rate = state.rate;
        self.own.load = state.load;
        self.own.store_failing = state.store_failing;
        self.own.links_lost = state.links_lost;
    }

    /// Increments the heartbeat counter of this host.
    pub fn increment_heartbeat(&mut self) {
        self.own.heartbeat += 1;
    }

    /// Adds a host that is known by its address only.
    pub fn add_by_address(&mut self, ip: Ipv4Addr, zone: ZoneId) {
        if ip == self.own.ip || self.others.contains_key(&ip) {
            return;
        }
        let info = MemberInfo {
            ip,
            zone,
            incarnation: 0,
            heartbeat: 0,
            ready: false,
            leaving: false,
            rate: 0.0,
            load: 0.0,
            capacity: 0.0,
            store_failing: false,
            links_lost: false,
            age: Span::ZERO,
        };
        self.others.insert(ip, Member { info, last_heartbeat: None });
    }

    /// Merges a gossiped state, whose heartbeat is dated back by the reported age. Returns whether
    /// the host is new or has restarted, or its readiness for callers or its links to leaves have
    /// changed.
    pub fn merge(&mut self, info: MemberInfo, now: Instant) -> bool {
        if info.ip == self.own.ip {
            // Another host still has the state of an earlier start, whose clock may have been
            // ahead. A higher incarnation takes precedence over it.
            if info.incarnation > self.own.incarnation
                || (info.incarnation == self.own.incarnation && info.heartbeat > self.own.heartbeat)
            {
                self.own.incarnation = info.incarnation + 1;
            }
            return false;
        }
        let last_heartbeat = Some(now - info.age);
        let Some(known) = self.others.get_mut(&info.ip) else {
            if self.others.len() >= MAX_MEMBERS && !self.forget_lost(now) {
                return false;
            }
            self.others.insert(info.ip, Member { info, last_heartbeat });
            return true;
        };
        if (info.incarnation, info.heartbeat) <= (known.info.incarnation, known.info.heartbeat) {
            return false;
        }
        let state = |info: &MemberInfo| (info.ready, info.leaving, info.links_lost);
        let changed =
            state(&info) != state(&known.info) || info.incarnation != known.info.incarnation;
        *known = Member { info, last_heartbeat };
        changed
    }

    /// Forgets the host that has been lost the longest, if no host depends on it any more; returns
    /// whether there was one.
    fn forget_lost(&mut self, now: Instant) -> bool {
        let is_gone = |member: &Member| {
            let since = member.last_heartbeat.unwrap_or(self.started);
            now.since(since) >= LIMIT_SHARE_RETENTION
        };
        let gone = self.others.iter().filter(|(_, member)| is_gone(member));
        let oldest = gone.min_by_key(|(_, member)| member.last_heartbeat).map(|(ip, _)| *ip);
        oldest.is_some_and(|ip| self.others.swap_remove(&ip).is_some())
    }

    /// Returns the other hosts that are neither lost nor stopping.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &MemberInfo> {
        let is_alive = move |member: &&Member| has_recent_heartbeat(member, LOST_AFTER, now);
        self.others.values().filter(is_alive).map(|m| &m.info).filter(|info| !info.leaving)
    }

    /// Returns the hosts whose addresses callers may get: those that serve and are not lost,
    /// including this one.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = &MemberInfo> {
        let own = Some(&self.own).filter(|own| own.ready && !own.leaving);
        own.into_iter().chain(self.alive(now).filter(|info| info.ready))
    }

    /// Returns the hosts that callers are to use: those that serve and have their links to leaves, or
    /// all that serve if none has, as other hosts are then no better.
    pub fn linked(&self, now: Instant) -> impl Iterator<Item = &MemberInfo> {
        let any = self.serving(now).any(|info| !info.links_lost);
        self.serving(now).filter(move |info| !any || !info.links_lost)
    }

    /// Whether another host that serves has its links to leaves.
    pub fn is_other_linked(&self, now: Instant) -> bool {
        self.alive(now).any(|info| info.ready && !info.links_lost)
    }

    /// Returns the number of hosts with traffic from callers, including this one.
    pub fn active_count(&self, now: Instant) -> usize {
        if now.since(self.started) < DISCOVERY_TIME {
            return self.known_count();
        }
        let min_rate = self.highest_rate(now) * ACTIVE_FRACTION;
        let is_active = |member: &&Member| {
            has_recent_heartbeat(member, RATE_RETENTION, now) && member.info.rate >= min_rate
        };
        self.others.values().filter(is_active).count() + 1
    }

    /// Returns the hosts that share the connections to leaves.
    pub fn host_counts(&self, now: Instant) -> HostCounts {
        let is_settled = now.since(self.started) >= DISCOVERY_TIME;
        let is_recent = |member: &&Member| has_recent_heartbeat(member, RATE_RETENTION, now);
        let recent = self.others.values().filter(is_recent).count() + 1;
        HostCounts {
            known: if is_settled { recent } else { self.known_count() },
            active: self.active_count(now),
            is_active: self.is_active(now),
            is_settled,
        }
    }

    /// Whether this host has traffic from callers.
    fn is_active(&self, now: Instant) -> bool {
        self.own.rate > 0.0 && self.own.rate >= self.highest_rate(now) * ACTIVE_FRACTION
    }

    /// Returns the requests per second of the busiest host.
    fn highest_rate(&self, now: Instant) -> f64 {
        let recent =
            self.others.values().filter(|member| has_recent_heartbeat(member, RATE_RETENTION, now));
        recent.map(|member| member.info.rate).fold(self.own.rate, f64::max)
    }

    /// Returns the number of known hosts, including lost ones and this one.
    pub fn known_count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns random hosts to gossip with: `near` live ones of this zone and `far` live ones of
    /// other zones, and one that is lost, so that the two sides of a network partition find each
    /// other again.
    pub fn gossip_partners(
        &self,
        near: usize,
        far: usize,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<Ipv4Addr> {
        let own = &self.own.zone;
        let mut chosen: Vec<Ipv4Addr> =
            self.alive(now).filter(|i| i.zone == *own).map(|i| i.ip).sample(rng, near);
        let others = self.alive(now).filter(|i| i.zone != *own).map(|i| i.ip);
        chosen.extend(others.sample(rng, far));
        let lost = self.others.values().filter(|m| !has_recent_heartbeat(m, LOST_AFTER, now));
        chosen.extend(lost.map(|member| member.info.ip).choose(rng));
        chosen
    }

    /// Returns the addresses of all other known hosts.
    pub fn other_addresses(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.others.keys().copied()
    }

    /// Returns the states of other hosts to gossip: all candidates for callers, and the `more`
    /// others whose heartbeats are the most recent.
    pub fn select_for_gossip(&self, more: usize, now: Instant) -> Vec<MemberInfo> {
        let candidates = self.candidates(now);
        let mut others: Vec<&Member> =
            self.others.values().filter(|m| m.last_heartbeat.is_some()).collect();
        others.sort_by_key(|m| std::cmp::Reverse(m.last_heartbeat));
        let (first, rest): (Vec<&Member>, Vec<&Member>) =
            others.into_iter().partition(|m| candidates.contains(&m.info.ip));
        let selected = first.into_iter().chain(rest.into_iter().take(more));
        selected.map(|member| with_age(member, now)).collect()
    }

    /// Returns the states of all other hosts that have sent a heartbeat.
    pub fn heard_members(&self, now: Instant) -> Vec<MemberInfo> {
        let known = self.others.values().filter(|member| member.last_heartbeat.is_some());
        known.map(|member| with_age(member, now)).collect()
    }

    /// Returns the candidates for callers, including lost ones.
    fn candidates(&self, now: Instant) -> IndexSet<Ipv4Addr> {
        let known = self.others.values().filter(|m| has_recent_heartbeat(m, RATE_RETENTION, now));
        let mut all: Vec<&MemberInfo> =
            known.map(|member| &member.info).chain(std::iter::once(&self.own)).collect();
        all.sort_by(|a, b| entry_order(a, b));
        let mut by_zone: IndexMap<&ZoneId, usize> = IndexMap::new();
        let mut chosen = IndexSet::new();
        for info in all {
            let count = by_zone.entry(&info.zone).or_default();
            *count += 1;
            if *count <= CANDIDATES {
                chosen.insert(info.ip);
            }
        }
        chosen
    }

    /// Returns the hosts on which request limits of leaves depend. The candidates for callers are
    /// also the candidates for allocators, as every host knows their state.
    pub fn limit_hosts(&self, now: Instant) -> LimitHosts {
        let alive: Vec<Ipv4Addr> = self.alive(now).map(|info| info.ip).collect();
        let own = Some(self.own.ip).filter(|_| !self.own.leaving);
        let candidates = self.candidates(now);
        let is_usable = |ip: &Ipv4Addr| alive.contains(ip) || own == Some(*ip);
        let stopping = self.others.values().filter(|member| member.info.leaving);
        LimitHosts {
            candidates: candidates.into_iter().filter(is_usable).collect(),
            stopping: stopping.map(|member| member.info.ip).collect(),
            known: self.limit_share_count(now),
            alive,
        }
    }

    /// Returns the hosts on which quotas of accounts depend. The owners of shares are the first
    /// hosts of each zone in the order in which callers get addresses, including lost ones, as
    /// these may go on admitting requests.
    pub fn quota_hosts(&self, now: Instant) -> QuotaHosts {
        let LimitHosts { candidates, stopping, .. } = self.limit_hosts(now);
        let may_send = |member: &&Member| {
            let since = member.last_heartbeat.unwrap_or(self.started);
            !member.info.leaving && now.since(since) < LIMIT_SHARE_RETENTION
        };
        let others = self.others.values().filter(may_send).map(|member| &member.info);
        let own = Some(&self.own).filter(|own| !own.leaving);
        let mut all: Vec<&MemberInfo> = others.chain(own).collect();
        all.sort_by(|a, b| entry_order(a, b));
        let mut by_zone: IndexMap<&ZoneId, usize> = IndexMap::new();
        let mut owners: Vec<(usize, &MemberInfo)> = Vec::new();
        for info in all {
            let place = by_zone.entry(&info.zone).or_default();
            *place += 1;
            owners.push((*place, info));
        }
        owners.sort_by_key(|(place, _)| *place);
        let owners = owners.into_iter().take(MAX_QUOTA_OWNERS).map(|(_, info)| info.ip).collect();
        QuotaHosts { candidates, owners, stopping }
    }

    /// Returns the number of hosts that share the request limits of leaves: all that may be
    /// sending, including lost ones and this one.
    pub fn limit_share_count(&self, now: Instant) -> u32 {
        let may_send = |member: &&Member| {
            let since = member.last_heartbeat.unwrap_or(self.started);
            !member.info.leaving && now.since(since) < LIMIT_SHARE_RETENTION
        };
        self.others.values().filter(may_send).count() as u32 + 1
    }

    /// Whether a loss of this host must be detected quickly: callers use it or may get its address
    /// next.
    pub fn is_candidate(&self, now: Instant) -> bool {
        self.is_active(now) || self.candidates(now).contains(&self.own.ip)
    }

    /// Whether a heartbeat of the host in this incarnation has arrived.
    pub fn has_heard(&self, ip: Ipv4Addr, incarnation: u64) -> bool {
        let known = self.others.get(&ip);
        known.is_some_and(|m| m.last_heartbeat.is_some() && m.info.incarnation == incarnation)
    }

    /// Whether the store fails for another host, as that host last said.
    pub fn is_store_failing(&self, ip: Ipv4Addr) -> bool {
        self.others.get(&ip).is_some_and(|member| member.info.store_failing)
    }

    /// Whether any other host is alive.
    pub fn has_live_peers(&self, now: Instant) -> bool {
        self.alive(now).next().is_some()
    }

    /// Returns this host's share of the traffic of all hosts, from 0 to 1.
    pub fn traffic_share(&self, now: Instant) -> f64 {
        let known = self.known_count() as f64;
        if now.since(self.started) < DISCOVERY_TIME {
            return if known > 1.0 { MIN_SHARE / known } else { UNKNOWN_SHARE };
        }
        let is_counted = |member: &&Member| has_recent_heartbeat(member, RATE_RETENTION, now);
        let others: f64 = self.others.values().filter(is_counted).map(|m| m.info.rate).sum();
        let total = self.own.rate + others;
        let by_rate = if total > 0.0 { self.own.rate / total } else { 0.0 };
        by_rate.max(MIN_SHARE / known)
    }

    /// Returns this host's share of the capacity of a cold leaf, from 0 to 1.
    pub fn cold_share(&self, now: Instant) -> f64 {
        self.traffic_share(now) * COLD_FRACTION
    }
}

/// Order in which callers get the hosts of a zone, the same on every host: by capacity, then by a
/// hash of the address.
pub(crate) fn entry_order(a: &MemberInfo, b: &MemberInfo) -> Ordering {
    let hash = |info: &MemberInfo| xxh3_64(&info.ip.octets());
    b.capacity.total_cmp(&a.capacity).then_with(|| hash(a).cmp(&hash(b)))
}

fn with_age(member: &Member, now: Instant) -> MemberInfo {
    let age = member.last_heartbeat.map_or(RATE_RETENTION, |at| now.since(at));
    MemberInfo { age, ..member.info.clone() }
}

fn has_recent_heartbeat(member: &Member, within: Span, now: Instant) -> bool {
    member.last_heartbeat.is_some_and(|at| now.since(at) < within)
}
