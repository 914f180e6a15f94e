//! Guards against a holder that was paused beyond its session and goes on sending when it resumes,
//! whether or not somebody has taken its leaves over.

use {
    crate::support::{Fleet, HostProcess, covered, query, wait_for},
    rustix::process::Signal,
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_standin::platform::{OutageMode, PlatformFault},
};

/// Longer than session time and `stale_after` together.
const PAUSE: Duration = Duration::from_millis(2500);

/// Sends queries to a paused host, resumes it, and checks that no leaf gets anything.
///
/// The store is away and all other hosts are paused, so nobody else can send.
fn resume_and_check(fleet: &Fleet, paused: &HostProcess) {
    fleet.leaves.reset_counters();
    let caller = paused.ready.caller;
    let senders: Vec<_> = (0..4)
        .map(|n| {
            let request = json!({"collections": ["quotes"], "body": n});
            thread::spawn(move || query(caller, &request))
        })
        .collect();
    paused.signal(Signal::CONT);
    for sender in senders {
        let answer = sender.join().expect("it ends").expect("the resumed host answers");
        assert_eq!(covered(&answer), 0, "{answer:?}");
    }
    let arrived: u64 = fleet.counters().iter().map(|counters| counters.arrived).sum();
    assert_eq!(arrived, 0, "requests that the resumed host sent");
}

fn end_of_trouble(fleet: &Fleet, others: &[HostProcess]) {
    others.iter().for_each(|host| host.signal(Signal::CONT));
    fleet.platform.inject_fault(&PlatformFault::Clear {});
    wait_for("all hosts answer with all shards", || {
        fleet.hosts.iter().all(|host| fleet.is_covered(host))
    });
}

#[test]
fn a_holder_that_nobody_told_sends_nothing() {
    let fleet = Fleet::start(3, 6);
    fleet.warm_up();
    let (paused, others) = fleet.hosts.split_first().expect("there are hosts");
    // The others stop first, so that no news of a takeover waits for the paused host.
    others.iter().for_each(|host| host.signal(Signal::STOP));
    fleet.platform.inject_fault(&PlatformFault::Outage { mode: OutageMode::Refuse });
    paused.signal(Signal::STOP);
    let begun = Instant::now();
    wait_for("the session has passed", || begun.elapsed() > PAUSE);
    resume_and_check(&fleet, paused);
    assert!(!paused.status().leaves.is_empty(), "the host still believes to hold leaves");
    end_of_trouble(&fleet, others);
}

#[test]
fn a_holder_whose_leaves_were_taken_over_goes_on_under_a_new_start() {
    let fleet = Fleet::start(3, 6);
    fleet.warm_up();
    let (paused, others) = fleet.hosts.split_first().expect("there are hosts");
    assert!(!paused.status().leaves.is_empty(), "the paused host must hold something");
    paused.signal(Signal::STOP);
    fleet.wait_for_service(others);
    others.iter().for_each(|host| host.signal(Signal::STOP));
    fleet.platform.inject_fault(&PlatformFault::Outage { mode: OutageMode::Refuse });
    resume_and_check(&fleet, paused);
    end_of_trouble(&fleet, others);
    let old = paused.ready.instance.to_string();
    wait_for("the resumed host goes on under a new start", || {
        !old.ends_with(paused.status().boot.as_str())
    });
}
