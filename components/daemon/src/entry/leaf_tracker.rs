//! What this host knows of the leaves, by collection: reports of their holders, latencies as
//! measured here, and ejected outliers.

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

/// Age at which latencies are forgotten.
const LATENCY_WINDOW: Span = Span::secs(30);
/// Age at which a view is built again. At 570 hosts a query for every view would cost each host
/// more than a tenth of a core.
const VIEW_AGE: Span = Span::millis(10);
/// Age at which a reported load no longer counts; heartbeats come about once a second.
const LOAD_AGE: Span = Span::secs(2);
/// Time between two searches for outliers.
const COMPARE_INTERVAL: Span = Span::secs(1);

/// Knowledge of all collections.
#[derive(Default)]
pub struct LeafTracker {
    collections: RwLock<HashMap<CollectionId, Arc<Mutex<Board>>>>,
}

struct Known {
    allowance: u32,
    at: Instant,
    epoch: Epoch,
    in_flight: u32,
    queued: u32,
    snapshots: Vec<SnapshotId>,
    state: LeafState,
}

struct Record {
    known: Option<Known>,
    latency: LatencyWindow,
}

impl Default for Record {
    fn default() -> Self {
        Self { known: None, latency: LatencyWindow::new(LATENCY_WINDOW) }
    }
}

struct Cached {
    at: Instant,
    cluster: Arc<ClusterView>,
    view: Arc<LeafView>,
}

struct Board {
    cached: Option<Cached>,
    compared: Instant,
    ejection: OutlierDetector,
    max_ejected: Percent,
    /// Answers of all leaves, for leaves with too few of their own.
    pooled: LatencyWindow,
    records: HashMap<LeafId, Record>,
}

impl Board {
    fn new(max_ejected: Percent) -> Self {
        Self {
            cached: None,
            compared: Instant(0),
            ejection: OutlierDetector::new(max_ejected),
            max_ejected,
            pooled: LatencyWindow::new(LATENCY_WINDOW),
            records: HashMap::new(),
        }
    }
}

impl LeafTracker {
    /// What is known of a collection's leaves; empty if it does not exist.
    pub fn view(
        &self,
        cluster: &Arc<ClusterView>,
        id: &CollectionId,
        now: Instant,
    ) -> Arc<LeafView> {
        let Some(collection) = cluster.document.collections.get(id) else {
            return Arc::new(LeafView::default());
        };
        let board = self.board(cluster, id);
        let mut board = board.lock();
        if let Some(cached) = &board.cached
            && Arc::ptr_eq(&cached.cluster, cluster)
            && now.since(cached.at) < VIEW_AGE
        {
            return Arc::clone(&cached.view);
        }
        board.set_max_ejected(cluster.document.limits.max_ejected);
        board.compare(collection, now);
        let view = Arc::new(board.build(cluster, collection, now));
        let cluster = Arc::clone(cluster);
        board.cached = Some(Cached { at: now, cluster, view: Arc::clone(&view) });
        view
    }

    /// Takes in a report of a leaf's holder.
    pub fn report(&self, cluster: &ClusterView, report: &LeafReport, now: Instant) {
        let Ok(leaf) = report.leaf.parse::<LeafId>() else { return };
        let Some(declared) = cluster.document.leaves.get(&leaf) else { return };
        let text: StrDeserializer<'_, ValueError> = report.state.as_str().into_deserializer();
        let Ok(state) = LeafState::deserialize(text) else {
            log::warn!("leaf {leaf}: state {:?} is not known", report.state);
            return;
        };
        let known = Known {
            allowance: report.allowance,
            at: now,
            epoch: Epoch(report.epoch),
            in_flight: report.in_flight,
            queued: report.queued,
            snapshots: report.snapshots.iter().copied().map(SnapshotId).collect(),
            state,
        };
        let board = self.board(cluster, &declared.collection);
        let mut board = board.lock();
        let record = board.records.entry(leaf).or_default();
        if record.known.as_ref().is_none_or(|before| before.epoch <= known.epoch) {
            record.known = Some(known);
        }
    }

