//! Guards against operator commands that misreport a host's response, above all whether a plan is
//! in force, and against exit codes that hide an unknown outcome.

use {
    crate::support::{Canned, Closed, Host, Scratch},
    insta::assert_snapshot,
    serde_json::{Value, json, to_string},
    std::{fs, net::SocketAddr, path::Path},
    wigeonramp_config::{
        Deployment, Document,
        api::{ConfirmResponse, Intent, PlanCost, PlanResponse},
        diff,
    },
};

const GULF: &str = include_str!("../../deployments/gulf.toml");

fn gulf() -> Document {
    Deployment::parse(Path::new("gulf.toml"), GULF).unwrap().expand()
}

fn plan() -> PlanResponse {
    let base = gulf();
    let intent = Intent::ZoneOut { zone: "gulf-a".parse().unwrap() };
    let target = base.apply(&intent, "op-1".parse().unwrap()).unwrap();
    PlanResponse {
        id: "op-1".parse().unwrap(),
        base_version: base.version,
        base_digest: base.digest(),
        changes: diff(&base, &target),
        cost: PlanCost {
            leaves_moved: 43,
            leaves_cold: 0,
            capacity_before: base.capacity(),
            capacity_after: target.capacity(),
            at_risk: target.coverage_risks(),
        },
        target,
        allow_coverage_loss: false,
    }
}

fn ok_response(body: &impl serde::Serialize) -> Canned {
    Canned::Response(200, to_string(body).unwrap())
}

fn status(address: SocketAddr, others: &[SocketAddr], version: u64, op: &str) -> Value {
    let host = |i: usize, address: &SocketAddr| {
        json!({
            "instance": format!("gulf-0{i}@b1"), "zone": "gulf-a", "caller_address": address,
            "operator_address": address, "listed": true, "leaving": i > 0,
            "config_version": version.saturating_sub(i as u64),
        })
    };
    let hosts: Vec<_> =
        [&[address], others].concat().iter().enumerate().map(|(i, a)| host(i, a)).collect();
    json!({
        "host": "gulf-00", "boot": "b1", "zone": "gulf-a", "state": "serving",
        "config_version": version, "config_op": op, "config_digest": "00000000000000aa",
        "assignment_version": 7, "session_ms": 3100, "store_contact_ms": 12, "hosts": hosts,
        "leaves": [{
            "leaf": "quote-desk/07/a", "state": "ramping", "epoch": 3, "in_flight": 1,
            "queued": 0, "allowance": 1,
        }],
    })
}

