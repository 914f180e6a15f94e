//! Requests to leaves that name request limits.

mod common;

use {
    common::{Run, at, gather, response, routing_state, single},
    insta::assert_snapshot,
    std::net::Ipv4Addr,
    wigeonramp_routing::{
        catalog::RepeatPolicy,
        exchange::{AttemptOutcome, RequestTimes},
        leaf::LeafInstance,
        limits::{
            LeafLimits, LimitHosts,
            messages::{LimitMessage, PermitGrant},
            statement::NamedLimit,
        },
        state::RoutingState,
    },
    wigeonramp_units::{RequestRate, Span},
};

/// Time until a request starts, in which permits are granted.
const START_MS: u64 = 1_000;

fn instance(leaf: &str) -> LeafInstance {
    LeafInstance { id: leaf.parse().expect("a leaf id"), born: Some(1) }
}

/// Records that these leaves name limits.
fn name_limits(cx: &mut RoutingState, limits: &[(&str, f64)]) {
    for (leaf, limit) in limits {
        let named = NamedLimit::Rate(RequestRate::new(*limit).expect("a rate"));
        cx.limits.on_response(&instance(leaf), named, at(0), at(10));
    }
}

/// Records a denied request for each of these leaves, and has the only host grant its permits.
fn grant_permits(cx: &mut RoutingState, leaves: &[&str], from_ms: u64) {
    let hosts = LimitHosts { known: 1, ..LimitHosts::default() };
    for ms in (from_ms..START_MS).step_by(50) {
        for leaf in leaves {
            cx.limits.on_denied(&instance(leaf), 1, at(ms));
        }
        cx.limits.poll(&hosts, at(ms));
    }
}

fn begin(route: std::sync::Arc<wigeonramp_routing::catalog::Route>, cx: RoutingState) -> Run {
    let times = RequestTimes {
        arrived: at(START_MS),
        deadline: at(START_MS + 1_000),
        caller_overhead: Span::millis(4),
    };
    Run::begin_at(route, times, cx)
}

/// Name, number of shards, minimum share, leaves that name a limit, and leaves with permits.
type Case<'a> = (&'a str, usize, f64, &'a [&'a str], &'a [&'a str]);

/// Guards against requests for a limited leaf that are not sent to the service's other leaf, that
/// wait longer than a permit takes, or that take the permits of others although they are hopeless.
#[test]
fn requests_without_permits() {
    let all_of_four = ["l0a", "l0b", "l1a", "l1b", "l2a", "l2b", "l3a", "l3b"];
    let cases: [Case<'_>; 7] = [
        ("one leaf limited, no permit", 1, 1.0, &["l0a"], &[]),
        ("both leaves limited, no permit", 1, 1.0, &["l0a", "l0b"], &[]),
        ("both leaves limited, a permit for one", 1, 1.0, &["l0a", "l0b"], &["l0b"]),
        ("one shard of four without permits, three are enough", 4, 0.75, &["l0a", "l0b"], &[]),
        ("one shard of four without permits, all are needed", 4, 1.0, &["l0a", "l0b"], &[]),
        ("all shards limited, permits for half", 4, 0.75, &all_of_four, &["l0a", "l1b"]),
        ("all shards limited, permits for three", 4, 0.75, &all_of_four, &["l0a", "l1b", "l2a"]),
    ];
    let mut lines = Vec::new();
    for (name, shards, min_share, limited, permitted) in cases {
        let mut cx = routing_state(shards);
        let limits: Vec<(&str, f64)> = limited.iter().map(|leaf| (*leaf, 10.0)).collect();
        name_limits(&mut cx, &limits);
        grant_permits(&mut cx, permitted, 50);
        let route = match shards {
            1 => single(RepeatPolicy::Idempotent),
            _ => gather(shards, min_share),
        };
        let mut run = begin(route, cx);
        let first = run.summary();
        run.advance_to(START_MS + 20);
        lines.push(format!("{name}: {first}; after 20 ms {}", run.summary()));
    }
    assert_snapshot!(lines.join("\n"));
}

/// Guards against retries and hedges that reach a limited leaf without a permit.
#[test]
fn extra_attempts_need_permits() {
    let mut lines = Vec::new();
    for permitted in [&[][..], &["l0b"]] {
        let mut cx = routing_state(1);
        name_limits(&mut cx, &[("l0b", 10.0)]);
        grant_permits(&mut cx, permitted, 50);
        let mut retried = begin(single(RepeatPolicy::Idempotent), cx);
        retried.end(0, 0, AttemptOutcome::NotRun, START_MS + 5);
        lines.push(format!("retry with permits for {permitted:?}: {}", retried.summary()));
        let mut cx = routing_state(2);
        name_limits(&mut cx, &[("l0b", 10.0)]);
        grant_permits(&mut cx, permitted, 50);
        let mut hedged = begin(gather(2, 1.0), cx);
        hedged.end(1, 0, response(200, "b"), START_MS + 5);
        hedged.advance_to(START_MS + 40);
        lines.push(format!("hedge with permits for {permitted:?}: {}", hedged.summary()));
    }
    assert_snapshot!(lines.join("\n"));
}

