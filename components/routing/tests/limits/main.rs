//! Request limits that leaves name, kept by many hosts together.
//!
//! All checks of the bound count the requests of all hosts, also of those that a fault hits.

mod allocation;
mod fleet;
mod statements;

use {
    fleet::{Fleet, REACTION_TIME, Sharing},
    insta::assert_snapshot,
    wigeonramp_units::{Instant, Span},
};

const SEED: u64 = 7;
/// Demand of all hosts as a multiple of the limit.
const OVERLOAD: f64 = 2.5;
/// Time after which a host that stops ends.
const STOP_TIME: Span = Span::secs(4);

/// Distributes a total demand over a number of hosts.
type Distribution = fn(usize, f64) -> Vec<f64>;
/// Changes a fleet with a number of hosts.
type Fault = fn(&mut Fleet, usize);

const DEMANDS: [(&str, Distribution); 3] =
    [("equal", equal), ("two hosts", two_hosts), ("skewed", skewed)];

fn equal(hosts: usize, total: f64) -> Vec<f64> {
    vec![total / hosts as f64; hosts]
}

/// Only two hosts have demand.
fn two_hosts(hosts: usize, total: f64) -> Vec<f64> {
    let mut demands = vec![0.0; hosts];
    demands[0] = total * 0.6;
    demands[hosts / 2] = total * 0.4;
    demands
}

/// The demand of a host is in inverse proportion to its rank.
fn skewed(hosts: usize, total: f64) -> Vec<f64> {
    let sum: f64 = (1..=hosts).map(|n| 1.0 / n as f64).sum();
    (1..=hosts).map(|n| total / n as f64 / sum).collect()
}

/// Returns a fleet whose leaf has just named a limit.
fn limited(demands: &[f64], limit: f64, sharing: Sharing, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(demands, sharing, seed);
    fleet.run_for(Span::secs(2));
    fleet.name_limit(Some(limit));
    fleet
}

fn assert_within_bound(fleet: &Fleet, from: Instant, limit: f64, case: &str) {
    let (busiest, allowed) = fleet.busiest_window(from, limit);
    assert!(busiest as f64 <= allowed, "{case}: {busiest} requests in 4 s, {allowed} are allowed");
}

/// Guards against hosts that together exceed a limit, however the demand is distributed, and shows
/// how much of the limit is used.
#[test]
fn limits_hold_for_any_distribution_of_the_demand() {
    let mut table = Vec::new();
    for hosts in [13, 195, 570] {
        for limit in [0.3, 4.0, 25.0, 400.0] {
            for (name, demands) in DEMANDS {
                let demands = demands(hosts, limit * OVERLOAD);
                let used = [Sharing::Permits, Sharing::FixedShare, Sharing::DemandShare]
                    .map(|sharing| used_share(&demands, limit, sharing));
                let used = used.join(" | ");
                table.push(format!("{hosts:3} hosts | {limit:5} | {name:9} | {used}"));
            }
        }
    }
    assert_snapshot!(table.join("\n"));
}

/// Returns the used share of the limit, with a mark if the bound was exceeded; checks the bound if
/// the hosts use permits.
fn used_share(demands: &[f64], limit: f64, sharing: Sharing) -> String {
    let mut fleet = limited(demands, limit, sharing, SEED);
    let named = fleet.now;
    fleet.run_for(Span::secs(24));
    if sharing == Sharing::Permits {
        let case = format!("{} hosts, limit {limit}", demands.len());
        assert_within_bound(&fleet, named + REACTION_TIME, limit, &case);
    }
    let (busiest, allowed) = fleet.busiest_window(named + REACTION_TIME, limit);
    let mark = if busiest as f64 > allowed { "!" } else { " " };
    format!("{:4.2}{mark}", fleet.rate_since(named + Span::secs(4)) / limit)
}

