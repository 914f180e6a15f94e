//! What a query is asked to do, and the events and actions of its life.

use {
    super::{coverage::QueryResult, merge::LeafResponse},
    crate::{budget::AttemptBudgets, upstream::Refusal},
    std::sync::Arc,
    wigeonramp_units::{
        AttemptId, CollectionId, Fingerprint, Instant, LeafId, MapVersion, MemberId, RequestId,
        ShardId, SnapshotId, ZoneId,
    },
};

/// Attempt ids that each query reserves from [`QuerySpec::first_attempt`] on.
pub const ATTEMPTS_PER_QUERY: u64 = 1 << 20;

/// One caller's query.
#[derive(Clone, Debug)]
pub struct QuerySpec {
    /// Chosen by the caller.
    pub request: RequestId,
    /// The caller's member.
    pub member: MemberId,
    /// Equal for repetitions of the request.
    pub fingerprint: Fingerprint,
    /// When the answer must be there.
    pub deadline: Instant,
    /// Whether it may run more than once. If not, it must name exactly one shard.
    pub idempotent: bool,
    /// What is known of the fingerprint.
    pub trust: Trust,
    /// Zone of the entry host.
    pub zone: ZoneId,
    /// The collections to query.
    pub targets: Vec<Target>,
    /// First of the attempt ids reserved for this query.
    pub first_attempt: AttemptId,
}

/// One collection of a query.
#[derive(Clone, Debug)]
pub struct Target {
    /// The collection.
    pub collection: CollectionId,
    /// The shards to ask; all when `None`.
    pub shards: Option<Vec<ShardId>>,
    /// The collection's budgets at this host.
    pub budgets: Arc<AttemptBudgets>,
}

/// What is known of a fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trust {
    /// It has succeeded recently: no canary.
    Known,
    /// It has not been seen to succeed.
    Unseen,
    /// It was running when a leaf reset: the canary runs alone.
    Suspect,
}

/// Something that happened to the query.
#[derive(Clone, Debug)]
pub enum Event {
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// Time has passed; due at the latest `WakeAt`.
    Tick,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptResult {
    /// The leaf answered.
    Answered(LeafResponse),
    /// No byte was sent to the leaf.
    NotSent(Refusal),
    /// Bytes were sent, and the leaf refused without running the request.
    Refused,
    /// Bytes were sent and no whole answer came.
    Unknown,
    /// The connection was reset while the request ran.
    Reset,
    /// The leaf does not have the snapshot.
    SnapshotGone,
}

/// An attempt to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptSpec {
    /// Unique within the entry host's instance.
    pub attempt: AttemptId,
    /// The replica.
    pub leaf: LeafId,
    /// The collection.
    pub collection: CollectionId,
    /// The shard.
    pub shard: ShardId,
    /// The pinned snapshot.
    pub snapshot: SnapshotId,
    /// The pinned snapshot's partition map.
    pub map_version: MapVersion,
    /// When the answer must be there.
    pub deadline: Instant,
    /// Whether another attempt at the shard is still open.
    pub hedge: bool,
    /// Whether it must run with no other request at the leaf.
    pub alone: bool,
}

/// Something for the shell to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Hand the attempt to the leaf's holder.
    Send(AttemptSpec),
    /// The attempt is no longer needed.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Deliver a `Tick` at this time; replaces the time given before.
    WakeAt(Instant),
    /// Answer the caller. No action follows.
    Finish(Box<QueryResult>),
}
