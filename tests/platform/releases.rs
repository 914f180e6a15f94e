//! Releases with real processes: orders of operators, good and bad versions, and a deciding host
//! that is lost.

use {
    crate::support::{Fixture, get_status},
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::leaf::{Leaf, VersionFault, VersionFaultKind, VersionFaultTime},
};

/// Held by a test that needs quiet hosts; these run one after another.
static IN_USE: Mutex<()> = Mutex::new(());
/// Duration of the orders.
const DURATION: Duration = Duration::from_secs(8);
/// Time after the end of an order within which its status must be there.
const MARGIN: Duration = Duration::from_secs(8);
/// Time that callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the status until no host sends to the other version any more.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Callers that send requests to some hosts until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<u16>>>,
}

impl Load {
    fn start(addresses: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let caller = |(number, address): (usize, &SocketAddr)| {
            let (stop, address) = (stop.clone(), *address);
            thread::spawn(move || {
                let mut statuses = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("load-{number}-{}", statuses.len());
                    statuses.push(get_status(address, "/read/", &id, TIMEOUT));
                    thread::sleep(Duration::from_millis(30));
                }
                statuses
            })
        };
        Self { callers: addresses.iter().enumerate().map(caller).collect(), stop }
    }

    fn stop(self) -> Vec<u16> {
        self.stop.store(true, Ordering::SeqCst);
        let callers = self.callers.into_iter();
        callers.flat_map(|caller| caller.join().expect("a caller")).collect()
    }
}

fn wait_for_fixture() -> MutexGuard<'static, ()> {
    IN_USE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts hosts with two leaves of version `v1`.
fn start(hosts: u8) -> (Fixture, Vec<Leaf>) {
    let fixture = Fixture::start_with_releases(hosts);
    let old = (0..2).map(|_| fixture.add_leaf("one", Duration::from_millis(5))).collect();
    fixture.wait_until_serving();
    // Hosts know each other's share of the traffic 4 s after their start.
    thread::sleep(Duration::from_secs(4));
    (fixture, old)
}

/// Starts two leaves of version `v2` and orders the release to it.
fn order(fixture: &Fixture, version_fault: Option<&VersionFault>) -> Vec<Leaf> {
    let start = |_| {
        let leaf = fixture.add_unregistered_leaf("a", "one", Duration::from_millis(5));
        leaf.set_version("v2");
        leaf.set_version_fault(version_fault.cloned());
        leaf.register("ready");
        leaf
    };
    let new = (0..2).map(start).collect();
    let order = json!({
        "service": "one", "target_version": "v2", "duration_s": DURATION.as_secs_f64(),
    });
    fixture.store.put("rollouts", "one", order);
    new
}

