//! Guards against a graceful stop that cuts off a request or leaves holdings or a session behind.

use {
    crate::support::{Fleet, Load, wait_for},
    std::time::Instant,
    wigeonramp_store::ObjectStore,
};

#[test]
fn a_graceful_stop_under_load_cuts_no_request() {
    let mut fleet = Fleet::start(3, 6);
    let callers = fleet.hosts.iter().map(|host| host.addresses().caller).collect();
    let load = Load::start(6, callers);
    load.wait_for_queries(50);
    let host = fleet.hosts.remove(0);
    let instance = host.instance().clone();
    let start = Instant::now();
    host.stop();
    println!("graceful stop took {:?}", start.elapsed());
    load.wait_for_queries(50);
    assert_eq!(load.stop(), 0, "queries without a response");
    let sessions = fleet.platform.backing_store().list("session/").expect("the platform is up");
    assert!(sessions.iter().all(|session| session.key != format!("session/{instance}")));
    wait_for("the other hosts hold all leaves", || fleet.held() == 12);
}
