//! Guards against work that still reaches the leaves of a zone that operators took out, and against
//! holdings that stay with the hosts of that zone.

use {
    crate::support::{Fleet, Load, wait_for},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    wigeonramp_config::api::{ConfirmResponse, Intent},
};

/// Time after which a zone that was taken out gets no new work.
const BOUND: Duration = Duration::from_secs(3);

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970");
    since.as_millis() as u64
}

#[test]
fn a_zone_taken_out_gets_no_new_work() {
    let fleet = Fleet::start(3, 6);
    let callers = fleet.hosts.iter().map(|host| host.addresses().caller).collect();
    let load = Load::start(4, callers);
    load.more(50);
    let taken = unix_ms();
    let zone = "z1".parse().expect("a zone id");
    let answer = fleet.change(1, Intent::ZoneOut { zone });
    assert!(matches!(answer, ConfirmResponse::InForce { .. }), "{answer:?}");
    // Leaves of z1: replica a of shards 0 and 3, replica b of shards 2 and 5.
    let leaves = ["s0-a", "s3-a", "s2-b", "s5-b"];
    wait_for("hosts of the zone hold nothing", || fleet.status(0).leaves.is_empty());
    println!("leaves handed over {} ms after the confirmation was sent", unix_ms() - taken);
    wait_for("twice the bound has passed", || unix_ms() > taken + 2 * BOUND.as_millis() as u64);
    load.more(50);
    let lost = load.stop();
    for leaf in leaves {
        let counters = &fleet.counters(leaf)[0];
        let after = counters.last_request.0.saturating_sub(taken);
        println!("{leaf}: last request {after} ms after the confirmation was sent");
        assert!(after < BOUND.as_millis() as u64, "{leaf}: {after} ms");
    }
    assert_eq!(lost, 0);
    let zone = "z1".parse().expect("a zone id");
    let answer = fleet.change(1, Intent::ZoneIn { zone });
    assert!(matches!(answer, ConfirmResponse::InForce { .. }), "{answer:?}");
    let before: u64 = leaves.iter().map(|leaf| fleet.counters(leaf)[0].run).sum();
    wait_for("the zone's leaves get work again", || {
        let _ = fleet.query(2, &1.into());
        leaves.iter().map(|leaf| fleet.counters(leaf)[0].run).sum::<u64>() > before
    });
}
