//! Requests of which nothing has left the host when they end.

mod common;

use {
    common::{Run, at, gather, response, routing_state, single},
    insta::assert_snapshot,
    std::sync::Arc,
    wigeonramp_routing::{
        catalog::{RepeatPolicy, Route},
        exchange::{AttemptOutcome, RequestTimes},
        state::RoutingState,
    },
    wigeonramp_units::Span,
};

fn times() -> RequestTimes {
    RequestTimes { arrived: at(0), deadline: at(1_000), caller_overhead: Span::millis(4) }
}

fn begin(route: Arc<Route>, services: usize) -> Run {
    Run::begin_unwritten(route, times(), routing_state(services))
}

/// Returns a state in which the leaves of `cold` services are cold and have no allowance.
fn state_with_cold(services: usize, cold: usize) -> RoutingState {
    let mut cx = routing_state(services);
    for n in 0..cold {
        for zone in ["a", "b"] {
            let id = format!("l{n}{zone}").parse().expect("a leaf id");
            let key = cx.leaves.key_of(&id).expect("a leaf");
            cx.leaves.get_mut(key).expect("a leaf").cold_until = at(3_000);
        }
        cx.cold_rates.insert(common::service(&format!("s{n}")), 1.0);
    }
    cx.cold_share = 0.5;
    cx
}

/// Guards against 504 for a request of which no byte has left the host, and against "not run" for
/// one that a leaf may have run. On one day, 643 replies of 502 or 504 went to requests that had
/// reached no leaf.
#[test]
fn request_that_reached_no_leaf_is_refused_when_its_time_is_up() {
    let mut table = String::new();
    for repeat in [RepeatPolicy::Idempotent, RepeatPolicy::AtMostOnce] {
        let mut waiting = begin(single(repeat), 1);
        waiting.advance_to(600);
        let mut declined = begin(single(repeat), 1);
        declined.write(0, 0);
        declined.end(0, 0, AttemptOutcome::NotRun, 20);
        declined.advance_to(600);
        let mut written = begin(single(repeat), 1);
        written.write(0, 0);
        written.advance_to(600);
        table += &format!("{repeat:?}\n  waiting: {}\n", waiting.summary());
        table += &format!("  declined, then waiting: {}\n", declined.summary());
        table += &format!("  written: {}\n", written.summary());
    }
    assert_snapshot!(table);
}

/// Guards against the same for gathered requests: one part that a leaf may have run makes the
/// difference.
#[test]
fn gathered_request_is_refused_only_if_no_part_was_written() {
    let mut waiting = begin(gather(4, 0.75), 4);
    waiting.advance_to(600);
    let mut written = begin(gather(4, 0.75), 4);
    written.write(2, 0);
    written.advance_to(600);
    let mut failed = begin(gather(4, 0.75), 4);
    for (part, number) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
        failed.end(part, number, AttemptOutcome::Unsent, 5);
    }
    let mut answered = begin(gather(4, 0.75), 4);
    (0..3).for_each(|part| answered.end(part, 0, response(200, "p"), 10));
    answered.advance_to(56);
    let left: Vec<usize> = answered.exchange.unwritten().iter().map(|at| at.part).collect();
    assert_snapshot!(format!(
        "waiting: {}\nwritten: {}\nunreachable: {}\nanswered: {}; to withdraw: {left:?}",
        waiting.summary(),
        written.summary(),
        failed.summary(),
        answered.summary(),
    ));
}

/// Guards against a gathered request that spends the allowances of cold leaves although it cannot
/// reach its minimum share: after a loss of power, each such request failed with 502 and left
/// nothing for the next one.
#[test]
fn gathered_request_without_enough_cold_allowances_spends_none() {
    let cx = state_with_cold(4, 2);
    let mut run = Run::begin_unwritten(gather(4, 0.75), times(), cx);
    assert_snapshot!(run.summary());
    let served = RequestTimes { arrived: at(2_100), deadline: at(3_000), ..times() };
    run = Run::begin_unwritten(gather(4, 0.75), served, run.cx);
    assert!(run.reply.is_none() && run.attempts.len() == 4, "{}", run.summary());
}

/// Guards against attempts for a request whose deadline passed before it was read.
#[test]
fn request_after_its_deadline_is_refused_at_once() {
    let late = RequestTimes { deadline: at(0), ..times() };
    assert_snapshot!(
        Run::begin_unwritten(single(RepeatPolicy::AtMostOnce), late, routing_state(1)).summary()
    );
}

/// Guards against 502 from a stopping host for a request that still waits for a connection.
#[test]
fn stopping_host_refuses_what_it_has_not_sent() {
    let mut run = begin(single(RepeatPolicy::AtMostOnce), 1);
    run.reply = Some(run.exchange.stop());
    let waiting = run.summary();
    run.write(0, 0);
    run.reply = Some(run.exchange.stop());
    assert_snapshot!(format!("{waiting}\n{}", run.summary()));
}
