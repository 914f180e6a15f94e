//! A checked query.

use {
    bytes::Bytes,
    crossbeam::channel::Receiver,
    std::convert::Infallible,
    wigeonramp_config::Priority,
    wigeonramp_units::{
        CallerId, CollectionId, Fingerprint, Instant, MemberId, RequestId, ShardId,
    },
};

/// A checked query of a caller.
#[derive(Clone, Debug)]
pub struct QueryRequest {
    /// What the leaves get.
    pub body: Bytes,
    /// The authenticated caller.
    pub caller: CallerId,
    /// Disconnected when nobody waits for the answer; never for a request that must not run twice.
    pub client: Receiver<Infallible>,
    /// What is queried, each once.
    pub collections: Vec<CollectionId>,
    /// End of the query on this host's clock.
    pub deadline: Instant,
    fingerprint: Fingerprint,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The caller's member.
    pub member: MemberId,
    /// The caller's priority.
    pub priority: Priority,
    /// Whether an earlier sending of this request, which must not run twice, may have run.
    pub repeated: bool,
    /// The caller's id of the request.
    pub request: RequestId,
    /// The only shard to ask.
    pub shard: Option<ShardId>,
}

/// Who asks, and how urgently.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerIdentity {
    /// The caller.
    pub caller: CallerId,
    /// The member whose rows it may see.
    pub member: MemberId,
    /// Priority of its requests.
    pub priority: Priority,
}

/// What is asked.
#[derive(Clone, Debug)]
pub struct QueryParams {
    /// What the leaves get.
    pub body: Bytes,
    /// Disconnected when nobody waits for the answer; never for a request that must not run twice.
    pub client: Receiver<Infallible>,
    /// What is queried, each once.
    pub collections: Vec<CollectionId>,
    /// End of the query on this host's clock.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether an earlier sending of this request, which must not run twice, may have run.
    pub repeated: bool,
    /// The caller's id of the request.
    pub request: RequestId,
    /// The only shard to ask.
    pub shard: Option<ShardId>,
}

impl QueryRequest {
    /// Combines the identity of the caller with the parameters of its query.
    pub fn new(identity: CallerIdentity, params: QueryParams) -> Self {
        let CallerIdentity { caller, member, priority } = identity;
        let QueryParams {
            body,
            client,
            collections,
            deadline,
            idempotent,
            repeated,
            request,
            shard,
        } = params;
        let mut text = format!("{member}\n{caller}\n").into_bytes();
        text.extend_from_slice(&body);
        let fingerprint = Fingerprint::of(&text);
        Self {
            body,
            caller,
            client,
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

    /// Hash of member, caller and body, the same for each repetition of the request.
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }
}
