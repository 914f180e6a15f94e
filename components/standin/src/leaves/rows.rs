//! Answer bodies that follow from the request, so that a reader can check them.

use {
    serde::{Deserialize, Serialize},
    wigeonramp_units::{Digest, MemberId, ShardId, SnapshotId},
};

/// The body of a leaf's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
}

/// One row; carries what it was computed from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Position within the shard's answer, from 0.
    pub row: u32,
    /// The shard that was asked.
    pub shard: ShardId,
    /// The member that asked.
    pub member: MemberId,
    /// The snapshot that was asked for.
    pub snapshot: SnapshotId,
    /// Hash of all of the above and the request body.
    pub value: Digest,
}

/// What the rows depend on.
#[derive(Clone, Copy, Debug)]
pub struct RowInputs<'a> {
    /// The shard that was asked.
    pub shard: &'a ShardId,
    /// The member that asked.
    pub member: &'a MemberId,
    /// The snapshot that was asked for.
    pub snapshot: SnapshotId,
    /// The request body.
    pub body: &'a [u8],
}

impl Rows {
    /// The one right answer of `count` rows.
    pub fn compute(inputs: RowInputs<'_>, count: u32) -> Self {
        Self { rows: (0..count).map(|row| Row::compute(inputs, row)).collect() }
    }
}

impl Row {
    /// The one right row at position `row`.
    pub fn compute(inputs: RowInputs<'_>, row: u32) -> Self {
        let RowInputs { shard, member, snapshot, body } = inputs;
        let mut text = format!("{shard}\n{member}\n{snapshot}\n{row}\n").into_bytes();
        text.extend_from_slice(body);
        let (shard, member) = (shard.clone(), member.clone());
        Self { row, shard, member, snapshot, value: Digest::of(&text) }
    }
}
