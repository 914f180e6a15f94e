//! Hands attempts to the holders of their leaves, one message to each.

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
    /// A leaf that this host holds.
    Local,
    /// No host holds the leaf.
    Nowhere,
    /// The holder at this address.
    Peer(SocketAddr),
}

/// What the attempts of one message have in common.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Group {
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

    /// Sends a batch; returns the route of each attempt, in order.
    pub(super) fn send(
        &self,
        batch: Vec<AttemptSpec>,
        events: &Sender<AttemptEvent>,
    ) -> Vec<Route> {
        let mut groups: IndexMap<Group, Vec<LeafWork>> = IndexMap::new();
        let mut local = Vec::new();
        let mut nowhere = Vec::new();
        let mut routes = Vec::with_capacity(batch.len());
        // Read for each batch: a holder may have changed since the query began.
        let cluster = self.parts.shared_view.load();
        for send in batch {
            let holder = cluster.holders.get(&send.leaf);
            routes.push(match holder {
                None => {
                    nowhere.push(send.attempt);
                    Route::Nowhere
                }
                Some(holder) if holder.instance == self.parts.instance => {
                    local.push(self.job(send, holder.epoch, events));
                    Route::Local
                }
                Some(holder) => {
                    let group = Group {
                        collection: send.collection.clone(),
                        deadline: send.deadline,
                        holder: holder.address,
                        map_version: send.map_version,
                        snapshot: send.snapshot,
                    };
                    groups.entry(group).or_default().push(work(send, holder.epoch));
                    Route::Peer(holder.address)
                }
            });
        }
        for (group, work) in groups {
            let (holder, deadline) = (group.holder, group.deadline);
            let message = self.message(group, work);
            self.parts.peers.run_leaves(holder, message, deadline, events.clone());
        }
        for job in local {
            self.parts.held_leaves.offer(job);
        }
        if !nowhere.is_empty() {
            let reason = "no host holds the leaf".to_owned();
            let lost = LostAttempts { attempts: nowhere, maybe_sent: false, reason };
            // The receiver is the caller itself.
            let _ = events.send(AttemptEvent::Lost(lost));
        }
        routes
    }

    /// Cancels attempts that are no longer needed.
    pub(super) fn cancel(&self, attempts: Vec<(AttemptId, Route)>) {
        let mut peers: IndexMap<SocketAddr, Vec<u64>> = IndexMap::new();
        for (attempt, route) in attempts {
            match route {
                Route::Local => self.parts.held_leaves.cancel(&self.parts.instance, attempt),
                Route::Nowhere => (),
                Route::Peer(holder) => peers.entry(holder).or_default().push(attempt.get()),
            }
        }
        for (holder, attempts) in peers {
            let entry = self.parts.instance.as_str().to_owned();
            self.parts.peers.cancel(holder, CancelAttemptsRequest { entry, attempts });
        }
    }

    fn message(&self, group: Group, work: Vec<LeafWork>) -> RunLeavesRequest {
        let query = self.query;
        RunLeavesRequest {
            request_id: query.request.as_str().to_owned(),
            member: query.member.as_str().to_owned(),
            caller: query.caller.as_str().to_owned(),
            collection: group.collection.into(),
            entry: self.parts.instance.as_str().to_owned(),
            urgent: query.priority == Priority::Urgent,
            idempotent: query.idempotent,
            timeout_us: clock::until(group.deadline).0,
            snapshot: group.snapshot.get(),
            map_version: group.map_version.get(),
            fingerprint: query.fingerprint().0,
            body: query.body.to_vec(),
            work,
            config_version: self.cluster.document.version.get(),
        }
    }

    fn job(&self, send: AttemptSpec, epoch: Epoch, events: &Sender<AttemptEvent>) -> LeafJob {
        let query = self.query;
        LeafJob {
            alone: send.alone,
            call: LeafCall {
                attempt: send.attempt,
                body: query.body.clone(),
                collection: send.collection,
                deadline: send.deadline,
                entry: self.parts.instance.clone(),
                leaf: send.leaf,
                map_version: send.map_version,
                member: query.member.clone(),
                request: query.request.clone(),
                shard: send.shard,
                snapshot: send.snapshot,
            },
            epoch,
            fingerprint: query.fingerprint(),
            hedge: send.hedge,
            idempotent: query.idempotent,
            priority: query.priority,
            sink: ReplySink::Local(events.clone()),
            queued_at: clock::now(),
        }
    }
}

fn work(send: AttemptSpec, epoch: Epoch) -> LeafWork {
    LeafWork {
        attempt: send.attempt.get(),
        leaf: send.leaf.into(),
        shard: send.shard.into(),
        hedge: send.hedge,
        alone: send.alone,
        epoch: epoch.get(),
    }
}
