//! Content of heartbeats that comes from the data path.

use {
    crate::{
        clock,
        control::{gossip::LeafGossip, host_control::HostControl},
        entry::{Entry, leaf_tracker::LeafTracker},
        holder::HeldLeaves,
        suspects::Suspects,
    },
    std::sync::Arc,
    wigeonramp_proto::peer::{LeafReport, Suspect},
    wigeonramp_serving::quarantine::SharedSuspect,
    wigeonramp_units::{Fingerprint, Span},
};

/// Leaf reports and crash suspects of this host.
pub struct DataPathGossip {
    /// State of all leaves in this host's view.
    pub leaf_tracker: Arc<LeafTracker>,
    /// Provides the cluster view of the data path.
    pub entry: Arc<Entry<HostControl, HostControl>>,
    /// Leaves that this host holds.
    pub held_leaves: Arc<HeldLeaves<HostControl>>,
    /// Requests that may crash leaves.
    pub suspects: Arc<Suspects>,
}

impl LeafGossip for DataPathGossip {
    fn reports(&self) -> Vec<LeafReport> {
        self.held_leaves.reports()
    }

    fn suspects(&self) -> Vec<Suspect> {
        let shared = self.suspects.export(clock::now()).into_iter();
        let message = |suspect: SharedSuspect| Suspect {
            fingerprint: suspect.fingerprint.0,
            leaves: suspect.leaves.iter().map(ToString::to_string).collect(),
            expires_in_ms: suspect.expires_in.as_millis(),
            cleared: suspect.cleared,
            proven: suspect.proven,
        };
        shared.map(message).collect()
    }

    fn receive(&self, reports: Vec<LeafReport>, suspects: Vec<Suspect>) {
        let (cluster, now) = (self.entry.view(), clock::now());
        reports.iter().for_each(|report| self.leaf_tracker.report(&cluster, report, now));
        let shared = suspects.into_iter().map(|suspect| SharedSuspect {
            fingerprint: Fingerprint(suspect.fingerprint),
            leaves: suspect.leaves.iter().filter_map(|leaf| leaf.parse().ok()).collect(),
            expires_in: Span::millis(suspect.expires_in_ms),
            cleared: suspect.cleared,
            proven: suspect.proven,
        });
        let shared: Vec<_> = shared.collect();
        if !shared.is_empty() {
            self.suspects.merge(&shared, now);
        }
    }
}
