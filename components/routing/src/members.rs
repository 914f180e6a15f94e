//! The hosts of the system, as one host knows them.
//!
//! Each host counts its own beats and tells a few random others the newest count that it knows of
//! every host. A host whose count stands still is taken as lost. Clocks of different hosts are
//! never compared: a count's age is measured on the clock of the host that saw it rise.

use {
    indexmap::{IndexMap, IndexSet},
    rand::{Rng, seq::IteratorRandom},
    std::{cmp::Ordering, net::Ipv4Addr},
    wigeonramp_units::{Instant, Span, ZoneId},
    xxhash_rust::xxh3::xxh3_64,
};

/// A host whose last beat is older than this is not named to callers.
pub const LOST_AFTER: Span = Span::millis(4_000);
/// Hosts of each zone that come first when callers need an address; the others know their state
/// well.
const CANDIDATES: usize = 6;
/// Traffic of a host counts in the shares of the others for this long after its last beat: callers
/// may still use it although this host does not hear it.
const RATE_KEPT: Span = Span::secs(12);
/// Part of an equal share that every host has, whatever its traffic.
const LEAST_SHARE: f64 = 0.15;
/// Share of the busiest host's requests from which a host counts as one that callers use; the
/// platform's own checks reach every host.
const ACTIVE_SHARE: f64 = 0.1;
/// Share of a host that does not know the others yet.
const UNKNOWN_SHARE: f64 = 0.01;
/// Part of what a cold leaf bears that all hosts together use; hosts with different views of each
/// other stay below the whole.
const COLD_PART: f64 = 0.5;
/// Time after the start within which a host may not know the others yet.
const SETTLING: Span = Span::secs(4);

/// What a host tells of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberInfo {
    /// Its address; the ports are the same on all hosts.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Rises with each start.
    pub incarnation: u64,
    /// Rises with each beat.
    pub beat: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Requests that it took lately, a second.
    pub rate: f64,
    /// Processor cores that its sends take, as estimated from their number.
    pub load: f64,
    /// Its share of a processor core.
    pub capacity: f64,
    /// Whether its calls to the store fail.
    pub blind: bool,
    /// Age of its last beat, as the teller knows it.
    pub age: Span,
}

/// What changes of a host while it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnState {
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Requests that it took lately, a second.
    pub rate: f64,
    /// Processor cores that its sends take.
    pub load: f64,
    /// Whether its calls to the store fail.
    pub blind: bool,
}

#[derive(Clone, Debug)]
struct Member {
    info: MemberInfo,
    heard: Option<Instant>,
}

/// All hosts known to this one.
#[derive(Clone, Debug)]
pub struct Membership {
    own: MemberInfo,
    started: Instant,
    others: IndexMap<Ipv4Addr, Member>,
}

impl Membership {
    /// Only this host is known.
    pub fn new(own: MemberInfo, now: Instant) -> Self {
        Self { own, started: now, others: IndexMap::new() }
    }

    /// This host.
    pub fn own(&self) -> &MemberInfo {
        &self.own
    }

    /// Sets what this host tells of itself.
    pub fn set_own(&mut self, state: OwnState) {
        self.own.ready = state.ready;
        self.own.leaving = state.leaving;
        self.own.rate = state.rate;
        self.own.load = state.load;
        self.own.blind = state.blind;
    }

    /// Counts a beat of this host.
    pub fn beat(&mut self) {
        self.own.beat += 1;
    }

    /// A host is listed; nothing is known of its state.
    pub fn listed(&mut self, ip: Ipv4Addr, zone: ZoneId) {
        if ip == self.own.ip || self.others.contains_key(&ip) {
            return;
        }
        let info = MemberInfo {
            ip,
            zone,
            incarnation: 0,
            beat: 0,
            ready: false,
            leaving: false,
            rate: 0.0,
            load: 0.0,
            capacity: 0.0,
            blind: false,
            age: Span::ZERO,
        };
        self.others.insert(ip, Member { info, heard: None });
    }

    /// Takes in what is told of a host, dated back by the age that the teller gives; returns whether its state as an address for callers changed.
    pub fn told(&mut self, info: MemberInfo, now: Instant) -> bool {
        if info.ip == self.own.ip {
            // An earlier start of this host is still remembered, possibly with a clock ahead.
            if info.incarnation > self.own.incarnation
                || (info.incarnation == self.own.incarnation && info.beat > self.own.beat)
            {
                self.own.incarnation = info.incarnation + 1;
            }
            return false;
        }
        let heard = Some(now - info.age);
        let Some(known) = self.others.get_mut(&info.ip) else {
            self.others.insert(info.ip, Member { info, heard });
            return true;
        };
        if (info.incarnation, info.beat) <= (known.info.incarnation, known.info.beat) {
            return false;
        }
        let changed = (info.ready, info.leaving) != (known.info.ready, known.info.leaving)
            || info.incarnation != known.info.incarnation;
        *known = Member { info, heard };
        changed
    }