#[test]
fn a_plan_is_printed_with_its_cost_and_kept_in_a_file() {
    let scratch = Scratch::new();
    scratch.file("gulf.toml", GULF);
    let host = Host::start(|_| vec![("/v1/plan", ok_response(&plan()))]);
    let at = format!("--host={}", host.address);
    let runs: [&[&str]; 4] = [
        &["zone", "out", &at, "gulf-a"],
        &["zone", "out", &at, "gulf-a"],
        &["upstream", "in", &at, "--out=leaf.json", "quote-desk/07/a"],
        &["plan", &at, "--out=gulf.json", "gulf.toml"],
    ];
    assert_snapshot!(runs.map(|args| scratch.run(args, &[host.address])).concat());
    for file in ["plan-op-1.json", "leaf.json", "gulf.json"] {
        let kept = fs::read_to_string(scratch.0.join(file)).unwrap();
        assert_eq!(serde_json::from_str::<PlanResponse>(&kept).unwrap(), plan(), "{file}");
    }
    let allow = "--allow-coverage-loss";
    scratch.run(&["zone", "out", &at, allow, "--out=loss.json", "gulf-a"], &[host.address]);
    let requests = host.requests();
    let body = |allowed: bool| {
        let intent = r#"{"kind":"zone_out","zone":"gulf-a"}"#;
        format!(r#"POST /v1/plan {{"intent":{intent},"allow_coverage_loss":{allowed}}}"#)
    };
    assert_eq!(requests[0], body(false));
    assert!(requests[3].contains(r#""kind":"declare""#));
    assert_eq!(requests[4], body(true));
}

#[test]
fn refused_and_empty_plans_write_no_file() {
    let scratch = Scratch::new();
    let refusal = Canned::Response(409, r#"{"error":"zones.gulf-x: no such zone"}"#.to_owned());
    let refusing_host = Host::start(|_| vec![("/v1/plan", refusal)]);
    let empty = PlanResponse { changes: vec![], ..plan() };
    let unchanged_host = Host::start(|_| vec![("/v1/plan", ok_response(&empty))]);
    let hosts = [refusing_host.address, unchanged_host.address];
    let runs = hosts.map(|address| {
        scratch.run(&["zone", "out", &format!("--host={address}"), "gulf-x"], &hosts)
    });
    assert_snapshot!(runs.concat());
    assert_eq!(fs::read_dir(&scratch.0).unwrap().count(), 0);
}

#[test]
fn confirm_reports_each_of_the_three_results() {
    let scratch = Scratch::new();
    scratch.file("plan.json", &to_string(&plan()).unwrap());
    let version = gulf().version.next();
    let id = |id: &str| id.parse().unwrap();
    let in_force = ConfirmResponse::InForce {
        version,
        hosts: vec![id("gulf-00"), id("gulf-01")],
        pending: vec![id("gulf-02")],
    };
    let refused = ConfirmResponse::Refused {
        reason: "the plan was made for version 0".to_owned(),
        current: Some(version.next()),
    };
    let unknown = ConfirmResponse::NotKnownYet {
        reason: "the store does not answer".to_owned(),
        command: "wigeonramp status --plan plan-op-1.json".to_owned(),
    };
    let canned = [
        ok_response(&in_force),
        ok_response(&refused),
        ok_response(&unknown),
        Canned::Disconnect,
        Canned::Response(400, r#"{"error":"malformed plan"}"#.to_owned()),
        Canned::Response(500, "oops".to_owned()),
    ];
    let mut table = String::new();
    for canned in canned {
        let host = Host::start(|_| vec![("/v1/confirm", canned)]);
        let at = format!("--host={}", host.address);
        table.push_str(&scratch.run(&["confirm", &at, "plan.json"], &[host.address]));
    }
    let closed = Closed::new();
    let at = format!("--host={}", closed.address);
    table.push_str(&scratch.run(&["confirm", &at, "plan.json"], &[closed.address]));
    assert_snapshot!(table);
}

#[test]
fn edited_plans_are_not_confirmed() {
    let scratch = Scratch::new();
    let mut edited = plan();
    edited.target.version = edited.target.version.next();
    scratch.file("version.json", &to_string(&edited).unwrap());
    let mut edited = plan();
    edited.target.members.clear();
    scratch.file("members.json", &to_string(&edited).unwrap());
    let runs = ["version.json", "members.json"]
        .map(|file| scratch.run(&["confirm", "--host=127.0.0.1:1", file], &[]));
    assert_snapshot!(runs.concat());
}

#[test]
fn status_shows_a_host_and_tells_whether_a_plan_is_in_force() {
    let scratch = Scratch::new();
    scratch.file("plan.json", &to_string(&plan()).unwrap());
    let closed = Closed::new();
    let other = closed.address;
    let mut table = String::new();
    for (version, op) in [(0, "op-0"), (1, "op-1"), (1, "op-2"), (2, "op-3")] {
        let host =
            Host::start(|at| vec![("/v1/status", ok_response(&status(at, &[other], version, op)))]);
        let at = format!("--host={}", host.address);
        let hosts = [host.address, other];
        if version == 2 {
            table.push_str(&scratch.run(&["status", &at], &hosts));
        }
        table.push_str(&scratch.run(&["status", &at, "--plan=plan.json"], &hosts));
    }
    assert_snapshot!(table);
}

fn event(host: &str, at: u64, seq: u64, kind: &str) -> Value {
    json!({
        "at_unix_us": at, "seq": seq, "host": host, "zone": "gulf-a", "boot": "b1", "kind": kind,
        "request": "r-1",
    })
}

fn events(host: &str, events: &[Value]) -> Canned {
    ok_response(&json!({ "host": host, "boot": "b1", "dropped": 0, "events": events }))
}

#[test]
fn timeline_merges_all_hosts_and_names_the_missing_ones() {
    let scratch = Scratch::new();
    let second = Host::start(|_| {
        vec![("/v1/timeline", events("gulf-01", &[event("gulf-01", 20, 0, "attempt_sent")]))]
    });
    let closed = Closed::new();
    let first_events =
        [event("gulf-00", 10, 0, "query_started"), event("gulf-00", 30, 1, "query_finished")];
    let first = Host::start(|at| {
        let first_status = status(at, &[second.address, closed.address], 2, "op-1");
        vec![
            ("/v1/status", ok_response(&first_status)),
            ("/v1/timeline", events("gulf-00", &first_events)),
        ]
    });
    let at = format!("--host={}", first.address);
    let hosts = [first.address, second.address, closed.address];
    let filters = ["--request=r-1", "--leaf=quote-desk/07/a", "--zone=gulf-a"];
    let args = [&["timeline", &at][..], &filters, &["--config-version=2"]].concat();
    assert_snapshot!(scratch.run(&args, &hosts));
    let query = second.requests().concat();
    assert_snapshot!("timeline_request", query);
}
