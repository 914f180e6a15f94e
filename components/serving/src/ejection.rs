//! Outlier detection: leaves that fail repeatedly or are far slower than their peers are ejected,
//! that is, get no new requests for some time. At most the declared share of the leaves is ejected,
//! and never the last replica of a shard.

use {
    indexmap::IndexMap,
    wigeonramp_config::PartitionMap,
    wigeonramp_units::{Instant, LeafId, Percent, Span},
};

/// Number of consecutive failures that ejects a leaf.
const FAILURES_TO_EJECT: u32 = 5;
/// A leaf is an outlier if its median latency is more than this many times the median of its peers.
const SLOW_FACTOR: u64 = 5;
/// Minimum number of samples for which a median is meaningful.
const MIN_SAMPLES: u32 = 16;
/// Duration of the first ejection; each further one is longer by this time, up to the maximum.
const BASE_EJECTION_TIME: Span = Span::secs(5);
/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Span = Span::secs(60);

#[derive(Clone, Debug, Default)]
struct LeafRecord {
    consecutive_failures: u32,
    ejections: u64,
    ejected_until: Option<Instant>,
}

/// Measured latency of one leaf.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeafLatency {
    /// The leaf.
    pub leaf: LeafId,
    /// Median latency.
    pub p50: Span,
    /// Number of samples of the median.
    pub samples: u32,
}

/// Outlier detection of one entry host for the leaves of one collection.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    max_ejected: Percent,
    records: IndexMap<LeafId, LeafRecord>,
}

impl OutlierDetector {
    /// Ejects at most `max_ejected` of the collection's leaves at the same time.
    pub fn new(max_ejected: Percent) -> Self {
        Self { max_ejected, records: IndexMap::new() }
    }

    /// Records that the leaf answered.
    pub fn record_success(&mut self, leaf: &LeafId) {
        if let Some(record) = self.records.get_mut(leaf) {
            record.consecutive_failures = 0;
        }
    }

    /// Records that the leaf reset, timed out or sent an invalid response. Returns whether this
    /// ejects it.
    pub fn record_failure(&mut self, leaf: &LeafId, map: &PartitionMap, now: Instant) -> bool {
        let record = self.records.entry(leaf.clone()).or_default();
        record.consecutive_failures += 1;
        record.consecutive_failures >= FAILURES_TO_EJECT && self.eject(leaf, map, now)
    }

    /// Ejects the leaves that are far slower than the collection's median leaf and returns them.
    /// Called about once per second.
    pub fn eject_slow_leaves(
        &mut self,
        latencies: &[LeafLatency],
        map: &PartitionMap,
        now: Instant,
    ) -> Vec<LeafId> {
        let mut measured: Vec<_> =
            latencies.iter().filter(|latency| latency.samples >= MIN_SAMPLES).collect();
        measured.sort_by_key(|latency| latency.p50);
        let Some(median) = measured.get(measured.len() / 2).map(|latency| latency.p50) else {
            return Vec::new();
        };
        let slow =
            measured.into_iter().rev().take_while(|latency| latency.p50 > median * SLOW_FACTOR);
        let slow: Vec<_> = slow.map(|latency| latency.leaf.clone()).collect();
        slow.into_iter().filter(|leaf| self.eject(leaf, map, now)).collect()
    }

    /// Returns whether the leaf is ejected.
    pub fn is_ejected(&self, leaf: &LeafId, now: Instant) -> bool {
        let until = self.records.get(leaf).and_then(|record| record.ejected_until);
        until.is_some_and(|until| now < until)
    }

    fn eject(&mut self, leaf: &LeafId, map: &PartitionMap, now: Instant) -> bool {
        if self.is_ejected(leaf, now) || !self.may_eject(leaf, map, now) {
            return false;
        }
        let record = self.records.entry(leaf.clone()).or_default();
        record.ejections += 1;
        record.consecutive_failures = 0;
        record.ejected_until =
            Some(now + (BASE_EJECTION_TIME * record.ejections).min(MAX_EJECTION_TIME));
        true
    }

    fn may_eject(&self, leaf: &LeafId, map: &PartitionMap, now: Instant) -> bool {
        let mut leaves: Vec<_> = map.shards.values().flatten().collect();
        leaves.sort_unstable();
        leaves.dedup();
        let ejected = leaves.iter().filter(|other| self.is_ejected(other, now)).count() + 1;
        if ejected * 100 > leaves.len() * self.max_ejected.get() as usize {
            return false;
        }
        let mut shards = map.shards.values().filter(|replicas| replicas.contains(leaf));
        shards.all(|replicas| {
            replicas.iter().any(|other| other != leaf && !self.is_ejected(other, now))
        })
    }
}
