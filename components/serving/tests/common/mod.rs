//! Builders of test data.
#![allow(dead_code, missing_docs)]

use {
    indexmap::IndexMap,
    std::sync::Arc,
    wigeonramp_config::{Collection, Document, LeafLimits, Limits, PartitionMap, Prefer, Priority},
    wigeonramp_serving::{
        budget::AttemptBudgets,
        query::{LeafInfo, LeafView, QuerySpec, Target, Trust},
        upstream::{JobId, JobMeta, LeafState},
    },
    wigeonramp_units::{
        AttemptId, ByteSize, CollectionId, ConfigVersion, Connections, Fingerprint, Instant,
        LeafId, MapVersion, PerSecond, Percent, ShardId, Slots, SnapshotId, Span,
    },
};

pub fn ms(n: u64) -> Instant {
    Instant(n * 1_000)
}

pub fn limits(slots: u32, cold: u32, rate: u32) -> LeafLimits {
    LeafLimits {
        slots: Slots(slots),
        connections: Connections(4),
        connect_cost: Span::millis(6),
        cold_in_flight: Slots(cold),
        cold_per_second: PerSecond(rate),
        cold_answers: 16,
    }
}

pub fn job(id: u64, deadline: Instant) -> JobMeta {
    JobMeta {
        id: JobId(id),
        priority: Priority::Ordinary,
        deadline,
        hedge: false,
        alone: false,
        idempotent: true,
        fingerprint: Fingerprint(id),
        size: ByteSize(100),
    }
}

pub fn leaf(name: &str) -> LeafId {
    name.parse().expect("leaf id")
}

/// Collection with the shards `s0..`. Map 1, which applies from snapshot 1, places shard `i` on the
/// leaves `a<i>` and `b<i>`; map 2, which applies from snapshot 10, on `a<i>` and `x<i>`.
pub fn collection(shards: usize, prefer: Prefer) -> Collection {
    let map = |version, from, second: &str| {
        let replicas = |i| vec![leaf(&format!("a{i}")), leaf(&format!("{second}{i}"))];
        let shard = |i| (format!("s{i}").parse::<ShardId>().expect("shard id"), replicas(i));
        PartitionMap {
            version: MapVersion(version),
            from_snapshot: SnapshotId(from),
            shards: (0..shards).map(shard).collect(),
        }
    };
    Collection {
        prefer,
        soft_deadline: Span::millis(100),
        max_deadline: Span::secs(1),
        hedge: true,
        canary: false,
        leaf_limits: limits(2, 1, 10),
        maps: vec![map(1, 1, "b"), map(2, 10, "x")],
    }
}

pub fn document(collections: impl IntoIterator<Item = (&'static str, Collection)>) -> Document {
    let named = |(name, collection): (&str, _)| {
        (name.parse::<CollectionId>().expect("collection id"), collection)
    };
    Document {
        version: ConfigVersion(1),
        op: "op".parse().expect("operation id"),
        zones: IndexMap::new(),
        members: IndexMap::new(),
        callers: IndexMap::new(),
        collections: collections.into_iter().map(named).collect(),
        leaves: IndexMap::new(),
        limits: Limits { max_body: ByteSize(1 << 20), ..Limits::default() },
    }
}

pub fn info(snapshots: &[u64]) -> LeafInfo {
    LeafInfo {
        state: LeafState::Warm,
        in_flight: 0,
        queued: 0,
        allowance: 2,
        p50: Span::millis(5),
        hedge_delay: Span::millis(20),
        zone: "z1".parse().expect("zone id"),
        in_service: true,
        ejected: false,
        snapshots: snapshots.iter().copied().map(SnapshotId).collect(),
    }
}

/// View of all leaves in the document's maps, which are warm and have the given snapshots. The `a`
/// leaves are faster.
pub fn view(doc: &Document, snapshots: &[u64]) -> LeafView {
    let maps = doc.collections.values().flat_map(|collection| &collection.maps);
    let leaves = maps.flat_map(|map| map.shards.values()).flatten();
    let entry = |leaf: &LeafId| {
        let mut info = info(snapshots);
        if !leaf.as_str().starts_with('a') {
            info.p50 = Span::millis(8);
        }
        (leaf.clone(), info)
    };
    LeafView { leaves: leaves.map(entry).collect() }
}

pub fn spec(collections: &[&str]) -> QuerySpec {
    let target = |name: &&str| Target {
        collection: name.parse().expect("collection id"),
        shards: None,
        budgets: Arc::new(AttemptBudgets::new(Percent(5), Percent(10), 10)),
    };
    QuerySpec {
        request: "1-r".parse().expect("request id"),
        member: "m".parse().expect("member id"),
        fingerprint: Fingerprint(0),
        deadline: ms(500),
        idempotent: true,
        trust: Trust::Known,
        zone: "z1".parse().expect("zone id"),
        targets: collections.iter().map(target).collect(),
        first_attempt: AttemptId(1),
    }
}
