//! Response bodies that are computed from the request, so that a client can verify them.

use {
    serde::{Deserialize, Serialize},
    wigeonramp_units::{Digest, MemberId, ShardId, SnapshotId},
};

/// Response body of a leaf.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
}

/// One row with the inputs that it was computed from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Position within the response, from 0.
    pub row: u32,
    /// Requested shard.
    pub shard: ShardId,
    /// Member that sent the request.
    pub member: MemberId,
    /// Requested snapshot.
    pub snapshot: SnapshotId,
    /// Hash of the fields above and the request body.
    pub value: Digest,
}

/// Parts of a request that determine the rows.
#[derive(Clone, Copy, Debug)]
pub struct RowInputs<'a> {
    /// Requested shard.
    pub shard: &'a ShardId,
    /// Member that sent the request.
    pub member: &'a MemberId,
    /// Requested snapshot.
    pub snapshot: SnapshotId,
    /// The request body.
    pub body: &'a [u8],
}

impl Rows {
    /// Computes the expected response of `count` rows.
    pub fn compute(inputs: RowInputs<'_>, count: u32) -> Self {
        Self { rows: (0..count).map(|row| Row::compute(inputs, row)).collect() }
    }
}

impl Row {
    /// Computes the expected row at position `row`.
    pub fn compute(inputs: RowInputs<'_>, row: u32) -> Self {
        let RowInputs { shard, member, snapshot, body } = inputs;
        let mut text = format!("{shard}\n{member}\n{snapshot}\n{row}\n").into_bytes();
        text.extend_from_slice(body);
        let (shard, member) = (shard.clone(), member.clone());
        Self { row, shard, member, snapshot, value: Digest::of(&text) }
    }
}
