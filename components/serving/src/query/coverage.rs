//! The answer to the caller and what it covers.

use {
    super::merge::ShardResponse,
    crate::upstream::Refusal,
    serde::{Deserialize, Serialize},
    std::fmt::{Display, Formatter, Result as FmtResult},
    wigeonramp_units::{CollectionId, MapVersion, ShardId, SnapshotId},
};

/// The answer to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueryResult {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The snapshot of each collection.
    pub pinned: Vec<PinnedSnapshot>,
    /// Which shards the parts cover.
    pub coverage: Coverage,
    /// One part for each covered shard.
    pub responses: Vec<ShardResponse>,
}

/// The snapshot that a collection's parts were computed on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PinnedSnapshot {
    /// The collection.
    pub collection: CollectionId,
    /// Its snapshot.
    pub snapshot: SnapshotId,
    /// The snapshot's partition map.
    pub map_version: MapVersion,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran; the coverage says how far.
    Done,
    /// No byte was sent to any leaf.
    NotRun(NotRunReason),
    /// It must not run twice, bytes were sent, and no answer came.
    Unknown(MissingReason),
}

/// Why nothing was sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// A collection does not exist.
    NoCollection,
    /// No leaf reports a snapshot of a collection.
    NoSnapshot,
    /// A request that must not run twice has to name exactly one shard.
    NotOneShard,
    /// The deadline had passed.
    Deadline,
    /// No leaf took the request.
    NoLeaf(MissingReason),
}

/// Which shards of the pinned maps an answer covers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// Shards with a part in the answer.
    pub covered: u32,
    /// Shards asked for.
    pub total: u32,
    /// The others.
    pub missing: Vec<MissingShard>,
}

/// A shard without a part in the answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MissingShard {
    /// The collection.
    pub collection: CollectionId,
    /// The shard.
    pub shard: ShardId,
    /// Why.
    pub reason: MissingReason,
}

/// Why a shard has no part in an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No replica takes work.
    NoReplica,
    /// The holders sent nothing.
    NotSent(Refusal),
    /// The leaf refused.
    Refused,
    /// No replica has the snapshot any more.
    SnapshotGone,
    /// The leaf reset while the request ran.
    Reset,
    /// Bytes were sent and no whole answer came.
    Lost,
    /// No answer in time.
    Late,
    /// The answer did not match its attempt.
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
