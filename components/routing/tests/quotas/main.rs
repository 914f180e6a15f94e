//! Quotas of accounts over all hosts, in simulated fleets.

mod fleet;

use {
    fleet::{Fleet, USED, account},
    insta::assert_snapshot,
    std::fmt::Write as _,
    wigeonramp_units::{Instant, Span},
};

const RATE: f64 = 17.0;
const BURST: f64 = 17.0;

/// Returns the demands of the used hosts, `total` requests per second together: equal, or mostly at
/// two.
fn demands(hosts: usize, total: f64, is_skewed: bool) -> Vec<f64> {
    let used = USED.min(hosts);
    let part = |n: usize| match (is_skewed, n) {
        (false, _) => 1.0 / used as f64,
        (true, 0 | 7) => 0.4,
        (true, _) => 0.2 / (used - 2) as f64,
    };
    (0..used).map(|n| total * part(n)).collect()
}

fn settled(hosts: usize, rate: f64, burst: f64, load: f64, is_skewed: bool, seed: u64) -> Fleet {
    let accounts = vec![account("one", rate, burst)];
    let mut fleet = Fleet::new(hosts, &demands(hosts, 0.5 * rate, is_skewed), accounts, seed);
    fleet.run(Span::secs(12));
    fleet.set_demands(&demands(hosts, load * rate, is_skewed));
    fleet.run(Span::secs(2));
    fleet.reset();
    fleet
}

/// Guards against hosts that together exceed a quota, against requests that are refused although
/// one bucket for all hosts would admit them, and against a part of a quota that nobody can use.
#[test]
fn quotas_hold_for_any_distribution_of_the_demand() {
    let mut table = String::new();
    let (mut sent, mut refused) = (0, 0);
    for hosts in [13, 132, 570] {
        for (rate, burst) in [(RATE, BURST), (2.0, 4.0), (0.5, 1.0)] {
            for is_skewed in [false, true] {
                for load in [0.2, 0.6, 1.0, 1.3, 9.0] {
                    let mut fleet = settled(hosts, rate, burst, load, is_skewed, 7);
                    fleet.run(Span::secs(if hosts > 132 { 15 } else { 45 }));
                    let worst = fleet.worst_window(fleet.quota(), Instant::default());
                    let served = fleet.served_share();
                    let (mean, most) = fleet.bytes_per_second();
                    let o = &fleet.outcome;
                    let wait = o.wait_us as f64 / 1e3 / o.waited.max(1) as f64;
                    writeln!(
                        table,
                        "| {hosts} | {rate} | {} | {load} | {worst:.2} | {served:.2} | {} | {} | {} | {} | \
                         {wait:.1} | {mean:.0} | {most:.0} |",
                        if is_skewed { "two hosts" } else { "equal" },
                        o.sent,
                        o.refused,
                        o.refused_within_quota,
                        o.waited,
                    )
                    .expect("text");
                    assert!(worst <= 1.0, "the bound is exceeded:\n{table}");
                    let is_exhausted = load > 1.0 && rate > 2.0;
                    assert!(!is_exhausted || served >= 0.95, "the quota is not used:\n{table}");
                    if load <= 1.0 {
                        sent += o.sent;
                        refused += o.refused_within_quota;
                    }
                }
            }
        }
    }
    let total = format!("up to the quota: {refused} of {sent} refused");
    assert!(refused * 1_000 <= sent, "{refused} of {sent} refused within the quota:\n{table}");
    assert_snapshot!(format!("{table}{total}"));
}

