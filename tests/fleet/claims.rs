//! Guards against a non-idempotent request that runs twice when hosts are killed while it runs and
//! its caller resubmits it to another host.

use {
    crate::support::{Fleet, HostProcess, query},
    rustix::process::Signal,
    serde_json::json,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{SystemTime, UNIX_EPOCH},
    },
    wigeonramp_config::caller_api::QueryOutcome,
    wigeonramp_standin::platform::PlatformFault,
};

const SENDERS: usize = 6;
const REQUESTS: usize = 12;

#[test]
fn with_kills_and_lost_answers_no_request_runs_twice() {
    let mut fleet = Fleet::start(4, 3);
    let addresses: Vec<_> = fleet.hosts.iter().map(|host| host.ready.caller).collect();
    let addresses = Arc::new(Mutex::new(addresses));
    let senders: Vec<_> = (0..SENDERS)
        .map(|sender| {
            let addresses = Arc::clone(&addresses);
            thread::spawn(move || send(sender, &addresses))
        })
        .collect();
    for round in 0..2 {
        fleet.platform.inject_fault(&PlatformFault::LostAnswers { writes: 2 });
        let mut killed = fleet.hosts.remove(0);
        killed.signal(Signal::KILL);
        killed.wait_for_exit();
        let replacement = HostProcess::start(10 + round, fleet.platform.address(), &[]);
        addresses.lock().expect("no sender failed")[round] = replacement.ready.caller;
        fleet.hosts.push(replacement);
        fleet.wait_for_service(&fleet.hosts);
    }
    let outcomes: Vec<_> = senders
        .into_iter()
        .flat_map(|sender| sender.join().expect("the sender does not panic"))
        .collect();
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for counters in fleet.counters() {
        for (id, n) in counters.runs {
            *runs.entry(id.to_string()).or_default() += n;
        }
    }
    let not_run = |outcome: &Option<QueryOutcome>| {
        matches!(outcome, Some(QueryOutcome::RefusedNotRun { .. }))
    };
    let mut done = 0;
    for (id, results) in &outcomes {
        let n = runs.get(id).copied().unwrap_or_default();
        assert!(n <= 1, "{id} ran {n} times: {results:?}");
        assert!(
            n == 0 || !results.iter().all(not_run),
            "{id} ran, but every response says not run"
        );
        done += usize::from(results.contains(&Some(QueryOutcome::Done)));
    }
    println!("{done} of {} requests are done", outcomes.len());
    assert!(done > 0);
}

/// Sends each request to two hosts; returns the outcomes by request id, `None` for a lost response.
fn send(
    sender: usize,
    addresses: &Mutex<Vec<SocketAddr>>,
) -> Vec<(String, Vec<Option<QueryOutcome>>)> {
    let mut sent = Vec::new();
    for n in 0..REQUESTS {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970");
        let id = format!("{}-s{sender}n{n}", since.as_millis());
        let request = json!({
            "request_id": id, "collections": ["quotes"], "shard": format!("s{}", n % 3),
            "idempotent": false, "body": id, "timeout_ms": 900,
        });
        let results = [sender, sender + n + 1].map(|host| {
            let address = {
                let addresses = addresses.lock().expect("no sender failed");
                addresses[host % addresses.len()]
            };
            query(address, &request).map(|response| response.outcome)
        });
        sent.push((id, results.to_vec()));
    }
    sent
}
