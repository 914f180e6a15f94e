//! The hosts that watch the store for the others.
//!
//! If every host watched the store, each change would cost store calls in proportion to the number
//! of hosts. Instead a few hosts watch it and the others follow them. All hosts rank the live hosts
//! by the same order, so no agreement is needed: different views of the membership only lead to a few
//! more or fewer watches.

use {
    crate::members::{MemberInfo, Membership, entry_order},
    indexmap::IndexSet,
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, Span, ZoneId},
};

/// Minimum number of hosts that watch the store; there is at least one in each zone.
const MIN_WATCHERS: usize = 4;
/// Number of hosts that take over at once when no host is known to get changes.
const FIRST_WAVE: usize = 8;
/// Time after which twice as many hosts take over, as the store may turn away those before.
pub const WAVE_INTERVAL: Span = Span::millis(300);

/// Returns the live hosts in the order in which they watch the store, that of the addresses for
/// callers, because every host knows the state of the first ones best. Hosts for which the store
/// fails come last.
fn ranked(members: &Membership, now: Instant) -> Vec<&MemberInfo> {
    let own = members.own();
    let mut all: Vec<&MemberInfo> = members.alive(now).collect();
    if !own.leaving {
        all.push(own);
    }
    all.sort_by(|a, b| a.store_failing.cmp(&b.store_failing).then_with(|| entry_order(a, b)));
    all
}

/// Returns the hosts that watch the store: the first of each zone and further ones up to the
/// minimum.
pub fn watchers(members: &Membership, now: Instant) -> IndexSet<Ipv4Addr> {
    let all = ranked(members, now);
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
