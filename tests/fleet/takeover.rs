//! Guards against leaves that stay without a holder after their holder is killed.

use {crate::support::Fleet, rustix::process::Signal, std::time::Instant, wigeonramp_units::Epoch};

#[test]
fn a_killed_holder_is_taken_over() {
    let mut fleet = Fleet::start(3, 6);
    let before = fleet.hosts[0].status().leaves.len();
    assert!(before > 0, "the killed host must hold a leaf");
    let mut killed = fleet.hosts.remove(0);
    let start = Instant::now();
    killed.signal(Signal::KILL);
    killed.wait_for_exit();
    fleet.wait_for_holdings(&fleet.hosts);
    let held_after = start.elapsed();
    fleet.wait_for_service(&fleet.hosts);
    println!(
        "{before} leaves held again {held_after:?} after the kill, covered {:?}",
        start.elapsed()
    );
    let leaves = fleet.hosts.iter().flat_map(|host| host.status().leaves);
    assert_eq!(leaves.filter(|leaf| leaf.epoch > Epoch(1)).count(), before);
}
