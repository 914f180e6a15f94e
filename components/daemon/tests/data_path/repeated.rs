//! Repetitions of requests that must not run twice, refused before their claim is decided: an
//! earlier sending may have run, so "not run" would be false.

use {
    crate::support::{Answer, Cluster, Login, PATIENCE, Shape},
    http_body_util::BodyExt,
    serde_json::{Value, json},
    std::{
        sync::{Arc, atomic::Ordering},
        thread,
        time::Instant,
    },
    wigeonramp_config::caller_api::{ErrorResponse, QUERY_PATH, QueryOutcome, QueryResponse},
    wigeonramp_daemon::{
        caller::handler::CallerApi,
        clock,
        http_server::{Handler, HttpRequest, ServerRefusal},
    },
    wigeonramp_units::{Fingerprint, Percent, Span},
};

const ID: &str = "1-order";

fn order(repeated: bool) -> Value {
    json!({"collections": ["quotes"], "body": "order", "idempotent": false, "shard": "s0",
        "request_id": ID, "repeated": repeated})
}

/// Checks what `post` gets for the first sending and for a repetition of an order.
fn assert_refusal(reason: &str, post: impl Fn(Value) -> Answer) {
    let first = post(order(false));
    let said = serde_json::from_str(&first.text).map_or_else(
        |_| {
            let answer: ErrorResponse = serde_json::from_str(&first.text).expect("a JSON error");
            answer.error
        },
        |answer: QueryResponse| match answer.outcome {
            QueryOutcome::RefusedNotRun { reason } => reason,
            other => panic!("{reason}: the first sending got {other:?}"),
        },
    );
    assert!(said.contains(reason), "{reason}: {said}");
    assert!(!said.contains("earlier submission"), "{said}");

    let again = post(order(true));
    let again: QueryResponse = serde_json::from_str(&again.text)
        .unwrap_or_else(|err| panic!("{reason}: {err}: {}", again.text));
    assert_eq!(again.request_id.as_str(), ID);
    let QueryOutcome::Unknown { reason: said } = again.outcome else {
        panic!("{reason}: the repetition got {:?}", again.outcome);
    };
    assert!(said.contains(reason), "{reason}: {said}");
    assert!(said.ends_with("; an earlier submission may have run"), "{said}");
}

fn small() -> Cluster {
    Cluster::start(&Shape { hosts: 1, ..Shape::default() })
}

fn arrived(cluster: &Cluster) -> u64 {
    cluster.leaves.statuses("").iter().map(|leaf| leaf.counters.arrived).sum()
}

/// Guards against "not run" from the checks before admission.
#[test]
fn a_rejected_repetition_may_have_run() {
    let cluster = small();
    let with = |login: Login, key: &'static str, value: Value| {
        let cluster = &cluster;
        move |mut body: Value| {
            body[key] = value.clone();
            cluster.post(0, &login, body.to_string())
        }
    };
    assert_refusal(
        "unknown caller",
        with(Login { caller: "c1", token: "t2" }, "shard", json!("s0")),
    );
    assert_refusal("none does not exist", with(Login::FIRST, "collections", json!(["none"])));
    assert_refusal("no shard s9", with(Login::FIRST, "shard", json!("s9")));
    assert_eq!(arrived(&cluster), 0);
}

/// Guards against "not run" from a host that has not adopted a configuration yet.
#[test]
fn a_repetition_at_a_host_without_configuration_may_have_run() {
    let mut cluster = small();
    let host = cluster.add_host_without_view();
    let post = |body: Value| cluster.post(host, &Login::FIRST, body.to_string());
    assert_refusal("no configuration adopted yet", post);
}

/// Guards against "not run" when all workers are taken.
#[test]
fn a_repetition_that_no_worker_takes_may_have_run() {
    let cluster = small();
    let host = &cluster.hosts[0];
    let api = CallerApi::new(Arc::clone(host.data.entry()), Arc::clone(&host.control));
    assert_refusal("all workers are busy", |body| {
        let request = HttpRequest {
            body: body.to_string().into(),
            client_gone: crossbeam::channel::never(),
            headers: http::HeaderMap::new(),
            method: http::Method::POST,
            uri: QUERY_PATH.parse().expect("a path"),
        };
        let response = api.refuse(ServerRefusal::Busy, Some(&request));
        let status = response.status().as_u16();
        let body = host.data.runtime().block_on(response.into_body().collect());
        let bytes = body.expect("the body is there").to_bytes();
        Answer {
            status: status.try_into().expect("a status"),
            text: String::from_utf8(bytes.to_vec()).expect("the answer is text"),
        }
    });
}

/// Guards against "not run" from the quarantine.
#[test]
fn a_repetition_in_quarantine_may_have_run() {
    let cluster = small();
    let suspects = cluster.hosts[0].data.suspects();
    let fingerprint = Fingerprint::of(b"m1\nc1\n\"order\"");
    for leaf in ["s0-a", "s0-b"] {
        suspects.record_reset(fingerprint, &leaf.parse().expect("a leaf id"), true, clock::now());
    }
    let post = |body: Value| cluster.post(0, &Login::FIRST, body.to_string());
    assert_refusal("quarantined", post);
    assert_eq!(arrived(&cluster), 0);
}

/// Guards against "not run" from admission: a deadline that cannot be met, and overload.
#[test]
fn a_repetition_that_is_not_admitted_may_have_run() {
    let shape =
        Shape { caller_workers: 2, hosts: 1, service: Span::millis(2_000), ..Shape::default() };
    let cluster = &Cluster::start(&shape);
    assert_refusal("deadline cannot be met", |mut body| {
        body["timeout_ms"] = json!(0);
        cluster.post(0, &Login::FIRST, body.to_string())
    });
    thread::scope(|scope| {
        (0..2).for_each(|n| drop(scope.spawn(move || cluster.ask(0, &json!(n)))));
        let begun = Instant::now();
        while cluster.hosts[0].data.entry().load() < Percent(100) {
            assert!(begun.elapsed() < PATIENCE, "the host never filled up");
        }
        assert_refusal("overload", |body| cluster.post(0, &Login::FIRST, body.to_string()));
    });
}

/// Guards against "not run" when the claim cannot be written.
#[test]
fn a_repetition_without_a_claim_may_have_run() {
    let cluster = small();
    cluster.hosts[0].control.claims_fail.store(true, Ordering::Release);
    let post = |body: Value| cluster.post(0, &Login::FIRST, body.to_string());
    assert_refusal("the claim could not be written", post);
    assert_eq!(arrived(&cluster), 0);
}

/// Guards against "unknown" where the claim shows that no sending ran: it was granted to this
/// sending, and no byte was sent.
#[test]
fn a_repetition_refused_under_its_own_claim_has_not_run() {
    let cluster = small();
    cluster.hosts[0].control.lost.store(true, Ordering::Release);
    let answer = cluster.post(0, &Login::FIRST, order(true).to_string());
    let answer: QueryResponse = serde_json::from_str(&answer.text).expect("a query answer");
    assert!(matches!(answer.outcome, QueryOutcome::RefusedNotRun { .. }), "{answer:?}");
    assert_eq!(arrived(&cluster), 0);
}
