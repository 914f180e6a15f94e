//! What a cold leaf bears, and how excess load is counted.

mod common;

use {
    crate::common::{
        Search, address, client, counters, fault, fixed, leaves, start_leaves, wait_for,
    },
    std::thread::scope,
    wigeonramp_standin::leaves::{LeafFault, LeafSelector, LeafSettings, Leaves},
    wigeonramp_units::Span,
};

/// Cold until `requests` are served, whatever the time.
fn cold_until(requests: u32) -> LeafSettings {
    LeafSettings {
        cold_requests: requests,
        cold_time: Span::secs(3600),
        announce_grace: Span::ZERO,
        ..fixed(Span::ZERO)
    }
}

fn send(leaves: &Leaves, client: &ureq::Agent, attempts: u64) {
    for attempt in 0..attempts {
        let answer = Search::attempt(attempt).send(client, address(leaves, "a1"));
        assert_eq!(answer.expect("answer").status, 200);
    }
}

/// Guards against a check that misses requests and connects beyond `cold_per_second`.
#[test]
fn rate_beyond_the_allowance_is_counted() {
    let leaves = start_leaves(cold_until(1_000), false);
    let client = client();
    // One connect and three requests use up the allowance of 4 events a second.
    send(&leaves, &client, 3);
    assert_eq!(counters(&leaves).cold_violations, 0);
    // Two further events come within the second unless the machine stalls for that long, so the
    // test repeats them until they did.
    while counters(&leaves).cold_violations == 0 {
        send(&leaves, &client, 2);
    }
    assert!(counters(&leaves).most_cold_per_second > 4);
}

/// Guards against a check that misses requests beyond `cold_in_flight`, or counts those before the
/// cold start.
#[test]
fn requests_in_flight_beyond_the_allowance_are_counted() {
    let slow = LeafSettings { service: fixed(Span::secs(60)).service, ..cold_until(1_000) };
    let leaves = leaves(slow);
    let to = address(&leaves, "a1");
    scope(|scope| {
        let send = |n| scope.spawn(move || Search::attempt(n).send(&client(), to));
        let mut sent = vec![send(1)];
        wait_for(&leaves, "the run before the cold start", |c| c.run == 1);
        fault(&leaves, LeafFault::TurnCold { break_connections: false });
        sent.push(send(2));
        wait_for(&leaves, "a run while cold", |c| c.run == 2);
        assert_eq!(counters(&leaves).most_cold_in_flight, 1);
        assert_eq!(counters(&leaves).cold_unannounced, 0);
        sent.push(send(3));
        wait_for(&leaves, "a second request while cold", |c| c.arrived == 3 && c.waiting == 1);
        let seen = counters(&leaves);
        assert_eq!(seen.most_cold_in_flight, 2);
        // No answer told of the cold start yet.
        assert_eq!((seen.cold_unannounced, seen.cold_violations), (1, 0));
        for attempt in 1..=3 {
            client().delete(format!("http://{to}/search/{attempt}")).call().expect("cancel");
        }
        for sent in sent {
            assert_eq!(sent.join().expect("thread").expect("answer").status, 499);
        }
    });
}

/// Guards against excess after the first answer with the new boot id that still counts as
/// unannounced.
#[test]
fn excess_after_the_first_answer_is_a_violation() {
    let leaves = leaves(cold_until(1_000));
    let client = client();
    fault(&leaves, LeafFault::TurnCold { break_connections: false });
    while counters(&leaves).cold_violations == 0 {
        send(&leaves, &client, 5);
    }
    assert_eq!(counters(&leaves).cold_unannounced, 0);
}

/// Guards against a leaf that never warms up, or warms up by requests beyond its allowance.
#[test]
fn served_requests_warm_the_leaf() {
    let leaves = start_leaves(cold_until(3), false);
    let client = client();
    send(&leaves, &client, 2);
    assert!(leaves.statuses("a1").remove(0).cold);
    send(&leaves, &client, 1);
    assert!(!leaves.statuses("a1").remove(0).cold);
    send(&leaves, &client, 50);
    assert_eq!(counters(&leaves).cold_violations, 0);
}

/// Guards against time that does not end the cold state.
#[test]
fn time_warms_the_leaf() {
    let leaves = start_leaves(cold_until(1_000), false);
    assert!(leaves.statuses("a1").remove(0).cold);
    let settings = LeafSettings { cold_time: Span::ZERO, ..cold_until(1_000) };
    leaves.set_settings(LeafSelector::default(), settings).expect("settings");
    assert!(!leaves.statuses("a1").remove(0).cold);
}
