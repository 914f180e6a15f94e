//! Ejection of outliers: leaves that fail or are far slower than their peers get no new work for a
//! while, within the declared share and never the last replica of a shard.

use {
    indexmap::IndexMap,
    wigeonramp_config::PartitionMap,
    wigeonramp_units::{Instant, LeafId, Percent, Span},
};

/// Failures in a row that eject a leaf.
const FAILURES: u32 = 5;
/// A leaf whose median is this many times the median of its peers is an outlier.
const SLOW_FACTOR: u64 = 5;
/// Samples below which a median says nothing.
const MIN_SAMPLES: u32 = 16;
/// First ejection; each repetition takes one longer, up to the maximum.
const BASE_TIME: Span = Span::secs(5);
/// Longest ejection.
const MAX_TIME: Span = Span::secs(60);

#[derive(Clone, Debug, Default)]
struct Record {
    failures: u32,
    ejections: u64,
    until: Option<Instant>,
}

/// What is known of one leaf's speed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeafLatency {
    /// The leaf.
    pub leaf: LeafId,
    /// Median latency.
    pub p50: Span,
    /// Samples behind it.
    pub samples: u32,
}

/// Ejected leaves of one collection, as one entry host sees them.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    share: Percent,
    records: IndexMap<LeafId, Record>,
}

impl OutlierDetector {
    /// At most `share` of the collection's leaves are ejected at the same time.
    pub fn new(share: Percent) -> Self {
        Self { share, records: IndexMap::new() }
    }

    /// The leaf answered.
    pub fn record_success(&mut self, leaf: &LeafId) {
        if let Some(record) = self.records.get_mut(leaf) {
            record.failures = 0;
        }
    }

    /// The leaf reset, timed out or answered wrongly. Returns whether it is ejected by this.
    pub fn record_failure(&mut self, leaf: &LeafId, map: &PartitionMap, now: Instant) -> bool {
        let record = self.records.entry(leaf.clone()).or_default();
        record.failures += 1;
        record.failures >= FAILURES && self.eject(leaf, map, now)
    }

    /// Ejects leaves that are far slower than the collection's median leaf. Called about once a
    /// second. Returns the newly ejected ones.
    pub fn eject_slow_leaves(
        &mut self,
        speeds: &[LeafLatency],
        map: &PartitionMap,
        now: Instant,
    ) -> Vec<LeafId> {
        let mut known: Vec<_> = speeds.iter().filter(|s| s.samples >= MIN_SAMPLES).collect();
        known.sort_by_key(|speed| speed.p50);
        let Some(median) = known.get(known.len() / 2).map(|speed| speed.p50) else {
            return Vec::new();
        };
        let slow = known.into_iter().rev().take_while(|s| s.p50 > median * SLOW_FACTOR);
        let slow: Vec<_> = slow.map(|speed| speed.leaf.clone()).collect();
        slow.into_iter().filter(|leaf| self.eject(leaf, map, now)).collect()
    }

    /// Whether the leaf gets no new work.
    pub fn is_ejected(&self, leaf: &LeafId, now: Instant) -> bool {
        let until = self.records.get(leaf).and_then(|record| record.until);
        until.is_some_and(|until| now < until)
    }

    fn eject(&mut self, leaf: &LeafId, map: &PartitionMap, now: Instant) -> bool {
        if self.is_ejected(leaf, now) || !self.may_eject(leaf, map, now) {
            return false;
        }
        let record = self.records.entry(leaf.clone()).or_default();
        record.ejections += 1;
        record.failures = 0;
        record.until = Some(now + (BASE_TIME * record.ejections).min(MAX_TIME));
        true
    }

    fn may_eject(&self, leaf: &LeafId, map: &PartitionMap, now: Instant) -> bool {
        let mut leaves: Vec<_> = map.shards.values().flatten().collect();
        leaves.sort_unstable();
        leaves.dedup();
        let ejected = leaves.iter().filter(|other| self.is_ejected(other, now)).count() + 1;
        if ejected * 100 > leaves.len() * self.share.get() as usize {
            return false;
        }
        let mut shards = map.shards.values().filter(|replicas| replicas.contains(leaf));
        shards.all(|replicas| {
            replicas.iter().any(|other| other != leaf && !self.is_ejected(other, now))
        })
    }
}
