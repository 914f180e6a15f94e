//! Selection of the entry hosts whose addresses a caller gets.
//!
//! A gathered request is sent to a leaf of every shard, so most of its traffic stays within a zone
//! only if the host is in a zone that has leaves of nearly all shards. Hosts in such zones are
//! preferred. Only a few are selected per zone, so that each handles enough requests to measure the
//! leaves and few connections are needed; their number grows with the load. Sending to every shard
//! takes a host with a small processor share a large part of the target latency, so hosts much
//! smaller than the largest are selected only if there is no larger one.
//!
//! Hosts that have lost their links to leaves are not selected while others have theirs. A host that
//! has lost its links passes requests on to the same hosts that callers in its zone would get.
//!
//! Each caller also gets a host of another zone: if its zone is lost, callers cannot resolve other
//! addresses either until they reach a host elsewhere.

use {
    crate::{
        catalog::{Catalog, Target},
        leaves::Leaves,
        members::{MemberInfo, Membership, entry_order},
    },
    indexmap::{IndexMap, IndexSet},
    rand::{Rng, seq::IteratorRandom},
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, RegionId, ServiceId, ZoneId},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Time for which callers may cache the addresses, in seconds. It is short so that callers soon
/// stop using a lost host.
pub const ADDRESS_TTL_S: u32 = 2;
/// Maximum number of addresses that a caller gets.
const MAX_ADDRESSES: usize = 64;
/// Minimum number of hosts per zone: one may be lost while another restarts.
const MIN_PER_ZONE: usize = 3;
/// Number of hosts of other zones that a caller gets beside those of its own zone.
const FALLBACK_HOSTS: usize = 2;
/// Fraction of its processor share that a selected host is planned to use for sending to leaves.
const PLANNED_UTILIZATION: f64 = 0.3;
/// A zone is preferred if the number of shards with leaves in it is at least this fraction of the
/// number in the best zone.
const PREFERRED_FRACTION: f64 = 0.8;

/// Minimum number of hosts that count as large, so that callers do not all depend on a single one.
const MIN_LARGE: usize = 2;
/// A host counts as large if its capacity is at least this fraction of the largest host's.
const LARGE_FRACTION: f64 = 0.5;

/// A caller's query for addresses.
#[derive(Clone, Copy, Debug)]
pub struct EntryQuery<'a> {
    /// Availability zone of the caller.
    pub zone: &'a str,
    /// Regions whose hosts may take its requests: its own and the homes of its routes; empty for
    /// all.
    pub regions: &'a [RegionId],
}

/// Returns the addresses of the hosts that a caller is to use. Without a catalog, as on a host that
/// has just started, no zone is preferred.
pub fn select_entry_hosts(
    members: &Membership,
    catalog: Option<&Catalog>,
    leaves: &Leaves,
    query: EntryQuery<'_>,
    now: Instant,
) -> Vec<Ipv4Addr> {
    let zone = query.zone;
    let preferred = catalog.map(|catalog| preferred_zones(catalog, leaves)).unwrap_or_default();
    let mut by_zone: IndexMap<&ZoneId, Vec<&MemberInfo>> = IndexMap::new();
    let is_allowed = |member: &&MemberInfo| leaves.is_in_regions(&member.zone, query.regions);
    // Hosts of other regions are used if no host of these regions serves.
    let is_limited = members.linked(now).any(|member| is_allowed(&member));
    let mut all: Vec<&MemberInfo> =
        members.linked(now).filter(|member| !is_limited || is_allowed(member)).collect();
    // The order is the same on every host, so that all give callers the same few hosts.
    all.sort_by(|a, b| entry_order(a, b));
    let largest = all.first().map_or(0.0, |host| host.capacity);
    let large = all.iter().filter(|host| host.capacity >= largest * LARGE_FRACTION).count();
    all.truncate(large.max(MIN_LARGE));
    for member in all {
        by_zone.entry(&member.zone).or_default().push(member);
    }
    let per_zone = per_zone(members, largest, preferred.len().max(1), now);
    for hosts in by_zone.values_mut() {
        hosts.truncate(per_zone);
    }
    let is_preferred = |name: &ZoneId| preferred.is_empty() || preferred.contains(name);
    if by_zone.keys().any(|name| is_preferred(name)) {
        by_zone.retain(|name, _| is_preferred(name));
    }
    let own = by_zone.iter().position(|(name, _)| name.as_str() == zone);
    let chosen: Vec<&MemberInfo> = match own.and_then(|own| by_zone.swap_remove_index(own)) {
        Some((_, own)) => own.into_iter().chain(fallback_hosts(zone, &by_zone)).collect(),
        None => by_zone.into_values().flatten().collect(),
    };
    chosen.into_iter().map(|host| host.ip).take(MAX_ADDRESSES).collect()
}

