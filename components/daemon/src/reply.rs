//! Replies that a holder sends to the entry host, one for each attempt.

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

/// A holder's reply to one attempt.
#[derive(Clone, Debug)]
pub struct AttemptReply {
    /// The attempt.
    pub attempt: AttemptId,
    /// Time from sending the request to the leaf until the attempt ended; zero if it was not sent.
    pub at_leaf: Span,
    /// Time that the attempt waited in the holder's queue.
    pub in_queue: Span,
    /// The queried leaf.
    pub leaf: LeafId,
    /// Version of the partition map that the request was split by.
    pub map_version: MapVersion,
    /// The member whose rows were requested.
    pub member: MemberId,
    /// How the attempt ended.
    pub outcome: ReplyOutcome,
    /// State of the leaf after the attempt.
    pub report: Option<LeafReport>,
    /// Id of the request.
    pub request: RequestId,
    /// The queried shard.
    pub shard: ShardId,
    /// The queried snapshot.
    pub snapshot: SnapshotId,
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplyOutcome {
    /// The leaf answered.
    Answered(Rows),
    /// The holder refused the attempt; no byte was sent to the leaf.
    NotSent(Refusal),
    /// The leaf refused the request without running it.
    Refused(String),
    /// The leaf reset the connection while it ran the request.
    Reset(String),
    /// The leaf does not have the snapshot.
    SnapshotGone,
    /// Bytes were sent to the leaf and no complete response arrived.
    Unknown(String),
}

/// Rows of one shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rows {
    /// Number of rows.
    pub count: u32,
    /// Hash of `payload`.
    pub digest: Digest,
    /// The rows as sent by the leaf.
    pub payload: Bytes,
}

/// Why a message of a peer was rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum MessageError {
    /// An id is invalid.
    #[error("peer message: {0}")]
    Id(#[from] ParseError),
    /// The outcome is missing or unknown to this version.
    #[error("peer message: unknown outcome {0}")]
    Outcome(i32),
    /// The reason of a refusal is unknown to this version.
    #[error("peer message: unknown refusal reason {0:?}")]
    Reason(String),
}

/// Parses the reason of an attempt that was not sent.
fn parse_refusal(reason: &str) -> Result<Refusal, MessageError> {
    let text: StrDeserializer<'_, ValueError> = reason.into_deserializer();
    Refusal::deserialize(text).map_err(|_| MessageError::Reason(reason.to_owned()))
}

impl ReplyOutcome {
    /// Splits the outcome into the fields of a `LeafReply`.
    fn into_message_fields(self) -> (LeafOutcome, String, Option<Rows>) {
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
        let (outcome, reason, rows) = reply.outcome.into_message_fields();
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
            LeafOutcome::NotSent => ReplyOutcome::NotSent(parse_refusal(&message.reason)?),
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
