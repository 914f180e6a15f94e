//! Which requests a host takes while it is stopped.

mod common;

use {
    common::at,
    wigeonramp_routing::stop::{LateRequest, StopPlan},
    wigeonramp_units::Span,
};

/// Returns the times in tenths of a second after the signal at which requests are taken whose route
/// allows `allowed_ms` and that usually take `usual_ms`.
fn taken(allowed_ms: u64, usual_ms: u64, others_serve: bool) -> Vec<u64> {
    let plan = StopPlan::new(Span::secs(6), at(0));
    let takes = |tenths: &u64| {
        let now = at(tenths * 100);
        let latest_end = now + Span::millis(allowed_ms);
        let req = LateRequest { latest_end, usual_time: Span::millis(usual_ms) };
        plan.takes(&req, others_serve, now)
    };
    (0..60).filter(takes).collect()
}

/// Guards against requests that are taken and cannot be answered before the process is killed.
#[test]
fn requests_are_taken_while_they_can_end_in_time() {
    assert_eq!(taken(600, 30, true), (0..=48).collect::<Vec<_>>(), "short ones until late");
    assert_eq!(taken(1_500, 30, true), (0..=39).collect::<Vec<_>>());
    assert_eq!(taken(6_000, 200, true), [0; 0], "another host serves them to the end");
    assert_eq!(taken(6_000, 200, false), (0..=52).collect::<Vec<_>>(), "no other host does");
    assert_eq!(taken(6_000, 4_000, false), (0..=14).collect::<Vec<_>>());
}

/// Guards against a process that is killed before its callers have read the last replies.
#[test]
fn the_last_replies_go_out_before_the_process_ends() {
    let plan = StopPlan::new(Span::secs(6), at(0));
    assert!(!plan.is_closed(at(4_000)) && plan.is_closed(at(4_100)));
    assert!(plan.fails_at() >= at(5_000), "what is open has most of the grace period");
    assert!(!plan.is_over(plan.fails_at() + Span::millis(200)), "time to read the replies");
    assert!(plan.is_over(at(5_800)));
}
