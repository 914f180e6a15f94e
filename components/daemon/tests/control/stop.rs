//! Guards against a planned stop that cuts off a request, and against leaves or sessions that a
//! stopped host leaves behind.

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
    load.more(50);
    let host = fleet.hosts.remove(0);
    let instance = host.instance().clone();
    let begun = Instant::now();
    host.stop();
    println!("graceful stop took {:?}", begun.elapsed());
    load.more(50);
    assert_eq!(load.stop(), 0, "queries without an answer");
    let sessions = fleet.platform.backing_store().list("session/").expect("the platform is up");
    assert!(sessions.iter().all(|session| session.key != format!("session/{instance}")));
    wait_for("the other hosts hold all leaves", || fleet.held() == 12);
}
