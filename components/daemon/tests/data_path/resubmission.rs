//! Resubmissions of non-idempotent requests that are refused before their claim is decided. An
//! earlier submission may have run, so the outcome must be `unknown` and not `refused_not_run`.

use {
    crate::support::{Cluster, ClusterOptions, HttpReply, Login, TIMEOUT},
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

/// Checks that the first submission of an order is refused with `reason`, and that the outcome of a
/// resubmission is unknown with the same reason.
fn assert_refusal(reason: &str, post: impl Fn(Value) -> HttpReply) {
    let first = post(order(false));
    let error = serde_json::from_str(&first.text).map_or_else(
        |_| {
            let response: ErrorResponse = serde_json::from_str(&first.text).expect("a JSON error");
            response.error
        },
        |response: QueryResponse| match response.outcome {
            QueryOutcome::RefusedNotRun { reason } => reason,
            other => panic!("{reason}: the first submission got {other:?}"),
        },
    );
    assert!(error.contains(reason), "{reason}: {error}");
    assert!(!error.contains("earlier submission"), "{error}");

    let second = post(order(true));
    let second: QueryResponse = serde_json::from_str(&second.text)
        .unwrap_or_else(|err| panic!("{reason}: {err}: {}", second.text));
    assert_eq!(second.request_id.as_str(), ID);
    let QueryOutcome::Unknown { reason: error } = second.outcome else {
        panic!("{reason}: the resubmission got {:?}", second.outcome);
    };
    assert!(error.contains(reason), "{reason}: {error}");
    assert!(error.ends_with("; an earlier submission may have run"), "{error}");
}

fn single_host() -> Cluster {
    Cluster::start(&ClusterOptions { hosts: 1, ..ClusterOptions::default() })
}

fn requests_at_leaves(cluster: &Cluster) -> u64 {
    cluster.leaves.statuses("").iter().map(|leaf| leaf.counters.arrived).sum()
}

/// Guards against the outcome `refused_not_run` for a resubmission that fails validation.
#[test]
fn a_rejected_resubmission_may_have_run() {
    let cluster = single_host();
    let post_with = |login: Login, key: &'static str, value: Value| {
        let cluster = &cluster;
        move |mut body: Value| {
            body[key] = value.clone();
            cluster.post(0, &login, body.to_string())
        }
    };
    assert_refusal(
        "unknown caller",
        post_with(Login { caller: "c1", token: "t2" }, "shard", json!("s0")),
    );
    assert_refusal("none does not exist", post_with(Login::FIRST, "collections", json!(["none"])));
    assert_refusal("no shard s9", post_with(Login::FIRST, "shard", json!("s9")));
    assert_eq!(requests_at_leaves(&cluster), 0);
}

/// Guards against `refused_not_run` from a host that has not adopted a configuration yet.
#[test]
fn a_resubmission_at_a_host_without_configuration_may_have_run() {
    let mut cluster = single_host();
    let host = cluster.add_host_without_view();
    let post = |body: Value| cluster.post(host, &Login::FIRST, body.to_string());
    assert_refusal("no configuration adopted yet", post);
}

/// Guards against `refused_not_run` when all workers are busy.
#[test]
fn a_resubmission_that_no_worker_takes_may_have_run() {
    let cluster = single_host();
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
        let bytes = body.expect("the body is complete").to_bytes();
        HttpReply {
            status: status.try_into().expect("a status"),
            text: String::from_utf8(bytes.to_vec()).expect("the response is text"),
        }
    });
}

/// Guards against `refused_not_run` for a quarantined request.
#[test]
fn a_resubmission_in_quarantine_may_have_run() {
    let cluster = single_host();
    let suspects = cluster.hosts[0].data.suspects();
    let fingerprint = Fingerprint::of(b"m1\nc1\n\"order\"");
    for leaf in ["s0-a", "s0-b"] {
        suspects.record_reset(fingerprint, &leaf.parse().expect("a leaf id"), true, clock::now());
    }
    let post = |body: Value| cluster.post(0, &Login::FIRST, body.to_string());
    assert_refusal("quarantined", post);
    assert_eq!(requests_at_leaves(&cluster), 0);
}

/// Guards against `refused_not_run` from admission control, for a deadline that cannot be met and
/// for overload.
#[test]
fn a_resubmission_that_is_not_admitted_may_have_run() {
    let options = ClusterOptions {
        caller_workers: 2,
        hosts: 1,
        service: Span::millis(2_000),
        ..ClusterOptions::default()
    };
    let cluster = &Cluster::start(&options);
    assert_refusal("deadline cannot be met", |mut body| {
        body["timeout_ms"] = json!(0);
        cluster.post(0, &Login::FIRST, body.to_string())
    });
    thread::scope(|scope| {
        (0..2).for_each(|n| drop(scope.spawn(move || cluster.query(0, &json!(n)))));
        let begun = Instant::now();
        while cluster.hosts[0].data.entry().load() < Percent(100) {
            assert!(begun.elapsed() < TIMEOUT, "the host did not reach its query limit");
        }
        assert_refusal("overload", |body| cluster.post(0, &Login::FIRST, body.to_string()));
    });
}

/// Guards against `refused_not_run` when the claim cannot be written.
#[test]
fn a_resubmission_without_a_claim_may_have_run() {
    let cluster = single_host();
    cluster.hosts[0].control.claims_fail.store(true, Ordering::Release);
    let post = |body: Value| cluster.post(0, &Login::FIRST, body.to_string());
    assert_refusal("the claim could not be written", post);
    assert_eq!(requests_at_leaves(&cluster), 0);
}

/// Guards against an unknown outcome although no submission ran: the claim was granted to this one,
/// and no byte was sent to a leaf.
#[test]
fn a_resubmission_refused_under_its_own_claim_has_not_run() {
    let cluster = single_host();
    cluster.hosts[0].control.rights_lost.store(true, Ordering::Release);
    let reply = cluster.post(0, &Login::FIRST, order(true).to_string());
    let response: QueryResponse = serde_json::from_str(&reply.text).expect("a query response");
    assert!(matches!(response.outcome, QueryOutcome::RefusedNotRun { .. }), "{response:?}");
    assert_eq!(requests_at_leaves(&cluster), 0);
}
