//! Rejected requests, isolation of members, non-idempotent requests and disconnected callers.

use {
    crate::support::{Cluster, ClusterOptions, Login, TIMEOUT, assert_consistent},
    serde_json::{Value, json},
    std::{
        io::Write,
        net::{Shutdown, TcpStream},
        time::Instant,
    },
    wigeonramp_config::caller_api::{ErrorResponse, QUERY_PATH, QueryOutcome, QueryResponse},
    wigeonramp_standin::leaves::LeafCounters,
    wigeonramp_units::{RequestId, Span},
};

/// A request that is rejected with `status` and an error that contains `error`.
struct Case {
    body: String,
    error: &'static str,
    login: Login,
    status: u16,
}

fn case(body: &Value, status: u16, error: &'static str) -> Case {
    Case { body: body.to_string(), error, login: Login::FIRST, status }
}

fn cases() -> Vec<Case> {
    let valid = json!({"collections": ["quotes"], "body": 1});
    let non_idempotent = |extra: Value| {
        let mut body = json!({"collections": ["quotes"], "body": 1, "idempotent": false});
        body.as_object_mut()
            .expect("an object")
            .extend(extra.as_object().cloned().into_iter().flatten());
        body
    };
    let wrong_login = |login| Case { login, ..case(&valid, 401, "unknown caller") };
    vec![
        Case { body: "{".to_owned(), ..case(&valid, 400, "body") },
        Case { body: format!("\"{}\"", "x".repeat(5000)), ..case(&valid, 413, "4096") },
        case(&json!({"collections": [], "body": 1}), 400, "at least one"),
        case(&json!({"collections": ["quotes", "quotes"], "body": 1}), 400, "twice"),
        case(&json!({"collections": ["none"], "body": 1}), 404, "none does not exist"),
        case(&json!({"collections": ["quotes"], "body": 1, "shard": "s9"}), 404, "no shard s9"),
        case(&json!({"collections": ["quotes"], "body": 1, "surplus": 1}), 400, "surplus"),
        case(&non_idempotent(json!({"request_id": "1-a"})), 400, "needs a shard"),
        case(&non_idempotent(json!({"shard": "s0"})), 400, "needs a request_id"),
        case(&non_idempotent(json!({"shard": "s0", "request_id": "abc"})), 400, "<unix ms>"),
        wrong_login(Login { caller: "c1", token: "t2" }),
        wrong_login(Login { caller: "c9", token: "t1" }),
        wrong_login(Login { caller: "c1", token: "" }),
    ]
}

/// Guards against rejected requests that are sent to a leaf, and against errors that do not say
/// what was expected.
#[test]
fn refused_requests_reach_no_leaf() {
    let cluster = Cluster::start(&ClusterOptions { hosts: 1, ..ClusterOptions::default() });
    for Case { body, error, login, status } in cases() {
        let reply = cluster.post(0, &login, body.clone());
        assert_eq!(reply.status.as_u16(), status, "{body}: {}", reply.text);
        let response: ErrorResponse = serde_json::from_str(&reply.text).expect("a JSON error");
        assert!(response.error.contains(error), "{body}: {}", response.error);
    }
    let arrived: u64 = cluster.leaves.statuses("").iter().map(|leaf| leaf.counters.arrived).sum();
    assert_eq!(arrived, 0);
}

/// Guards against rows of one member in responses to another when both send the same query to the
/// same leaves at the same time.
#[test]
fn members_see_only_their_own_rows() {
    let cluster = Cluster::start(&ClusterOptions::default());
    cluster.warm_up();
    let body = json!("same query");
    let request = json!({"collections": ["quotes"], "body": body}).to_string();
    std::thread::scope(|scope| {
        for (login, member) in [(Login::FIRST, "m1"), (Login::SECOND, "m2")] {
            let (cluster, body, request) = (&cluster, &body, &request);
            scope.spawn(move || {
                for n in 0..20 {
                    let reply = cluster.post(n % 2, &login, request.clone());
                    let response: QueryResponse =
                        serde_json::from_str(&reply.text).expect("a query response");
                    assert_consistent(&response, member, body, 4);
                }
            });
        }
    });
}

/// Guards against a non-idempotent request that is sent to a second replica.
#[test]
fn a_non_idempotent_request_runs_once() {
    let cluster = Cluster::start(&ClusterOptions::default());
    cluster.warm_up();
    let request = json!({"collections": ["quotes"], "body": "order", "idempotent": false,
        "shard": "s2", "request_id": "1-once"});
    let reply = cluster.post(1, &Login::FIRST, request.to_string());
    let response: QueryResponse = serde_json::from_str(&reply.text).expect("a query response");
    assert_eq!(response.outcome, QueryOutcome::Done);
    assert_consistent(&response, "m1", &json!("order"), 1);
    let id: RequestId = "1-once".parse().expect("a request id");
    let leaves = cluster.leaves.statuses("");
    let runs: u32 = leaves.iter().filter_map(|leaf| leaf.counters.runs.get(&id)).sum();
    assert_eq!(runs, 1);
}

/// Sends a request and returns its connection without reading the response.
fn send(cluster: &Cluster, body: &Value) -> TcpStream {
    let address = cluster.hosts[0].data.addresses().caller;
    let mut stream = TcpStream::connect(address).expect("the host accepts");
    let (body, Login { caller, token }) = (body.to_string(), Login::FIRST);
    let head = format!(
        "POST {QUERY_PATH} HTTP/1.1\r\nhost: h\r\nx-caller: {caller}\r\n\
         authorization: Bearer {token}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).expect("the host reads");
    stream
}

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < TIMEOUT, "{what}");
    }
}

/// Guards against leaves that keep working for a disconnected caller, with holders on the entry
/// host and on another, and against a non-idempotent request that is cancelled without an outcome.
#[test]
fn a_query_whose_caller_disconnects_is_cancelled_if_idempotent() {
    let cluster = Cluster::start(&ClusterOptions {
        service: Span::millis(2_000),
        ..ClusterOptions::default()
    });
    let sum = |counter: fn(&LeafCounters) -> u64| -> u64 {
        cluster.leaves.statuses("").iter().map(|leaf| counter(&leaf.counters)).sum()
    };
    // A leaf that is not warm yet has no connection for cancellations, so the connection of the
    // attempt is closed instead, which the leaf counts as abandoned.
    let ended = || sum(|leaf| leaf.cancelled + leaf.abandoned);
    for how in [Shutdown::Both, Shutdown::Write] {
        cluster.leaves.reset_counters();
        let stream = send(&cluster, &json!({"collections": ["quotes"], "body": "search"}));
        wait_for("every shard is queried", || sum(|leaf| leaf.arrived) >= 4);
        stream.shutdown(how).expect("the connection is open");
        wait_for("all attempts are ended", || ended() >= 4 && sum(|leaf| leaf.in_flight) == 0);
        assert_eq!(ended(), sum(|leaf| leaf.arrived), "{how:?}");
        assert_eq!(sum(|leaf| leaf.answered), 0, "{how:?}");
        wait_for("the worker is free", || cluster.hosts[0].data.in_flight() == 0);
    }

    cluster.leaves.reset_counters();
    let order = json!({"collections": ["quotes"], "body": "order", "idempotent": false,
        "shard": "s2", "request_id": "1-order"});
    let stream = send(&cluster, &order);
    wait_for("the order arrives", || sum(|leaf| leaf.arrived) == 1);
    drop(stream);
    wait_for("the order runs", || sum(|leaf| leaf.answered) == 1);
    assert_eq!(ended(), 0);
}
