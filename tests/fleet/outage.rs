//! Guards against a store outage that interrupts serving, and against a host that starts during an
//! outage and either cannot learn the configuration or sends to leaves without a session.

use {
    crate::support::{Fleet, HostProcess, wait_for},
    rustix::process::Signal,
    wigeonramp_standin::platform::{OutageMode, PlatformFault},
};

#[test]
fn serving_goes_on_while_the_store_refuses_connections() {
    serve_through_an_outage(OutageMode::Refuse);
}

#[test]
fn serving_goes_on_while_calls_to_the_store_hang() {
    serve_through_an_outage(OutageMode::Hang);
}

/// Checks serving through an outage in which one host is killed and another one starts.
fn serve_through_an_outage(mode: OutageMode) {
    let mut fleet = Fleet::start(3, 6);
    fleet.warm_up();
    fleet.platform.inject_fault(&PlatformFault::Outage { mode });
    wait_for("all sessions have expired", || {
        fleet.hosts.iter().all(|host| host.status().session_ms.is_none())
    });
    // All assigners are alive and give promises, so every query covers all shards.
    for n in 0..100 {
        let host = &fleet.hosts[n % 3];
        assert!(fleet.is_covered(host), "query {n} without the store");
    }
    let mut killed = fleet.hosts.remove(0);
    killed.signal(Signal::KILL);
    killed.wait_for_exit();
    // One assigner gives no promises any more, and the killed host's leaves have no other holder.
    for host in &fleet.hosts {
        wait_for("the other hosts still cover all shards", || fleet.is_covered(host));
    }
    let seeds: Vec<_> = fleet.hosts.iter().map(|host| host.ready.peer).collect();
    let new_host = HostProcess::start(5, fleet.platform.address(), &seeds);
    let learning_time = wait_for("the new host learns the configuration from its seeds", || {
        let status = new_host.status();
        status.config_version.is_some() && status.assignment_version.is_some()
    });
    println!("a host that started during the outage was ready to serve after {learning_time:?}");
    wait_for("the new host covers all shards", || fleet.is_covered(&new_host));
    assert_eq!(new_host.status().leaves.len(), 0, "leaves held without a session");
    fleet.platform.inject_fault(&PlatformFault::Clear {});
    fleet.hosts.push(new_host);
    let recovery_time = fleet.wait_for_service(&fleet.hosts);
    println!("all leaves were held again {recovery_time:?} after the store came back");
    wait_for("all sessions are valid", || {
        fleet.hosts.iter().all(|host| host.status().session_ms.is_some())
    });
}
