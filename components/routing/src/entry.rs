//! Which hosts callers are told to use.
//!
//! A gathered request is sent to a leaf of every shard, so most of its bytes stay inside a zone
//! only when the host is in a zone that has leaves of nearly all shards. Hosts in such zones are
//! named first, a few for each zone: they see enough requests to know the leaves, and need few
//! connections. A gathered request costs a send for every shard, which takes a host with a small
//! share of a processor a large part of the target latency; hosts much smaller than the largest are
//! named only where there is no larger one. The number of hosts follows the load.

use {
    crate::{
        catalog::{Catalog, Target},
        leaves::Leaves,
        members::{MemberInfo, Membership, entry_order},
    },
    indexmap::{IndexMap, IndexSet},
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, RegionId, ServiceId, ZoneId},
};

/// Time for which callers keep an answer, in seconds. Short, so that a lost host is left soon.
pub const ADDRESS_TTL_S: u32 = 2;
/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;
/// Hosts named in each zone at least: one may be lost and another may just restart.
const LEAST_PER_ZONE: usize = 3;
/// Part of its processor that a named host is to spend on sends.
const PLANNED_USE: f64 = 0.3;
/// A zone is near the shards when it has leaves of this share of the shards of the best zone.
const NEAR_SHARE: f64 = 0.8;

/// Hosts that count as large at least, so that not all callers depend on the only large one.
const LEAST_LARGE: usize = 2;
/// A host is large enough beside the largest one from this share of its processor on.
const LARGE_SHARE: f64 = 0.5;

/// Who asks for addresses.
#[derive(Clone, Copy, Debug)]
pub struct EntryQuery<'a> {
    /// Its zone.
    pub zone: &'a str,
    /// Regions whose hosts may take its requests: its own and the homes of the routes; empty for all.
    pub regions: &'a [RegionId],
}

/// The hosts to name to a caller.
pub fn choose(
    members: &Membership,
    catalog: &Catalog,
    leaves: &Leaves,
    asker: EntryQuery<'_>,
    now: Instant,
) -> Vec<Ipv4Addr> {
    let zone = asker.zone;
    let near = near_zones(catalog, leaves);
    let mut by_zone: IndexMap<&ZoneId, Vec<&MemberInfo>> = IndexMap::new();
    let is_allowed = |member: &&MemberInfo| leaves.is_in_regions(&member.zone, asker.regions);
    // Somebody is named even when no host of these regions serves.
    let is_limited = members.serving(now).any(|member| is_allowed(&member));
    let mut all: Vec<&MemberInfo> =
        members.serving(now).filter(|member| !is_limited || is_allowed(member)).collect();
    // The same order on every host, so that all name the same few.
    all.sort_by(|a, b| entry_order(a, b));
    let largest = all.first().map_or(0.0, |host| host.capacity);
    let large = all.iter().filter(|host| host.capacity >= largest * LARGE_SHARE).count();
    all.truncate(large.max(LEAST_LARGE));
    for member in all {
        by_zone.entry(&member.zone).or_default().push(member);
    }
    let per_zone = per_zone(members, largest, near.len().max(1), now);
    for hosts in by_zone.values_mut() {
        hosts.truncate(per_zone);
    }
    let is_near = |name: &ZoneId| near.is_empty() || near.contains(name);
    let chosen: Vec<&Vec<&MemberInfo>> = {
        let own = by_zone.iter().filter(|(name, _)| name.as_str() == zone && is_near(name));
        let own: Vec<_> = own.map(|(_, hosts)| hosts).collect();
        if !own.is_empty() {
            own
        } else {
            let near: Vec<_> =
                by_zone.iter().filter(|(name, _)| is_near(name)).map(|(_, hosts)| hosts).collect();
            if near.is_empty() { by_zone.values().collect() } else { near }
        }
    };
    chosen.into_iter().flatten().map(|host| host.ip).take(MAX_ADDRESSES).collect()
}

/// Hosts to name in each of `zones`, so that all hosts' sends take a planned part of theirs.
fn per_zone(members: &Membership, capacity: f64, zones: usize, now: Instant) -> usize {
    let load: f64 = members.serving(now).map(|member| member.load).sum();
    let planned = capacity * PLANNED_USE * zones as f64;
    let needed = if planned > 0.0 { (load / planned).ceil() } else { 0.0 };
    (needed as usize).clamp(LEAST_PER_ZONE, MAX_ADDRESSES)
}

/// Zones with leaves of nearly all shards; empty when no route gathers.
fn near_zones(catalog: &Catalog, leaves: &Leaves) -> IndexSet<ZoneId> {
    let mut shards: IndexSet<&ServiceId> = IndexSet::new();
    for route in &catalog.routes {
        if let Target::Gather { shards: named, .. } = &route.target {
            shards.extend(named);
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
    counts.retain(|_, count| *count as f64 >= most * NEAR_SHARE);
    counts.into_keys().collect()
}
