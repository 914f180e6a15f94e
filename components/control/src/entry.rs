//! Choice of the entry hosts whose addresses a caller is given.

use {
    crate::placement::rendezvous_weight,
    std::{cmp::Reverse, net::SocketAddr},
    wigeonramp_units::{CallerId, HostId, Instant, Percent, Span, ZoneId},
};

/// Largest number of addresses in a response.
const MAX_ADDRESSES: usize = 3;
/// Load from which a host is busy and comes after all hosts that are not.
const BUSY_LOAD: Percent = Percent(80);
/// Lifetime of a response without addresses; short, so that the caller retries soon.
const EMPTY_LIFETIME: Span = Span::secs(1);

/// A host that a caller may be directed to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryHost {
    /// The host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether the configuration has its zone in service.
    pub zone_in_service: bool,
    /// Address at which callers connect.
    pub address: SocketAddr,
    /// Share of the query limit in use.
    pub load: Percent,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// When its last report arrived; `now` for the responding host itself.
    pub last_heard: Instant,
}

/// All hosts, as the responding host sees them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryView {
    /// All hosts, including the responding one.
    pub hosts: Vec<EntryHost>,
    /// Age from which the report of a host is ignored.
    pub stale_after: Span,
    /// How long a caller may use the response.
    pub lifetime: Span,
}

/// Addresses for a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryChoice {
    /// Addresses in order of preference; empty if no host is eligible.
    pub addresses: Vec<SocketAddr>,
    /// How long they may be used.
    pub lifetime: Span,
}

/// Chooses addresses for `caller` in `zone`. Hosts that are not busy come first, then hosts of the
/// caller's zone; within these groups the order is by rendezvous hashing of the caller id.
pub fn choose(
    view: &EntryView,
    caller: &CallerId,
    zone: Option<&ZoneId>,
    now: Instant,
) -> EntryChoice {
    let fresh = |host: &&EntryHost| now.since(host.last_heard) < view.stale_after;
    let eligible = |host: &&EntryHost| host.zone_in_service && !host.leaving && fresh(host);
    let mut hosts: Vec<_> = view.hosts.iter().filter(eligible).collect();
    hosts.sort_by_cached_key(|host| {
        let other_zone = Some(&host.zone) != zone;
        (
            host.load >= BUSY_LOAD,
            other_zone,
            Reverse(rendezvous_weight(caller.as_str(), &host.host)),
        )
    });
    let addresses: Vec<_> = hosts.into_iter().take(MAX_ADDRESSES).map(|h| h.address).collect();
    let lifetime = if addresses.is_empty() { EMPTY_LIFETIME } else { view.lifetime };
    EntryChoice { addresses, lifetime }
}