/// Returns a random host to which a host without links to leaves passes a request on; none if no
/// other host has its links. `query` has the zone of that host, and the regions to which requests of
/// the route may be sent.
pub fn select_relay_host(
    members: &Membership,
    catalog: Option<&Catalog>,
    leaves: &Leaves,
    query: EntryQuery<'_>,
    tried: &[Ipv4Addr],
    now: Instant,
    rng: &mut impl Rng,
) -> Option<Ipv4Addr> {
    let hosts = select_entry_hosts(members, catalog, leaves, query, now);
    let is_usable = |info: &&MemberInfo| {
        !info.links_lost
            && hosts.contains(&info.ip)
            && !tried.contains(&info.ip)
            && leaves.is_in_regions(&info.zone, query.regions)
    };
    members.alive(now).filter(is_usable).map(|info| info.ip).choose(rng)
}

/// Returns hosts of other zones for callers in `zone`, which lose all hosts of their own zone and
/// its address resolution together.
fn fallback_hosts<'a>(
    zone: &str,
    others: &IndexMap<&ZoneId, Vec<&'a MemberInfo>>,
) -> impl Iterator<Item = &'a MemberInfo> {
    // The callers of different zones fall back to different hosts.
    let rank = |text: &str| xxh3_64_with_seed(text.as_bytes(), xxh3_64(zone.as_bytes()));
    let mut zones: Vec<(&ZoneId, &Vec<&MemberInfo>)> =
        others.iter().map(|(name, hosts)| (*name, hosts)).collect();
    zones.sort_by_key(|(name, _)| rank(name.as_str()));
    let host = move |(name, hosts): (&ZoneId, &Vec<&'a MemberInfo>)| {
        let index = rank(name.as_str()) as usize % hosts.len().max(1);
        hosts.get(index).copied()
    };
    zones.into_iter().filter_map(host).take(FALLBACK_HOSTS)
}

/// Returns the number of hosts to select in each of `zones` zones, so that sending to leaves takes
/// the planned fraction of their capacity.
fn per_zone(members: &Membership, capacity: f64, zones: usize, now: Instant) -> usize {
    let load: f64 = members.serving(now).map(|member| member.load).sum();
    let planned_load = capacity * PLANNED_UTILIZATION * zones as f64;
    let needed = if planned_load > 0.0 { (load / planned_load).ceil() } else { 0.0 };
    (needed as usize).clamp(MIN_PER_ZONE, MAX_ADDRESSES)
}

/// Returns the zones with leaves of nearly all shards; empty if no route gathers.
fn preferred_zones(catalog: &Catalog, leaves: &Leaves) -> IndexSet<ZoneId> {
    let mut shards: IndexSet<&ServiceId> = IndexSet::new();
    for route in &catalog.routes {
        if let Target::Gather { shards: gathered, .. } = &route.target {
            shards.extend(gathered);
        }
    }
    let mut counts: IndexMap<ZoneId, usize> = IndexMap::new();
    for shard in shards {
        let zones: IndexSet<&ZoneId> = leaves.eligible_zones(shard).collect();
        for zone in zones {
            *counts.entry(zone.clone()).or_default() += 1;
        }
    }
    let most = counts.values().copied().max().unwrap_or(0) as f64;
    counts.retain(|_, count| *count as f64 >= most * PREFERRED_FRACTION);
    counts.into_keys().collect()
}
