//! Guards against a stop by SIGTERM that cuts off requests, is cut short by a second SIGTERM, or
//! leaves the host's session in the store.

use {
    crate::support::{Fleet, entry_addresses, query, wait_for},
    rustix::process::Signal,
    serde_json::json,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::Instant,
    },
    wigeonramp_store::ObjectStore,
};

#[test]
fn sigterm_under_load_cuts_no_request() {
    let mut fleet = Fleet::start(3, 6);
    let caller_addresses: Vec<_> = fleet.hosts.iter().map(|host| host.ready.caller).collect();
    let (done, lost) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let stop = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..6_usize)
        .map(|n| {
            let (done, lost, stop) = (Arc::clone(&done), Arc::clone(&lost), Arc::clone(&stop));
            let caller_addresses = caller_addresses.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let requested_at = Instant::now();
                    let found = caller_addresses
                        .iter()
                        .cycle()
                        .skip(n)
                        .take(3)
                        .find_map(|a| entry_addresses(*a));
                    let Some((addresses, lifetime)) = found else { continue };
                    let Some(address) = addresses.get(n % addresses.len().max(1)) else { continue };
                    while requested_at.elapsed() < lifetime && !stop.load(Ordering::Relaxed) {
                        match query(*address, &json!({"collections": ["quotes"], "body": n})) {
                            Some(_) => done.fetch_add(1, Ordering::Relaxed),
                            None => lost.fetch_add(1, Ordering::Relaxed),
                        };
                    }
                }
            })
        })
        .collect();
    let wait_for_queries = |n: u64| {
        let before = done.load(Ordering::Relaxed);
        wait_for("more queries are done", || done.load(Ordering::Relaxed) >= before + n);
    };
    wait_for_queries(100);
    let mut stopped = fleet.hosts.remove(0);
    let start = Instant::now();
    stopped.signal(Signal::TERM);
    wait_for("the stop begins", || stopped.status().state != "serving");
    stopped.signal(Signal::TERM);
    let status = stopped.wait_for_exit();
    println!("stopped {:?} after SIGTERM", start.elapsed());
    wait_for_queries(100);
    stop.store(true, Ordering::Relaxed);
    senders.into_iter().for_each(|sender| sender.join().expect("no sender panics"));
    assert_eq!(status.code(), Some(0));
    assert_eq!(lost.load(Ordering::Relaxed), 0, "queries without a response");
    let sessions = fleet.platform.backing_store().list("session/").expect("the platform is up");
    let session_key = format!("session/{}", stopped.ready.instance);
    assert!(sessions.iter().all(|session| session.key != session_key));
    fleet.wait_for_service(&fleet.hosts);
}
