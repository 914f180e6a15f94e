//! Guards against non-idempotent requests that run more than once, and against requests that are
//! reported as not run although they ran.

use {
    crate::support::{Fleet, query, wait_for},
    serde_json::json,
    std::{
        collections::BTreeMap,
        thread,
        time::{SystemTime, UNIX_EPOCH},
    },
    wigeonramp_config::caller_api::QueryOutcome,
    wigeonramp_standin::platform::{OutageMode, PlatformFault},
    wigeonramp_store::{ObjectStore, Precondition, ReadOutcome},
};

fn request(id: &str, shard: usize) -> serde_json::Value {
    json!({
        "request_id": id, "collections": ["quotes"], "shard": format!("s{shard}"),
        "idempotent": false, "body": id, "timeout_ms": 900,
    })
}

fn new_id(n: usize) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past 1970");
    format!("{}-{n}", since_epoch.as_millis())
}

/// Number of runs of each request id, summed over all leaves.
fn runs(fleet: &Fleet) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for counters in fleet.counters("") {
        for (id, n) in counters.runs {
            *runs.entry(id.to_string()).or_default() += n;
        }
    }
    runs
}

#[test]
fn a_repeated_request_runs_once_whatever_host_gets_it() {
    let fleet = Fleet::start(3, 3);
    let id = new_id(0);
    let first = query(fleet.hosts[0].addresses().caller, &request(&id, 0)).expect("a response");
    assert_eq!(first.outcome, QueryOutcome::Done, "{first:?}");
    assert_eq!(first.collections[0].coverage.covered, 1);
    for host in &fleet.hosts {
        // The outcome is recorded shortly after the first response.
        wait_for("the recorded outcome is reported", || {
            let again = query(host.addresses().caller, &request(&id, 0)).expect("a response");
            assert!(!matches!(again.outcome, QueryOutcome::RefusedNotRun { .. }), "{again:?}");
            again.outcome == QueryOutcome::Done
        });
    }
    assert_eq!(runs(&fleet).get(&id), Some(&1));
}

#[test]
fn with_lost_answers_no_request_runs_twice_and_not_run_is_true() {
    let fleet = Fleet::start(3, 3);
    let addresses: Vec<_> = fleet.hosts.iter().map(|host| host.addresses().caller).collect();
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            let addresses = addresses.clone();
            thread::spawn(move || {
                let mut outcomes = Vec::new();
                for n in 0..8 {
                    let id = new_id(caller * 1000 + n);
                    // The caller sends each request to two hosts, as if the first response were
                    // lost.
                    for host in [caller, caller + 1] {
                        let address = addresses[host % addresses.len()];
                        let response = query(address, &request(&id, n % 3)).expect("a response");
                        outcomes.push((id.clone(), response.outcome));
                    }
                }
                outcomes
            })
        })
        .collect();
    while !callers.iter().all(|caller| caller.is_finished()) {
        fleet.platform.inject_fault(&PlatformFault::LostAnswers { writes: 3 });
        let lost = fleet.platform.counters().lost;
        wait_for("responses are lost", || {
            fleet.platform.counters().lost >= lost + 3
                || callers.iter().all(|caller| caller.is_finished())
        });
    }
    fleet.platform.inject_fault(&PlatformFault::Clear {});
    let outcomes: Vec<_> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("the caller does not panic"))
        .collect();
    let runs = runs(&fleet);
    let mut by_id: BTreeMap<String, Vec<QueryOutcome>> = BTreeMap::new();
    for (id, outcome) in outcomes {
        by_id.entry(id).or_default().push(outcome);
    }
    let not_run = |outcome: &QueryOutcome| matches!(outcome, QueryOutcome::RefusedNotRun { .. });
    for (id, outcomes) in &by_id {
        assert!(runs.get(id).is_none_or(|n| *n == 1), "{id} ran {:?} times", runs.get(id));
        if outcomes.iter().all(not_run) {
            assert_eq!(runs.get(id), None, "{id} was reported as not run");
        }
    }
    let done = by_id.values().flatten().filter(|outcome| **outcome == QueryOutcome::Done).count();
    println!("{done} of {} responses report done", by_id.len() * 2);
    assert!(done > 0);
}

#[test]
fn without_the_store_nothing_runs() {
    let fleet = Fleet::start(3, 3);
    fleet.platform.inject_fault(&PlatformFault::Outage { mode: OutageMode::Hang });
    let id = new_id(0);
    let response = query(fleet.hosts[0].addresses().caller, &request(&id, 0)).expect("a response");
    assert!(matches!(response.outcome, QueryOutcome::RefusedNotRun { .. }), "{response:?}");
    assert_eq!(runs(&fleet).get(&id), None);
    let mut again = request(&id, 0);
    again["repeated"] = true.into();
    let response = query(fleet.hosts[0].addresses().caller, &again).expect("a response");
    assert!(matches!(response.outcome, QueryOutcome::Unknown { .. }), "{response:?}");
    assert_eq!(runs(&fleet).get(&id), None);
    fleet.platform.inject_fault(&PlatformFault::Clear {});
    wait_for("the request runs once the store is back", || {
        let response = query(fleet.hosts[0].addresses().caller, &request(&id, 0));
        response.is_some_and(|response| response.outcome == QueryOutcome::Done)
    });
    assert_eq!(runs(&fleet).get(&id), Some(&1));
}

#[test]
fn an_assigner_deletes_claims_that_no_request_can_refer_to() {
    let fleet = Fleet::undeclared(3, 3);
    let minute = 60_000;
    let now = new_id(0).split('-').next().and_then(|ms| ms.parse::<u64>().ok()).expect("a time");
    // Retention and deletion margin add up to 15 min; a period is 1 min long.
    let key = |minutes_ago: u64| format!("claims/{}/0", now / minute - minutes_ago);
    let store = fleet.platform.backing_store();
    for minutes_ago in [1000, 18, 13] {
        store
            .put(&key(minutes_ago), r#"{"claims":{}}"#, Precondition::Create)
            .expect("the platform is up");
    }
    fleet.bring_up();
    let exists = |minutes_ago| !matches!(store.get(&key(minutes_ago)), Ok(ReadOutcome::Missing));
    wait_for("expired claims are deleted", || !exists(1000) && !exists(18));
    assert!(exists(13));
}
