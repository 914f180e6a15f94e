//! Tracks the leaves of each collection, as this host sees them: states reported by their holders,
//! latencies measured on this host, and ejected outliers.

use {
    crate::view::ClusterView,
    parking_lot::{Mutex, RwLock},
    serde::{
        Deserialize,
        de::{
            IntoDeserializer,
            value::{Error as ValueError, StrDeserializer},
        },
    },
    std::{collections::HashMap, sync::Arc},
    wigeonramp_config::{Collection, PartitionMap},
    wigeonramp_proto::peer::LeafReport,
    wigeonramp_serving::{
        ejection::{LeafLatency, OutlierDetector},
        latency::{LatencyWindow, Percentiles},
        query::{LeafInfo, LeafView},
        upstream::LeafState,
    },
    wigeonramp_units::{CollectionId, Epoch, Instant, LeafId, Percent, SnapshotId, Span},
};

/// Period over which latencies are measured.
const LATENCY_WINDOW: Span = Span::secs(30);
/// Age after which a cached view is rebuilt. Building a view for every query would cost each of 570
/// hosts more than a tenth of a core.
const VIEW_MAX_AGE: Span = Span::millis(10);
/// Age after which a reported load is ignored; heartbeats arrive about once per second.
const LOAD_MAX_AGE: Span = Span::secs(2);
/// Interval between checks for leaves that are far slower than their peers.
const OUTLIER_INTERVAL: Span = Span::secs(1);

/// Tracks the leaves of all collections.
#[derive(Default)]
pub struct LeafTracker {
    collections: RwLock<HashMap<CollectionId, Arc<Mutex<CollectionLeaves>>>>,
}

/// The last report of a leaf's holder.
struct ReportedState {
    allowance: u32,
    epoch: Epoch,
    in_flight: u32,
    queued: u32,
    received_at: Instant,
    snapshots: Vec<SnapshotId>,
    state: LeafState,
}

struct LeafRecord {
    latency: LatencyWindow,
    reported: Option<ReportedState>,
}

impl Default for LeafRecord {
    fn default() -> Self {
        Self { latency: LatencyWindow::new(LATENCY_WINDOW), reported: None }
    }
}

struct CachedView {
    built_at: Instant,
    cluster: Arc<ClusterView>,
    view: Arc<LeafView>,
}

/// The leaves of one collection.
struct CollectionLeaves {
    cached: Option<CachedView>,
    last_outlier_check: Instant,
    /// The `max_ejected` that `outliers` was created with.
    max_ejected: Percent,
    outliers: OutlierDetector,
    /// Latencies of all leaves, used for leaves with too few samples of their own.
    pooled: LatencyWindow,
    records: HashMap<LeafId, LeafRecord>,
}

impl CollectionLeaves {
    fn new(max_ejected: Percent) -> Self {
        Self {
            cached: None,
            last_outlier_check: Instant(0),
            max_ejected,
            outliers: OutlierDetector::new(max_ejected),
            pooled: LatencyWindow::new(LATENCY_WINDOW),
            records: HashMap::new(),
        }
    }
}

impl LeafTracker {
    /// Returns the state of a collection's leaves; empty if the collection does not exist. The view
    /// may be up to `VIEW_MAX_AGE` old.
    pub fn view(
        &self,
        cluster: &Arc<ClusterView>,
        id: &CollectionId,
        now: Instant,
    ) -> Arc<LeafView> {
        let Some(collection) = cluster.document.collections.get(id) else {
            return Arc::new(LeafView::default());
        };
        let leaves = self.leaves(cluster, id);
        let mut leaves = leaves.lock();
        if let Some(cached) = &leaves.cached
            && Arc::ptr_eq(&cached.cluster, cluster)
            && now.since(cached.built_at) < VIEW_MAX_AGE
        {
            return Arc::clone(&cached.view);
        }
        leaves.set_max_ejected(cluster.document.limits.max_ejected);
        leaves.eject_slow_leaves(collection, now);
        let view = Arc::new(leaves.build_view(cluster, collection, now));
        let cluster = Arc::clone(cluster);
        leaves.cached = Some(CachedView { built_at: now, cluster, view: Arc::clone(&view) });
        view
    }

    /// Records a report of a leaf's holder, unless one of a higher epoch is known.
    pub fn report(&self, cluster: &ClusterView, report: &LeafReport, now: Instant) {
        let Ok(leaf) = report.leaf.parse::<LeafId>() else { return };
        let Some(declared) = cluster.document.leaves.get(&leaf) else { return };
        let text: StrDeserializer<'_, ValueError> = report.state.as_str().into_deserializer();
        let Ok(state) = LeafState::deserialize(text) else {
            log::warn!("leaf {leaf}: unknown state {:?} in a report", report.state);
            return;
        };
        let reported = ReportedState {
            allowance: report.allowance,
            epoch: Epoch(report.epoch),
            in_flight: report.in_flight,
            queued: report.queued,
            received_at: now,
            snapshots: report.snapshots.iter().copied().map(SnapshotId).collect(),
            state,
        };
        let leaves = self.leaves(cluster, &declared.collection);
        let mut leaves = leaves.lock();
        let record = leaves.records.entry(leaf).or_default();
        if record.reported.as_ref().is_none_or(|last| last.epoch <= reported.epoch) {
            record.reported = Some(reported);
        }
    }

