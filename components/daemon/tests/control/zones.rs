//! Guards against requests that still reach the leaves of a zone that is out of service, and
//! against leaves that the hosts of that zone keep holding.

use {
    crate::support::{Fleet, Load, wait_for},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    wigeonramp_config::api::{ConfirmResponse, Intent},
};

/// Maximum time until a zone that was taken out of service gets no new requests.
const MAX_DELAY: Duration = Duration::from_secs(3);

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past 1970");
    since_epoch.as_millis() as u64
}

#[test]
fn a_zone_taken_out_gets_no_new_work() {
    let fleet = Fleet::start(3, 6);
    let callers = fleet.hosts.iter().map(|host| host.addresses().caller).collect();
    let load = Load::start(4, callers);
    load.wait_for_queries(50);
    let taken_out_at = unix_ms();
    let zone = "z1".parse().expect("a zone id");
    let response = fleet.change(1, Intent::ZoneOut { zone });
    assert!(matches!(response, ConfirmResponse::InForce { .. }), "{response:?}");
    // Leaves of z1: replica a of shards 0 and 3, replica b of shards 2 and 5.
    let leaves = ["s0-a", "s3-a", "s2-b", "s5-b"];
    wait_for("hosts of the zone hold nothing", || fleet.status(0).leaves.is_empty());
    println!("leaves handed over {} ms after the confirmation was sent", unix_ms() - taken_out_at);
    wait_for("twice the maximum delay has passed", || {
        unix_ms() > taken_out_at + 2 * MAX_DELAY.as_millis() as u64
    });
    load.wait_for_queries(50);
    let lost = load.stop();
    for leaf in leaves {
        let counters = &fleet.counters(leaf)[0];
        let after = counters.last_request.0.saturating_sub(taken_out_at);
        println!("{leaf}: last request {after} ms after the confirmation was sent");
        assert!(after < MAX_DELAY.as_millis() as u64, "{leaf}: {after} ms");
    }
    assert_eq!(lost, 0);
    let zone = "z1".parse().expect("a zone id");
    let response = fleet.change(1, Intent::ZoneIn { zone });
    assert!(matches!(response, ConfirmResponse::InForce { .. }), "{response:?}");
    let before: u64 = leaves.iter().map(|leaf| fleet.counters(leaf)[0].run).sum();
    wait_for("the leaves of the zone get requests again", || {
        let _ = fleet.query(2, &1.into());
        leaves.iter().map(|leaf| fleet.counters(leaf)[0].run).sum::<u64>() > before
    });
}
