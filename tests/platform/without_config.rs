//! A host that knows no configuration, as it was killed and started again while the store is away, or
//! none that it can rely on.

use {
    crate::support::{Fixture, get_status, request_status},
    std::{
        collections::BTreeMap,
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::store::StoreFault,
};

/// Time that callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a host and kills it while the store is away, so that it starts again without a
/// configuration.
fn start_without_config() -> Fixture {
    let mut fixture = Fixture::start("connection_limit", 50);
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    fixture.store.set_fault(StoreFault::Reset);
    fixture.restart(0);
    // The host listens soon after its start.
    while request_status(fixture.caller_address(), "GET", "up", TIMEOUT) == 0 {
        thread::sleep(Duration::from_millis(20));
    }
    fixture
}

/// Returns the number of responses by status to requests sent over `time`.
fn statuses(fixture: &Fixture, time: Duration) -> BTreeMap<u16, usize> {
    let mut count = BTreeMap::new();
    for n in 0..time.as_millis() / 50 {
        let status = get_status(fixture.caller_address(), "/read/", &format!("s{n}"), TIMEOUT);
        *count.entry(status).or_default() += 1;
        thread::sleep(Duration::from_millis(50));
    }
    count
}

/// Guards against a host that says that a route does not exist although it knows no route at all,
/// because it is stopping.
#[test]
fn a_stopping_host_without_a_configuration_does_not_deny_routes() {
    let mut fixture = start_without_config();
    assert_eq!(statuses(&fixture, Duration::from_millis(200)), BTreeMap::from([(503, 4)]));
    fixture.stop();
    let statuses = statuses(&fixture, Duration::from_millis(800));
    assert_eq!(statuses.keys().copied().collect::<Vec<_>>(), [503], "{statuses:?}");
}

/// Guards against a final refusal of a long request by limits that the configuration may not have.
#[test]
fn long_requests_are_not_refused_for_good_without_a_configuration() {
    let fixture = start_without_config();
    let path = format!("/read/{}/", "x".repeat(100 * 1024));
    assert_eq!(get_status(fixture.caller_address(), &path, "long", TIMEOUT), 503);
}

/// Guards against a host that says that a route does not exist although it may have been added while the
/// host could not hear of it.
#[test]
fn a_host_with_old_news_does_not_deny_routes() {
    let fixture = Fixture::start("connection_limit", 50);
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    let status = |path: &str, id: &str| get_status(fixture.caller_address(), path, id, TIMEOUT);
    assert_eq!((status("/read/", "a"), status("/none/", "a")), (200, 404));
    fixture.store.set_fault(StoreFault::Silent);
    thread::sleep(Duration::from_secs(3));
    assert_eq!((status("/read/", "b"), status("/none/", "b")), (200, 503), "its news is old");
    fixture.store.set_fault(StoreFault::None);
    let deadline = Instant::now() + Duration::from_secs(10);
    while status("/none/", "c") != 404 {
        assert!(Instant::now() < deadline, "the store has said again which routes there are");
        thread::sleep(Duration::from_millis(50));
    }
}
