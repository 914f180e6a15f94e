//! Tests of quarantine, budgets, latency windows, outlier detection, admission control and known
//! fingerprints.

mod common;

use {
    common::{collection, leaf, ms},
    insta::assert_snapshot,
    std::fmt::Write,
    wigeonramp_config::{Prefer, Priority},
    wigeonramp_serving::{
        admission::{AdmissionController, AdmissionDecision},
        budget::TokenBudget,
        ejection::{LeafLatency, OutlierDetector},
        latency::LatencyWindow,
        quarantine::Quarantine,
        query::KnownFingerprints,
    },
    wigeonramp_units::{Fingerprint, Instant, Percent, Span},
};

const CRASHING: Fingerprint = Fingerprint(1);
const HARMLESS: Fingerprint = Fingerprint(2);

fn quarantine() -> Quarantine {
    Quarantine::new(Span::secs(600))
}

/// Both requests were running when leaf `a` reset, and again when leaf `b` did.
fn both_suspected() -> Quarantine {
    let mut quarantine = quarantine();
    for (time, name) in [(0, "a"), (1, "b")] {
        for fingerprint in [CRASHING, HARMLESS] {
            quarantine.record_reset(fingerprint, leaf(name), false, ms(time));
        }
    }
    quarantine
}

#[test]
fn second_leaf_quarantines_and_a_harmless_request_is_cleared() {
    let mut quarantine = both_suspected();
    let mut table = String::new();
    let mut record = |text: &str, quarantine: &Quarantine, now: Instant| {
        let verdicts = [CRASHING, HARMLESS].map(|f| quarantine.verdict(f, now));
        let _ = writeln!(table, "{text}: {verdicts:?}");
    };
    record("both at two leaves", &quarantine, ms(2));
    quarantine.record_reset(CRASHING, leaf("b"), true, ms(3));
    record("one crashed alone", &quarantine, ms(3));
    quarantine.record_success(HARMLESS, ms(4));
    record("the other succeeded", &quarantine, ms(4));
    record("expired", &quarantine, ms(600_003));
    assert_snapshot!(table);
}

#[test]
fn same_leaf_twice_is_no_quarantine() {
    let mut quarantine = quarantine();
    quarantine.record_reset(CRASHING, leaf("a"), true, ms(0));
    quarantine.record_reset(CRASHING, leaf("a"), true, ms(1));
    assert_snapshot!(format!("{:?}", quarantine.verdict(CRASHING, ms(2))), @"Alone");
}

#[test]
fn heartbeats_spread_suspicion_quarantine_and_clearing() {
    let mut table = String::new();
    let (mut one, mut two) = (quarantine(), quarantine());
    let mut record = |text: &str, one: &Quarantine, two: &Quarantine, now| {
        let verdicts = [one, two].map(|quarantine| quarantine.verdict(CRASHING, now));
        let _ = writeln!(table, "{text}: {verdicts:?}");
    };
    one.record_reset(CRASHING, leaf("a"), true, ms(0));
    two.merge(&one.export(ms(10)), ms(10));
    record("suspect at one", &one, &two, ms(10));
    two.record_reset(CRASHING, leaf("b"), false, ms(20));
    one.merge(&two.export(ms(30)), ms(30));
    record("suspect at the other", &one, &two, ms(30));
    two.merge(&one.export(ms(40)), ms(40));
    record("spread back", &one, &two, ms(40));
    let stale = one.export(ms(45));
    one.record_success(CRASHING, ms(50));
    two.merge(&one.export(ms(60)), ms(60));
    record("cleared", &one, &two, ms(60));
    two.merge(&stale, ms(70));
    record("stale heartbeat", &one, &two, ms(70));
    one.record_reset(CRASHING, leaf("c"), true, ms(5_000));
    two.merge(&one.export(ms(5_010)), ms(5_010));
    record("newer reset", &one, &two, ms(5_010));
    assert_snapshot!(table);
}

#[test]
fn budget_is_a_share_of_sends_with_a_bounded_burst() {
    let budget = TokenBudget::new(Percent(5), 2);
    let burst = (0..10).filter(|_| budget.try_take()).count();
    let mut taken = 0;
    for _ in 0..1_000 {
        budget.record_attempt();
        taken += u32::from(budget.try_take());
    }
    (0..1_000).for_each(|_| budget.record_attempt());
    let saved = (0..10).filter(|_| budget.try_take()).count();
    assert_snapshot!(format!("{burst} {taken} {saved}"), @"2 50 2");
}

