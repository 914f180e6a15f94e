//! Quotas of accounts, as real hosts keep them together.

use {
    crate::support::Fixture,
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::{
        caller::{Caller, CallerRequest, CallerResponse},
        leaf::Run,
    },
};

const TIMEOUT: Duration = Duration::from_secs(2);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(5);
const RATE: f64 = 10.0;
const BURST: f64 = 10.0;

fn send(address: SocketAddr, key: &str, id: &str) -> Option<CallerResponse> {
    let mut caller = Caller::connect(address).ok()?;
    caller.set_key(key);
    let path = format!("/read/{id}");
    let req = CallerRequest { method: "GET", host: "h.example", path: &path, id, wait: TIMEOUT };
    caller.send(&req).ok()
}

/// Sends requests with `key` to each host, one every `pause`, until `stopped`; returns the
/// statuses, and the times after which callers may come back.
fn send_until(
    hosts: &[SocketAddr],
    key: &str,
    pause: Duration,
    stopped: &AtomicBool,
) -> Vec<(u16, Option<f64>)> {
    let mut all = Vec::new();
    thread::scope(|scope| {
        let sending = |(number, host): (usize, &SocketAddr)| {
            let host = *host;
            scope.spawn(move || {
                let mut seen = Vec::new();
                while !stopped.load(Ordering::SeqCst) {
                    let id = format!("{key}-{number}-{}", seen.len());
                    let response = send(host, key, &id);
                    seen.push(response.map_or((0, None), |r| (r.status, r.retry_after)));
                    thread::sleep(pause);
                }
                seen
            })
        };
        let threads: Vec<_> = hosts.iter().enumerate().map(sending).collect();
        for thread in threads {
            all.extend(thread.join().expect("a caller"));
        }
    });
    all
}

/// Returns the runs of the account, and the highest number of them in a window.
fn runs_of(fixture: &Fixture, account: &str) -> (usize, usize) {
    let is_of = |run: &&Run| run.header_values("Tenant") == [account];
    let times: Vec<Instant> = fixture.runs().iter().filter(is_of).map(|run| run.at).collect();
    let in_window =
        |start: &Instant| times.iter().filter(|at| (*start..=*start + WINDOW).contains(at)).count();
    (times.len(), times.iter().map(in_window).max().unwrap_or(0))
}

/// Guards against hosts that together exceed a quota, also while one of them is killed and comes
/// back, and against an account that is refused because another one is at its quota.
#[test]
fn hosts_together_keep_the_quota_of_an_account() {
    let mut fixture = Fixture::start_fleet(4);
    fixture.add_leaf("one", Duration::from_millis(2));
    fixture.wait_until_serving();
    fixture.set_accounts(json!([
        { "name": "hot", "api_keys": ["hot"], "rate_per_s": RATE, "burst": BURST },
        { "name": "calm", "api_keys": ["calm"], "rate_per_s": RATE, "burst": BURST },
    ]));
    thread::sleep(Duration::from_secs(6));
    let (hosts, stopped) = (fixture.caller_addresses(), AtomicBool::new(false));
    let (hot, calm) = thread::scope(|scope| {
        let hot = scope.spawn(|| send_until(&hosts, "hot", Duration::from_millis(50), &stopped));
        let calm =
            scope.spawn(|| send_until(&hosts[1..], "calm", Duration::from_millis(700), &stopped));
        thread::sleep(Duration::from_secs(5));
        fixture.restart(0);
        thread::sleep(Duration::from_secs(7));
        stopped.store(true, Ordering::SeqCst);
        (hot.join().expect("a caller"), calm.join().expect("a caller"))
    });
    let (total, busiest) = runs_of(&fixture, "hot");
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * 1.1 + 20.0;
    assert!(busiest as f64 <= allowed, "{busiest} requests in {WINDOW:?}, {allowed} are allowed");
    assert!(total as f64 >= 0.7 * RATE * 12.0, "{total} requests in 12 s, one host killed");
    let refused: Vec<_> = hot.iter().filter(|(status, _)| *status == 429).collect();
    assert!(!refused.is_empty() && refused.iter().all(|(_, time)| time.is_some()), "{hot:?}");
    let calm_refused = calm.iter().filter(|(status, _)| *status == 429).count();
    assert!(calm_refused <= 2, "{calm_refused} of {} refused within the quota", calm.len());
    let log = fixture.log_text();
    assert!(log.contains("\"event\":\"quota\"") && log.contains("\"state\":\"exceeded\""));
}

/// Guards against requests within a quota that are refused, or that wait for longer than hosts need
/// to respond to each other, and against a burst that is refused.
#[test]
fn requests_within_the_quota_are_served() {
    let fixture = Fixture::start_fleet(3);
    fixture.add_leaf("one", Duration::from_millis(2));
    fixture.wait_until_serving();
    fixture.set_accounts(json!([
        { "name": "large", "api_keys": ["large"], "rate_per_s": 20, "burst": 20 },
        { "name": "small", "api_keys": ["small"], "rate_per_s": 0.5, "burst": 1 },
        { "name": "free", "api_keys": ["free"] },
    ]));
    thread::sleep(Duration::from_secs(7));
    let (hosts, stopped) = (fixture.caller_addresses(), AtomicBool::new(false));
    let statuses = thread::scope(|scope| {
        let keys = [("large", 260), ("free", 20)];
        let threads = keys.map(|(key, pause)| {
            let (hosts, stopped) = (&hosts, &stopped);
            scope.spawn(move || send_until(hosts, key, Duration::from_millis(pause), stopped))
        });
        for (n, host) in hosts.iter().enumerate() {
            let status = send(*host, "small", &format!("small-{n}")).map(|r| r.status);
            assert_eq!(status, Some(200), "one request in 2.2 s");
            thread::sleep(Duration::from_millis(2_200));
        }
        stopped.store(true, Ordering::SeqCst);
        threads.map(|thread| thread.join().expect("a caller"))
    });
    for seen in statuses {
        assert!(seen.iter().all(|(status, _)| *status == 200), "{seen:?}");
    }
    let burst: Vec<Option<u16>> = (0..15)
        .map(|n| send(hosts[n % 3], "large", &format!("burst-{n}")).map(|r| r.status))
        .collect();
    assert_eq!(burst, [Some(200); 15]);
}
