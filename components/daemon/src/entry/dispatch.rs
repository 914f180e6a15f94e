//! Sends attempts to the holders of their leaves, batched into messages by holder.

use {
    crate::{
        clock,
        entry::{EntryParts, QueryRequest},
        holder::{
            connection::LeafCall,
            job::{LeafJob, ReplySink},
        },
        peer::client::{AttemptEvent, LostAttempts},
        view::{ClusterView, HolderRights},
    },
    crossbeam::channel::Sender,
    indexmap::IndexMap,
    std::{net::SocketAddr, sync::Arc},
    wigeonramp_config::Priority,
    wigeonramp_proto::peer::{CancelAttemptsRequest, LeafWork, RunLeavesRequest},
    wigeonramp_serving::query::AttemptSpec,
    wigeonramp_units::{AttemptId, CollectionId, Epoch, Instant, MapVersion, SnapshotId},
};

/// Where an attempt was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Route {
    /// To a leaf that this host holds.
    Local,
    /// To no host, because none holds the leaf.
    Nowhere,
    /// To the holder at this address.
    Peer(SocketAddr),
}

/// Fields that all attempts of one message share.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct MessageKey {
    collection: CollectionId,
    deadline: Instant,
    holder: SocketAddr,
    map_version: MapVersion,
    snapshot: SnapshotId,
}

/// Sends the attempts of one query.
pub(super) struct Dispatcher<'a, K, R> {
    cluster: &'a Arc<ClusterView>,
    parts: &'a EntryParts<K, R>,
    query: &'a QueryRequest,
}

impl<'a, K, R: HolderRights> Dispatcher<'a, K, R> {
    pub(super) fn new(
        query: &'a QueryRequest,
        cluster: &'a Arc<ClusterView>,
        parts: &'a EntryParts<K, R>,
    ) -> Self {
        Self { cluster, parts, query }
    }

    /// Sends a batch of attempts. Returns the route of each, in the same order.
    pub(super) fn send(
        &self,
        batch: Vec<AttemptSpec>,
        events: &Sender<AttemptEvent>,
    ) -> Vec<Route> {
        let mut messages: IndexMap<MessageKey, Vec<LeafWork>> = IndexMap::new();
        let mut local = Vec::new();
        let mut without_holder = Vec::new();
        let mut routes = Vec::with_capacity(batch.len());
        // Loaded for each batch, because holders may have changed since the query began.
        let cluster = self.parts.shared_view.load();
        for spec in batch {
            let holder = cluster.holders.get(&spec.leaf);
            routes.push(match holder {
                None => {
                    without_holder.push(spec.attempt);
                    Route::Nowhere
                }
                Some(holder) if holder.instance == self.parts.instance => {
                    local.push(self.job(spec, holder.epoch, events));
                    Route::Local
                }
                Some(holder) => {
                    let key = MessageKey {
                        collection: spec.collection.clone(),
                        deadline: spec.deadline,
                        holder: holder.address,
                        map_version: spec.map_version,
                        snapshot: spec.snapshot,
                    };
                    messages.entry(key).or_default().push(leaf_work(spec, holder.epoch));
                    Route::Peer(holder.address)
                }
            });
        }
        for (key, work) in messages {
            let (holder, deadline) = (key.holder, key.deadline);
            let message = self.message(key, work);
            self.parts.peers.run_leaves(holder, message, deadline, events.clone());
        }
        for job in local {
            self.parts.held_leaves.offer(job);
        }
        if !without_holder.is_empty() {
            let reason = "no host holds the leaf".to_owned();
            let lost = LostAttempts { attempts: without_holder, maybe_sent: false, reason };
            // Sending cannot fail: the caller of this method owns the receiver.
            let _ = events.send(AttemptEvent::Lost(lost));
        }
        routes
    }

    /// Cancels attempts that are no longer needed.
    pub(super) fn cancel(&self, attempts: Vec<(AttemptId, Route)>) {
        let mut by_peer: IndexMap<SocketAddr, Vec<u64>> = IndexMap::new();
        for (attempt, route) in attempts {
            match route {
                Route::Local => self.parts.held_leaves.cancel(&self.parts.instance, attempt),
                Route::Nowhere => (),
                Route::Peer(holder) => by_peer.entry(holder).or_default().push(attempt.get()),
            }
        }
        for (holder, attempts) in by_peer {
            let entry = self.parts.instance.as_str().to_owned();
            self.parts.peers.cancel(holder, CancelAttemptsRequest { entry, attempts });
        }
    }

    fn message(&self, key: MessageKey, work: Vec<LeafWork>) -> RunLeavesRequest {
        let query = self.query;
        RunLeavesRequest {
            request_id: query.request.as_str().to_owned(),
            member: query.member.as_str().to_owned(),
            caller: query.caller.as_str().to_owned(),
            collection: key.collection.into(),
            entry: self.parts.instance.as_str().to_owned(),
            urgent: query.priority == Priority::Urgent,
            idempotent: query.idempotent,
            timeout_us: clock::until(key.deadline).0,
            snapshot: key.snapshot.get(),
            map_version: key.map_version.get(),
            fingerprint: query.fingerprint().0,
            body: query.body.to_vec(),
            work,
            config_version: self.cluster.document.version.get(),
        }
    }

    fn job(&self, spec: AttemptSpec, epoch: Epoch, events: &Sender<AttemptEvent>) -> LeafJob {
        let query = self.query;
        LeafJob {
            alone: spec.alone,
            call: LeafCall {
                attempt: spec.attempt,
                body: query.body.clone(),
                collection: spec.collection,
                deadline: spec.deadline,
                entry: self.parts.instance.clone(),
                leaf: spec.leaf,
                map_version: spec.map_version,
                member: query.member.clone(),
                request: query.request.clone(),
                shard: spec.shard,
                snapshot: spec.snapshot,
            },
            epoch,
            fingerprint: query.fingerprint(),
            hedge: spec.hedge,
            idempotent: query.idempotent,
            priority: query.priority,
            sink: ReplySink::Local(events.clone()),
            queued_at: clock::now(),
        }
    }
}

fn leaf_work(spec: AttemptSpec, epoch: Epoch) -> LeafWork {
    LeafWork {
        attempt: spec.attempt.get(),
        leaf: spec.leaf.into(),
        shard: spec.shard.into(),
        hedge: spec.hedge,
        alone: spec.alone,
        epoch: epoch.get(),
    }
}