/// A fault, and what ends it some seconds later.
type Fault = (&'static str, fn(&mut Fleet, usize), fn(&mut Fleet, usize));

fn nothing(_: &mut Fleet, _: usize) {}

fn restart(fleet: &mut Fleet, host: usize) {
    fleet.kill(host);
    fleet.start(host);
}

fn restart_all(fleet: &mut Fleet, _: usize) {
    (0..fleet.len()).for_each(|n| fleet.kill(n));
    (0..fleet.len()).for_each(|n| fleet.start(n));
}

fn kill_most(fleet: &mut Fleet, _: usize) {
    (0..12).for_each(|n| fleet.kill(n));
}

fn start_most(fleet: &mut Fleet, _: usize) {
    (0..12).for_each(|n| fleet.start(n));
}

fn cut_off_six(fleet: &mut Fleet, _: usize) {
    (0..18).step_by(3).take(fleet.len()).for_each(|n| fleet.move_to_side(n.min(12), n + 1));
}

fn part(fleet: &mut Fleet, _: usize) {
    (0..fleet.len()).for_each(|n| fleet.move_to_side(n, n % 2));
}

fn rejoin(fleet: &mut Fleet, _: usize) {
    (0..fleet.len()).for_each(|n| fleet.move_to_side(n, 0));
}

const FAULTS: [Fault; 11] = [
    ("allocator killed, started after 3 s", Fleet::kill, Fleet::start),
    ("allocator restarted at once", restart, nothing),
    ("allocator lost for good", Fleet::kill, nothing),
    ("allocator suspended with its clock", Fleet::freeze, Fleet::thaw),
    ("allocator cut off", |f, n| f.move_to_side(n, 1), |f, n| f.move_to_side(n, 0)),
    ("busy host suspended with its clock", |f, _| f.freeze(0), |f, _| f.thaw(0)),
    ("busy host cut off", |f, _| f.move_to_side(0, 1), |f, _| f.move_to_side(0, 0)),
    ("six hosts cut off, each by itself", cut_off_six, rejoin),
    ("two halves", part, rejoin),
    ("all restarted", restart_all, nothing),
    ("12 of 18 killed", kill_most, start_most),
];

/// Guards against a quota that is exceeded while hosts fail, come back, or go on without the
/// others, and against hosts that refuse many requests within the quota then.
#[test]
fn quotas_hold_while_hosts_fail() {
    let mut table = String::new();
    for hosts in [13, 132] {
        for (name, begin, end) in FAULTS {
            for (load, is_skewed) in [(0.6, false), (9.0, false), (9.0, true)] {
                let mut fleet = settled(hosts, RATE, BURST, load, is_skewed, 11);
                for _ in 0..3 {
                    let allocator = fleet.allocator();
                    begin(&mut fleet, allocator);
                    fleet.run(Span::secs(3));
                    end(&mut fleet, allocator);
                    fleet.run(Span::secs(9));
                }
                let worst = fleet.worst_window(fleet.quota(), Instant::default());
                let o = &fleet.outcome;
                writeln!(
                    table,
                    "| {hosts} | {name} | {load} | {worst:.2} | {:.2} | {} | {} |",
                    fleet.served_share(),
                    o.sent,
                    o.refused_within_quota,
                )
                .expect("text");
                assert!(worst <= 1.0, "the bound is exceeded:\n{table}");
            }
        }
    }
    assert_snapshot!(table);
}

/// Guards against an allocator that comes back after a while and grants again what it had saved,
/// while the one in between has granted as much: an account that was idle sends its whole burst to
/// both.
#[test]
fn returning_allocators_grant_nothing_twice() {
    for seed in 0..12 {
        let mut fleet = settled(132, RATE, 60.0, 0.05, false, seed);
        let allocator = fleet.allocator();
        fleet.move_to_side(allocator, 1);
        fleet.run(Span::secs(14));
        fleet.set_demands(&demands(132, 300.0, false));
        fleet.run(Span::millis(500 + 200 * seed));
        fleet.move_to_side(allocator, 0);
        fleet.run(Span::secs(6));
        let worst = fleet.worst_window(fleet.quota(), Instant::default());
        assert!(worst <= 1.0, "the bound is exceeded with seed {seed}: {worst}");
    }
}

/// Guards against a quota that is lowered, raised, removed or new and does not take effect.
#[test]
fn changes_of_a_quota_take_effect() {
    let mut fleet = settled(132, RATE, BURST, 5.0, false, 3);
    fleet.run(Span::secs(5));
    let low = account("one", 2.0, 2.0);
    fleet.set_accounts(vec![low.clone()]);
    let binding = fleet.now + Span::secs(5);
    fleet.run(Span::secs(20));
    let worst = fleet.worst_window(low.quota.expect("a quota"), binding);
    assert!(worst <= 1.0, "the lowered quota is exceeded: {worst}");
    fleet.set_accounts(vec![account("one", 60.0, 60.0)]);
    fleet.run(Span::secs(3));
    fleet.reset();
    fleet.run(Span::secs(10));
    assert!(fleet.served_share() >= 0.95, "the raised quota is used: {}", fleet.served_share());
    fleet.set_accounts(vec![account("one", 0.0, 0.0)]);
    fleet.reset();
    fleet.run(Span::secs(5));
    assert_eq!(fleet.outcome.refused, 0, "there is no quota");
    fleet.set_accounts(vec![low.clone()]);
    let binding = fleet.now + Span::secs(5);
    fleet.run(Span::secs(15));
    let worst = fleet.worst_window(low.quota.expect("a quota"), binding);
    assert!(worst <= 1.0, "the new quota is exceeded: {worst}");
}
