//! What callers get for requests that must not run, and what they may see.

use {
    crate::support::{Cluster, Login, Shape, assert_truthful},
    serde_json::{Value, json},
    wigeonramp_config::caller_api::{ErrorAnswer, QueryAnswer, QueryOutcome},
    wigeonramp_units::RequestId,
};

struct Case {
    body: String,
    login: Login,
    says: &'static str,
    status: u16,
}

fn case(body: &Value, status: u16, says: &'static str) -> Case {
    Case { body: body.to_string(), login: Login::FIRST, says, status }
}

fn cases() -> Vec<Case> {
    let good = json!({"collections": ["quotes"], "body": 1});
    let once = |extra: Value| {
        let mut body = json!({"collections": ["quotes"], "body": 1, "idempotent": false});
        body.as_object_mut()
            .expect("an object")
            .extend(extra.as_object().cloned().into_iter().flatten());
        body
    };
    let other = |login| Case { login, ..case(&good, 401, "caller not known") };
    vec![
        Case { body: "{".to_owned(), ..case(&good, 400, "body") },
        Case { body: format!("\"{}\"", "x".repeat(5000)), ..case(&good, 413, "4096") },
        case(&json!({"collections": [], "body": 1}), 400, "at least one"),
        case(&json!({"collections": ["quotes", "quotes"], "body": 1}), 400, "twice"),
        case(&json!({"collections": ["none"], "body": 1}), 404, "none does not exist"),
        case(&json!({"collections": ["quotes"], "body": 1, "shard": "s9"}), 404, "no shard s9"),
        case(&json!({"collections": ["quotes"], "body": 1, "surplus": 1}), 400, "surplus"),
        case(&once(json!({"request_id": "1-a"})), 400, "needs a shard"),
        case(&once(json!({"shard": "s0"})), 400, "needs a request_id"),
        case(&once(json!({"shard": "s0", "request_id": "abc"})), 400, "<unix ms>"),
        other(Login { caller: "c1", token: "t2" }),
        other(Login { caller: "c9", token: "t1" }),
        other(Login { caller: "c1", token: "" }),
    ]
}

/// Guards against requests that run although they were refused, and against refusals that do not
/// say what was expected.
#[test]
fn refused_requests_reach_no_leaf() {
    let cluster = Cluster::start(&Shape { hosts: 1, ..Shape::default() });
    for Case { body, login, says, status } in cases() {
        let answer = cluster.post(0, &login, body.clone());
        assert_eq!(answer.status.as_u16(), status, "{body}: {}", answer.text);
        let error: ErrorAnswer = serde_json::from_str(&answer.text).expect("a JSON error");
        assert!(error.error.contains(says), "{body}: {}", error.error);
    }
    let arrived: u64 = cluster.leaves.counters("").iter().map(|leaf| leaf.counters.arrived).sum();
    assert_eq!(arrived, 0);
}

/// Guards against rows of one member in answers to another, with the same question at the same
/// leaves at the same time.
#[test]
fn members_see_only_their_own_rows() {
    let cluster = Cluster::start(&Shape::default());
    cluster.warm_up();
    let body = json!("same question");
    let request = json!({"collections": ["quotes"], "body": body}).to_string();
    std::thread::scope(|scope| {
        for (login, member) in [(Login::FIRST, "m1"), (Login::SECOND, "m2")] {
            let (cluster, body, request) = (&cluster, &body, &request);
            scope.spawn(move || {
                for n in 0..20 {
                    let answer = cluster.post(n % 2, &login, request.clone());
                    let answer: QueryAnswer =
                        serde_json::from_str(&answer.text).expect("a query answer");
                    assert_truthful(&answer, member, body, 4);
                }
            });
        }
    });
}

/// Guards against a request that must not run twice being sent to a second replica.
#[test]
fn a_request_that_must_not_run_twice_runs_once() {
    let cluster = Cluster::start(&Shape::default());
    cluster.warm_up();
    let request = json!({"collections": ["quotes"], "body": "order", "idempotent": false,
        "shard": "s2", "request_id": "1-once"});
    let answer = cluster.post(1, &Login::FIRST, request.to_string());
    let answer: QueryAnswer = serde_json::from_str(&answer.text).expect("a query answer");
    assert_eq!(answer.outcome, QueryOutcome::Done);
    assert_truthful(&answer, "m1", &json!("order"), 1);
    let id: RequestId = "1-once".parse().expect("a request id");
    let leaves = cluster.leaves.counters("");
    let runs: u32 = leaves.iter().filter_map(|leaf| leaf.counters.runs.get(&id)).sum();
    assert_eq!(runs, 1);
}
