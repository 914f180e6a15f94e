//! State machine of a request when leaves fail.

mod common;

use {
    common::{Run, at, gather, response, routing_state, single},
    insta::assert_snapshot,
    wigeonramp_routing::{catalog::RepeatPolicy, exchange::AttemptOutcome, leaves::LeafChange},
    wigeonramp_units::Span,
};

#[derive(Clone, Copy)]
enum Fault {
    Unsent,
    NotRun,
    Lost,
    Failure(u16),
    Silent,
}

const FAULTS: [(&str, Fault); 8] = [
    ("unsent", Fault::Unsent),
    ("not run", Fault::NotRun),
    ("lost", Fault::Lost),
    ("500", Fault::Failure(500)),
    ("503 without confirmation", Fault::Failure(503)),
    ("404", Fault::Failure(404)),
    ("429 without confirmation", Fault::Failure(429)),
    ("silent", Fault::Silent),
];

fn inject(run: &mut Run, fault: Fault) {
    match fault {
        Fault::Unsent => run.end(0, 0, AttemptOutcome::Unsent, 1),
        Fault::NotRun => run.end(0, 0, AttemptOutcome::NotRun, 1),
        Fault::Lost => run.end(0, 0, AttemptOutcome::Lost, 1),
        Fault::Failure(status) => run.end(0, 0, response(status, "f"), 1),
        Fault::Silent => run.advance_to(40),
    }
}

fn table(repeat: RepeatPolicy) -> String {
    let mut table = String::new();
    for (name, fault) in FAULTS {
        let mut run = Run::begin(single(repeat), routing_state(1));
        inject(&mut run, fault);
        table += &format!("{name}: {}\n", run.summary());
        if run.reply.is_none() && run.attempts.len() > 1 {
            run.end(0, 1, AttemptOutcome::Lost, 45);
            table += &format!("  then lost: {}\n", run.summary());
        }
        if run.reply.is_none() {
            run.advance_to(700);
            table += &format!("  then time up: {}\n", run.summary());
        }
    }
    table
}

/// Guards against a failure reported to the caller although another leaf could serve the request.
#[test]
fn idempotent_request_is_retried_within_its_attempts() {
    assert_snapshot!(table(RepeatPolicy::Idempotent));
}

/// Guards against a second run, and against a status that implies "not run" being relayed although
/// the leaf may have run the request.
#[test]
fn non_idempotent_request_is_retried_only_if_no_leaf_ran_it() {
    assert_snapshot!(table(RepeatPolicy::AtMostOnce));
}

/// Guards against a reply that waits for a straggler beyond the target latency.
#[test]
fn gathered_reply_is_sent_at_the_target_latency_with_the_available_parts() {
    let mut run = Run::begin(gather(4, 0.75), routing_state(4));
    for part in 0..3 {
        run.end(part, 0, response(200, &format!("p{part}")), 10);
    }
    let waits = run.summary();
    run.advance_to(30);
    let hedged = run.summary();
    run.advance_to(56);
    assert_snapshot!(format!("{waits}\n{hedged}\n{}", run.summary()));
}

/// Guards against a reply below the minimum share, and against a delay once the share is reached.
#[test]
fn gathered_reply_waits_for_the_minimum_share_and_is_then_sent_at_once() {
    let mut run = Run::begin(gather(4, 0.75), routing_state(4));
    for part in 0..2 {
        run.end(part, 0, response(200, &format!("p{part}")), 10);
    }
    run.advance_to(30);
    run.advance_to(56);
    let waits = run.summary();
    run.end(2, 1, response(200, "p2"), 90);
    assert_snapshot!(format!("{waits}\n{}", run.summary()));
}

/// Guards against failures and duplicate responses being counted as parts.
#[test]
fn failures_and_duplicate_responses_are_not_merged() {
    let mut run = Run::begin(gather(2, 0.5), routing_state(2));
    run.end(0, 0, response(500, "f"), 5);
    run.advance_to(30);
    run.end(1, 0, response(200, "p1"), 35);
    run.end(1, 1, response(200, "p1 again"), 36);
    run.end(0, 1, response(500, "f"), 40);
    assert_snapshot!(run.summary());
}

/// Guards against attempts for a request that cannot reach its minimum share.
#[test]
fn gathered_request_without_enough_leaves_is_refused_at_once() {
    let mut cx = routing_state(4);
    for id in ["l0a", "l0b", "l1a", "l1b"] {
        assert!(matches!(
            cx.leaves.remove(&id.parse().expect("a leaf id"), at(0)),
            LeafChange::Removed(_)
        ));
    }
    assert_snapshot!(Run::begin(gather(4, 0.75), cx).summary());
}

/// Guards against retries that multiply the load of a failing service.
#[test]
fn extra_attempts_stop_when_the_budget_is_used_up() {
    let mut cx = routing_state(1);
    cx.extra_attempt_limit.fixed = 0.0;
    let mut extra = 0;
    for n in 0..100 {
        let mut run = Run::begin(single(RepeatPolicy::Idempotent), cx);
        run.end(0, 0, AttemptOutcome::NotRun, n);
        extra += usize::from(run.attempts.len() > 1);
        cx = run.cx;
    }
    assert_eq!(extra, 16, "0.8 of the limit, which is 0.2 of 100 requests");
}

/// Guards against an attempt after an unreachable leaf being counted as extra: it is the first one
/// that reaches a leaf.
#[test]
fn unreachable_leaf_costs_no_budget() {
    let mut cx = routing_state(1);
    cx.extra_attempt_limit.fixed = 0.0;
    let mut run = Run::begin(single(RepeatPolicy::AtMostOnce), cx);
    run.end(0, 0, AttemptOutcome::Unsent, 1);
    assert_eq!(run.attempts.len(), 2);
}

/// Guards against a reply after the route's timeout, and against leaves that get more than the
/// remaining time.
#[test]
fn request_ends_at_the_route_timeout_and_leaves_get_the_remaining_time() {
    let mut run = Run::begin(gather(2, 1.0), routing_state(2));
    assert_eq!(run.attempts[0].timeout, Span::millis(600));
    run.advance_to(30);
    assert_eq!(run.attempts[2].timeout, Span::millis(570));
    assert_eq!(run.exchange.next_timer_at(at(60)), at(600));
    run.advance_to(600);
    assert_snapshot!(run.summary());
}