    /// Other hosts whose beats are rising and that are not stopping.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &MemberInfo> {
        let alive = move |member: &&Member| is_heard(member, LOST_AFTER, now);
        self.others.values().filter(alive).map(|m| &m.info).filter(|info| !info.leaving)
    }

    /// Hosts to name to callers: those that serve and are not lost, this one included.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = &MemberInfo> {
        let own = Some(&self.own).filter(|own| own.ready && !own.leaving);
        own.into_iter().chain(self.alive(now).filter(|info| info.ready))
    }

    /// Hosts that have traffic of callers, this one included.
    pub fn active(&self, now: Instant) -> usize {
        if now.since(self.started) < SETTLING {
            return self.known();
        }
        let least = self.busiest(now) * ACTIVE_SHARE;
        let busy = |member: &&Member| is_heard(member, RATE_KEPT, now) && member.info.rate >= least;
        self.others.values().filter(busy).count() + 1
    }

    /// Requests a second of the busiest host.
    fn busiest(&self, now: Instant) -> f64 {
        let heard = self.others.values().filter(|member| is_heard(member, RATE_KEPT, now));
        heard.map(|member| member.info.rate).fold(self.own.rate, f64::max)
    }

    /// Hosts known, lost ones and this one included.
    pub fn known(&self) -> usize {
        self.others.len() + 1
    }

    /// Random hosts to tell: `near` living ones of the own zone and `far` ones of others, and one
    /// that is not heard, so that two groups that lost each other find together again.
    pub fn partners(
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
        let silent = self.others.values().filter(|m| !is_heard(m, LOST_AFTER, now));
        chosen.extend(silent.map(|member| member.info.ip).choose(rng));
        chosen
    }

    /// All other known hosts.
    pub fn all(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.others.keys().copied()
    }

    /// What to tell about other hosts: those that come first as addresses for callers, and `more`
    /// of the others, the last heard.
    pub fn news(&self, more: usize, now: Instant) -> Vec<MemberInfo> {
        let first = self.candidates(now);
        let mut others: Vec<&Member> = self.others.values().filter(|m| m.heard.is_some()).collect();
        others.sort_by_key(|m| std::cmp::Reverse(m.heard));
        let (front, rest): (Vec<&Member>, Vec<&Member>) =
            others.into_iter().partition(|m| first.contains(&m.info.ip));
        let told = front.into_iter().chain(rest.into_iter().take(more));
        told.map(|member| with_age(member, now)).collect()
    }

    /// Everything known of other hosts.
    pub fn everything(&self, now: Instant) -> Vec<MemberInfo> {
        let heard = self.others.values().filter(|member| member.heard.is_some());
        heard.map(|member| with_age(member, now)).collect()
    }

    /// Hosts that come first as addresses for callers, lost ones included.
    fn candidates(&self, now: Instant) -> IndexSet<Ipv4Addr> {
        let known = self.others.values().filter(|m| is_heard(m, RATE_KEPT, now));
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

    /// Whether the loss of this host must be known soon: callers use it, or may be sent to it next.
    pub fn is_candidate(&self, now: Instant) -> bool {
        let active = self.own.rate > 0.0 && self.own.rate >= self.busiest(now) * ACTIVE_SHARE;
        active || self.candidates(now).contains(&self.own.ip)
    }

    /// Whether the host was heard in its present start.
    pub fn knows(&self, ip: Ipv4Addr, incarnation: u64) -> bool {
        let known = self.others.get(&ip);
        known.is_some_and(|m| m.heard.is_some() && m.info.incarnation == incarnation)
    }

    /// Whether any other host was heard.
    pub fn hears_others(&self, now: Instant) -> bool {
        self.alive(now).next().is_some()
    }

    /// This host's share of all hosts' traffic.
    pub fn share(&self, now: Instant) -> f64 {
        let known = self.known() as f64;
        if now.since(self.started) < SETTLING {
            return if known > 1.0 { LEAST_SHARE / known } else { UNKNOWN_SHARE };
        }
        let counted = |member: &&Member| is_heard(member, RATE_KEPT, now);
        let others: f64 = self.others.values().filter(counted).map(|m| m.info.rate).sum();
        let total = self.own.rate + others;
        let by_rate = if total > 0.0 { self.own.rate / total } else { 0.0 };
        by_rate.max(LEAST_SHARE / known)
    }

    /// This host's share of what a cold leaf bears.
    pub fn cold_share(&self, now: Instant) -> f64 {
        self.share(now) * COLD_PART
    }
}

/// The order in which hosts of a zone are named to callers, the same on every host.
pub(crate) fn entry_order(a: &MemberInfo, b: &MemberInfo) -> Ordering {
    let hash = |info: &MemberInfo| xxh3_64(&info.ip.octets());
    b.capacity.total_cmp(&a.capacity).then_with(|| hash(a).cmp(&hash(b)))
}

fn with_age(member: &Member, now: Instant) -> MemberInfo {
    let age = member.heard.map_or(RATE_KEPT, |heard| now.since(heard));
    MemberInfo { age, ..member.info.clone() }
}

fn is_heard(member: &Member, within: Span, now: Instant) -> bool {
    member.heard.is_some_and(|heard| now.since(heard) < within)
}
