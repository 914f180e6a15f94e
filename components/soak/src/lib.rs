//! Randomized soak test: daemon processes between stand-ins for the store and the leaves, with
//! faults injected from outside.
//!
//! A seed determines sizes, faults and their order. Meanwhile callers send requests over persistent
//! connections. Afterwards the responses are compared with what the leaves ran and with the
//! configurations that were in force.

mod accounts;
mod callers;
mod check;
mod faults;
mod fleet;
pub mod hosts;
mod limits;
mod notices;
pub mod proxy;
mod releases;
mod store_copies;

pub use check::Violation;

use {
    fleet::Fleet,
    std::{io::Result, path::PathBuf, time::Duration},
};

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Time for which faults are injected.
    pub fault_duration: Duration,
    /// Number of hosts, at most 200.
    pub hosts: u8,
    /// Path of the daemon's binary.
    pub daemon: PathBuf,
    /// Directory for settings and logs.
    pub directory: PathBuf,
}

impl SoakPlan {
    /// Returns whether the store comes back from earlier copies.
    fn restores_store(&self) -> bool {
        self.seed % 5 == 3
    }

    /// Returns whether leaves say that they are leaving or want pauses.
    fn notifies(&self) -> bool {
        self.seed % 5 == 2
    }

    /// Returns whether leaves name request limits.
    fn limits_leaves(&self) -> bool {
        self.seed % 5 == 4
    }

    /// Returns whether requests need keys of accounts. The variants above keep their seeds, so that the
    /// fixed seeds of the tests have the same faults as before.
    fn has_accounts(&self) -> bool {
        self.seed % 7 == 5
    }

    /// Returns whether services are released to new versions. Not beside returns of the store from
    /// copies, which lose orders and their statuses.
    fn releases_services(&self) -> bool {
        self.seed % 7 == 6 && !self.restores_store()
    }

    /// Returns further lines of the table `bounds` in the settings of hosts.
    fn bounds(&self) -> &'static str {
        match (self.has_accounts(), self.releases_services()) {
            (true, _) => accounts::BOUNDS,
            (false, true) => releases::BOUNDS,
            (false, false) => "",
        }
    }

    /// Returns whether the run has no faults of hosts and store but returns from copies, so that
    /// invariants with a time limit are checked throughout.
    fn spares_hosts_and_store(&self) -> bool {
        self.seed.is_multiple_of(3)
    }
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests that succeeded.
    pub served: usize,
    /// Faults injected, in order.
    pub faults: Vec<String>,
    /// Invariants that were violated.
    pub violations: Vec<Violation>,
}

/// Runs `plan`; all processes that it started have ended when it returns.
pub fn run(plan: &SoakPlan) -> Result<Report> {
    let mut fleet = Fleet::start(plan)?;
    let faults = faults::inject(&mut fleet, plan);
    let success_share = fleet.success_share_after_recovery();
    let (requests, runs, history) = fleet.finish();
    let mut violations = check::check(&requests, &runs, &history);
    violations.extend(check::check_recovery(success_share));
    Ok(Report {
        requests: requests.len(),
        served: requests.iter().filter(|req| req.is_success()).count(),
        faults,
        violations,
    })
}
