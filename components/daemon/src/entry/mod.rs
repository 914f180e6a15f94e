//! Runs the queries of callers on the entry host.
//!
//! A query passes the quarantine and the admission controller, is claimed if it is not idempotent,
//! and is then run by sending attempts to the holders of its leaves.

pub mod claims;
mod dispatch;
pub mod leaf_tracker;
pub mod request;
pub mod response;
mod runner;

pub use request::QueryRequest;

use {
    crate::{
        clock,
        entry::{
            claims::{ClaimDecision, ClaimedOutcome, RequestClaims},
            dispatch::Dispatcher,
            leaf_tracker::LeafTracker,
            response::QueryReply,
            runner::{FinishedQuery, QueryRunner},
        },
        holder::HeldLeaves,
        observe::Observer,
        peer::client::Peers,
        suspects::Suspects,
        view::{ClusterView, HolderRights, SharedView},
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    wigeonramp_config::{Limits, Priority},
    wigeonramp_serving::{
        admission::{AdmissionController, AdmissionDecision, AdmissionRefusal},
        budget::AttemptBudgets,
        query::{ATTEMPTS_PER_QUERY, LeafView, QuerySpec, Target, Trust},
    },
    wigeonramp_units::{AttemptId, CollectionId, InstanceId, Instant, Percent, Span, ZoneId},
};

/// Maximum number of extra attempts (hedges and retries) that a collection's budgets can
/// accumulate.
const BUDGET_BURST: u32 = 10;

/// Age after which the state of the leaves held by this host is read again.
const LOCAL_REPORT_MAX_AGE: Span = Span::millis(10);

/// Components of the host that queries use.
pub struct EntryParts<K, R> {
    /// Claims of non-idempotent requests.
    pub claims: Arc<K>,
    /// Leaves that this host holds.
    pub held_leaves: Arc<HeldLeaves<R>>,
    /// Instance of this host.
    pub instance: InstanceId,
    /// Timeline and metrics of this host.
    pub observer: Arc<Observer>,
    /// Connections to other hosts.
    pub peers: Arc<Peers>,
    /// Maximum number of concurrent queries.
    pub query_limit: u32,
    /// This host's view of the cluster.
    pub shared_view: Arc<SharedView>,
    /// Requests that are suspected of crashing leaves.
    pub suspects: Arc<Suspects>,
    /// Zone of this host.
    pub zone: ZoneId,
}

struct Admission {
    controller: AdmissionController,
    /// The `ordinary_floor` that `controller` was created with.
    floor: Percent,
}

/// Releases the admission of a query when dropped, also if its thread panics.
struct AdmissionGuard<'a> {
    admission: &'a Mutex<Admission>,
    begun: Instant,
    priority: Priority,
}

impl Drop for AdmissionGuard<'_> {
    fn drop(&mut self) {
        let took = clock::now().since(self.begun);
        self.admission.lock().controller.release(self.priority, took);
    }
}

struct CollectionBudgets {
    budgets: Arc<AttemptBudgets>,
    /// The `hedge_budget` that `budgets` were created with.
    hedge: Percent,
    /// The `retry_budget` that `budgets` were created with.
    retry: Percent,
}

/// Runs the queries that callers send to this host.
pub struct Entry<K, R> {
    admission: Mutex<Admission>,
    budgets: Mutex<HashMap<CollectionId, CollectionBudgets>>,
    /// Time of the last read of the leaves held by this host, on the monotonic clock.
    last_local_report: AtomicU64,
    leaf_tracker: Arc<LeafTracker>,
    next_attempt: AtomicU64,
    parts: EntryParts<K, R>,
}

impl<K: RequestClaims, R: HolderRights> Entry<K, R> {
    /// Creates an entry without any reports about leaves.
    pub fn new(parts: EntryParts<K, R>) -> Self {
        let floor = parts.shared_view.load().document.limits.ordinary_floor;
        let controller = AdmissionController::new(parts.query_limit, floor);
        Self {
            admission: Mutex::new(Admission { controller, floor }),
            budgets: Mutex::new(HashMap::new()),
            last_local_report: AtomicU64::new(0),
            leaf_tracker: Arc::new(LeafTracker::default()),
            next_attempt: AtomicU64::new(0),
            parts,
        }
    }