/// Guards against a permit that stands in for the allowance of a cold leaf, or the other way round.
#[test]
fn a_cold_leaf_with_a_limit_needs_an_allowance_and_a_permit() {
    let mut lines = Vec::new();
    for (has_allowance, has_permit) in [(false, true), (true, false), (true, true)] {
        let mut cx = routing_state(1);
        for leaf in ["l0a", "l0b"] {
            let key = cx.leaves.key_of(&leaf.parse().expect("a leaf id")).expect("a leaf");
            let leaf = cx.leaves.get_mut(key).expect("a leaf");
            leaf.cold_until = at(9_000);
        }
        cx.cold_rates = [("s0".parse().expect("a service id"), 5.0)].into();
        cx.cold_share = if has_allowance { 1.0 } else { 0.0 };
        name_limits(&mut cx, &[("l0a", 10.0), ("l0b", 10.0)]);
        grant_permits(&mut cx, if has_permit { &["l0a", "l0b"] } else { &[] }, 50);
        let mut run = begin(single(RepeatPolicy::Idempotent), cx);
        run.advance_to(START_MS + 20);
        lines.push(format!("allowance {has_allowance}, permit {has_permit}: {}", run.summary()));
    }
    assert_snapshot!(lines.join("\n"));
}

/// Guards against load shedding that does not notice shards whose leaves are all limited: gathered
/// requests would be refused one by one, regardless of their priority.
#[test]
fn shards_without_permits_count_as_overloaded() {
    let mut cx = routing_state(4);
    let all = ["l0a", "l0b", "l1a", "l1b", "l2a", "l2b", "l3a", "l3b"].map(|leaf| (leaf, 1.0));
    name_limits(&mut cx, &all);
    for _ in 0..40 {
        let mut run = begin(gather(4, 0.75), cx);
        run.advance_to(START_MS + 20);
        assert!(run.attempts.is_empty());
        cx = run.cx;
    }
    let times = RequestTimes {
        arrived: at(START_MS + 1_000),
        deadline: at(START_MS + 2_000),
        caller_overhead: Span::millis(4),
    };
    let cx = Run::begin_at(gather(4, 0.75), times, cx).cx;
    assert!(cx.min_admitted_share() < 1.0);
}

/// Guards against a request that is not sent when its permit arrives, and against one that is sent
/// although its other shards have none.
#[test]
fn a_waiting_request_is_sent_when_its_permits_arrive() {
    let mut lines = Vec::new();
    let all = ["l0a", "l0b", "l1a", "l1b"];
    for (name, min_share, permitted) in [
        ("for one of two shards, both are needed", 1.0, &["l0a"][..]),
        ("for both shards", 1.0, &["l0b", "l1a"]),
        ("for one of two shards, one is enough", 0.5, &["l1b"]),
    ] {
        let mut cx = routing_state(2);
        name_limits(&mut cx, &all.map(|leaf| (leaf, 10.0)));
        let mut run = begin(gather(2, min_share), cx);
        let first = run.summary();
        let mut limits = run.cx.limits.clone();
        for leaf in permitted {
            limits.on_denied(&instance(leaf), 1, at(START_MS));
        }
        grant_from_other_host(&mut limits, permitted, 1, START_MS);
        run.cx.limits = limits;
        run.resume(START_MS + 5);
        let resumed = run.summary();
        run.advance_to(START_MS + 20);
        lines.push(format!("permits {name}: {first}; {resumed}; {}", run.summary()));
    }
    assert_snapshot!(lines.join("\n"));
}

/// Guards against requests that wait for a permit although the allocator has just had none.
#[test]
fn a_request_is_refused_at_once_if_there_were_no_permits_a_moment_ago() {
    let mut cx = routing_state(1);
    name_limits(&mut cx, &[("l0a", 10.0), ("l0b", 10.0)]);
    for leaf in ["l0a", "l0b"] {
        cx.limits.on_denied(&instance(leaf), 1, at(START_MS - 20));
    }
    // The first response is acknowledged by a second request.
    for ms in [START_MS - 20, START_MS - 10] {
        grant_from_other_host(&mut cx.limits, &["l0a", "l0b"], 0, ms);
    }
    assert_snapshot!(begin(single(RepeatPolicy::Idempotent), cx).summary());
}

/// Has another host respond to the requests for permits of these leaves.
fn grant_from_other_host(limits: &mut LeafLimits, leaves: &[&str], permits: u32, ms: u64) {
    let other = Ipv4Addr::new(10, 0, 0, 2);
    let hosts = LimitHosts { candidates: vec![other], known: 2, ..LimitHosts::default() };
    for out in limits.poll(&hosts, at(ms)) {
        let LimitMessage::Request(req) = out.message else { continue };
        let is_granted = leaves.iter().any(|leaf| *leaf == req.news.leaf.id.as_str());
        let grant = PermitGrant {
            news: req.news,
            serial: req.serial,
            permits: if is_granted { permits } else { 0 },
            delegated: true,
        };
        limits.on_message(other, LimitMessage::Grant(grant), 2, at(ms + 3));
    }
}
