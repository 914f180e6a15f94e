//! Guards against an outage of the store that stops serving, and against a host that starts in one
//! and learns nothing, or sends to leaves without a session.

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

/// Serves through an outage in which one host is killed and another one starts.
fn serve_through_an_outage(mode: OutageMode) {
    let mut fleet = Fleet::start(3, 6);
    fleet.warm_up();
    fleet.platform.inject_fault(&PlatformFault::Outage { mode });
    wait_for("all sessions have expired", || {
        fleet.hosts.iter().all(|host| host.status().session_ms.is_none())
    });
    // All assigners live and promise, so every query has all shards.
    for n in 0..100 {
        let host = &fleet.hosts[n % 3];
        assert!(fleet.is_covered(host), "query {n} without the store");
    }
    let mut killed = fleet.hosts.remove(0);
    killed.signal(Signal::KILL);
    killed.ended();
    // Now not all assigners promise, and the killed host's leaves have no other holder.
    for host in &fleet.hosts {
        wait_for("the others still answer with all shards", || fleet.is_covered(host));
    }
    let seeds: Vec<_> = fleet.hosts.iter().map(|host| host.ready.peer).collect();
    let fresh = HostProcess::start(5, fleet.platform.address(), &seeds);
    let learned = wait_for("the fresh host learns the configuration from its seeds", || {
        let status = fresh.status();
        status.config_version.is_some() && status.assignment_version.is_some()
    });
    println!("a host that started in the outage was ready to serve after {learned:?}");
    wait_for("the fresh host answers with all shards", || fleet.is_covered(&fresh));
    assert_eq!(fresh.status().leaves.len(), 0, "leaves held without a session");
    fleet.platform.inject_fault(&PlatformFault::Clear {});
    fleet.hosts.push(fresh);
    let back = fleet.wait_for_service(&fleet.hosts);
    println!("all leaves were held again {back:?} after the store came back");
    wait_for("all sessions are valid", || {
        fleet.hosts.iter().all(|host| host.status().session_ms.is_some())
    });
}
