//! Responses of leaves and their validation.

use {
    super::spec::AttemptSpec,
    bytes::Bytes,
    wigeonramp_units::{
        CollectionId, Digest, LeafId, MapVersion, MemberId, RequestId, ShardId, SnapshotId,
    },
};

/// Response of a leaf with the metadata that the leaf returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeafResponse {
    /// Id of the request.
    pub request: RequestId,
    /// Leaf that answered.
    pub leaf: LeafId,
    /// Shard that was queried.
    pub shard: ShardId,
    /// Member whose rows the payload contains.
    pub member: MemberId,
    /// Snapshot that the response was computed on.
    pub snapshot: SnapshotId,
    /// Version of the snapshot's partition map.
    pub map_version: MapVersion,
    /// Number of rows in the payload.
    pub rows: u32,
    /// Digest of the payload.
    pub digest: Digest,
    /// Encoded rows.
    pub payload: Bytes,
}

/// Validated response for one shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardResponse {
    /// Collection that the shard belongs to.
    pub collection: CollectionId,
    /// The leaf's response.
    pub response: LeafResponse,
}

/// Counts of dropped responses, extra attempts and restarts of a query.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Responses dropped because they did not match their attempt.
    pub mismatched: u32,
    /// Responses dropped because their attempt was no longer open.
    pub late: u32,
    /// Hedges sent.
    pub hedges: u32,
    /// Retries sent.
    pub retries: u32,
    /// Restarts on another snapshot.
    pub restarts: u32,
}

/// Returns whether the response belongs to the attempt and is complete.
pub(super) fn matches(
    attempt: &AttemptSpec,
    request: &RequestId,
    member: &MemberId,
    response: &LeafResponse,
) -> bool {
    response.request == *request
        && response.leaf == attempt.leaf
        && response.shard == attempt.shard
        && response.member == *member
        && response.snapshot == attempt.snapshot
        && response.map_version == attempt.map_version
        && response.digest == Digest::of(&response.payload)
        && (response.rows == 0 || !response.payload.is_empty())
}