    /// Records that the leaf answered after `latency`, as measured on this host.
    pub fn record_success(
        &self,
        cluster: &ClusterView,
        id: &CollectionId,
        leaf: &LeafId,
        latency: Span,
        now: Instant,
    ) {
        let leaves = self.leaves(cluster, id);
        let mut leaves = leaves.lock();
        leaves.pooled.record(latency, now);
        leaves.records.entry(leaf.clone()).or_default().latency.record(latency, now);
        leaves.outliers.record_success(leaf);
    }

    /// Records that the leaf reset its connection, timed out or sent an invalid response. Returns
    /// whether this ejects the leaf.
    pub fn record_failure(
        &self,
        cluster: &ClusterView,
        id: &CollectionId,
        leaf: &LeafId,
        now: Instant,
    ) -> bool {
        let map = cluster.document.collections.get(id).and_then(|found| found.maps.last());
        let Some(map) = map else { return false };
        let leaves = self.leaves(cluster, id);
        let mut leaves = leaves.lock();
        leaves.outliers.record_failure(leaf, map, now)
    }

    fn leaves(&self, cluster: &ClusterView, id: &CollectionId) -> Arc<Mutex<CollectionLeaves>> {
        if let Some(leaves) = self.collections.read().get(id) {
            return Arc::clone(leaves);
        }
        let max_ejected = cluster.document.limits.max_ejected;
        let mut collections = self.collections.write();
        let leaves = collections.entry(id.clone());
        let create = || Arc::new(Mutex::new(CollectionLeaves::new(max_ejected)));
        Arc::clone(leaves.or_insert_with(create))
    }
}

impl CollectionLeaves {
    fn set_max_ejected(&mut self, max_ejected: Percent) {
        if self.max_ejected != max_ejected {
            self.max_ejected = max_ejected;
            self.outliers = OutlierDetector::new(max_ejected);
        }
    }

    fn eject_slow_leaves(&mut self, collection: &Collection, now: Instant) {
        let Some(map) = collection.maps.last() else { return };
        if now.since(self.last_outlier_check) < OUTLIER_INTERVAL {
            return;
        }
        self.last_outlier_check = now;
        let latencies: Vec<LeafLatency> = self
            .records
            .iter_mut()
            .map(|(leaf, record)| {
                let Percentiles { p50, samples, .. } = record.latency.percentiles(now);
                LeafLatency { leaf: leaf.clone(), p50, samples }
            })
            .collect();
        for leaf in self.outliers.eject_slow_leaves(&latencies, map, now) {
            log::warn!("leaf {leaf} is ejected: far slower than its peers");
        }
    }

    fn build_view(
        &mut self,
        cluster: &ClusterView,
        collection: &Collection,
        now: Instant,
    ) -> LeafView {
        let mut view = LeafView::default();
        for leaf in collection.maps.iter().flat_map(|map| map.shards.values()).flatten() {
            if !view.leaves.contains_key(leaf)
                && let Some(info) = self.info(cluster, collection, leaf, now)
            {
                view.leaves.insert(leaf.clone(), info);
            }
        }
        view
    }

    fn info(
        &mut self,
        cluster: &ClusterView,
        collection: &Collection,
        leaf: &LeafId,
        now: Instant,
    ) -> Option<LeafInfo> {
        let declared = cluster.document.leaves.get(leaf)?;
        let holder = cluster.holders.get(leaf);
        let ejected = self.outliers.is_ejected(leaf, now);
        let record = self.records.entry(leaf.clone()).or_default();
        let own = record.latency.percentiles(now);
        let pooled = self.pooled.percentiles(now);
        // A report from an earlier epoch does not describe the state under the current holder.
        let reported = record.reported.as_ref();
        let current =
            reported.filter(|report| holder.is_some_and(|holder| holder.epoch <= report.epoch));
        // A stale high load would keep the leaf from being selected, so that no reply with a newer
        // report would arrive.
        let load = current.filter(|report| now.since(report.received_at) < LOAD_MAX_AGE);
        let snapshots = match reported {
            Some(report) if !report.snapshots.is_empty() => report.snapshots.clone(),
            _ => declared_snapshots(&collection.maps, leaf),
        };
        Some(LeafInfo {
            state: current.map_or(LeafState::Cold, |report| report.state),
            in_flight: load.map_or(0, |report| report.in_flight),
            queued: load.map_or(0, |report| report.queued),
            allowance: current.map_or(1, |report| report.allowance),
            p50: own.p50,
            hedge_delay: own.or_pooled(pooled).hedge_delay(),
            zone: declared.zone.clone(),
            in_service: holder.is_some() && cluster.document.in_service(leaf),
            ejected,
            snapshots,
        })
    }
}

/// Returns the first snapshot of each map that contains the leaf. A leaf whose snapshots have not
/// been reported is assumed to have these.
fn declared_snapshots(maps: &[PartitionMap], leaf: &LeafId) -> Vec<SnapshotId> {
    let contains = |map: &&PartitionMap| map.shards.values().any(|leaves| leaves.contains(leaf));
    maps.iter().filter(contains).map(|map| map.from_snapshot).collect()
}
