//! Input of a query, and the events and actions that it exchanges with the daemon.

use {
    super::{coverage::QueryResult, response::LeafResponse},
    crate::{budget::AttemptBudgets, upstream::Refusal},
    std::sync::Arc,
    wigeonramp_units::{
        AttemptId, CollectionId, Fingerprint, Instant, LeafId, MapVersion, MemberId, RequestId,
        ShardId, SnapshotId, ZoneId,
    },
};

/// Number of attempt ids reserved for each query, starting at [`QuerySpec::first_attempt`].
pub const ATTEMPTS_PER_QUERY: u64 = 1 << 20;

/// Parameters of a caller's query.
#[derive(Clone, Debug)]
pub struct QuerySpec {
    /// Request id chosen by the caller.
    pub request: RequestId,
    /// Member that the caller belongs to.
    pub member: MemberId,
    /// Fingerprint of the request; resubmissions have the same one.
    pub fingerprint: Fingerprint,
    /// When the result must be ready.
    pub deadline: Instant,
    /// Whether the request may run more than once. If not, it must name exactly one shard.
    pub idempotent: bool,
    /// Whether the request is known to run without crashing a leaf.
    pub trust: Trust,
    /// Availability zone of the entry host.
    pub zone: ZoneId,
    /// Collections to query.
    pub targets: Vec<Target>,
    /// First of the attempt ids reserved for this query.
    pub first_attempt: AttemptId,
}

/// A collection to query.
#[derive(Clone, Debug)]
pub struct Target {
    /// The collection.
    pub collection: CollectionId,
    /// Shards to query; `None` for all.
    pub shards: Option<Vec<ShardId>>,
    /// Budgets of the collection at this host.
    pub budgets: Arc<AttemptBudgets>,
}

/// Trust in a request, by the history of its fingerprint; decides whether it needs a canary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trust {
    /// The request has succeeded recently and needs no canary.
    Known,
    /// The request has not been seen to succeed.
    Unseen,
    /// The request was running when a leaf reset; its canary runs alone at its leaf.
    Suspected,
}

/// Input event of a query.
#[derive(Clone, Debug)]
pub enum Event {
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Its result.
        result: AttemptResult,
    },
    /// Time has passed. Delivered at the time of the last [`Action::WakeAt`] at the latest.
    Tick,
}

/// Result of an attempt.
#[derive(Clone, Debug)]
pub enum AttemptResult {
    /// The leaf answered.
    Answered(LeafResponse),
    /// No byte was sent to the leaf.
    NotSent(Refusal),
    /// Bytes were sent, and the leaf refused without running the request.
    Refused,
    /// Bytes were sent and no complete response arrived.
    Unknown,
    /// The connection was reset while the request ran.
    Reset,
    /// The leaf does not have the snapshot.
    SnapshotGone,
}

/// An attempt at one shard, sent to the holder of one of its replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptSpec {
    /// Id that is unique within the entry host's instance.
    pub attempt: AttemptId,
    /// Leaf that holds the replica.
    pub leaf: LeafId,
    /// The collection.
    pub collection: CollectionId,
    /// The shard.
    pub shard: ShardId,
    /// The pinned snapshot.
    pub snapshot: SnapshotId,
    /// Version of the pinned snapshot's partition map.
    pub map_version: MapVersion,
    /// When the response must have arrived.
    pub deadline: Instant,
    /// Whether it is a hedge, sent while another attempt at the shard is open.
    pub hedge: bool,
    /// Whether it must be the only request running at the leaf.
    pub alone: bool,
}

/// Output of a query, carried out by the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the attempt to the leaf's holder.
    Send(AttemptSpec),
    /// Cancel an attempt that is no longer needed.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Deliver [`Event::Tick`] at this time, which replaces an earlier one.
    WakeAt(Instant),
    /// Return the result to the caller. This is the last action.
    Finish(Box<QueryResult>),
}
