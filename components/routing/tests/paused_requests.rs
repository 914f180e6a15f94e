//! Requests while leaves pause.

mod common;

use {
    common::{Run, SEED, at, gather, registration, response, routing_state, single},
    insta::assert_snapshot,
    rand::{SeedableRng, rngs::SmallRng},
    wigeonramp_routing::{
        catalog::RepeatPolicy, exchange::AttemptOutcome, limits::statement::NamedLimit,
        state::RoutingState,
    },
    wigeonramp_units::{RequestRate, Span},
};

fn pause(cx: &mut RoutingState, leaves: &[(&str, u64)], now_ms: u64) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    for (leaf, pause_ms) in leaves {
        let registration = registration(leaf, "s0", "a");
        let key = cx.leaves.key_of(&registration.id).expect("a leaf");
        let process = cx.leaves.get(key).expect("a leaf").registration.instance();
        cx.leaves.on_pause(key, &process, Span::millis(*pause_ms), at(now_ms), &mut rng);
    }
}

/// Shard and zone of a leaf, and its pause in milliseconds; a shard has two leaves.
type Paused<'a> = (usize, &'a str, u64);

/// Guards against requests to leaves that pause, against requests that wait for them, and against a time
/// to come back at which too many still pause.
#[test]
fn requests_while_leaves_pause() {
    let both = |shard: usize, ms: u64| [(shard, "a", ms), (shard, "b", ms + 500)];
    let cases: [(&str, Vec<Paused<'_>>); 4] = [
        ("one leaf of a shard", vec![(0, "a", 2_000)]),
        ("one shard of four", both(0, 2_000).to_vec()),
        ("two shards of four", [both(0, 4_000), both(2, 2_000)].concat()),
        ("three shards of four", [both(0, 4_000), both(1, 3_000), both(2, 2_000)].concat()),
    ];
    let mut lines = Vec::new();
    for (name, paused) in cases {
        let names: Vec<(String, u64)> =
            paused.iter().map(|(shard, zone, ms)| (format!("l{shard}{zone}"), *ms)).collect();
        let paused: Vec<(&str, u64)> = names.iter().map(|(id, ms)| (id.as_str(), *ms)).collect();
        for (kind, route) in
            [("gather", gather(4, 0.75)), ("single", single(RepeatPolicy::AtMostOnce))]
        {
            let mut cx = routing_state(4);
            pause(&mut cx, &paused, 0);
            let mut run = Run::begin(route, cx);
            for part in run.attempts.iter().map(|spec| spec.attempt.part).collect::<Vec<_>>() {
                run.end(part, 0, response(200, &format!("p{part}")), 10);
            }
            run.advance_to(100);
            lines.push(format!("{name}, {kind}: {}", run.summary()));
        }
    }
    assert_snapshot!(lines.join("\n"));
}

/// Guards against a request that is lost, or refused with a time to come back that is too early, because
/// its leaf turns it away with a pause.
#[test]
fn a_request_that_is_turned_away_goes_to_another_leaf_or_comes_back_later() {
    let mut run = Run::begin(single(RepeatPolicy::AtMostOnce), routing_state(1));
    pause(&mut run.cx, &[("l0a", 3_000)], 5);
    run.end(0, 0, AttemptOutcome::NotRun, 5);
    assert_eq!(run.summary(), "0.0>l0a 0.1>l0b; waits");
    pause(&mut run.cx, &[("l0b", 2_000)], 10);
    run.end(0, 1, AttemptOutcome::NotRun, 10);
    let refused = run.summary();
    assert!(refused.contains("refused not_run again in 2"), "{refused}");
}

/// Guards against a leaf that gets a request in its pause because it names a limit and there is a permit, or
/// because the other leaf of its service has none.
#[test]
fn a_pause_holds_beside_a_named_limit() {
    let mut cx = routing_state(1);
    let limited = registration("l0b", "s0", "b").instance();
    let rate = RequestRate::new(1.0).expect("a rate");
    cx.limits.on_response(&limited, NamedLimit::Rate(rate), at(0), at(0));
    pause(&mut cx, &[("l0a", 3_000)], 0);
    let mut run = Run::begin(single(RepeatPolicy::Idempotent), cx);
    run.advance_to(60);
    assert!(run.attempts.is_empty(), "{}", run.summary());
    assert!(run.summary().contains("refused"), "{}", run.summary());
}
