//! The versioned configuration document, as it is stored in the platform and adopted by hosts.
//!
//! A declared deployment (TOML, kept in version control) expands to a document. Its version only
//! rises; every change is a new document with the next version.

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
    std::net::SocketAddr,
    wigeonramp_units::{
        ByteSize, CallerId, CollectionId, ConfigVersion, Connections, Digest, LeafId, MapVersion,
        MemberId, OpId, PerSecond, Percent, ShardId, Slots, SnapshotId, Span, ZoneId,
    },
};

/// Everything that operators declare.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Only rises.
    pub version: ConfigVersion,
    /// The confirm operation that wrote this version.
    pub op: OpId,
    /// Availability zones.
    pub zones: IndexMap<ZoneId, Zone>,
    /// Members; no member sees another's rows.
    pub members: IndexMap<MemberId, Member>,
    /// Callers that may send queries.
    pub callers: IndexMap<CallerId, Caller>,
    /// Collections of services.
    pub collections: IndexMap<CollectionId, Collection>,
    /// Upstreams of all collections.
    pub leaves: IndexMap<LeafId, Leaf>,
    /// Limits that hold for all collections.
    pub limits: Limits,
}

/// An availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The region the zone lies in.
    pub region: String,
    /// Whether the zone takes part.
    pub state: AdminState,
}

/// Whether something takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AdminState {
    /// Takes new work.
    #[default]
    In,
    /// Gets no new work.
    Out,
}

/// A member.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Member {}

/// A caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The member whose rows the caller may see.
    pub member: MemberId,
    /// Priority of the caller's requests.
    pub priority: Priority,
    /// SHA-256 of the caller's bearer token, in hexadecimal.
    pub token_sha256: String,
}

impl Caller {
    /// Whether `token` is the caller's token.
    pub fn accepts_token(&self, token: &str) -> bool {
        token_sha256(token) == self.token_sha256
    }
}

/// SHA-256 of a bearer token in lower-case hexadecimal, as declarations contain it.
pub fn token_sha256(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Priority of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Served first.
    Urgent,
    /// Shed first, down to a declared floor.
    Ordinary,
}

/// A set of services that are queried together; each service is one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Collection {
    /// What an answer gives up first when shards are late.
    pub prefer: Prefer,
    /// When a collection that prefers latency answers with what is there.
    pub soft_deadline: Span,
    /// Longest deadline a caller may ask for.
    pub max_deadline: Span,
    /// Whether slow attempts are repeated at the other replica.
    pub hedge: bool,
    /// Whether an unseen request first runs on one shard alone.
    pub canary: bool,
    /// What one leaf of the collection bears.
    pub leaf_limits: LeafLimits,
    /// Partition maps, by ascending `from_snapshot`.
    pub maps: Vec<PartitionMap>,
}

impl Collection {
    /// The partition map that `snapshot` is laid out by.
    pub fn map_for(&self, snapshot: SnapshotId) -> Option<&PartitionMap> {
        self.maps.iter().rev().find(|map| map.from_snapshot <= snapshot)
    }
}

/// What an answer gives up first when shards are late.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Prefer {
    /// Waits to the deadline for missing shards.
    Coverage,
    /// Answers at the soft deadline with what is there.
    Latency,
}

/// What one leaf bears.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeafLimits {
    /// Requests that a warm leaf runs at the same time.
    pub slots: Slots,
    /// Open connections that it accepts from everybody together.
    pub connections: Connections,
    /// Time of the leaf that a new connection costs.
    pub connect_cost: Span,
    /// Requests that it bears at the same time just after a cold start.
    pub cold_in_flight: Slots,
    /// Requests and new connections together that it bears each second just after a cold start.
    pub cold_per_second: PerSecond,
    /// Whole answers after a cold start that end the cold state.
    #[serde(default = "default_cold_answers")]
    pub cold_answers: u32,
}

fn default_cold_answers() -> u32 {
    16
}

/// The shards of a collection and the leaves that hold each of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartitionMap {
    /// Higher is newer.
    pub version: MapVersion,
    /// The first snapshot that is laid out by this map.
    pub from_snapshot: SnapshotId,
    /// Replicas of each shard.
    pub shards: IndexMap<ShardId, Vec<LeafId>>,
}

/// An upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Leaf {
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: ZoneId,
    /// The collection it belongs to.
    pub collection: CollectionId,
    /// Whether it takes new work; the state of its zone comes on top.
    pub state: AdminState,
}

/// Limits that hold for all collections; each has a default.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// How long a caller may use an entry address that it was given.
    pub entry_lifetime: Span,
    /// Longest request body that is accepted.
    pub max_body: ByteSize,
    /// Extra attempts by hedging, in hundredths of all attempts.
    pub hedge_budget: Percent,
    /// Extra attempts by retrying, in hundredths of all attempts.
    pub retry_budget: Percent,
    /// Share of capacity that ordinary work keeps under overload.
    pub ordinary_floor: Percent,
    /// Largest share of a collection's leaves that may be ejected as outliers.
    pub max_ejected: Percent,
    /// How long the outcome of a non-idempotent request is remembered.
    pub claim_retention: Span,
    /// How long a request that crashed two leaves is refused.
    pub quarantine: Span,
    /// How long a session lasts without renewal.
    pub session_time: Span,
    /// Age of the last contact with store or peers at which a host stops sending work to leaves.
    pub stale_after: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            entry_lifetime: Span::secs(5),
            max_body: ByteSize(64 * 1024),
            hedge_budget: Percent(5),
            retry_budget: Percent(10),
            ordinary_floor: Percent(10),
            max_ejected: Percent(30),
            claim_retention: Span::secs(600),
            quarantine: Span::secs(600),
            session_time: Span::secs(4),
            stale_after: Span::secs(2),
        }
    }
}

impl Document {
    /// A document without entries: version 0, before the first confirm.
    pub fn empty() -> Document {
        Document {
            version: ConfigVersion(0),
            op: declared_op(),
            zones: IndexMap::new(),
            members: IndexMap::new(),
            callers: IndexMap::new(),
            collections: IndexMap::new(),
            leaves: IndexMap::new(),
            limits: Limits::default(),
        }
    }

    /// Digest of the content; version, operation and the order of entries do not count.
    pub fn digest(&self) -> Digest {
        let mut content = self.clone();
        content.version = ConfigVersion(0);
        content.op = declared_op();
        content.zones.sort_unstable_keys();
        content.members.sort_unstable_keys();
        content.callers.sort_unstable_keys();
        content.collections.sort_unstable_keys();
        content.leaves.sort_unstable_keys();
        let maps = content.collections.values_mut().flat_map(|collection| &mut collection.maps);
        maps.for_each(|map| map.shards.sort_unstable_keys());
        Digest::of(&serde_json::to_vec(&content).expect("documents serialize to JSON"))
    }

    /// Whether `leaf` may get new work: it and its zone are both in.
    pub fn in_service(&self, leaf: &LeafId) -> bool {
        let Some(leaf) = self.leaves.get(leaf) else { return false };
        let zone_in = self.zones.get(&leaf.zone).is_some_and(|zone| zone.state == AdminState::In);
        zone_in && leaf.state == AdminState::In
    }
}

/// Operation of a document that no confirm has written.
pub(crate) fn declared_op() -> OpId {
    "declared".parse().expect("a constant id of the accepted form")
}
