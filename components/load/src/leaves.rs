//! Counters of the leaf stand-ins, read from their control addresses.

use {
    crate::class::LoadError,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr},
    ureq::Agent,
    wigeonramp_units::RequestId,
};

/// Counters of one leaf, or their sums over several leaves, that a load run evaluates; the stand-in
/// reports more.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeafCounts {
    /// Search requests received.
    pub arrived: u64,
    /// Requests started.
    pub run: u64,
    /// Requests refused because of load.
    pub shed: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Connections accepted.
    pub connects: u64,
    /// Requests and connects beyond the cold limits, after clients could know of the cold start.
    pub cold_violations: u64,
    /// Requests and connects beyond the cold limits, before clients could know of the cold start.
    pub cold_unannounced: u64,
}

/// Number of runs on all leaves by request id.
pub type RunsByRequest = HashMap<RequestId, u32>;

/// Reads the runs of all leaves behind the control addresses and sums them by request id.
///
/// Fails if a leaf did not track all of its runs.
pub fn read_runs(agent: &Agent, controls: &[SocketAddr]) -> Result<RunsByRequest, LoadError> {
    let mut totals = RunsByRequest::new();
    for control in controls {
        let url = format!("http://{control}/counters?runs=all");
        let http_err = |err: ureq::Error| LoadError::http(&url, err);
        let mut res = agent.get(&url).call().map_err(http_err)?;
        let body = res.body_mut().with_config().limit(MAX_RUNS_BYTES);
        let leaves: Vec<RunsEntry> = body.read_json().map_err(http_err)?;
        if leaves.iter().any(|leaf| leaf.counters.untracked_runs > 0) {
            return Err(LoadError::http(&url, "expected leaves that tracked all runs"));
        }
        for (id, runs) in leaves.into_iter().flat_map(|leaf| leaf.counters.runs) {
            *totals.entry(id).or_default() += runs;
        }
    }
    Ok(totals)
}

/// Maximum length of a response with the runs of leaves.
const MAX_RUNS_BYTES: u64 = 256 << 20;

#[derive(Deserialize)]
struct RunsEntry {
    counters: RunCounts,
}

#[derive(Deserialize)]
struct RunCounts {
    runs: HashMap<RequestId, u32>,
    untracked_runs: u64,
}

#[derive(Deserialize)]
struct LeafEntry {
    counters: LeafCounts,
}

impl LeafCounts {
    /// Reads and sums the counters of all leaves behind the control addresses. Fails if one of the
    /// addresses does not respond.
    pub fn read(agent: &Agent, controls: &[SocketAddr]) -> Result<LeafCounts, LoadError> {
        let mut totals = LeafCounts::default();
        for control in controls {
            let url = format!("http://{control}/counters?runs=none");
            let http_err = |err: ureq::Error| LoadError::http(&url, err);
            let mut res = agent.get(&url).call().map_err(http_err)?;
            let leaves: Vec<LeafEntry> = res.body_mut().read_json().map_err(http_err)?;
            leaves.iter().for_each(|leaf| totals.add(&leaf.counters));
        }
        Ok(totals)
    }

    /// Returns the increase of each counter since `earlier`.
    pub fn since(&self, earlier: &LeafCounts) -> LeafCounts {
        LeafCounts {
            arrived: self.arrived.saturating_sub(earlier.arrived),
            run: self.run.saturating_sub(earlier.run),
            shed: self.shed.saturating_sub(earlier.shed),
            cancelled: self.cancelled.saturating_sub(earlier.cancelled),
            connects: self.connects.saturating_sub(earlier.connects),
            cold_violations: self.cold_violations.saturating_sub(earlier.cold_violations),
            cold_unannounced: self.cold_unannounced.saturating_sub(earlier.cold_unannounced),
        }
    }

    /// Adds the counters of another leaf or of another part of a run.
    pub fn add(&mut self, other: &LeafCounts) {
        self.arrived += other.arrived;
        self.run += other.run;
        self.shed += other.shed;
        self.cancelled += other.cancelled;
        self.connects += other.connects;
        self.cold_violations += other.cold_violations;
        self.cold_unannounced += other.cold_unannounced;
    }
}