    /// Returns this host's current view of the cluster.
    pub fn view(&self) -> Arc<ClusterView> {
        self.parts.shared_view.load()
    }

    /// Returns the tracker of leaf states; heartbeats deliver reports to it.
    pub fn leaf_tracker(&self) -> &Arc<LeafTracker> {
        &self.leaf_tracker
    }

    /// Returns the timeline and metrics of this host.
    pub fn observer(&self) -> &Arc<Observer> {
        &self.parts.observer
    }

    /// Returns the share of the query limit that is in use.
    pub fn load(&self) -> Percent {
        self.admission.lock().controller.load()
    }

    /// Runs `query` and counts it under each of its collections.
    pub fn run(&self, query: &QueryRequest) -> QueryReply {
        let reply = self.run_admitted(query);
        response::count_query(&self.parts.observer, query, &reply.response.outcome);
        reply
    }

    /// Runs `query` unless it is quarantined or refused by admission control.
    fn run_admitted(&self, query: &QueryRequest) -> QueryReply {
        let begun = clock::now();
        let cluster = self.parts.shared_view.load();
        let Some(trust) = self.parts.suspects.trust(query.fingerprint(), begun) else {
            let retry_after = cluster.document.limits.quarantine;
            return self.refuse(query, "quarantined: crashed two leaves", retry_after);
        };
        let view = self.leaf_view(&cluster, query, begun);
        if let AdmissionDecision::Refused { retry_after, reason } =
            self.admit(&cluster, query, &view, begun)
        {
            let reason = match reason {
                AdmissionRefusal::Deadline => "deadline cannot be met",
                AdmissionRefusal::Overload => "overload",
            };
            return self.refuse(query, reason, retry_after);
        }
        let reply = {
            let _guard =
                AdmissionGuard { admission: &self.admission, begun, priority: query.priority };
            self.claim_and_run(query, trust, &cluster, view)
        };
        let took = clock::now().since(begun);
        response::record_query(&self.parts.observer, &cluster, &reply.response, took);
        reply
    }

    /// Runs `query`; a non-idempotent one only if its claim is granted to this host.
    fn claim_and_run(
        &self,
        query: &QueryRequest,
        trust: Trust,
        cluster: &Arc<ClusterView>,
        view: Arc<LeafView>,
    ) -> QueryReply {
        if query.idempotent {
            return self.execute(query, trust, cluster, view);
        }
        match self.parts.claims.claim(query) {
            ClaimDecision::Granted => {
                let reply = self.execute(query, trust, cluster, view);
                self.parts.claims.record(query, &ClaimedOutcome::of(&reply.response));
                reply
            }
            ClaimDecision::NotRun(reason) => {
                QueryReply::refused_unclaimed(query, &reason, Span::ZERO)
            }
            ClaimDecision::Unknown(reason) => QueryReply::unknown(query, &reason),
            ClaimDecision::AlreadyRan(response) => {
                QueryReply { response: *response, retry_after: Span::ZERO }
            }
        }
    }

    /// Sends the attempts of `query` and waits for its result.
    fn execute(
        &self,
        query: &QueryRequest,
        trust: Trust,
        cluster: &Arc<ClusterView>,
        view: Arc<LeafView>,
    ) -> QueryReply {
        let dispatcher = Dispatcher::new(query, cluster, &self.parts);
        let spec = self.spec(query, trust, cluster);
        let runner = QueryRunner::new(query, cluster, &self.leaf_tracker, &self.parts, dispatcher);
        let FinishedQuery { abandoned, reset, result } = runner.run(spec, view);
        let now = clock::now();
        if !reset && !result.responses.is_empty() {
            self.parts.suspects.record_query_success(query.fingerprint(), now);
        }
        if abandoned {
            return QueryReply::unknown(query, "the caller disconnected");
        }
        QueryReply::of(query, result)
    }