/// Waits for a final status; returns its state.
fn wait_until_final(fixture: &Fixture) -> String {
    let deadline = Instant::now() + DURATION + MARGIN;
    loop {
        let status = fixture.store.status("rollouts", "one");
        let state = status["state"].as_str().unwrap_or_default();
        if state == "completed" || state == "rolled_back" {
            assert_eq!(status["target_version"], "v2");
            return state.to_owned();
        }
        assert!(Instant::now() < deadline, "the status must become final: {status}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn runs_since(fixture: &Fixture, leaves: &[Leaf], since: Instant) -> usize {
    let runs = leaves.iter().flat_map(|leaf| fixture.run_times(leaf));
    runs.filter(|at| *at >= since).count()
}

/// Guards against a good version that is not completed in time, against requests to its leaves
/// before the order is decided beyond the bound, and against requests that are lost as the old
/// leaves stop.
#[test]
fn a_good_version_is_completed_without_loss() {
    let _in_use = wait_for_fixture();
    let (fixture, old) = start(2);
    let load = Load::start(&fixture.caller_addresses());
    let ordered = Instant::now();
    let new = order(&fixture, None);
    assert_eq!(wait_until_final(&fixture), "completed");
    let took = ordered.elapsed();
    assert!(took < DURATION, "completed after {took:?}");
    old.iter().for_each(Leaf::crash);
    let stopped = Instant::now();
    thread::sleep(Duration::from_secs(1));
    let statuses = load.stop();
    assert!(statuses.iter().all(|status| *status == 200), "no request is lost: {statuses:?}");
    assert_eq!(runs_since(&fixture, &old, stopped), 0);
    assert!(runs_since(&fixture, &new, stopped) > 0, "the new leaves serve");
}

/// Guards against a bad version that stays in use, and against more requests to it than the bound
/// allows.
#[test]
fn a_bad_version_is_rolled_back_and_not_used_any_more() {
    let _in_use = wait_for_fixture();
    let (fixture, _old) = start(2);
    let load = Load::start(&fixture.caller_addresses());
    let ordered = Instant::now();
    let version_fault =
        VersionFault { kind: VersionFaultKind::Fails, share: 0.5, when: VersionFaultTime::Always };
    let new = order(&fixture, Some(&version_fault));
    assert_eq!(wait_until_final(&fixture), "rolled_back");
    thread::sleep(SETTLE_TIME);
    let settled = Instant::now();
    let exposed = runs_since(&fixture, &new, ordered);
    assert!(exposed <= 60, "{exposed} requests reached the bad version");
    thread::sleep(Duration::from_secs(3));
    load.stop();
    assert_eq!(runs_since(&fixture, &new, settled), 0);
    let log = fixture.log_of(0) + &fixture.log_of(1);
    let mut lines = log.lines().filter(|line| line.contains("\"event\":\"release\""));
    assert!(lines.any(|line| line.contains("failing")), "the log says why");
}

/// Guards against a version that is slow on one route only and is promoted.
#[test]
fn a_slow_version_is_rolled_back() {
    let _in_use = wait_for_fixture();
    let (fixture, _old) = start(2);
    let load = Load::start(&fixture.caller_addresses());
    let version_fault = VersionFault {
        kind: VersionFaultKind::Slow(Duration::from_millis(60)),
        share: 0.8,
        when: VersionFaultTime::OnPath("/read/".to_owned()),
    };
    order(&fixture, Some(&version_fault));
    assert_eq!(wait_until_final(&fixture), "rolled_back");
    load.stop();
}

/// Guards against a release that nobody decides on once the deciding host is lost. Each of three
/// hosts is killed in an order of its own, so that one of them is the deciding one.
#[test]
fn a_release_goes_on_after_the_loss_of_a_host() {
    for lost in 0..3 {
        let (mut fixture, _old) = start(3);
        let addresses = fixture.caller_addresses();
        let others: Vec<SocketAddr> =
            (0..3).filter(|host| *host != lost).map(|host| addresses[host]).collect();
        let load = Load::start(&others);
        let version_fault = VersionFault {
            kind: VersionFaultKind::Fails,
            share: 0.8,
            when: VersionFaultTime::Later(Instant::now() + DURATION / 4),
        };
        let new = order(&fixture, Some(&version_fault));
        thread::sleep(DURATION / 8);
        fixture.kill(lost);
        assert_eq!(wait_until_final(&fixture), "rolled_back");
        thread::sleep(SETTLE_TIME);
        let settled = Instant::now();
        thread::sleep(Duration::from_secs(1));
        load.stop();
        assert_eq!(runs_since(&fixture, &new, settled), 0);
    }
}

/// Guards against calls to the store for orders, and against versions that are treated differently,
/// where releases are not in use.
#[test]
fn orders_change_nothing_without_bounds_in_the_settings() {
    let _in_use = wait_for_fixture();
    let fixture = Fixture::start("connection_limit", 50);
    let old = fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    let new = order(&fixture, None);
    thread::sleep(Duration::from_millis(500));
    let since = Instant::now();
    let statuses = fixture.send_for(Duration::from_secs(2));
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(runs_since(&fixture, &new, since) > 0, "all versions are used alike");
    assert!(runs_since(&fixture, &[old], since) > 0, "all versions are used alike");
    assert!(fixture.store.status("rollouts", "one").is_null());
    assert_eq!(fixture.count_log_lines(&["rollouts"]), 0);
    assert_eq!(fixture.count_log_lines(&["\"version\":\"v"]), 0);
}
