//! Validation of leaf replies.

use {
    super::spec::AttemptSpec,
    bytes::Bytes,
    wigeonramp_units::{
        CollectionId, Digest, LeafId, MapVersion, MemberId, RequestId, ShardId, SnapshotId,
    },
};

/// A leaf's answer as it arrived, with everything that it says about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeafResponse {
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
pub struct ShardResponse {
    /// The collection.
    pub collection: CollectionId,
    /// The leaf's answer.
    pub response: LeafResponse,
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

/// Whether the response belongs to the attempt and is whole.
pub(super) fn matches(
    send: &AttemptSpec,
    request: &RequestId,
    member: &MemberId,
    response: &LeafResponse,
) -> bool {
    response.request == *request
        && response.leaf == send.leaf
        && response.shard == send.shard
        && response.member == *member
        && response.snapshot == send.snapshot
        && response.map_version == send.map_version
        && response.digest == Digest::of(&response.payload)
        && (response.rows == 0 || !response.payload.is_empty())
}
