//! Guards against a lost response that is reported as a failure, and against a hint to resubmit a
//! non-idempotent request under another id.

use {
    crate::support::{Canned, Closed, Host, Scratch},
    insta::assert_snapshot,
    serde_json::json,
};

const QUERY: [&str; 6] = [
    "query",
    "--collection=quote-desk",
    "--body={\"part\":7}",
    "--caller=brazos-quotes",
    "--token=demo",
    "--request-id=1-a",
];

fn query_response(outcome: serde_json::Value, done: bool) -> Canned {
    let collections = json!([{
        "collection": "quote-desk", "snapshot": 41, "map_version": 1,
        "coverage": {
            "covered": 1, "total": 2,
            "missing": [{ "shard": "quote-desk/01", "reason": "deadline" }],
        },
        "parts": [{ "shard": "quote-desk/00", "rows": 3, "payload": "[1,2,3]" }],
    }]);
    let collections = if done { collections } else { json!([]) };
    let body = json!({ "request_id": "1-a", "outcome": outcome, "collections": collections });
    Canned::Response(if done { 200 } else { 503 }, body.to_string())
}

#[test]
fn each_outcome_has_its_text_and_exit_code() {
    let scratch = Scratch::new();
    let canned = [
        query_response(json!({ "kind": "done" }), true),
        query_response(json!({ "kind": "refused_not_run", "reason": "overload" }), false),
        query_response(json!({ "kind": "unknown", "reason": "the leaf gave no answer" }), false),
        Canned::Response(401, r#"{"error":"unknown token"}"#.to_owned()),
        Canned::Disconnect,
    ];
    let mut table = String::new();
    for canned in canned {
        let host = Host::start(|_| vec![("/v1/query", canned)]);
        let entry = format!("--entry={}", host.address);
        let args = [&QUERY[..], &[&entry, "--non-idempotent", "--shard=quote-desk/00"]].concat();
        table.push_str(&scratch.run(&args, &[host.address]));
        assert_eq!(host.requests().len(), 1);
    }
    assert_snapshot!(table);
}

/// Guards against "not run" for a resubmission whose first submission may have run.
#[test]
fn a_refused_resubmission_is_not_known_yet() {
    let scratch = Scratch::new();
    let unknown = "overload; an earlier submission may have run";
    let canned = [
        query_response(json!({ "kind": "unknown", "reason": unknown }), false),
        Canned::Response(413, r#"{"error":"body is longer than 9 bytes"}"#.to_owned()),
    ];
    let resubmit = ["--non-idempotent", "--repeated", "--shard=quote-desk/00"];
    let mut table = String::new();
    for canned in canned {
        let host = Host::start(|_| vec![("/v1/query", canned)]);
        let entry = format!("--entry={}", host.address);
        let args = [&QUERY[..], &[&entry], &resubmit].concat();
        table.push_str(&scratch.run(&args, &[host.address]));
        assert!(host.requests()[0].contains("\"repeated\":true"), "{:?}", host.requests());
    }
    let closed = Closed::new();
    let entry = format!("--entry={}", closed.address);
    table.push_str(&scratch.run(&[&QUERY[..], &[&entry], &resubmit].concat(), &[closed.address]));
    let host = format!("--host={}", closed.address);
    table.push_str(&scratch.run(&[&QUERY[..], &[&host], &resubmit].concat(), &[closed.address]));
    assert_snapshot!(table);
}

#[test]
fn the_entry_host_is_found_through_any_host() {
    let scratch = Scratch::new();
    let host = Host::start(|at| {
        let host_status = json!({
            "instance": "gulf-00@b1", "zone": "gulf-a", "caller_address": at,
            "operator_address": at, "listed": true, "leaving": false, "config_version": 1,
        });
        let status = json!({
            "host": "gulf-00", "boot": "b1", "zone": "gulf-a", "state": "serving",
            "config_version": 1, "config_op": "op-1", "config_digest": null,
            "assignment_version": null, "session_ms": null, "store_contact_ms": null,
            "hosts": [host_status], "leaves": [],
        });
        let entry = json!({ "addresses": [at], "lifetime_ms": 5000 });
        vec![
            ("/v1/status", Canned::Response(200, status.to_string())),
            ("/v1/entry", Canned::Response(200, entry.to_string())),
            ("/v1/query", query_response(json!({ "kind": "done" }), true)),
        ]
    });
    let at = format!("--host={}", host.address);
    let output = scratch.run(&[&QUERY[..], &[&at, "--format=json"]].concat(), &[host.address]);
    assert_snapshot!(output);
    assert_snapshot!("requests", host.requests().join("\n"));
}
