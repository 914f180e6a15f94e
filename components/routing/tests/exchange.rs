//! The course of a request under faults of leaves.

mod common;

use {
    common::{Run, answer, at, gather, single, traffic},
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
    ("503 without word", Fault::Failure(503)),
    ("404", Fault::Failure(404)),
    ("429 without word", Fault::Failure(429)),
    ("silent", Fault::Silent),
];

fn suffer(run: &mut Run, fault: Fault) {
    match fault {
        Fault::Unsent => run.end(0, 0, AttemptOutcome::Unsent, 1),
        Fault::NotRun => run.end(0, 0, AttemptOutcome::NotRun, 1),
        Fault::Lost => run.end(0, 0, AttemptOutcome::Lost, 1),
        Fault::Failure(status) => run.end(0, 0, answer(status, "f"), 1),
        Fault::Silent => run.time(40),
    }
}

fn table(repeat: RepeatPolicy) -> String {
    let mut table = String::new();
    for (name, fault) in FAULTS {
        let mut run = Run::begin(single(repeat), traffic(1));
        suffer(&mut run, fault);
        table += &format!("{name}: {}\n", run.story());
        if run.reply.is_none() && run.sends.len() > 1 {
            run.end(0, 1, AttemptOutcome::Lost, 45);
            table += &format!("  then lost: {}\n", run.story());
        }
        if run.reply.is_none() {
            run.time(700);
            table += &format!("  then time up: {}\n", run.story());
        }
    }
    table
}

/// Guards against a lost answer of a request that may be repeated.
#[test]
fn idempotent_request_is_sent_again_within_its_attempts() {
    assert_snapshot!(table(RepeatPolicy::Idempotent));
}

/// Guards against a second run, and against a "not run" that is not certain.
#[test]
fn request_that_must_not_run_twice_is_sent_again_only_when_no_leaf_ran_it() {
    assert_snapshot!(table(RepeatPolicy::AtMostOnce));
}

/// Guards against an answer that waits for a straggler beyond the target latency.
#[test]
fn gathered_answer_goes_out_at_the_target_latency_with_the_parts_that_are_in() {
    let mut run = Run::begin(gather(4, 0.75), traffic(4));
    for part in 0..3 {
        run.end(part, 0, answer(200, &format!("p{part}")), 10);
    }
    let waits = run.story();
    run.time(30);
    let hedged = run.story();
    run.time(56);
    assert_snapshot!(format!("{waits}\n{hedged}\n{}", run.story()));
}

/// Guards against an answer below the least share, and against one held back once it is reached.
#[test]
fn gathered_answer_below_the_least_share_waits_and_then_goes_out_at_once() {
    let mut run = Run::begin(gather(4, 0.75), traffic(4));
    for part in 0..2 {
        run.end(part, 0, answer(200, &format!("p{part}")), 10);
    }
    run.time(30);
    run.time(56);
    let late = run.story();
    run.end(2, 1, answer(200, "p2"), 90);
    assert_snapshot!(format!("{late}\n{}", run.story()));
}

/// Guards against a failure or a doubled answer counted as a part.
#[test]
fn failures_and_second_answers_are_no_parts() {
    let mut run = Run::begin(gather(2, 0.5), traffic(2));
    run.end(0, 0, answer(500, "f"), 5);
    run.time(30);
    run.end(1, 0, answer(200, "p1"), 35);
    run.end(1, 1, answer(200, "p1 again"), 36);
    run.end(0, 1, answer(500, "f"), 40);
    assert_snapshot!(run.story());
}

/// Guards against sends for an answer that cannot reach its least share.
#[test]
fn gathered_request_without_enough_leaves_is_refused_at_once() {
    let mut cx = traffic(4);
    for id in ["l0a", "l0b", "l1a", "l1b"] {
        assert!(matches!(
            cx.leaves.remove(&id.parse().expect("a leaf id")),
            LeafChange::Removed(_)
        ));
    }
    assert_snapshot!(Run::begin(gather(4, 0.75), cx).story());
}

/// Guards against retries that multiply the load of a service that fails.
#[test]
fn second_sends_stop_when_the_budget_is_used_up() {
    let mut cx = traffic(1);
    cx.bound.fixed = 0.0;
    let mut again = 0;
    for n in 0..100 {
        let mut run = Run::begin(single(RepeatPolicy::Idempotent), cx);
        run.end(0, 0, AttemptOutcome::NotRun, n);
        again += usize::from(run.sends.len() > 1);
        cx = run.cx;
    }
    assert_eq!(again, 16, "0.2 of 100 requests, of which 0.8 is planned with");
}

/// Guards against a first send to another leaf, after an unreachable one, that counts as extra.
#[test]
fn unreachable_leaf_costs_no_budget() {
    let mut cx = traffic(1);
    cx.bound.fixed = 0.0;
    let mut run = Run::begin(single(RepeatPolicy::AtMostOnce), cx);
    run.end(0, 0, AttemptOutcome::Unsent, 1);
    assert_eq!(run.sends.len(), 2);
}

/// Guards against an answer later than the route's time, and a leaf that is given more than is left.
#[test]
fn request_ends_with_its_route_time_and_leaves_get_what_is_left() {
    let mut run = Run::begin(gather(2, 1.0), traffic(2));
    assert_eq!(run.sends[0].left, Span::millis(600));
    run.time(30);
    assert_eq!(run.sends[2].left, Span::millis(570));
    assert_eq!(run.exchange.next_time(at(60)), at(600));
    run.time(600);
    assert_snapshot!(run.story());
}
