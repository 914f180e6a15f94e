//! Leaves that name a request limit, as real hosts treat them together.

use {
    crate::support::{Fixture, request_status},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed in a window in addition to one and a half times the limit.
const SLACK: f64 = 5.0;
/// Time that a host has to act on a limit.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Time that callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Sends requests to each host, one every `pause`, until `stopped`.
fn send_requests(hosts: &[SocketAddr], pause: Duration, stopped: &AtomicBool) {
    thread::scope(|scope| {
        for (number, host) in hosts.iter().enumerate() {
            scope.spawn(move || {
                let mut n = 0;
                while !stopped.load(Ordering::SeqCst) {
                    request_status(*host, "GET", &format!("limit-{number}-{n}"), TIMEOUT);
                    thread::sleep(pause);
                    n += 1;
                }
            });
        }
    });
}

/// Returns the highest number of `times` in a window that starts at or after `from`.
fn busiest_window(times: &[Instant], from: Instant) -> usize {
    let later: Vec<Instant> = times.iter().copied().filter(|at| *at >= from).collect();
    let in_window =
        |start: &Instant| later.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count();
    later.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against hosts that together send a leaf more than the limit that it names.
#[test]
fn hosts_together_keep_the_limit_that_a_leaf_names() {
    let fixture = Fixture::start_fleet(4);
    let limited = fixture.add_leaf("one", Duration::from_millis(2));
    fixture.add_leaf("one", Duration::from_millis(2));
    fixture.wait_until_serving();
    let limit = 10.0;
    let (hosts, stopped) = (fixture.caller_addresses(), AtomicBool::new(false));
    let named_at = thread::scope(|scope| {
        scope.spawn(|| send_requests(&hosts, Duration::from_millis(15), &stopped));
        thread::sleep(Duration::from_secs(1));
        limited.set_limit(Some("10"));
        let named_at = Instant::now();
        thread::sleep(REACTION_TIME + WINDOW * 2);
        stopped.store(true, Ordering::SeqCst);
        named_at
    });
    let count = busiest_window(&fixture.run_times(&limited), named_at + REACTION_TIME);
    let allowed = 1.5 * limit * WINDOW.as_secs_f64() + SLACK;
    assert!(count as f64 <= allowed, "{count} requests in {WINDOW:?}, {allowed} are allowed");
}
