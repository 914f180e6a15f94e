//! Leaves that ask for a pause as they turn requests away.

use {
    crate::support::Fixture,
    std::{
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::leaf::Leaf,
};

/// Pause that leaves ask for.
const PAUSE: Duration = Duration::from_millis(2_500);
/// Time after an answer from which the pause counts.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Number of callers that send at the same time.
const CALLERS: usize = 12;
/// Number of requests that a leaf may get from a host within a pause.
const MAX_IN_PAUSE: usize = 2;

fn start() -> (Fixture, Leaf, Leaf) {
    let fixture = Fixture::start("connection_limit", 50);
    let [pausing, other] = [(); 2].map(|()| fixture.add_leaf("one", Duration::from_millis(1)));
    fixture.wait_until_serving();
    (fixture, pausing, other)
}

/// Returns the times at which requests arrived at a leaf since `since`, also those that it turned away.
fn arrivals(leaf: &Leaf, since: Instant) -> Vec<Instant> {
    leaf.arrivals().into_iter().map(|(_, at)| at).filter(|at| *at >= since).collect()
}

/// Sends requests from many callers for `time`; returns their statuses.
fn send_from_many(fixture: &Fixture, time: Duration) -> Vec<u16> {
    thread::scope(|scope| {
        let caller = || scope.spawn(|| fixture.send_for(time));
        let callers: Vec<_> = (0..CALLERS).map(|_| caller()).collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    })
}

/// Guards against requests to a leaf that has asked for a pause, while another one can serve them and has
/// much to do.
#[test]
fn a_pausing_leaf_gets_next_to_nothing() {
    let fixture = Fixture::start("connection_limit", 50);
    let pausing = fixture.add_leaf("one", Duration::from_millis(1));
    fixture.add_leaf("one", Duration::from_millis(30));
    fixture.wait_until_serving();
    let since = Instant::now();
    pausing.set_pause(Some("2.5"));
    let statuses = send_from_many(&fixture, Duration::from_secs(4));
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served * 10 >= statuses.len() * 9, "{served} of {}", statuses.len());
    let arrivals = arrivals(&pausing, since);
    assert!(!arrivals.is_empty(), "it was asked");
    for answered in &arrivals {
        let covered = *answered + REACTION_TIME..*answered + PAUSE;
        let count = arrivals.iter().filter(|at| covered.contains(at)).count();
        assert!(count <= MAX_IN_PAUSE, "{count} requests in a pause");
    }
    pausing.set_pause(None);
    thread::sleep(PAUSE);
    let (since, deadline) = (Instant::now(), Instant::now() + Duration::from_secs(10));
    while fixture.run_times(&pausing).iter().all(|at| *at < since) {
        assert!(Instant::now() < deadline, "it is used again");
        send_from_many(&fixture, Duration::from_millis(500));
    }
}

/// Guards against a service whose leaves all pause and that is asked again and again, and against callers
/// that wait or come back too early.
#[test]
fn requests_are_refused_while_all_leaves_pause() {
    let (fixture, first, second) = start();
    first.set_pause(Some("2.5"));
    second.set_pause(Some("2.5"));
    fixture.send_for(Duration::from_millis(300));
    let since = Instant::now();
    let retry_after = fixture.retry_after("refused");
    let took = since.elapsed();
    assert!(took < Duration::from_millis(100), "refused at once, not after {took:?}");
    assert!((1.5..=2.7).contains(&retry_after), "{retry_after} s");
    let statuses = fixture.send_for(Duration::from_millis(1_000));
    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    assert!(arrivals(&first, since).len() + arrivals(&second, since).len() <= 2 * MAX_IN_PAUSE);
    first.set_pause(None);
    second.set_pause(None);
    thread::sleep(PAUSE);
    let statuses = fixture.send_for(Duration::from_secs(1));
    assert!(statuses.ends_with(&[200; 10]), "{statuses:?}");
}

/// Guards against a pause that a leaf has not asked for: the header holds no positive number of seconds.
#[test]
fn a_time_that_is_no_positive_number_is_no_pause() {
    let (fixture, pausing, other) = start();
    other.unregister();
    thread::sleep(REACTION_TIME);
    for value in ["0", "-1", "soon", "", "inf", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        pausing.set_pause(Some(value));
        fixture.send_for(Duration::from_millis(100));
        pausing.set_pause(None);
        let statuses = fixture.send_for(Duration::from_millis(600));
        assert!(statuses.contains(&200), "{value:?}: {statuses:?}");
    }
}
