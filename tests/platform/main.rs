//! A host process against stand-ins of the users' platform.

mod support;

use {
    std::{
        thread,
        time::{Duration, Instant},
    },
    support::Installation,
    wigeonramp_platform_standin::{leaf::LeafFault, store::StoreFault},
};

const WAIT: Duration = Duration::from_millis(2_000);

/// Guards against attempts that fail at once when a host has reached its connection limit to a leaf.
/// After a restart of all hosts, a limit of two connections failed 124 gather requests in one day.
#[test]
fn sends_wait_for_a_connection_at_the_bound() {
    let cluster = Installation::start(1, "connection_limit", 1);
    cluster.add_leaf("one", Duration::from_millis(30));
    cluster.wait_until_served();
    let callers: Vec<_> = (0..8)
        .map(|n| {
            let address = cluster.callers();
            thread::spawn(move || support::ask(address, "POST", &format!("burst-{n}"), WAIT))
        })
        .collect();
    let statuses: Vec<u16> =
        callers.into_iter().map(|caller| caller.join().expect("a caller")).collect();
    assert_eq!(statuses, [200; 8]);
}

/// Guards against attempts that queue for a connection to a leaf that does not answer on any of its
/// connections. In one day, 19 of 226 certificate requests were given up after five seconds in such a
/// queue.
#[test]
fn sends_leave_the_queue_of_a_mute_leaf() {
    let cluster = Installation::start(6, "connection_limit", 1);
    let unresponsive = cluster.add_leaf("one", Duration::from_millis(1));
    cluster.wait_until_served();
    cluster.add_leaf("one", Duration::from_millis(1));
    unresponsive.set_fault(LeafFault::Mute);
    thread::sleep(Duration::from_millis(600));
    let callers: Vec<_> = (0..10)
        .map(|n| {
            let address = cluster.callers();
            thread::spawn(move || support::ask(address, "POST", &format!("mute-{n}"), WAIT))
        })
        .collect();
    let statuses: Vec<u16> =
        callers.into_iter().map(|caller| caller.join().expect("a caller")).collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(
        served >= 8,
        "more requests failed than the two on the unresponsive leaf's connections: {statuses:?}"
    );
}

/// Guards against a non-idempotent request that runs twice after its response is lost, and against a
/// reply that wrongly claims that a request did not run.
#[test]
fn lost_answer_of_a_request_that_must_not_run_twice_is_a_failure() {
    let cluster = Installation::start(2, "connection_limit", 50);
    let leaves = [
        cluster.add_leaf("one", Duration::from_millis(1)),
        cluster.add_leaf("one", Duration::from_millis(1)),
    ];
    cluster.wait_until_served();
    leaves.iter().for_each(|leaf| leaf.set_fault(LeafFault::LosesAnswers));
    assert_eq!(support::ask(cluster.callers(), "POST", "lost", WAIT), 502);
    assert_eq!(cluster.runs_of("lost"), 1);
    leaves.iter().for_each(|leaf| leaf.set_fault(LeafFault::Shed));
    assert_eq!(support::ask(cluster.callers(), "POST", "shed", WAIT), 503);
    assert_eq!(cluster.runs_of("shed"), 0);
}

/// Guards against a planned stop that interrupts a request.
#[test]
fn stop_cuts_no_request() {
    let mut cluster = Installation::start(3, "connection_limit", 50);
    cluster.add_leaf("one", Duration::from_millis(600));
    cluster.wait_until_served();
    let address = cluster.callers();
    let slow = thread::spawn(move || support::ask(address, "POST", "slow", WAIT));
    thread::sleep(Duration::from_millis(200));
    cluster.stop();
    assert_eq!(slow.join().expect("a caller"), 200);
    let end = Instant::now() + Duration::from_secs(4);
    while !cluster.has_ended() {
        assert!(
            Instant::now() < end,
            "the host did not end within its grace period of three seconds"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a host that stops serving while the store is unavailable.
#[test]
fn host_serves_on_while_the_store_is_down() {
    let cluster = Installation::start(4, "connection_limit", 50);
    cluster.add_leaf("one", Duration::from_millis(1));
    cluster.wait_until_served();
    for fault in [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent] {
        cluster.store.set_fault(fault);
        thread::sleep(Duration::from_millis(300));
        assert_eq!(support::ask(cluster.callers(), "GET", &format!("{fault:?}"), WAIT), 200);
    }
}

/// Guards against a watch whose response was lost in an outage. Its connection stays open, so the host
/// would wait until the watch times out while other hosts already serve the new version. On two days
/// of fault-injection runs this exceeded the limit for the propagation of changes.
#[test]
fn changes_arrive_soon_after_an_outage_that_swallowed_the_watches() {
    let cluster = Installation::start(7, "connection_limit", 50);
    cluster.add_leaf("one", Duration::from_millis(1));
    cluster.wait_until_served();
    cluster.store.set_fault(StoreFault::Swallow);
    cluster.replace_routes("later");
    thread::sleep(Duration::from_secs(2));
    cluster.store.set_fault(StoreFault::None);
    let end = Instant::now() + Duration::from_secs(10);
    let mut n = 0;
    while support::ask_path(cluster.callers(), "/later/", &format!("l{n}"), WAIT) != 200 {
        assert!(Instant::now() < end, "the version did not take effect before the watch times out");
        thread::sleep(Duration::from_millis(50));
        n += 1;
    }
}

/// Guards against requests that block because nobody reads the log output.
#[test]
fn stalled_log_does_not_hold_up_requests() {
    let cluster = Installation::start_with_stalled_log(5);
    cluster.add_leaf("one", Duration::from_millis(1));
    cluster.wait_until_served();
    for n in 0..600 {
        assert_eq!(support::ask_path(cluster.callers(), "/none/", &format!("n{n}"), WAIT), 404);
    }
    assert_eq!(support::ask(cluster.callers(), "GET", "after", WAIT), 200);
}
