//! Validated queries.

use {
    bytes::Bytes,
    crossbeam::channel::Receiver,
    std::convert::Infallible,
    wigeonramp_config::Priority,
    wigeonramp_units::{
        CallerId, CollectionId, Fingerprint, Instant, MemberId, RequestId, ShardId,
    },
};

/// A validated query of an authenticated caller.
#[derive(Clone, Debug)]
pub struct QueryRequest {
    /// Body that is sent to the leaves.
    pub body: Bytes,
    /// The authenticated caller.
    pub caller: CallerId,
    /// Disconnected once the caller has gone away; never for a non-idempotent request.
    pub client_gone: Receiver<Infallible>,
    /// Collections to query, without duplicates.
    pub collections: Vec<CollectionId>,
    /// Deadline of the query on this host's monotonic clock.
    pub deadline: Instant,
    fingerprint: Fingerprint,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The caller's member, whose rows it may see.
    pub member: MemberId,
    /// The caller's priority.
    pub priority: Priority,
    /// Whether this is a resubmission of a non-idempotent request, so that an earlier submission
    /// may have run.
    pub repeated: bool,
    /// Id of the request; generated if the caller sent none.
    pub request: RequestId,
    /// The only shard to query; all shards if `None`.
    pub shard: Option<ShardId>,
}

/// An authenticated caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerIdentity {
    /// The caller.
    pub caller: CallerId,
    /// Member whose rows the caller may see.
    pub member: MemberId,
    /// Priority of the caller's requests.
    pub priority: Priority,
}

/// Parameters of a query, without its caller.
#[derive(Clone, Debug)]
pub struct QueryParams {
    /// Body that is sent to the leaves.
    pub body: Bytes,
    /// Disconnected once the caller has gone away; never for a non-idempotent request.
    pub client_gone: Receiver<Infallible>,
    /// Collections to query, without duplicates.
    pub collections: Vec<CollectionId>,
    /// Deadline of the query on this host's monotonic clock.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether this is a resubmission of a non-idempotent request, so that an earlier submission
    /// may have run.
    pub repeated: bool,
    /// Id of the request; generated if the caller sent none.
    pub request: RequestId,
    /// The only shard to query; all shards if `None`.
    pub shard: Option<ShardId>,
}

impl QueryRequest {
    /// Creates the query that the caller `identity` sent, and computes its fingerprint.
    pub fn new(identity: CallerIdentity, params: QueryParams) -> Self {
        let CallerIdentity { caller, member, priority } = identity;
        let QueryParams {
            body,
            client_gone,
            collections,
            deadline,
            idempotent,
            repeated,
            request,
            shard,
        } = params;
        let mut input = format!("{member}\n{caller}\n").into_bytes();
        input.extend_from_slice(&body);
        let fingerprint = Fingerprint::of(&input);
        Self {
            body,
            caller,
            client_gone,
            collections,
            deadline,
            fingerprint,
            idempotent,
            member,
            priority,
            repeated,
            request,
            shard,
        }
    }

    /// Returns the hash of member, caller and body, which is the same for each submission of the
    /// request.
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }
}
