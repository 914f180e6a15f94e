//! Order of the attempts that wait for a connection.

mod common;

use {
    common::{Run, at, gather, routing_state, single},
    wigeonramp_routing::{
        catalog::RepeatPolicy,
        exchange::{AttemptOutcome, RequestTimes},
        queue::{ConnectionQueue, Urgency},
    },
    wigeonramp_units::Span,
};

fn urgency(priority: u32, due: u64, deadline: u64) -> Urgency {
    let latest_start = at(deadline - 5);
    Urgency { priority, due: at(due), deadline: at(deadline), latest_start }
}

fn drain(queue: &mut ConnectionQueue<&'static str>, ms: u64) -> Vec<&'static str> {
    std::iter::from_fn(|| queue.pop(at(ms))).collect()
}

fn queue() -> ConnectionQueue<&'static str> {
    let mut queue = ConnectionQueue::default();
    queue.push(urgency(5, 300, 900), "batch", at(0));
    queue.push(urgency(1, 300, 600), "slow route", at(1));
    queue.push(urgency(1, 40, 500), "fast route", at(2));
    queue.push(urgency(1, 40, 500), "fast route again", at(3));
    queue
}

/// Guards against urgent attempts that wait behind others because they arrived later.
#[test]
fn attempts_are_sent_by_priority_and_then_by_due_time() {
    let order = ["fast route", "fast route again", "slow route", "batch"];
    assert_eq!(drain(&mut queue(), 10), order);
    let overdue = ["slow route", "fast route", "fast route again", "batch"];
    assert_eq!(drain(&mut queue(), 50), overdue, "the late ones come after one still in time");
}

/// Guards against connections that carry attempts which cannot be answered in time, and against
/// attempts that wait for an unresponsive leaf.
#[test]
fn hopeless_attempts_leave_the_queue() {
    let mut queue = queue();
    queue.push(urgency(1, 40, 60), "short", at(0));
    assert!(queue.take_late(at(55)).is_empty());
    assert_eq!(queue.take_late(at(56)), ["short"]);
    assert_eq!(queue.take_timed_out(at(201)), ["batch", "slow route"]);
    assert_eq!(queue.withdraw(|item| item.ends_with("again")), ["fast route again"]);
    assert_eq!(queue.peek(at(201)), Some(&"fast route"));
    assert_eq!(drain(&mut queue, 201), ["fast route"]);
}

/// Guards against a leaf that is blamed for an attempt that this host did not send, and against
/// attempts after the time in which one can be answered.
#[test]
fn withheld_attempt_blames_no_leaf_and_is_not_repeated_too_late() {
    let mut run = Run::begin(single(RepeatPolicy::AtMostOnce), routing_state(1));
    run.end(0, 0, AttemptOutcome::Withheld, 1);
    assert!(!run.cx.leaves.is_unhealthy(run.attempts[0].leaf, at(1)));
    run.end(0, 1, AttemptOutcome::Withheld, 596);
    assert_eq!(run.summary(), "0.0>l0a 0.1>l0b; refused not_run again in 100ms");
}

/// Guards against attempts without the times that order them: the due time is the target, and a
/// leaf that has less than half of the typical time left does not answer before the deadline.
#[test]
fn attempts_carry_the_urgency_of_their_request() {
    let times =
        RequestTimes { arrived: at(0), deadline: at(300), caller_overhead: Span::millis(4) };
    for route in [single(RepeatPolicy::AtMostOnce), gather(4, 0.75)] {
        let run = Run::begin_at(route, times, routing_state(4));
        let typical_half_us = 7_500;
        let latest_start = at(295) - Span(typical_half_us);
        let expected = Urgency { priority: 1, due: at(56), deadline: at(295), latest_start };
        assert_eq!(run.attempts[0].urgency, expected);
    }
}
