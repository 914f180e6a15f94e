//! The versioned configuration document, which is stored in the platform and adopted by all hosts.
//!
//! A declared deployment (TOML, kept in version control) expands to a document. Versions never
//! decrease: every change creates a new document with the next version.

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

/// The complete configuration of a deployment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version of the document; never decreases.
    pub version: ConfigVersion,
    /// Confirm operation that wrote this version.
    pub op: OpId,
    /// Availability zones.
    pub zones: IndexMap<ZoneId, Zone>,
    /// Members (tenants); no member can see the rows of another.
    pub members: IndexMap<MemberId, Member>,
    /// Callers that are authorized to send queries.
    pub callers: IndexMap<CallerId, Caller>,
    /// Collections of services.
    pub collections: IndexMap<CollectionId, Collection>,
    /// Leaves of all collections.
    pub leaves: IndexMap<LeafId, Leaf>,
    /// Limits that apply to all collections.
    pub limits: Limits,
}

/// An availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Region that the zone belongs to.
    pub region: String,
    /// Whether the zone is in service.
    pub state: AdminState,
}

/// Administrative state of a zone or a leaf.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AdminState {
    /// In service: receives new work.
    #[default]
    In,
    /// Out of service: receives no new work.
    Out,
}

/// A member (tenant).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Member {}

/// A caller and its credentials.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Member whose rows the caller may see.
    pub member: MemberId,
    /// Priority of the caller's requests.
    pub priority: Priority,
    /// SHA-256 of the caller's bearer token, in hexadecimal.
    pub token_sha256: String,
}

impl Caller {
    /// Returns whether `token` is the caller's bearer token.
    pub fn accepts_token(&self, token: &str) -> bool {
        token_sha256(token) == self.token_sha256
    }
}

/// Returns the SHA-256 of a bearer token in lowercase hexadecimal, the form used in declarations.
pub fn token_sha256(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Priority of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Served first.
    Urgent,
    /// Shed first, down to the share of capacity set by `Limits::ordinary_floor`.
    Ordinary,
}

/// A set of services that are queried together; each service serves one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Collection {
    /// Whether responses favor coverage or latency when shards are late.
    pub prefer: Prefer,
    /// Time after which a collection that prefers latency responds with the shards received so far.
    pub soft_deadline: Span,
    /// Maximum deadline of a request.
    pub max_deadline: Span,
    /// Whether slow attempts are hedged at the other replica.
    pub hedge: bool,
    /// Whether a request with a new fingerprint is first sent to a single shard.
    pub canary: bool,
    /// Limits of each leaf of the collection.
    pub leaf_limits: LeafLimits,
    /// Partition maps, in ascending order of `from_snapshot`.
    pub maps: Vec<PartitionMap>,
}

impl Collection {
    /// Returns the partition map that `snapshot` is partitioned by.
    pub fn map_for(&self, snapshot: SnapshotId) -> Option<&PartitionMap> {
        self.maps.iter().rev().find(|map| map.from_snapshot <= snapshot)
    }
}

/// Whether responses favor coverage or latency when shards are late.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Prefer {
    /// Waits for missing shards until the deadline.
    Coverage,
    /// Responds at the soft deadline with the shards received so far.
    Latency,
}

/// Limits of a leaf.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeafLimits {
    /// Number of requests that a warm leaf runs concurrently.
    pub slots: Slots,
    /// Maximum number of open connections to the leaf, from all hosts together.
    pub connections: Connections,
    /// Processing time that a new connection costs the leaf.
    pub connect_cost: Span,
    /// Number of concurrent requests that the leaf can handle just after a cold start.
    pub cold_in_flight: Slots,
    /// Rate of requests and new connections together that the leaf can handle just after a cold
    /// start.
    pub cold_per_second: PerSecond,
    /// Number of complete responses after a cold start that end the cold state.
    #[serde(default = "default_cold_answers")]
    pub cold_answers: u32,
}

fn default_cold_answers() -> u32 {
    16
}

/// The shards of a collection and the leaves that serve them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartitionMap {
    /// Version of the map; higher is newer.
    pub version: MapVersion,
    /// First snapshot that is partitioned by this map.
    pub from_snapshot: SnapshotId,
    /// Leaves that serve each shard as replicas.
    pub shards: IndexMap<ShardId, Vec<LeafId>>,
}

/// A leaf, that is, an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Leaf {
    /// Address that the leaf listens on.
    pub address: SocketAddr,
    /// Zone that the leaf runs in.
    pub zone: ZoneId,
    /// Collection that the leaf belongs to.
    pub collection: CollectionId,
    /// Administrative state of the leaf; it is in service only if its zone is, too.
    pub state: AdminState,
}

/// Limits that apply to all collections; each has a default.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Time for which a caller may use the entry addresses that it was given.
    pub entry_lifetime: Span,
    /// Maximum size of a request body.
    pub max_body: ByteSize,
    /// Maximum hedged attempts, as a percentage of all attempts.
    pub hedge_budget: Percent,
    /// Maximum retried attempts, as a percentage of all attempts.
    pub retry_budget: Percent,
    /// Share of capacity that stays available to ordinary requests under overload.
    pub ordinary_floor: Percent,
    /// Maximum share of a collection's leaves that may be ejected as outliers.
    pub max_ejected: Percent,
    /// Time for which the outcome of a non-idempotent request is kept.
    pub claim_retention: Span,
    /// Time for which a request that crashed two leaves is refused.
    pub quarantine: Span,
    /// Time after which a session expires unless it is renewed.
    pub session_time: Span,
    /// Time without contact with the store or any peer after which a host stops sending work to
    /// leaves.
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
    /// Returns the document before the first confirm: version 0, without entries.
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

    /// Computes the digest of the content, which is independent of version, operation and the order
    /// of entries.
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

    /// Returns whether `leaf` is in service, which requires that its zone is in service, too.
    pub fn in_service(&self, leaf: &LeafId) -> bool {
        let Some(leaf) = self.leaves.get(leaf) else { return false };
        let zone_in = self.zones.get(&leaf.zone).is_some_and(|zone| zone.state == AdminState::In);
        zone_in && leaf.state == AdminState::In
    }
}

/// Returns the operation id of documents that were not written by a confirm operation.
pub(crate) fn declared_op() -> OpId {
    "declared".parse().expect("the constant is a valid id")
}
