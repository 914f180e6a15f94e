//! What the leaf stand-ins counted.

use {
    crate::class::LoadError,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr},
    ureq::Agent,
    wigeonramp_units::RequestId,
};

/// Counters of one leaf that matter to a load run; the stand-in reports more.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeafCounts {
    /// Search requests that arrived.
    pub arrived: u64,
    /// Requests that started to run.
    pub run: u64,
    /// Requests refused because of load.
    pub shed: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Connections accepted.
    pub connects: u64,
    /// Requests and connects beyond what the cold leaf bears.
    pub cold_violations: u64,
    /// The same, before a sender could know of the cold start.
    pub cold_unannounced: u64,
}

/// Sums over all leaves.
pub type LeafTotals = LeafCounts;

/// Runs at all leaves by request id.
pub type RunsByRequest = HashMap<RequestId, u32>;

/// Reads and adds up the runs behind all `controls`. Fails if a leaf did not keep all of them.
pub fn read_runs(agent: &Agent, controls: &[SocketAddr]) -> Result<RunsByRequest, LoadError> {
    let mut totals = RunsByRequest::new();
    for control in controls {
        let url = format!("http://{control}/counters?runs=all");
        let http_err = |err: ureq::Error| LoadError::http(&url, err);
        let mut res = agent.get(&url).call().map_err(http_err)?;
        let body = res.body_mut().with_config().limit(MAX_RUNS_BYTES);
        let rows: Vec<RunsRow> = body.read_json().map_err(http_err)?;
        if rows.iter().any(|row| row.counters.untracked_runs > 0) {
            return Err(LoadError::http(&url, "expected leaves that tracked all runs"));
        }
        for (id, runs) in rows.into_iter().flat_map(|row| row.counters.runs) {
            *totals.entry(id).or_default() += runs;
        }
    }
    Ok(totals)
}

/// Longest list of runs that is read.
const MAX_RUNS_BYTES: u64 = 256 << 20;

#[derive(Deserialize)]
struct RunsRow {
    counters: RunCounts,
}

#[derive(Deserialize)]
struct RunCounts {
    runs: HashMap<RequestId, u32>,
    untracked_runs: u64,
}

#[derive(Deserialize)]
struct LeafRow {
    counters: LeafCounts,
}

impl LeafCounts {
    /// Reads and adds up the counters behind all `controls`. Fails if one does not answer.
    pub fn read(agent: &Agent, controls: &[SocketAddr]) -> Result<LeafTotals, LoadError> {
        let mut totals = LeafTotals::default();
        for control in controls {
            let url = format!("http://{control}/counters?runs=none");
            let http_err = |err: ureq::Error| LoadError::http(&url, err);
            let mut res = agent.get(&url).call().map_err(http_err)?;
            let rows: Vec<LeafRow> = res.body_mut().read_json().map_err(http_err)?;
            rows.iter().for_each(|row| totals.add(&row.counters));
        }
        Ok(totals)
    }

    /// What was counted since `earlier`.
    pub fn since(&self, earlier: &LeafTotals) -> LeafTotals {
        LeafTotals {
            arrived: self.arrived.saturating_sub(earlier.arrived),
            run: self.run.saturating_sub(earlier.run),
            shed: self.shed.saturating_sub(earlier.shed),
            cancelled: self.cancelled.saturating_sub(earlier.cancelled),
            connects: self.connects.saturating_sub(earlier.connects),
            cold_violations: self.cold_violations.saturating_sub(earlier.cold_violations),
            cold_unannounced: self.cold_unannounced.saturating_sub(earlier.cold_unannounced),
        }
    }

    /// Adds the counters of another leaf or another block of a run.
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
