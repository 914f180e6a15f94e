//! Connections of all hosts to the leaves, simulated without a network.

mod common;
mod connection_fleet;

use {
    common::{SEED, at},
    connection_fleet::{Deployment, Rule, simulate},
    insta::assert_snapshot,
    rand::{SeedableRng, rngs::SmallRng},
    wigeonramp_routing::connections::{Admission, ConnectionRoom, ConnectionShare, HostCounts},
    wigeonramp_units::Span,
};

/// The deployment on which leaves reset 644 connections.
const LARGE: Deployment = Deployment {
    hosts: 132,
    active: 18,
    shards: 90,
    limit: 101,
    gathers_per_s: 60,
    singles_per_s: 20,
};
const MEDIUM: Deployment = Deployment { hosts: 90, limit: 67, ..LARGE };
const SMALL: Deployment = Deployment { hosts: 13, active: 6, limit: 100, ..LARGE };

fn table(deployments: &[(&str, Deployment)]) -> String {
    let mut table = format!("{:18}{}\n", "", connection_fleet::Counts::HEADER);
    for (name, deployment) in deployments {
        for rule in [Rule::Fixed, Rule::Learning] {
            let [start, later] = simulate(*deployment, rule);
            table += &format!("{name} {rule:8?} 0-5 s  {start}\n");
            table += &format!("{name} {rule:8?} 5-20 s {later}\n");
        }
    }
    table
}

/// Guards against connections beyond the limit of the leaves, which lose the requests on them, when
/// all hosts start together and afterwards.
#[test]
fn hosts_stay_within_the_connection_limit() {
    assert_snapshot!(table(&[("132", LARGE), (" 90", MEDIUM)]));
}

/// Guards against a change for deployments with enough connections.
#[test]
fn hosts_with_enough_connections_are_served_as_before() {
    assert_snapshot!(table(&[(" 13", SMALL)]));
    assert_eq!(simulate(SMALL, Rule::Fixed), simulate(SMALL, Rule::Learning));
    for (known, active) in (13..=20).flat_map(|known| (1..=known).map(move |n| (known, n))) {
        let hosts = HostCounts { known, active, is_active: true, is_settled: true };
        let (share, mut room) = (ConnectionShare::new(60, hosts), ConnectionRoom::default());
        let fixed = (60.0 * 0.8 / active as f64) as usize;
        for _ in 0..fixed.max(2) {
            assert_eq!(room.admit(share, at(0)), Admission::Open, "{hosts:?}");
            assert_eq!(share.max_idle(), None, "{hosts:?}");
            room.on_opened();
        }
        assert_eq!(room.admit(share, at(0)), Admission::Wait, "{hosts:?}");
    }
}

fn share(known: usize, active: usize, is_active: bool) -> ConnectionShare {
    ConnectionShare::new(101, HostCounts { known, active, is_active, is_settled: true })
}

/// Guards against a host that insists on connections which the leaf resets, one that never recovers
/// from a reset, and one that asks a leaf at which it can have no connection.
#[test]
fn reset_lowers_the_limit_for_a_while() {
    let (mut room, mut rng) = (ConnectionRoom::default(), SmallRng::seed_from_u64(SEED));
    let share = share(132, 18, true);
    (0..4).for_each(|_| room.on_opened());
    assert_eq!(room.admit(share, at(0)), Admission::Wait, "0.8 of 101 for 18 hosts");
    (0..2).for_each(|_| room.on_closed());
    assert!(room.on_reset(at(0), &mut rng));
    assert!(!room.on_reset(at(1), &mut rng), "told once");
    assert_eq!(room.admit(share, at(500)), Admission::Wait, "two as at the reset");
    assert_eq!(room.admit(share, at(2_100)), Admission::Open);
    (0..2).for_each(|_| room.on_closed());
    assert!(room.on_reset(at(3_000), &mut rng));
    assert_eq!(room.admit(share, at(3_100)), Admission::Elsewhere);
    let wait = room.wait(at(3_000));
    assert!(wait >= Span::millis(400) && wait < Span::millis(800), "{wait}");
    assert_eq!(room.admit(share, at(3_900)), Admission::Open);
}

/// Guards against idle connections of hosts without traffic that keep others out.
#[test]
fn idle_connections_are_closed_early_only_where_they_are_short() {
    assert_eq!(share(132, 18, true).max_idle(), None, "an active host keeps them");
    assert!(share(132, 18, false).max_idle().is_some());
    assert_eq!(share(13, 6, false).max_idle(), None);
}

/// Guards against hosts that start together and open more connections than the leaves accept,
/// before they know which of them have traffic.
#[test]
fn a_host_that_has_just_started_opens_one_connection() {
    let hosts = HostCounts { known: 132, active: 18, is_active: true, is_settled: false };
    let (share, mut room) = (ConnectionShare::new(101, hosts), ConnectionRoom::default());
    room.on_opened();
    assert_eq!(room.admit(share, at(0)), Admission::Wait);
}

/// Guards against a minimum for each host that exceeds the limit of the leaf for all together.
#[test]
fn hosts_with_traffic_together_stay_within_the_limit() {
    for (declared, active) in [(2, 2), (50, 30), (10, 9)] {
        let hosts = HostCounts { known: 132, active, is_active: true, is_settled: true };
        let share = ConnectionShare::new(declared, hosts);
        let mut room = ConnectionRoom::default();
        while room.admit(share, at(0)) == Admission::Open {
            room.on_opened();
            assert!(room.open() * active <= declared as usize, "{declared} for {active}");
        }
    }
}
