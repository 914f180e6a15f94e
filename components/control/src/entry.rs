//! Which addresses a caller is told to use.

use {
    crate::placement::rendezvous_weight,
    std::{cmp::Reverse, net::SocketAddr},
    wigeonramp_units::{CallerId, HostId, Instant, Percent, Span, ZoneId},
};

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 3;
/// Load from which a host is named only after all less loaded ones.
const BUSY: Percent = Percent(80);
/// Lifetime of an answer without addresses, so that the caller asks again soon.
const EMPTY_LIFETIME: Span = Span::secs(1);

/// A host that could be named.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryHost {
    /// The host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether the configuration has that zone in.
    pub zone_in_service: bool,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Share of request workers in use.
    pub load: Percent,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// When it was last heard; `now` for the own host.
    pub last_heard: Instant,
}

/// All hosts, as the answering host sees them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryView {
    /// Hosts, the answering one included.
    pub hosts: Vec<EntryHost>,
    /// Age from which a host's report is not used.
    pub stale_after: Span,
    /// How long a caller may use the answer.
    pub lifetime: Span,
}

/// Answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryAnswer {
    /// Addresses, best first; empty if no host can be named.
    pub addresses: Vec<SocketAddr>,
    /// How long they may be used.
    pub lifetime: Span,
}

/// Chooses addresses for `caller` in `zone`: less loaded hosts first, then hosts of the caller's
/// zone, then by rendezvous of the caller id.
pub fn choose(
    view: &EntryView,
    caller: &CallerId,
    zone: Option<&ZoneId>,
    now: Instant,
) -> EntryAnswer {
    let fresh = |host: &&EntryHost| now.since(host.last_heard) < view.stale_after;
    let named = |host: &&EntryHost| host.zone_in_service && !host.leaving && fresh(host);
    let mut hosts: Vec<_> = view.hosts.iter().filter(named).collect();
    hosts.sort_by_cached_key(|host| {
        let far = Some(&host.zone) != zone;
        (host.load >= BUSY, far, Reverse(rendezvous_weight(caller.as_str(), &host.host)))
    });
    let addresses: Vec<_> = hosts.into_iter().take(MAX_ADDRESSES).map(|h| h.address).collect();
    let lifetime = if addresses.is_empty() { EMPTY_LIFETIME } else { view.lifetime };
    EntryAnswer { addresses, lifetime }
}
