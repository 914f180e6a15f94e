//! Guards against a holder that was paused beyond its session and goes on sending when it resumes.

use {
    crate::support::{Fleet, HostProcess, covered, query, wait_for},
    rustix::process::Signal,
    serde_json::json,
    std::thread,
    wigeonramp_standin::platform::{OutageMode, PlatformFault},
};

#[test]
fn a_holder_paused_past_its_session_sends_nothing() {
    let fleet = Fleet::start(3, 6);
    fleet.warm_up();
    let (paused, others) = fleet.hosts.split_first().expect("there are hosts");
    let held = paused.status().leaves.len();
    assert!(held > 0, "the paused host must hold something");
    paused.signal(Signal::STOP);
    fleet.wait_for_service(others);
    // From here on nobody but the paused host can send, and nobody can tell it anything.
    others.iter().for_each(|host| host.signal(Signal::STOP));
    fleet.platform.fault(&PlatformFault::Outage { mode: OutageMode::Refuse });
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
    others.iter().for_each(|host| host.signal(Signal::CONT));
    fleet.platform.fault(&PlatformFault::Clear {});
    let boot = |host: &HostProcess| host.status().boot;
    let old = paused.ready.instance.to_string();
    wait_for("the resumed host goes on under a new start", || {
        !old.ends_with(boot(paused).as_str())
    });
    wait_for("all hosts answer with all shards", || {
        fleet.hosts.iter().all(|host| fleet.is_covered(host))
    });
}
