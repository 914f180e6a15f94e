//! Queries of callers, run on the entry host.

use {
    crate::{
        clock,
        holder::{
            Holders,
            connection::LeafCall,
            job::{LeafJob, ReplySink},
        },
        peer::client::{EntryEvent, Peers},
        reply::{Reply, ReplyOutcome, Rows},
        view::{ClusterView, HolderRights, Views},
    },
    bytes::Bytes,
    crossbeam::channel::{Sender, unbounded},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    wigeonramp_config::{
        Priority,
        caller_api::{
            CollectionAnswer, CoverageAnswer, MissingShard, PartAnswer, QueryAnswer, QueryOutcome,
        },
    },
    wigeonramp_proto::peer::{LeafWork, RunLeavesRequest},
    wigeonramp_units::{
        AttemptId, CallerId, CollectionId, Digest, Epoch, Fingerprint, InstanceId, Instant, LeafId,
        MapVersion, MemberId, RequestId, ShardId, SnapshotId,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// A checked query of a caller.
#[derive(Clone, Debug)]
pub struct QueryRequest {
    /// What the leaves get.
    pub body: Bytes,
    /// The authenticated caller.
    pub caller: CallerId,
    /// What is queried, each once.
    pub collections: Vec<CollectionId>,
    /// End of the query on this host's clock.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The caller's member.
    pub member: MemberId,
    /// The caller's priority.
    pub priority: Priority,
    /// The caller's id of the request.
    pub request: RequestId,
    /// The only shard to ask.
    pub shard: Option<ShardId>,
}

/// Runs queries on this host.
pub struct Entry<R> {
    attempts: AtomicU64,
    holders: Arc<Holders<R>>,
    instance: InstanceId,
    peers: Arc<Peers>,
    views: Arc<Views>,
}

struct Target {
    attempt: AttemptId,
    epoch: Epoch,
    leaf: LeafId,
    shard: ShardId,
}

impl<R: HolderRights> Entry<R> {
    /// Queries that start at `instance`.
    pub fn new(
        instance: InstanceId,
        views: Arc<Views>,
        holders: Arc<Holders<R>>,
        peers: Arc<Peers>,
    ) -> Self {
        // Leaves know attempts by number alone, so the numbers of two hosts must differ.
        let first = xxh3_64(instance.as_str().as_bytes()) << 32;
        Self { attempts: AtomicU64::new(first), holders, instance, peers, views }
    }

    /// The current view.
    pub fn view(&self) -> Arc<ClusterView> {
        self.views.load()
    }

    /// Runs `query`.
    pub fn run(&self, query: &QueryRequest) -> QueryAnswer {
        let collections = query.collections.iter();
        let collections = collections.filter_map(|id| self.run_collection(query, id)).collect();
        QueryAnswer { request_id: query.request.clone(), outcome: QueryOutcome::Done, collections }
    }

    fn run_collection(&self, query: &QueryRequest, id: &CollectionId) -> Option<CollectionAnswer> {
        let view = self.views.load();
        let map = view.document.collections.get(id)?.maps.last()?;
        let snapshot = map.from_snapshot;
        let (tx, rx) = unbounded();
        let mut open: HashMap<AttemptId, ShardId> = HashMap::new();
        let total = map.shards.len() as u32;
        let mut answer = CollectionAnswer {
            collection: id.clone(),
            snapshot: Some(snapshot),
            map_version: Some(map.version),
            coverage: CoverageAnswer { covered: 0, total, missing: Vec::new() },
            parts: Vec::new(),
        };
        let mut targets: HashMap<SocketAddr, Vec<Target>> = HashMap::new();
        let mut local = Vec::new();
        for (shard, leaves) in &map.shards {
            let held = leaves.iter().find_map(|leaf| Some((leaf, view.holders.get(leaf)?)));
            let Some((leaf, holder)) = held else {
                let reason = "no holder".to_owned();
                answer.coverage.missing.push(MissingShard { reason, shard: shard.clone() });
                continue;
            };
            let attempt = AttemptId(self.attempts.fetch_add(1, Ordering::Relaxed));
            open.insert(attempt, shard.clone());
            let target =
                Target { attempt, epoch: holder.epoch, leaf: leaf.clone(), shard: shard.clone() };
            if holder.instance == self.instance {
                local.push(target);
            } else {
                targets.entry(holder.address).or_default().push(target);
            }
        }
        for (address, work) in targets {
            let message = self.message(query, id, snapshot, map.version, work);
            self.peers.run_leaves(address, message, query.deadline, tx.clone());
        }
        for target in local {
            self.holders.run(self.job(query, snapshot, map.version, target, &tx));
        }
        while !open.is_empty() {
            let Ok(event) = rx.recv_timeout(clock::until(query.deadline).to_duration()) else {
                break;
            };
            take(event, query, &mut open, &mut answer);
        }
        for shard in open.into_values() {
            answer
                .coverage
                .missing
                .push(MissingShard { reason: "no answer in time".to_owned(), shard });
        }
        Some(answer)
    }

    fn message(
        &self,
        query: &QueryRequest,
        collection: &CollectionId,
        snapshot: SnapshotId,
        map_version: MapVersion,
        work: Vec<Target>,
    ) -> RunLeavesRequest {
        let work = work.into_iter().map(|target| LeafWork {
            attempt: target.attempt.get(),
            leaf: target.leaf.into(),
            shard: target.shard.into(),
            hedge: false,
            alone: false,
            epoch: target.epoch.get(),
        });
        RunLeavesRequest {
            request_id: query.request.as_str().to_owned(),
            member: query.member.as_str().to_owned(),
            caller: query.caller.as_str().to_owned(),
            collection: collection.as_str().to_owned(),
            entry: self.instance.as_str().to_owned(),
            urgent: query.priority == Priority::Urgent,
            idempotent: query.idempotent,
            timeout_ms: clock::until(query.deadline).as_millis(),
            snapshot: snapshot.get(),
            map_version: map_version.get(),
            fingerprint: Fingerprint::of(&query.body).0,
            body: query.body.to_vec(),
            work: work.collect(),
            config_version: self.views.load().document.version.get(),
        }
    }

    fn job(
        &self,
        query: &QueryRequest,
        snapshot: SnapshotId,
        map_version: MapVersion,
        target: Target,
        events: &Sender<EntryEvent>,
    ) -> LeafJob {
        LeafJob {
            alone: false,
            call: LeafCall {
                attempt: target.attempt,
                body: query.body.clone(),
                deadline: query.deadline,
                entry: self.instance.clone(),
                leaf: target.leaf,
                map_version,
                member: query.member.clone(),
                request: query.request.clone(),
                shard: target.shard,
                snapshot,
            },
            epoch: target.epoch,
            fingerprint: Fingerprint::of(&query.body),
            hedge: false,
            idempotent: query.idempotent,
            priority: query.priority,
            sink: ReplySink::Local(events.clone()),
            since: clock::now(),
        }
    }
}

fn take(
    event: EntryEvent,
    query: &QueryRequest,
    open: &mut HashMap<AttemptId, ShardId>,
    answer: &mut CollectionAnswer,
) {
    match event {
        EntryEvent::Reply(reply) => {
            let Some(shard) = open.remove(&reply.attempt) else { return };
            match rows_of(*reply, query, &shard) {
                Ok(rows) => {
                    answer.coverage.covered += 1;
                    answer.parts.push(PartAnswer {
                        shard,
                        rows: rows.count,
                        payload: String::from_utf8_lossy(&rows.payload).into_owned(),
                    });
                }
                Err(reason) => answer.coverage.missing.push(MissingShard { reason, shard }),
            }
        }
        EntryEvent::Lost(lost) => {
            for attempt in lost.attempts {
                let Some(shard) = open.remove(&attempt) else { continue };
                answer.coverage.missing.push(MissingShard { reason: lost.reason.clone(), shard });
            }
        }
    }
}

fn rows_of(reply: Reply, query: &QueryRequest, shard: &ShardId) -> Result<Rows, String> {
    if reply.member != query.member || reply.request != query.request || reply.shard != *shard {
        return Err("reply to another request".to_owned());
    }
    match reply.outcome {
        ReplyOutcome::Answered(rows) if Digest::of(&rows.payload) == rows.digest => Ok(rows),
        ReplyOutcome::Answered(_) => Err("digest does not match the rows".to_owned()),
        ReplyOutcome::NotSent(refusal) => Err(refusal.to_string()),
        ReplyOutcome::Refused(reason)
        | ReplyOutcome::Reset(reason)
        | ReplyOutcome::Unknown(reason) => Err(reason),
        ReplyOutcome::SnapshotGone => Err("snapshot gone".to_owned()),
    }
}