    fn spec(&self, query: &QueryRequest, trust: Trust, cluster: &ClusterView) -> QuerySpec {
        let limits = &cluster.document.limits;
        let targets = query.collections.iter().map(|id| Target {
            collection: id.clone(),
            shards: query.shard.clone().map(|shard| vec![shard]),
            budgets: self.budgets(id, limits),
        });
        let first = self.next_attempt.fetch_add(ATTEMPTS_PER_QUERY, Ordering::Relaxed);
        QuerySpec {
            request: query.request.clone(),
            member: query.member.clone(),
            fingerprint: query.fingerprint(),
            deadline: query.deadline,
            idempotent: query.idempotent,
            trust,
            zone: self.parts.zone.clone(),
            targets: targets.collect(),
            first_attempt: AttemptId(first),
        }
    }

    fn budgets(&self, id: &CollectionId, limits: &Limits) -> Arc<AttemptBudgets> {
        let (hedge, retry) = (limits.hedge_budget, limits.retry_budget);
        let create = || CollectionBudgets {
            budgets: Arc::new(AttemptBudgets::new(hedge, retry, BUDGET_BURST)),
            hedge,
            retry,
        };
        let mut collections = self.budgets.lock();
        let found = collections.entry(id.clone()).or_insert_with(create);
        if (found.hedge, found.retry) != (hedge, retry) {
            *found = create();
        }
        Arc::clone(&found.budgets)
    }

    fn leaf_view(
        &self,
        cluster: &Arc<ClusterView>,
        query: &QueryRequest,
        now: Instant,
    ) -> Arc<LeafView> {
        self.report_local(cluster, now);
        let mut views = query.collections.iter().map(|id| self.leaf_tracker.view(cluster, id, now));
        let first = views.next().unwrap_or_default();
        let Some(second) = views.next() else { return first };
        let mut leaves = first.leaves.clone();
        for view in [second].into_iter().chain(views) {
            leaves.extend(view.leaves.iter().map(|(leaf, info)| (leaf.clone(), info.clone())));
        }
        Arc::new(LeafView { leaves })
    }

    /// Passes the state of the leaves held by this host to the tracker, at most once per
    /// `LOCAL_REPORT_MAX_AGE`. The states of other leaves arrive with heartbeats.
    fn report_local(&self, cluster: &ClusterView, now: Instant) {
        let last = self.last_local_report.load(Ordering::Relaxed);
        if now.since(Instant(last)) < LOCAL_REPORT_MAX_AGE {
            return;
        }
        let order = Ordering::Relaxed;
        if self.last_local_report.compare_exchange(last, now.0, order, order).is_err() {
            return;
        }
        for report in self.parts.held_leaves.reports() {
            self.leaf_tracker.report(cluster, &report, now);
        }
    }

    fn admit(
        &self,
        cluster: &ClusterView,
        query: &QueryRequest,
        view: &LeafView,
        now: Instant,
    ) -> AdmissionDecision {
        let floor = cluster.document.limits.ordinary_floor;
        let mut admission = self.admission.lock();
        // A changed floor applies once no query is in flight under the old one.
        if admission.floor != floor && admission.controller.in_flight() == 0 {
            *admission = Admission {
                controller: AdmissionController::new(self.parts.query_limit, floor),
                floor,
            };
        }
        let expected = expected_latency(cluster, query, view);
        admission.controller.admit(query.priority, query.deadline, expected, now)
    }

    fn refuse(&self, query: &QueryRequest, reason: &str, retry_after: Span) -> QueryReply {
        self.parts.observer.query_refused(Some(&query.request), reason, Some(query.priority));
        QueryReply::refused_unclaimed(query, reason, retry_after)
    }
}

/// Returns the expected latency of `query`: the lowest median among the replicas of each shard, and
/// the highest of these over all shards.
fn expected_latency(cluster: &ClusterView, query: &QueryRequest, view: &LeafView) -> Span {
    let collections = query.collections.iter();
    let collections = collections.filter_map(|id| cluster.document.collections.get(id));
    let maps = collections.filter_map(|collection| collection.maps.last());
    let shards = maps.flat_map(|map| &map.shards);
    let queried =
        shards.filter(|(shard, _)| query.shard.as_ref().is_none_or(|only| only == *shard));
    let fastest = queried.filter_map(|(_, replicas)| {
        replicas.iter().filter_map(|leaf| view.get(leaf)).map(|info| info.p50).min()
    });
    fastest.max().unwrap_or_default()
}
