//! Result of a query and its coverage of the shards.

use {
    super::response::ShardResponse,
    crate::upstream::Refusal,
    serde::{Deserialize, Serialize},
    std::fmt::{Display, Formatter, Result as FmtResult},
    wigeonramp_units::{CollectionId, MapVersion, ShardId, SnapshotId},
};

/// Result of a query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueryResult {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Pinned snapshot of each collection.
    pub pinned: Vec<PinnedSnapshot>,
    /// Shards that the responses cover.
    pub coverage: Coverage,
    /// One response for each covered shard.
    pub responses: Vec<ShardResponse>,
}

/// Snapshot that the responses of a collection's shards were computed on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PinnedSnapshot {
    /// The collection.
    pub collection: CollectionId,
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Version of the snapshot's partition map.
    pub map_version: MapVersion,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran on the shards that the coverage reports.
    Done,
    /// No byte was sent to any leaf.
    NotRun(NotRunReason),
    /// It is not idempotent, bytes were sent, and no response arrived.
    Unknown(MissingReason),
}

/// Reason why a request was not sent to any leaf.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The collection does not exist.
    NoCollection,
    /// No leaf reports a snapshot of a collection.
    NoSnapshot,
    /// A non-idempotent request does not name exactly one shard.
    NotOneShard,
    /// The deadline had passed.
    Deadline,
    /// No leaf accepted the request.
    NoLeaf(MissingReason),
}

/// Shards of the pinned partition maps that a result covers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// Number of shards with a response.
    pub covered: u32,
    /// Number of shards queried.
    pub total: u32,
    /// Shards without a response.
    pub missing: Vec<MissingShard>,
}

/// A shard without a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MissingShard {
    /// The collection.
    pub collection: CollectionId,
    /// The shard.
    pub shard: ShardId,
    /// Why the response is missing.
    pub reason: MissingReason,
}

/// Reason why a shard has no response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No replica accepts new requests.
    NoReplica,
    /// The holder refused and sent nothing to the leaf.
    NotSent(Refusal),
    /// The leaf refused the request.
    Refused,
    /// No replica has the snapshot any more.
    SnapshotGone,
    /// The connection to the leaf was reset while the request ran.
    Reset,
    /// Bytes were sent and no complete response arrived.
    Lost,
    /// No response arrived before the deadline.
    Late,
    /// The response did not match its attempt.
    Mismatch,
    /// The canary did not succeed.
    Canary,
}

impl Display for MissingReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        match self {
            MissingReason::NoReplica => f.write_str("no_replica"),
            MissingReason::NotSent(refusal) => write!(f, "not_sent:{refusal}"),
            MissingReason::Refused => f.write_str("refused"),
            MissingReason::SnapshotGone => f.write_str("snapshot_gone"),
            MissingReason::Reset => f.write_str("reset"),
            MissingReason::Lost => f.write_str("lost"),
            MissingReason::Late => f.write_str("late"),
            MissingReason::Mismatch => f.write_str("mismatch"),
            MissingReason::Canary => f.write_str("canary"),
        }
    }
}

impl Display for NotRunReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        match self {
            NotRunReason::NoCollection => f.write_str("no_collection"),
            NotRunReason::NoSnapshot => f.write_str("no_snapshot"),
            NotRunReason::NotOneShard => f.write_str("not_one_shard"),
            NotRunReason::Deadline => f.write_str("deadline"),
            NotRunReason::NoLeaf(reason) => write!(f, "no_leaf:{reason}"),
        }
    }
}
