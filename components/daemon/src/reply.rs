//! Replies of leaves as the entry host and the holder exchange them.

use {
    bytes::Bytes,
    serde::{
        Deserialize,
        de::{
            IntoDeserializer,
            value::{Error as ValueError, StrDeserializer},
        },
    },
    thiserror::Error,
    wigeonramp_proto::peer::{LeafOutcome, LeafReply, LeafReport},
    wigeonramp_serving::upstream::Refusal,
    wigeonramp_units::{
        AttemptId, Digest, LeafId, MapVersion, MemberId, ParseError, RequestId, ShardId,
        SnapshotId, Span,
    },
};

/// What became of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptReply {
    /// The attempt.
    pub attempt: AttemptId,
    /// Time on the leaf's connection.
    pub at_leaf: Span,
    /// Time in the holder's queue.
    pub in_queue: Span,
    /// The leaf that was asked.
    pub leaf: LeafId,
    /// The map the request was laid out by.
    pub map_version: MapVersion,
    /// The member whose rows were asked for.
    pub member: MemberId,
    /// How the attempt ended.
    pub outcome: ReplyOutcome,
    /// Condition of the leaf after the attempt.
    pub report: Option<LeafReport>,
    /// The caller's id of the request.
    pub request: RequestId,
    /// The shard that was asked for.
    pub shard: ShardId,
    /// The snapshot that was asked for.
    pub snapshot: SnapshotId,
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplyOutcome {
    /// The leaf answered.
    Answered(Rows),
    /// No byte was sent to the leaf.
    NotSent(Refusal),
    /// The leaf refused the request without running it.
    Refused(String),
    /// The connection was reset while the request ran.
    Reset(String),
    /// The leaf does not have the snapshot.
    SnapshotGone,
    /// Bytes were sent and no whole answer came.
    Unknown(String),
}

/// Rows of one shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rows {
    /// Number of rows.
    pub count: u32,
    /// Hash of `payload`.
    pub digest: Digest,
    /// The rows as the leaf wrote them.
    pub payload: Bytes,
}

/// Why a message of a peer cannot be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum MessageError {
    /// An id cannot be read.
    #[error("peer message: {0}")]
    Id(#[from] ParseError),
    /// The outcome is missing or of a later version.
    #[error("peer message: outcome {0} is not known")]
    Outcome(i32),
    /// The reason of a refusal is of a later version.
    #[error("peer message: reason {0:?} is not known")]
    Reason(String),
}

/// Reads the reason of an attempt that was not sent.
fn refusal(reason: &str) -> Result<Refusal, MessageError> {
    let text: StrDeserializer<'_, ValueError> = reason.into_deserializer();
    Refusal::deserialize(text).map_err(|_| MessageError::Reason(reason.to_owned()))
}

impl ReplyOutcome {
    /// The outcome and its reason as they are sent.
    fn parts(self) -> (LeafOutcome, String, Option<Rows>) {
        match self {
            Self::Answered(rows) => (LeafOutcome::Answered, String::new(), Some(rows)),
            Self::NotSent(refusal) => (LeafOutcome::NotSent, refusal.to_string(), None),
            Self::Refused(reason) => (LeafOutcome::Refused, reason, None),
            Self::Reset(reason) => (LeafOutcome::Reset, reason, None),
            Self::SnapshotGone => (LeafOutcome::SnapshotGone, String::new(), None),
            Self::Unknown(reason) => (LeafOutcome::Unknown, reason, None),
        }
    }
}

impl From<AttemptReply> for LeafReply {
    fn from(reply: AttemptReply) -> LeafReply {
        let (outcome, reason, rows) = reply.outcome.parts();
        let rows =
            rows.unwrap_or_else(|| Rows { count: 0, digest: Digest(0), payload: Bytes::new() });
        LeafReply {
            attempt: reply.attempt.get(),
            leaf: reply.leaf.into(),
            shard: reply.shard.into(),
            request_id: reply.request.into(),
            member: reply.member.into(),
            outcome: outcome.into(),
            reason,
            snapshot: reply.snapshot.get(),
            map_version: reply.map_version.get(),
            rows: rows.count,
            digest: rows.digest.0,
            payload: rows.payload.into(),
            leaf_us: reply.at_leaf.0,
            queue_us: reply.in_queue.0,
            report: reply.report,
        }
    }
}

impl TryFrom<LeafReply> for AttemptReply {
    type Error = MessageError;

    fn try_from(message: LeafReply) -> Result<Self, MessageError> {
        let outcome = match message.outcome() {
            LeafOutcome::Answered => ReplyOutcome::Answered(Rows {
                count: message.rows,
                digest: Digest(message.digest),
                payload: message.payload.into(),
            }),
            LeafOutcome::NotSent => ReplyOutcome::NotSent(refusal(&message.reason)?),
            LeafOutcome::Refused => ReplyOutcome::Refused(message.reason),
            LeafOutcome::Reset => ReplyOutcome::Reset(message.reason),
            LeafOutcome::SnapshotGone => ReplyOutcome::SnapshotGone,
            LeafOutcome::Unknown => ReplyOutcome::Unknown(message.reason),
            LeafOutcome::Unspecified => return Err(MessageError::Outcome(message.outcome)),
        };
        Ok(Self {
            attempt: AttemptId(message.attempt),
            at_leaf: Span(message.leaf_us),
            in_queue: Span(message.queue_us),
            leaf: message.leaf.parse()?,
            map_version: MapVersion(message.map_version),
            member: message.member.parse()?,
            outcome,
            report: message.report,
            request: message.request_id.parse()?,
            shard: message.shard.parse()?,
            snapshot: SnapshotId(message.snapshot),
        })
    }
}
