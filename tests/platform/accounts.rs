//! API keys and accounts, as real hosts treat them.

use {
    crate::support::Fixture,
    serde_json::json,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::{
        caller::{Caller, CallerRequest, CallerResponse},
        store::StoreFault,
    },
};

const TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a version of the configuration must be in force.
const APPLY_TIME: Duration = Duration::from_secs(5);

/// Sends a request over a connection that is kept.
fn send(caller: &mut Caller, path: &str, id: &str) -> CallerResponse {
    let method = if path.starts_with("/write/") { "POST" } else { "GET" };
    let path = format!("{path}{id}");
    let req = CallerRequest { method, host: "h.example", path: &path, id, wait: TIMEOUT };
    caller.send(&req).expect("a response")
}

/// Sends a request with these header lines over a new connection; returns its status.
fn status(address: SocketAddr, lines: &str, path: &str, id: &str) -> u16 {
    let mut caller = Caller::connect(address).expect("a connection");
    caller.set_lines(lines);
    send(&mut caller, path, id).status
}

/// Sends requests until one has the status `expected`.
fn wait_for_status(address: SocketAddr, lines: &str, expected: u16) {
    let deadline = Instant::now() + APPLY_TIME;
    let mut n = 0;
    while status(address, lines, "/read/", &format!("wait-{expected}-{n}")) != expected {
        assert!(Instant::now() < deadline, "the accounts must be in force within {APPLY_TIME:?}");
        thread::sleep(Duration::from_millis(20));
        n += 1;
    }
}

/// Sends a request whose body is chunked, with a key and an account in its trailers; returns the
/// start of the response.
fn send_with_trailers(address: SocketAddr) -> String {
    let mut sock = TcpStream::connect(address).expect("a connection");
    sock.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    let raw = "POST /write/trailers HTTP/1.1\r\nHost: h.example\r\nRequest-Id: trailers\r\n\
               X-Api-Key: secret-a\r\nTrailer: Tenant, X-Api-Key\r\nTransfer-Encoding: chunked\r\n\r\n\
               2\r\nhi\r\n0\r\nTenant: evil\r\nX-Api-Key: secret-c\r\n\r\n";
    sock.write_all(raw.as_bytes()).expect("a request");
    let mut start = [0; 12];
    sock.read_exact(&mut start).expect("a response");
    String::from_utf8_lossy(&start).into_owned()
}

/// Guards against a key that reaches a leaf or a log, against a caller that runs requests under the
/// name of another account, and against requests that run without a key.
#[test]
fn leaves_get_the_account_and_never_the_key() {
    let fixture = Fixture::start_fleet(2);
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    fixture.set_accounts(json!([
        { "name": "first", "api_keys": ["secret-a", "secret-b"] },
        { "name": "second", "api_keys": ["secret-c"], "priority": 0 },
        { "name": "bad", "api_keys": ["secret-d"], "burst": "secret-e" },
    ]));
    for address in fixture.caller_addresses() {
        wait_for_status(address, "", 401);
    }
    let evil = "Tenant: second\r\ntenant: evil\r\n";
    let cases = [
        ("X-Api-Key: secret-a\r\n", "/read/", 200, Some("first")),
        ("x-api-key: secret-b\r\n", "/write/", 200, Some("first")),
        ("X-API-KEY: secret-c\r\nTenant: first\r\n", "/read/", 200, Some("second")),
        ("X-Api-Key: secret-a\r\nX-Api-Key: secret-a\r\n", "/read/", 401, None),
        ("X-Api-Key: secret-d\r\n", "/read/", 401, None),
        ("X-Api-Key: secret-A\r\n", "/read/", 401, None),
        ("X-Api-Key: \r\n", "/read/", 401, None),
        (evil, "/read/", 401, None),
        ("X-Api-Key: secret-a\r\nTenant: evil\r\n", "/open/", 200, None),
        (evil, "/open/", 200, None),
    ];
    for (host, address) in fixture.caller_addresses().into_iter().enumerate() {
        for (n, (lines, path, expected, account)) in cases.iter().enumerate() {
            let id = format!("case-{host}-{n}");
            assert_eq!(status(address, lines, path, &id), *expected, "{lines} {path}");
            if *expected == 200 {
                let run = fixture.run_of(&id);
                assert_eq!(
                    run.header_values("Tenant"),
                    account.iter().copied().collect::<Vec<_>>()
                );
            } else {
                assert_eq!(fixture.runs_of(&id), 0);
            }
        }
    }
    assert_eq!(send_with_trailers(fixture.caller_address()), "HTTP/1.1 200");
    assert_eq!(fixture.run_of("trailers").header_values("Tenant"), ["first"]);
    let seen: Vec<_> = fixture.runs().into_iter().map(|run| run.headers).collect();
    assert!(!format!("{seen:?}").to_ascii_lowercase().contains("secret"), "{seen:?}");
    assert!(!format!("{seen:?}").contains("evil"), "{seen:?}");
    let log = fixture.log_text();
    assert!(!log.to_ascii_lowercase().contains("secret"));
    assert!(log.contains("accounts_ignored"));
}

/// Guards against a removed key that is still taken on a connection that was open before, and
/// against a key that moved and still stands for its former account.
#[test]
fn removed_keys_are_refused_on_kept_connections() {
    let fixture = Fixture::start_fleet(2);
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    fixture.set_accounts(json!([{ "name": "first", "api_keys": ["removed", "moved"] }]));
    let mut callers = Vec::new();
    for address in fixture.caller_addresses() {
        wait_for_status(address, "X-Api-Key: moved\r\n", 200);
        wait_for_status(address, "", 401);
        for key in ["removed", "moved"] {
            let mut caller = Caller::connect(address).expect("a connection");
            caller.set_key(key);
            assert_eq!(send(&mut caller, "/read/", &format!("before-{key}")).status, 200);
            callers.push((key, caller));
        }
    }
    fixture.set_accounts(json!([{ "name": "second", "api_keys": ["moved"] }]));
    thread::sleep(APPLY_TIME);
    for (n, (key, caller)) in callers.iter_mut().enumerate() {
        let id = format!("after-{n}");
        let response = send(caller, "/read/", &id);
        match *key {
            "removed" => assert_eq!((response.status, fixture.runs_of(&id)), (401, 0)),
            _ => assert_eq!(fixture.run_of(&id).header_values("Tenant"), ["second"]),
        }
    }
}

/// Guards against a host that denies a key, which may have been added since, although its news of
/// the store is out of date; and against one that accepts keys then although it must not.
#[test]
fn hosts_with_old_news_neither_deny_keys_nor_accept_revocable_ones() {
    let mut fixture = Fixture::start_fleet(1);
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    fixture.set_accounts(json!([{ "name": "first", "api_keys": ["known"] }]));
    let address = fixture.caller_address();
    wait_for_status(address, "", 401);
    let statuses = |id: &str| {
        let known = status(address, "X-Api-Key: known\r\n", "/read/", id);
        let unknown = status(address, "X-Api-Key: new\r\n", "/read/", id);
        [known, unknown, status(address, "", "/open/", id)]
    };
    assert_eq!(statuses("current"), [200, 401, 200]);
    fixture.store.set_fault(StoreFault::Silent);
    thread::sleep(Duration::from_secs(3));
    assert_eq!(statuses("old"), [200, 503, 200]);
    fixture.add_bound("strict_revocation = true\nrevoke_ms = 2000");
    thread::sleep(Duration::from_millis(500));
    assert_eq!(statuses("strict"), [503, 503, 200]);
    fixture.store.set_fault(StoreFault::None);
    wait_for_status(address, "X-Api-Key: known\r\n", 200);
}
