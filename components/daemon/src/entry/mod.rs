//! Queries of callers, run on the entry host.

pub mod claims;
mod dispatch;
mod drive;
pub mod leaf_tracker;
pub mod request;
pub mod response;

pub use request::QueryRequest;

use {
    crate::{
        clock,
        entry::{
            claims::{ClaimDecision, ClaimedOutcome, RequestClaims},
            dispatch::Dispatcher,
            drive::{Drive, Driven},
            leaf_tracker::LeafTracker,
            response::QueryReply,
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

/// Extra sends that a collection may save up.
const BUDGET_BURST: u32 = 10;

/// Age at which the states of this host's own leaves are read again.
const LOCAL_REPORT_AGE: Span = Span::millis(10);

/// The parts of the host that queries use.
pub struct EntryParts<K, R> {
    /// Claims of requests that must not run twice.
    pub claims: Arc<K>,
    /// Leaves that this host holds.
    pub held_leaves: Arc<HeldLeaves<R>>,
    /// This start of the host.
    pub instance: InstanceId,
    /// Timeline and metrics.
    pub observer: Arc<Observer>,
    /// Connections to other hosts.
    pub peers: Arc<Peers>,
    /// Queries at the same time.
    pub query_limit: u32,
    /// Requests that may crash leaves.
    pub suspects: Arc<Suspects>,
    /// The cluster.
    pub shared_view: Arc<SharedView>,
    /// Where the host stands.
    pub zone: ZoneId,
}

struct Limited {
    admission: AdmissionController,
    floor: Percent,
}

/// Gives the admission back at the end of a query, also when its thread panics.
struct Admitted<'a> {
    admission: &'a Mutex<Limited>,
    begun: Instant,
    priority: Priority,
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        let took = clock::now().since(self.begun);
        self.admission.lock().admission.release(self.priority, took);
    }
}

struct CollectionBudgets {
    budgets: Arc<AttemptBudgets>,
    hedge: Percent,
    retry: Percent,
}

/// Runs queries on this host.
pub struct Entry<K, R> {
    admission: Mutex<Limited>,
    attempts: AtomicU64,
    leaf_tracker: Arc<LeafTracker>,
    budgets: Mutex<HashMap<CollectionId, CollectionBudgets>>,
    parts: EntryParts<K, R>,
    /// When the leaves of this host were last read, on the monotonic clock.
    reported: AtomicU64,
}

impl<K: RequestClaims, R: HolderRights> Entry<K, R> {
    /// An entry that knows nothing of the leaves yet.
    pub fn new(parts: EntryParts<K, R>) -> Self {
        let floor = parts.shared_view.load().document.limits.ordinary_floor;
        let admission = AdmissionController::new(parts.query_limit, floor);
        Self {
            admission: Mutex::new(Limited { admission, floor }),
            attempts: AtomicU64::new(0),
            leaf_tracker: Arc::new(LeafTracker::default()),
            budgets: Mutex::new(HashMap::new()),
            parts,
            reported: AtomicU64::new(0),
        }
    }

    /// The current view of the cluster.
    pub fn view(&self) -> Arc<ClusterView> {
        self.parts.shared_view.load()
    }

    /// What is known of the leaves; heartbeats report to it.
    pub fn leaf_tracker(&self) -> &Arc<LeafTracker> {
        &self.leaf_tracker
    }

    /// Timeline and metrics.
    pub fn observer(&self) -> &Arc<Observer> {
        &self.parts.observer
    }

    /// Share of the query limit in use.
    pub fn load(&self) -> Percent {
        self.admission.lock().admission.load()
    }

    /// Runs `query` to its answer.
    pub fn run(&self, query: &QueryRequest) -> QueryReply {
        let reply = self.run_admitted(query);
        response::count(&self.parts.observer, query, &reply.response.outcome);
        reply
    }

    /// Runs `query` unless it is quarantined or not admitted.
    fn run_admitted(&self, query: &QueryRequest) -> QueryReply {
        let begun = clock::now();
        let cluster = self.parts.shared_view.load();
        let Some(trust) = self.parts.suspects.trust(query.fingerprint(), begun) else {
            let wait = cluster.document.limits.quarantine;
            return self.refuse(query, "quarantined: crashed two leaves", wait);
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
            let _admitted =
                Admitted { admission: &self.admission, begun, priority: query.priority };
            self.run_claimed(query, trust, &cluster, view)
        };
        let took = clock::now().since(begun);
        response::observe(&self.parts.observer, &cluster, &reply.response, took);
        reply
    }

    /// Runs a request that must not run twice under its claim.
    fn run_claimed(
        &self,
        query: &QueryRequest,
        trust: Trust,
        cluster: &Arc<ClusterView>,
        view: Arc<LeafView>,
    ) -> QueryReply {
        if query.idempotent {
            return self.drive(query, trust, cluster, view);
        }
        match self.parts.claims.claim(query) {
            ClaimDecision::Granted => {
                let reply = self.drive(query, trust, cluster, view);
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

    fn drive(
        &self,
        query: &QueryRequest,
        trust: Trust,
        cluster: &Arc<ClusterView>,
        view: Arc<LeafView>,
    ) -> QueryReply {
        let dispatcher = Dispatcher::new(query, cluster, &self.parts);
        let spec = self.spec(query, trust, cluster);
        let drive = Drive::new(query, cluster, &self.leaf_tracker, &self.parts, dispatcher);
        let Driven { abandoned, answer, reset } = drive.run(spec, view);
        let now = clock::now();
        if !reset && !answer.responses.is_empty() {
            self.parts.suspects.record_query_success(query.fingerprint(), now);
        }
        if abandoned {
            return QueryReply::unknown(query, "the caller disconnected");
        }
        QueryReply::of(query, answer)
    }

    fn spec(&self, query: &QueryRequest, trust: Trust, cluster: &ClusterView) -> QuerySpec {
        let limits = &cluster.document.limits;
        let targets = query.collections.iter().map(|id| Target {
            collection: id.clone(),
            shards: query.shard.clone().map(|shard| vec![shard]),
            budgets: self.budgets(id, limits),
        });
        let first = self.attempts.fetch_add(ATTEMPTS_PER_QUERY, Ordering::Relaxed);
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
        let fresh = || CollectionBudgets {
            budgets: Arc::new(AttemptBudgets::new(hedge, retry, BUDGET_BURST)),
            hedge,
            retry,
        };
        let mut all = self.budgets.lock();
        let found = all.entry(id.clone()).or_insert_with(fresh);
        if (found.hedge, found.retry) != (hedge, retry) {
            *found = fresh();
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

    /// Leaves that this host holds need no heartbeat.
    fn report_local(&self, cluster: &ClusterView, now: Instant) {
        let last = self.reported.load(Ordering::Relaxed);
        if now.since(Instant(last)) < LOCAL_REPORT_AGE {
            return;
        }
        let order = Ordering::Relaxed;
        if self.reported.compare_exchange(last, now.0, order, order).is_err() {
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
        let mut limited = self.admission.lock();
        // A changed floor applies once nothing is counted under the old one.
        if limited.floor != floor && limited.admission.in_flight() == 0 {
            *limited = Limited {
                admission: AdmissionController::new(self.parts.query_limit, floor),
                floor,
            };
        }
        let expected = expected(cluster, query, view);
        limited.admission.admit(query.priority, query.deadline, expected, now)
    }

    fn refuse(&self, query: &QueryRequest, reason: &str, retry_after: Span) -> QueryReply {
        self.parts.observer.query_refused(Some(&query.request), reason, Some(query.priority));
        QueryReply::refused_unclaimed(query, reason, retry_after)
    }
}

/// The time that the slowest shard of the query is expected to take at its fastest replica.
fn expected(cluster: &ClusterView, query: &QueryRequest, view: &LeafView) -> Span {
    let collections = query.collections.iter();
    let collections = collections.filter_map(|id| cluster.document.collections.get(id));
    let maps = collections.filter_map(|collection| collection.maps.last());
    let shards = maps.flat_map(|map| &map.shards);
    let asked = shards.filter(|(shard, _)| query.shard.as_ref().is_none_or(|only| only == *shard));
    let fastest = asked.filter_map(|(_, replicas)| {
        replicas.iter().filter_map(|leaf| view.get(leaf)).map(|info| info.p50).min()
    });
    fastest.max().unwrap_or_default()
}
