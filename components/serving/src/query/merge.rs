//! Validation of leaf replies.

use {
    super::spec::Send,
    bytes::Bytes,
    wigeonramp_units::{
        CollectionId, Digest, LeafId, MapVersion, MemberId, RequestId, ShardId, SnapshotId,
    },
};

/// A leaf's answer as it arrived, with everything that it says about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// The request.
    pub request: RequestId,
    /// The leaf.
    pub leaf: LeafId,
    /// The shard.
    pub shard: ShardId,
    /// The member whose rows it contains.
    pub member: MemberId,
    /// The snapshot that it was computed on.
    pub snapshot: SnapshotId,
    /// The partition map of the snapshot.
    pub map_version: MapVersion,
    /// Rows in the payload.
    pub rows: u32,
    /// Hash of the payload.
    pub digest: Digest,
    /// The rows.
    pub payload: Bytes,
}

/// A shard's part of the answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// The collection.
    pub collection: CollectionId,
    /// The leaf's answer.
    pub reply: Reply,
}

/// Replies that were dropped.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Replies that did not match their attempt.
    pub mismatched: u32,
    /// Replies of attempts that were not open any more.
    pub late: u32,
    /// Hedges sent.
    pub hedges: u32,
    /// Retries sent.
    pub retries: u32,
    /// Restarts on another snapshot.
    pub restarts: u32,
}

/// Whether the reply belongs to the attempt and is whole.
pub(super) fn matches(send: &Send, request: &RequestId, member: &MemberId, reply: &Reply) -> bool {
    reply.request == *request
        && reply.leaf == send.leaf
        && reply.shard == send.shard
        && reply.member == *member
        && reply.snapshot == send.snapshot
        && reply.map_version == send.map_version
        && reply.digest == Digest::of(&reply.payload)
        && (reply.rows == 0 || !reply.payload.is_empty())
}