/// Guards against an excess while hosts are killed, stopped, suspended, added or cut from each
/// other, among them the allocator.
#[test]
fn limits_hold_through_faults() {
    let faults: [(&str, Fault); 7] = [
        ("allocator killed", |fleet, _| {
            let allocator = fleet.allocator();
            fleet.kill(allocator);
            fleet.run_for(Span::secs(1));
            fleet.start(allocator);
        }),
        ("allocator suspended", |fleet, _| {
            let allocator = fleet.allocator();
            fleet.set_frozen(allocator, true);
            fleet.run_for(Span::secs(3));
            fleet.set_frozen(allocator, false);
        }),
        ("allocators suspended in turn", |fleet, _| {
            for _ in 0..4 {
                let allocator = fleet.allocator();
                fleet.set_frozen(allocator, true);
                fleet.run_for(Span::millis(3_500));
                fleet.set_frozen(allocator, false);
                fleet.run_for(Span::millis(500));
            }
        }),
        ("restarts in turn", |fleet, hosts| {
            for host in 0..hosts.min(20) {
                fleet.stop(host);
                fleet.run_for(STOP_TIME);
                fleet.kill(host);
                fleet.run_for(Span::millis(500));
                fleet.start(host);
            }
        }),
        ("half killed", |fleet, hosts| {
            (0..hosts).step_by(2).for_each(|host| fleet.kill(host));
            fleet.run_for(Span::secs(1));
            (0..hosts).step_by(2).for_each(|host| fleet.start(host));
        }),
        ("partitioned", |fleet, _| {
            fleet.partition(|host| u8::from(host % 3 == 0));
            fleet.run_for(Span::secs(15));
            fleet.partition(|_| 0);
        }),
        ("demand moves", |fleet, hosts| {
            (0..hosts).for_each(|host| fleet.set_demand(host, 0.0));
            fleet.run_for(Span::secs(2));
            (0..hosts).for_each(|host| fleet.set_demand(host, 200.0 / hosts as f64));
        }),
    ];
    for (name, fault) in faults {
        for hosts in [13, 195] {
            for limit in [4.0, 25.0] {
                for (demand_name, demands) in DEMANDS {
                    let demands = demands(hosts, limit * OVERLOAD);
                    let mut fleet = limited(&demands, limit, Sharing::Permits, SEED);
                    let named = fleet.now;
                    fleet.run_for(Span::secs(6));
                    fault(&mut fleet, hosts);
                    fleet.run_for(Span::secs(12));
                    let case = format!("{name}, {hosts} hosts, limit {limit}, {demand_name}");
                    assert_within_bound(&fleet, named + REACTION_TIME, limit, &case);
                }
            }
        }
    }
}

/// Guards against a lower limit that takes effect late, and against a higher one that is not used.
#[test]
fn a_changed_limit_takes_effect() {
    let mut fleet = limited(&equal(20, 100.0), 40.0, Sharing::Permits, SEED);
    fleet.run_for(Span::secs(6));
    fleet.name_limit(Some(8.0));
    let lowered = fleet.now;
    fleet.run_for(Span::secs(10));
    // The permits granted before are valid for a second.
    assert_within_bound(&fleet, lowered + Span::secs(1), 8.0, "lowered");
    fleet.name_limit(Some(60.0));
    let raised = fleet.now;
    fleet.run_for(Span::secs(10));
    assert_within_bound(&fleet, raised, 60.0, "raised");
    assert!(fleet.rate_since(raised + Span::secs(3)) > 45.0, "the higher limit is used");
}

/// Guards against a leaf that stays unused after its limit has ended, among them leaves that took
/// next to nothing, and hosts without demand that keep a limit in mind.
#[test]
fn the_end_of_a_limit_is_heard_by_all_hosts() {
    for (limit, demands) in [(10.0, equal(195, 50.0)), (0.0, two_hosts(13, 30.0))] {
        let demand: f64 = demands.iter().sum();
        let mut fleet = limited(&demands, limit, Sharing::Permits, SEED);
        let named = fleet.now;
        fleet.run_for(Span::secs(10));
        assert_within_bound(&fleet, named + REACTION_TIME, limit, "limited");
        fleet.name_limit(None);
        let ended = fleet.now;
        fleet.run_for(Span::secs(10));
        assert_eq!(fleet.limited_hosts(), 0, "limit {limit}");
        assert!(fleet.rate_since(ended + Span::secs(5)) > demand * 0.9, "limit {limit}");
    }
}

/// Guards against hosts that start without knowledge of a limit and send until they are told.
#[test]
fn a_new_host_hears_of_limits_from_the_others() {
    let mut fleet = limited(&two_hosts(13, 50.0), 10.0, Sharing::Permits, SEED);
    let named = fleet.now;
    fleet.run_for(Span::secs(5));
    for _ in 0..3 {
        fleet.kill(0);
        fleet.run_for(Span::millis(300));
        fleet.start(0);
        fleet.run_for(Span::secs(5));
    }
    assert_within_bound(&fleet, named + REACTION_TIME, 10.0, "restarted");
}

/// Guards against a host that takes all permits because it asks more often or for more than others.
#[test]
fn permits_are_divided_fairly() {
    let mut lines = Vec::new();
    for demands in [&[60.0, 60.0, 60.0, 60.0][..], &[100.0, 3.0, 30.0, 1.0]] {
        let mut fleet = limited(demands, 10.0, Sharing::Permits, SEED);
        fleet.run_for(Span::secs(5));
        let from = fleet.now;
        fleet.run_for(Span::secs(60));
        let rates: Vec<String> =
            fleet.host_rates(from).iter().map(|rate| format!("{rate:.1}")).collect();
        lines.push(format!("wanted {demands:?}, got {}", rates.join(" ")));
    }
    assert_snapshot!(lines.join("\n"));
}
