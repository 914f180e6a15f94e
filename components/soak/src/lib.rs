//! A randomized soak: real hosts as processes, stand-ins for store and leaves, faults from outside.
//!
//! A seed decides sizes, faults and their order. Callers send all the while over connections that
//! they keep until these end. What callers were told is compared with what the leaves ran, and with
//! the configurations that were in force.

mod check;
mod faults;
pub mod hosts;
pub mod proxy;
mod traffic;
mod world;

pub use check::Violation;

use {
    std::{io::Result, path::PathBuf, time::Duration},
    world::World,
};

/// One run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Decides everything that is random.
    pub seed: u64,
    /// Time with faults.
    pub fault_duration: Duration,
    /// Hosts; at most 200.
    pub hosts: u8,
    /// The daemon.
    pub daemon: PathBuf,
    /// Where settings and logs go.
    pub directory: PathBuf,
}

impl SoakPlan {
    /// Whether hosts and store are left alone, so that promises with a time bound can be checked.
    fn is_calm(&self) -> bool {
        self.seed.is_multiple_of(3)
    }
}

/// What a run has shown.
#[derive(Debug)]
pub struct Report {
    /// Requests sent.
    pub requests: usize,
    /// Successes among them.
    pub served: usize,
    /// Faults injected, in order.
    pub faults: Vec<String>,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

/// Runs the plan; all processes that it started have ended when it returns.
pub fn run(plan: &SoakPlan) -> Result<Report> {
    let mut world = World::start(plan)?;
    let faults = faults::inject(&mut world, plan);
    let served_after = world.recover();
    let (sent, runs, history) = world.finish();
    let mut violations = check::check(&sent, &runs, &history);
    violations.extend(check::recovery(served_after));
    Ok(Report {
        requests: sent.len(),
        served: sent.iter().filter(|sent| sent.is_success()).count(),
        faults,
        violations,
    })
}