#[test]
fn window_forgets_old_answers() {
    let mut window = LatencyWindow::new(Span::secs(10));
    let mut table = format!("{:?}\n", window.percentiles(ms(0)));
    for i in 1..=100 {
        window.record(Span::millis(i), ms(i));
    }
    let _ = writeln!(table, "{:?}", window.percentiles(ms(100)));
    let _ = writeln!(table, "{:?}", window.percentiles(ms(10_090)));
    let _ = writeln!(table, "{:?}", window.percentiles(ms(20_000)));
    assert_snapshot!(table);
}

#[test]
fn ejection_keeps_the_share_and_the_last_replica() {
    let map = &collection(4, Prefer::Coverage).maps[0];
    let mut ejection = OutlierDetector::new(Percent(30));
    let mut table = String::new();
    for name in ["a0", "b0", "a1", "a2"] {
        let ejected = (0..5).any(|_| ejection.record_failure(&leaf(name), map, ms(0)));
        let _ = writeln!(table, "{name} fails 5 times: ejected {ejected}");
    }
    for time in [4_999, 5_000] {
        let _ = writeln!(table, "{time} a0: {}", ejection.is_ejected(&leaf("a0"), ms(time)));
    }
    for _ in 0..4 {
        ejection.record_failure(&leaf("a0"), map, ms(6_000));
    }
    ejection.record_success(&leaf("a0"));
    let again = ejection.record_failure(&leaf("a0"), map, ms(6_000));
    let _ = writeln!(table, "failures with a success between: {again}");
    let names = ["a0", "b0", "a1", "b1", "a2", "b2", "a3", "b3"];
    let latency = |(i, name): (usize, &&str)| LeafLatency {
        leaf: leaf(name),
        p50: Span::millis(if i == 0 { 30 } else { 5 }),
        samples: 20,
    };
    let latencies: Vec<_> = names.iter().enumerate().map(latency).collect();
    let _ = writeln!(table, "slow: {:?}", ejection.eject_slow_leaves(&latencies, map, ms(9_000)));
    assert_snapshot!(table);
}

#[test]
fn admission_keeps_room_for_urgent_work_and_a_floor_for_ordinary_work() {
    let mut admission = AdmissionController::new(10, Percent(10));
    let mut table = String::new();
    let mut admit = |priority, expected| {
        let admit = admission.admit(priority, ms(100), Span::millis(expected), ms(0));
        let _ = writeln!(table, "{priority:?}: {admit:?}");
        admit == AdmissionDecision::Admitted
    };
    admit(Priority::Urgent, 100);
    while admit(Priority::Ordinary, 10) {}
    while admit(Priority::Urgent, 10) {}
    let mut flooded = AdmissionController::new(10, Percent(10));
    let urgent = (0..20).filter(|_| {
        flooded.admit(Priority::Urgent, ms(100), Span::ZERO, ms(0)) == AdmissionDecision::Admitted
    });
    let urgent = urgent.count();
    let ordinary = flooded.admit(Priority::Ordinary, ms(100), Span::ZERO, ms(0));
    let _ = writeln!(table, "after {urgent} urgent ones: {ordinary:?}, load {}", flooded.load());
    flooded.release(Priority::Urgent, Span::secs(1));
    let _ = writeln!(table, "{}", flooded.in_flight());
    assert_snapshot!(table);
}

#[test]
fn fingerprints_are_known_for_a_while() {
    let mut known = KnownFingerprints::new(Span::secs(10), 2);
    known.record_success(Fingerprint(1), ms(0));
    let before = known.is_known(Fingerprint(1), ms(9_999));
    let after = known.is_known(Fingerprint(1), ms(10_000));
    for i in 2..=4 {
        known.record_success(Fingerprint(i), ms(1));
    }
    let kept = (1..=4).filter(|i| known.is_known(Fingerprint(*i), ms(2))).count();
    known.remove(Fingerprint(4));
    let forgotten = known.is_known(Fingerprint(4), ms(2));
    assert_eq!((before, after, kept, forgotten), (true, false, 2, false));
}

/// Guards against hedges of ordinary requests, which exhaust the budget, and against a single
/// straggler that determines the hedge delay of a leaf with few samples.
#[test]
fn hedges_wait_for_two_medians_and_for_enough_answers() {
    let mut few = LatencyWindow::new(Span::secs(60));
    let mut pooled = LatencyWindow::new(Span::secs(60));
    for i in 0..8 {
        few.record(Span::millis(if i == 0 { 80 } else { 8 }), ms(i));
    }
    for i in 0..100 {
        pooled.record(Span::millis(if i % 50 == 0 { 80 } else { 8 }), ms(i));
    }
    let (few, pooled) = (few.percentiles(ms(100)), pooled.percentiles(ms(100)));
    assert_eq!(few.hedge_delay(), Span::millis(80));
    assert_eq!(pooled.hedge_delay(), Span::millis(16));
    assert_eq!(few.or_pooled(pooled), pooled);
    assert_eq!(pooled.or_pooled(few), pooled);
}
