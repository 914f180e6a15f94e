//! Guards against a holder that is paused until its session has expired and still sends to its
//! leaves when it resumes, whether or not another host has taken them over.

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

/// Pause that is longer than `session_time` and `stale_after` together.
const PAUSE: Duration = Duration::from_millis(2500);

/// Sends queries to a paused host, resumes it and checks that no leaf gets a request.
///
/// The store is down and all other hosts are paused, so only the resumed host could send any.
fn resume_and_check(fleet: &Fleet, paused: &HostProcess) {
    fleet.leaves.reset_counters();
    let address = paused.ready.caller;
    let senders: Vec<_> = (0..4)
        .map(|n| {
            let request = json!({"collections": ["quotes"], "body": n});
            thread::spawn(move || query(address, &request))
        })
        .collect();
    paused.signal(Signal::CONT);
    for sender in senders {
        let result = sender.join().expect("the sender does not panic");
        let response = result.expect("the resumed host responds");
        assert_eq!(covered(&response), 0, "{response:?}");
    }
    let arrived: u64 = fleet.counters().iter().map(|counters| counters.arrived).sum();
    assert_eq!(arrived, 0, "requests that the resumed host sent");
}

fn recover(fleet: &Fleet, others: &[HostProcess]) {
    others.iter().for_each(|host| host.signal(Signal::CONT));
    fleet.platform.inject_fault(&PlatformFault::Clear {});
    wait_for("all hosts cover all shards", || {
        fleet.hosts.iter().all(|host| fleet.is_covered(host))
    });
}

#[test]
fn a_resumed_holder_with_an_expired_session_sends_nothing() {
    let fleet = Fleet::start(3, 6);
    fleet.warm_up();
    let (paused, others) = fleet.hosts.split_first().expect("there are hosts");
    // The others are paused first, so that no message about a takeover awaits the resumed host.
    others.iter().for_each(|host| host.signal(Signal::STOP));
    fleet.platform.inject_fault(&PlatformFault::Outage { mode: OutageMode::Refuse });
    paused.signal(Signal::STOP);
    let start = Instant::now();
    wait_for("the session has expired", || start.elapsed() > PAUSE);
    resume_and_check(&fleet, paused);
    assert!(!paused.status().leaves.is_empty(), "the resumed host must still list leaves as held");
    recover(&fleet, others);
}

#[test]
fn a_holder_whose_leaves_were_taken_over_goes_on_under_a_new_start() {
    let fleet = Fleet::start(3, 6);
    fleet.warm_up();
    let (paused, others) = fleet.hosts.split_first().expect("there are hosts");
    assert!(!paused.status().leaves.is_empty(), "the paused host must hold a leaf");
    paused.signal(Signal::STOP);
    fleet.wait_for_service(others);
    others.iter().for_each(|host| host.signal(Signal::STOP));
    fleet.platform.inject_fault(&PlatformFault::Outage { mode: OutageMode::Refuse });
    resume_and_check(&fleet, paused);
    recover(&fleet, others);
    let old = paused.ready.instance.to_string();
    wait_for("the resumed host continues under a new boot id", || {
        !old.ends_with(paused.status().boot.as_str())
    });
}
