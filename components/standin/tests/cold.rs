//! End of the cold state, and counting of load beyond the cold limits.

mod common;

use {
    crate::common::{
        SearchRequest, address, client, counters, fixed_service_time, inject_fault, start_leaves,
        start_warm_leaves, wait_for,
    },
    std::thread::scope,
    wigeonramp_standin::leaves::{LeafFault, LeafSelector, LeafSettings, Leaves},
    wigeonramp_units::Span,
};

/// Settings with which a leaf stays cold until it has served `requests`, whatever the time.
fn cold_until_served(requests: u32) -> LeafSettings {
    LeafSettings {
        cold_requests: requests,
        cold_time: Span::secs(3600),
        announce_grace: Span::ZERO,
        ..fixed_service_time(Span::ZERO)
    }
}

fn send(leaves: &Leaves, client: &ureq::Agent, attempts: u64) {
    for attempt in 0..attempts {
        let response = SearchRequest::new(attempt).send(client, address(leaves, "a1"));
        assert_eq!(response.expect("response").status, 200);
    }
}

/// Guards against requests and connects beyond `cold_per_second` that are not counted.
#[test]
fn rate_beyond_the_allowance_is_counted() {
    let leaves = start_leaves(cold_until_served(1_000), false);
    let client = client();
    // One connect and three requests use the whole allowance of 4 events per second.
    send(&leaves, &client, 3);
    assert_eq!(counters(&leaves).cold_violations, 0);
    // Two more events fall within the same second unless the machine stalls for that long, so the
    // test repeats them until a violation is counted.
    while counters(&leaves).cold_violations == 0 {
        send(&leaves, &client, 2);
    }
    assert!(counters(&leaves).most_cold_per_second > 4);
}

/// Guards against requests beyond `cold_in_flight` that are not counted, and against counting
/// requests that arrived before the cold start.
#[test]
fn requests_in_flight_beyond_the_allowance_are_counted() {
    let slow = LeafSettings {
        service: fixed_service_time(Span::secs(60)).service,
        ..cold_until_served(1_000)
    };
    let leaves = start_warm_leaves(slow);
    let to = address(&leaves, "a1");
    scope(|scope| {
        let send = |n| scope.spawn(move || SearchRequest::new(n).send(&client(), to));
        let mut sent = vec![send(1)];
        wait_for(&leaves, "the run before the cold start", |c| c.run == 1);
        inject_fault(&leaves, LeafFault::TurnCold { break_connections: false });
        sent.push(send(2));
        wait_for(&leaves, "a run while cold", |c| c.run == 2);
        assert_eq!(counters(&leaves).most_cold_in_flight, 1);
        assert_eq!(counters(&leaves).cold_unannounced, 0);
        sent.push(send(3));
        wait_for(&leaves, "a second request while cold", |c| c.arrived == 3 && c.waiting == 1);
        let seen = counters(&leaves);
        assert_eq!(seen.most_cold_in_flight, 2);
        // No response has announced the cold start yet.
        assert_eq!((seen.cold_unannounced, seen.cold_violations), (1, 0));
        for attempt in 1..=3 {
            client().delete(format!("http://{to}/search/{attempt}")).call().expect("cancel");
        }
        for sent in sent {
            assert_eq!(sent.join().expect("thread").expect("response").status, 499);
        }
    });
}

/// Guards against counting excess load as unannounced after the first response with the new boot
/// id.
#[test]
fn excess_after_the_first_answer_is_a_violation() {
    let leaves = start_warm_leaves(cold_until_served(1_000));
    let client = client();
    inject_fault(&leaves, LeafFault::TurnCold { break_connections: false });
    while counters(&leaves).cold_violations == 0 {
        send(&leaves, &client, 5);
    }
    assert_eq!(counters(&leaves).cold_unannounced, 0);
}

/// Guards against a leaf that never becomes warm, or becomes warm before it has served enough
/// requests.
#[test]
fn served_requests_warm_the_leaf() {
    let leaves = start_leaves(cold_until_served(3), false);
    let client = client();
    send(&leaves, &client, 2);
    assert!(leaves.statuses("a1").remove(0).cold);
    send(&leaves, &client, 1);
    assert!(!leaves.statuses("a1").remove(0).cold);
    send(&leaves, &client, 50);
    assert_eq!(counters(&leaves).cold_violations, 0);
}

/// Guards against a leaf that stays cold after `cold_time`.
#[test]
fn time_warms_the_leaf() {
    let leaves = start_leaves(cold_until_served(1_000), false);
    assert!(leaves.statuses("a1").remove(0).cold);
    let settings = LeafSettings { cold_time: Span::ZERO, ..cold_until_served(1_000) };
    leaves.set_settings(LeafSelector::default(), settings).expect("settings");
    assert!(!leaves.statuses("a1").remove(0).cold);
}
