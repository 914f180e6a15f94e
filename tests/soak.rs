//! Short runs of the soak test with fixed seeds, among them every seed that ever failed.

use {
    std::{path::PathBuf, time::Duration},
    wigeonramp_soak::{SoakPlan, run},
};

/// Time for which faults are injected with each seed.
const FAULT_DURATION: Duration = Duration::from_secs(8);

fn soak(seed: u64) {
    let plan = SoakPlan {
        seed,
        fault_duration: FAULT_DURATION,
        hosts: 5,
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_wigeonrampd")),
        directory: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}")),
    };
    let report = run(&plan).expect("the run starts");
    assert!(report.requests > 100, "{} requests", report.requests);
    assert!(report.violations.is_empty(), "{:#?}\n{:#?}", report.violations, report.faults);
}

/// Guards against violated invariants under a mix of all faults.
#[test]
fn first_seed_violates_no_invariant() {
    soak(1);
}

/// Guards against violated invariants under another order of the faults.
#[test]
fn second_seed_violates_no_invariant() {
    soak(2);
}

/// Guards against violated invariants while the store comes back from earlier copies.
#[test]
fn seed_with_a_restored_store_violates_no_invariant() {
    soak(8);
}

/// Guards against violated invariants while leaves name request limits.
#[test]
fn seed_with_request_limits_violates_no_invariant() {
    soak(9);
}

/// Guards against watching hosts that learn no change after a lost watch response until the watch
/// times out. A version was not in force in time in 5 of 16 runs of this seed.
#[test]
fn seed_with_lost_watch_responses_violates_no_invariant() {
    soak(7_000);
}

/// Guards against requests to leaves that say that they are leaving, or that ask for a pause.
#[test]
fn seed_with_notices_of_leaves_violates_no_invariant() {
    soak(7);
}

/// Guards against requests that run for an account without its key or beyond its quota, and against
/// keys that reach leaves, while keys are added, moved and removed.
#[test]
fn seed_with_accounts_violates_no_invariant() {
    soak(75);
}

/// Guards against bad versions that get too many requests or stay in use after their rollback, and against
/// requests that are lost as old leaves stop.
#[test]
fn seed_with_releases_violates_no_invariant() {
    soak(111);
}
