//! Leaves that say in their answers that they are leaving.

use {
    crate::support::{Fixture, request_status},
    std::{
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::{
        leaf::{Leaf, LeafFault},
        store::StoreFault,
    },
};

/// Time from a host's first answer with the notice to the last request that the leaf may get from it.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time that callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which requests that were on their way arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Starts a host with two leaves.
fn start() -> (Fixture, Leaf, Leaf) {
    let fixture = Fixture::start("connection_limit", 50);
    let [leaving, other] = [(); 2].map(|()| fixture.add_leaf("one", Duration::from_millis(1)));
    fixture.wait_until_serving();
    (fixture, leaving, other)
}

/// Sends requests until one has reached the leaf since `since`.
fn send_until_used(fixture: &Fixture, leaf: &Leaf, since: Instant) -> Instant {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        fixture.send_for(Duration::from_millis(60));
        if let Some(at) = fixture.run_times(leaf).into_iter().find(|at| *at >= since) {
            return at;
        }
        assert!(Instant::now() < deadline, "the leaf must be used");
    }
}

/// Sends requests for longer than the drain time and returns how many reached the leaf after those that
/// were on their way.
fn late_runs(fixture: &Fixture, leaf: &Leaf, told_at: Instant) -> usize {
    fixture.send_for(DRAIN_TIME + IN_FLIGHT_TIME);
    fixture.run_times(leaf).iter().filter(|at| **at > told_at + IN_FLIGHT_TIME).count()
}

/// Guards against requests to a leaf that has said that it is leaving, while the store cannot say so and its
/// registration, which it renews, does not.
#[test]
fn a_leaf_that_says_that_it_is_leaving_gets_no_more_requests() {
    for fault in [LeafFault::None, LeafFault::Fails] {
        let (fixture, leaving, _) = start();
        let said_at = Instant::now();
        leaving.set_leaving(true);
        leaving.set_fault(fault);
        let told_at = send_until_used(&fixture, &leaving, said_at);
        fixture.store.set_fault(StoreFault::Silent);
        assert_eq!(late_runs(&fixture, &leaving, told_at), 0, "{fault:?}");
        fixture.store.set_fault(StoreFault::None);
        leaving.set_leaving(false);
        leaving.register("ready");
        assert_eq!(late_runs(&fixture, &leaving, told_at), 0, "{fault:?}, registered as ready");
        leaving.unregister();
        thread::sleep(IN_FLIGHT_TIME);
        leaving.register("ready");
        assert_eq!(late_runs(&fixture, &leaving, told_at), 0, "{fault:?}, registered again");
        leaving.set_fault(LeafFault::None);
        leaving.start_again();
        send_until_used(&fixture, &leaving, Instant::now());
    }
}

/// Guards against requests to a leaf that says that it is leaving as it turns one away, also if no other
/// leaf is left.
#[test]
fn a_refusal_says_that_a_leaf_is_leaving() {
    let (fixture, leaving, other) = start();
    leaving.set_leaving(true);
    leaving.set_fault(LeafFault::Shed);
    fixture.send_for(Duration::from_secs(2));
    assert!(fixture.count_log_lines(&["\"leaf\"", leaving.id(), "leaving"]) == 1, "it was told");
    leaving.set_leaving(false);
    leaving.set_fault(LeafFault::None);
    other.unregister();
    thread::sleep(IN_FLIGHT_TIME);
    let told_at = Instant::now();
    let statuses = fixture.send_for(DRAIN_TIME);
    assert_eq!(fixture.run_times(&leaving).iter().filter(|at| **at > told_at).count(), 0);
    assert!(statuses.iter().all(|status| *status == 503), "refused: {statuses:?}");
}

/// Guards against requests that wait for a connection to a leaf that has said meanwhile that it is leaving,
/// and against their loss.
#[test]
fn requests_that_wait_for_a_leaving_leaf_go_to_another() {
    let fixture = Fixture::start("connection_limit", 1);
    let leaving = fixture.add_leaf("one", Duration::from_millis(150));
    fixture.wait_until_serving();
    leaving.set_leaving(true);
    let address = fixture.caller_address();
    let callers: Vec<_> = (0..6)
        .map(|n| {
            let id = format!("queued-{n}");
            thread::spawn(move || request_status(address, "POST", &id, TIMEOUT))
        })
        .collect();
    thread::sleep(Duration::from_millis(50));
    fixture.add_leaf("one", Duration::from_millis(1));
    let statuses: Vec<u16> =
        callers.into_iter().map(|caller| caller.join().expect("a caller")).collect();
    assert_eq!(statuses, [200; 6]);
    assert!(fixture.run_times(&leaving).len() <= 3, "only those that had a connection");
}
