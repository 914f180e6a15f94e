//! The hosts that watch the store for the others.
//!
//! If every host watched the store, each change would cost store calls in proportion to the number
//! of hosts, and so would the polls that prove that the store tells a host of changes. Instead two
//! hosts in different zones watch it. The first host of every other zone follows one of them, and all
//! others follow the first host of their zone. All hosts rank the live hosts by the same order, so
//! no agreement is needed: different views of the membership only lead to a few more or fewer
//! watches.

use {
    crate::members::{MemberInfo, Membership, entry_order},
    indexmap::IndexSet,
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, Span, ZoneId},
};

/// Number of hosts that watch the store.
const WATCHERS: usize = 2;
/// Number of hosts that take over at once when no host is known to get changes.
const FIRST_WAVE: usize = 8;
/// Time after which twice as many hosts take over, as the store may turn away those before.
pub const WAVE_INTERVAL: Span = Span::millis(300);

/// Returns the live hosts in the order in which they watch the store, that of the addresses for
/// callers, because every host knows the state of the first ones best. Hosts for which the store
/// fails come last.
pub(crate) fn ranked(members: &Membership, now: Instant) -> Vec<&MemberInfo> {
    let own = members.own();
    let mut all: Vec<&MemberInfo> = members.alive(now).collect();
    if !own.leaving {
        all.push(own);
    }
    all.sort_by(|a, b| a.store_failing.cmp(&b.store_failing).then_with(|| entry_order(a, b)));
    all
}

/// Returns the hosts that watch the store: the first in the order, and the first of another zone if
/// there is one.
pub fn watchers(members: &Membership, now: Instant) -> IndexSet<Ipv4Addr> {
    let all = ranked(members, now);
    let mut zones: IndexSet<&ZoneId> = IndexSet::new();
    let first_of_zones = all.iter().filter(|info| zones.insert(&info.zone));
    let mut chosen: IndexSet<Ipv4Addr> =
        first_of_zones.take(WATCHERS).map(|info| info.ip).collect();
    let others = all.iter().map(|info| info.ip);
    chosen.extend(others.take(WATCHERS - chosen.len().min(WATCHERS)));
    chosen
}

/// Returns the hosts of this host's zone that precede it in the order, which it may follow; the first
/// one comes first. Hosts that follow only preceding ones cannot follow each other in a circle.
pub(crate) fn preceding_in_zone(members: &Membership, now: Instant) -> Vec<&MemberInfo> {
    let own = members.own();
    let all = ranked(members, now);
    let preceding = all.into_iter().take_while(|info| info.ip != own.ip);
    preceding.filter(|info| info.zone == own.zone).collect()
}

/// Whether this host is among those that take over when no host has been known to get changes for
/// `time`. Their number doubles with each wave, so that not all hosts call the store at once, and one
/// that the store serves is soon among them. A host for which the store fails is not among them.
pub fn takes_over(members: &Membership, time: Span, now: Instant) -> bool {
    let own = members.own();
    if own.leaving || own.store_failing {
        return false;
    }
    let rank = ranked(members, now).iter().position(|info| info.ip == own.ip);
    let wave = (time.0 / WAVE_INTERVAL.0).min(u64::from(usize::BITS / 2));
    rank.is_some_and(|rank| rank < FIRST_WAVE << wave)
}