    /// The leaf answered after `latency`, as measured here.
    pub fn answered(
        &self,
        cluster: &ClusterView,
        id: &CollectionId,
        leaf: &LeafId,
        latency: Span,
        now: Instant,
    ) {
        let board = self.board(cluster, id);
        let mut board = board.lock();
        board.pooled.record(latency, now);
        board.records.entry(leaf.clone()).or_default().latency.record(latency, now);
        board.ejection.record_success(leaf);
    }

    /// The leaf reset, timed out or answered wrongly. Returns whether it is ejected by this.
    pub fn failed(
        &self,
        cluster: &ClusterView,
        id: &CollectionId,
        leaf: &LeafId,
        now: Instant,
    ) -> bool {
        let map = cluster.document.collections.get(id).and_then(|found| found.maps.last());
        let Some(map) = map else { return false };
        let board = self.board(cluster, id);
        let mut board = board.lock();
        board.ejection.record_failure(leaf, map, now)
    }

    fn board(&self, cluster: &ClusterView, id: &CollectionId) -> Arc<Mutex<Board>> {
        if let Some(board) = self.collections.read().get(id) {
            return Arc::clone(board);
        }
        let max_ejected = cluster.document.limits.max_ejected;
        let mut collections = self.collections.write();
        let board = collections.entry(id.clone());
        Arc::clone(board.or_insert_with(|| Arc::new(Mutex::new(Board::new(max_ejected)))))
    }
}

impl Board {
    fn set_max_ejected(&mut self, max_ejected: Percent) {
        if self.max_ejected != max_ejected {
            self.max_ejected = max_ejected;
            self.ejection = OutlierDetector::new(max_ejected);
        }
    }

    fn compare(&mut self, collection: &Collection, now: Instant) {
        let Some(map) = collection.maps.last() else { return };
        if now.since(self.compared) < COMPARE_INTERVAL {
            return;
        }
        self.compared = now;
        let speeds: Vec<LeafLatency> = self
            .records
            .iter_mut()
            .map(|(leaf, record)| {
                let Percentiles { p50, samples, .. } = record.latency.percentiles(now);
                LeafLatency { leaf: leaf.clone(), p50, samples }
            })
            .collect();
        for leaf in self.ejection.eject_slow_leaves(&speeds, map, now) {
            log::warn!("leaf {leaf} is ejected: far slower than its peers");
        }
    }

    fn build(&mut self, cluster: &ClusterView, collection: &Collection, now: Instant) -> LeafView {
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
        let ejected = self.ejection.is_ejected(leaf, now);
        let record = self.records.entry(leaf.clone()).or_default();
        let own = record.latency.percentiles(now);
        let pooled = self.pooled.percentiles(now);
        // A report of an earlier holding says nothing about the state under the present holder.
        let known = record.known.as_ref();
        let current =
            known.filter(|known| holder.is_some_and(|holder| holder.epoch <= known.epoch));
        // An old load says nothing, and would keep a leaf from ever being asked again.
        let loaded = current.filter(|known| now.since(known.at) < LOAD_AGE);
        let snapshots = match known {
            Some(known) if !known.snapshots.is_empty() => known.snapshots.clone(),
            _ => declared_snapshots(&collection.maps, leaf),
        };
        Some(LeafInfo {
            state: current.map_or(LeafState::Cold, |known| known.state),
            in_flight: loaded.map_or(0, |known| known.in_flight),
            queued: loaded.map_or(0, |known| known.queued),
            allowance: current.map_or(1, |known| known.allowance),
            p50: own.p50,
            hedge_delay: own.or_pooled(pooled).hedge_delay(),
            zone: declared.zone.clone(),
            in_service: holder.is_some() && cluster.document.in_service(leaf),
            ejected,
            snapshots,
        })
    }
}

/// Until a leaf has reported, it is taken to have the first snapshot of each map that names it.
fn declared_snapshots(maps: &[PartitionMap], leaf: &LeafId) -> Vec<SnapshotId> {
    let names = |map: &&PartitionMap| map.shards.values().any(|leaves| leaves.contains(leaf));
    maps.iter().filter(names).map(|map| map.from_snapshot).collect()
}
