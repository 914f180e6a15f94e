//! Rules of releases that hold without load: who is barred, what is held back, and how a status is
//! written.

use {
    crate::{
        common::{at, service},
        world::BOUNDS,
    },
    indexmap::IndexSet,
    rand::{SeedableRng, rngs::SmallRng},
    std::net::Ipv4Addr,
    wigeonramp_routing::{
        leaves::Leaves,
        limits::LimitHosts,
        position::{FIRST_ERA, Position},
        releases::{
            Releases,
            counts::{Counts, bucket, bucket_beyond},
            evidence::{Evidence, Finding, Side},
            exposure::Credit,
            messages::{ReleaseMessage, Verdict},
            order::{OrderKey, OrderState, Phase, StoredOrder, Version},
            status::StatusResult,
        },
    },
    wigeonramp_units::{Revision, Span},
};

fn version(text: &str) -> Version {
    text.to_owned().try_into().expect("a version")
}

fn order(target: &str, revision: u64, state: Option<OrderState>) -> StoredOrder {
    StoredOrder {
        key: OrderKey { service: service("s0"), target: version(target) },
        duration: Span::secs(12),
        written: Position::new(FIRST_ERA, Revision(revision)),
        state,
    }
}

fn own() -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 1)
}

fn hosts() -> LimitHosts {
    LimitHosts { candidates: vec![own()], known: 1, ..LimitHosts::default() }
}

fn releases() -> Releases {
    let mut releases = Releases::new(own(), Some(BOUNDS), 0);
    releases.on_leaf(&service("s0"), &Some(version("v1")), true, at(0));
    releases
}

/// Returns the versions that ordinary requests do not go to, with leaves of these versions.
fn barred(releases: &mut Releases, present: &[&str], ms: u64) -> String {
    let present: IndexSet<_> = present.iter().map(|text| Some(version(text))).collect();
    let barred = releases.barred(&service("s0"), &present, at(ms));
    let names: Vec<String> = barred.into_iter().flatten().map(String::from).collect();
    names.join(" ")
}

fn verdict(phase: Phase) -> ReleaseMessage {
    ReleaseMessage::Verdict(Verdict {
        key: order("v2", 1, None).key,
        age: Span::ZERO,
        phase,
        confirm: false,
        rate: 0,
        requested_state: None,
    })
}

/// Guards against requests to leaves of a new version whose order is still on its way, and against
/// a hold that lasts or that a host's first list begins.
#[test]
fn a_new_version_is_held_back_until_its_order_may_have_arrived() {
    let mut releases = releases();
    assert_eq!(barred(&mut releases, &["v1"], 0), "");
    releases.on_leaf(&service("s0"), &Some(version("v2")), false, at(1_000));
    assert_eq!(barred(&mut releases, &["v1", "v2"], 1_000), "v2");
    assert_eq!(barred(&mut releases, &["v1", "v2"], 4_100), "");
    releases.on_leaf(&service("s0"), &Some(version("v3")), true, at(5_000));
    assert_eq!(barred(&mut releases, &["v1", "v2", "v3"], 5_000), "");
}

/// Guards against requests to a version that no phase allows, and against a phase that goes back.
#[test]
fn each_phase_bars_the_other_side() {
    let mut releases = releases();
    releases.on_order(order("v2", 1, None), false, at(0));
    let host = Ipv4Addr::new(10, 0, 0, 2);
    let both = ["v1", "v2"];
    assert_eq!(barred(&mut releases, &both, 0), "v2");
    releases.on_message(host, verdict(Phase::Draining), at(1));
    assert_eq!(barred(&mut releases, &both, 1), "v1");
    releases.on_message(host, verdict(Phase::Half), at(2));
    assert_eq!(barred(&mut releases, &both, 2), "v1", "a late message changes nothing");
    releases.on_message(host, verdict(Phase::RolledBack), at(3));
    assert_eq!(barred(&mut releases, &both, 3), "v2");
}

/// Guards against a completed order that a late rollback of some host, an older copy of the store
/// or its own deletion undoes.
#[test]
fn a_final_status_stays() {
    let mut releases = releases();
    releases.on_order(order("v2", 1, None), false, at(0));
    releases.on_order(order("v2", 2, Some(OrderState::Completed)), false, at(1));
    releases.on_message(Ipv4Addr::new(10, 0, 0, 2), verdict(Phase::RolledBack), at(2));
    assert_eq!(barred(&mut releases, &["v1", "v2"], 2), "v1");
    let restored = Position::new(wigeonramp_units::StoreEra(2), Revision(1));
    let older = StoredOrder { written: restored, ..order("v2", 1, Some(OrderState::Running)) };
    releases.on_order(older, false, at(3));
    assert_eq!(barred(&mut releases, &["v1", "v2"], 3), "v1");
    let write = releases.due_write(&hosts(), at(4)).expect("the newer state is written again");
    assert_eq!((write.state, write.revision), (OrderState::Completed, Revision(1)));
    releases.withdraw(&service("s0"), at(5));
    assert_eq!(barred(&mut releases, &["v1", "v2"], 5), "");
}

/// Guards against requests to the candidate of an order that was deleted or replaced while it was
/// open.
#[test]
fn the_candidate_of_a_withdrawn_order_stays_barred() {
    let mut releases = releases();
    releases.on_order(order("v2", 1, None), false, at(0));
    releases.withdraw(&service("s0"), at(1));
    assert_eq!(barred(&mut releases, &["v1", "v2"], 5_000), "v2");
    releases.on_order(order("v3", 2, None), false, at(5_001));
    assert_eq!(barred(&mut releases, &["v1", "v2", "v3"], 5_001), "v2 v3");
    releases.on_order(order("v2", 3, None), false, at(5_002));
    assert_eq!(barred(&mut releases, &["v1", "v2", "v3"], 5_002), "v3 v2");
    releases.withdraw(&service("s0"), at(5_003));
    assert_eq!(barred(&mut releases, &["v1"], 5_004), "");
    assert_eq!(barred(&mut releases, &["v1", "v2"], 5_005), "", "other leaves of that name");
}

/// Guards against a status that is written a second time after a lost response, over the state of
/// another host, or not at all.
#[test]
fn a_lost_response_and_a_conflict_are_resolved_by_the_object() {
    let mut releases = releases();
    releases.on_order(order("v2", 7, None), false, at(0));
    let write = releases.due_write(&hosts(), at(0)).expect("the first status");
    assert_eq!((write.state, write.revision), (OrderState::Running, Revision(7)));
    assert_eq!(releases.due_write(&hosts(), at(1)), None, "one write at a time");
    releases.on_written(&write, StatusResult::Failed, at(700));
    assert_eq!(releases.due_write(&hosts(), at(800)), None, "a pause after a failure");
    let again = releases.due_write(&hosts(), at(900)).expect("the same status");
    let conflict =
        StatusResult::Conflict { revision: Revision(8), state: Some(OrderState::Running) };
    releases.on_written(&again, conflict, at(910));
    assert_eq!(releases.due_write(&hosts(), at(2_000)), None, "it had been applied");
    releases.on_message(Ipv4Addr::new(10, 0, 0, 2), verdict(Phase::RolledBack), at(2_001));
    let last = releases.due_write(&hosts(), at(2_001)).expect("the final status");
    assert_eq!((last.state, last.revision), (OrderState::RolledBack, Revision(8)));
    releases.on_written(&last, StatusResult::Written(Some(Revision(9))), at(2_010));
    assert_eq!(releases.due_write(&hosts(), at(9_000)), None);
    assert_eq!(releases.next_at(), None, "a settled order needs no work");
}

/// Guards against orders that change anything where the settings have no bounds.
#[test]
fn orders_are_ignored_without_bounds() {
    let mut releases = Releases::new(own(), None, 0);
    releases.on_leaf(&service("s0"), &Some(version("v1")), false, at(0));
    releases.on_leaf(&service("s0"), &Some(version("v2")), false, at(0));
    releases.on_order(order("v2", 1, None), false, at(0));
    assert_eq!(barred(&mut releases, &["v1", "v2"], 1), "");
    assert_eq!(releases.next_at(), None);
    let leaves = Leaves::new("a".parse().expect("a zone"));
    assert!(releases.poll(&leaves, &hosts(), at(10_000)).is_empty());
}

/// Guards against a sum over many hosts with few requests each that is biased by rounding.
#[test]
fn the_canary_share_of_many_hosts_has_no_bias() {
    let mut rng = SmallRng::seed_from_u64(crate::common::SEED);
    let mut sent = 0;
    for _ in 0..4_000 {
        let mut credit = Credit::new(&BOUNDS, Span::secs(12), 0.0, false, at(0), &mut rng);
        sent += (0..10).filter(|_| credit.take(Phase::Quarter, &BOUNDS, at(1), &mut rng)).count();
    }
    assert!((9_800..=10_200).contains(&sent), "{sent} of 10,000");
}

/// Guards against a rollback for pauses of healthy leaves, and against a slow or failing version
/// that is found late.
#[test]
fn the_tests_tell_pauses_from_slow_and_failing_versions() {
    let normal = Counts::of_response(Span::millis(9));
    let late = Counts::of_response(Span::millis(60));
    let failed = Counts { answered: 1, failed: 1, ..Counts::default() };
    let run = |response: &dyn Fn(u64) -> Counts| {
        let mut evidence = Evidence::new(at(0));
        for n in 0..100 {
            let ms = n * 100;
            for _ in 0..4 {
                evidence.add(1, Side::Baseline, &normal, Span::ZERO, at(ms));
            }
            evidence.add(1, Side::Candidate(n as u32 % 3), &response(n), Span::ZERO, at(ms));
            if let Some(finding) = evidence.finding(at(ms)) {
                return Some((finding, ms));
            }
        }
        None
    };
    // One of three leaves pauses for 300 ms each 2 s.
    assert_eq!(run(&|n| if n % 20 < 3 { late } else { normal }), None);
    let (finding, after) = run(&|_| late).expect("a slow version");
    assert!(finding == Finding::Slow && after <= 1_500, "{finding:?} after {after} ms");
    let (finding, after) = run(&|n| if n % 3 == 0 { failed } else { normal }).expect("a bad one");
    assert!(finding == Finding::Failing && after <= 2_500, "{finding:?} after {after} ms");
    let late_failure = |n| if n > 60 && n % 2 == 0 { failed } else { normal };
    let (_, after) = run(&late_failure).expect("one that turns bad");
    assert!(after <= 7_500, "found after {after} ms");
}

/// Guards against buckets that overlap or that let a latency of the given factor pass as the same.
#[test]
fn latencies_are_counted_in_buckets_by_ratio() {
    let buckets: Vec<usize> = [0, 2, 3, 9, 22, 60, 2_000].map(|ms| bucket(Span::millis(ms))).into();
    insta::assert_compact_debug_snapshot!(buckets, @"[0, 0, 3, 9, 14, 20, 39]");
    assert!(bucket_beyond(bucket(Span::millis(9)), 2.4) <= bucket(Span::millis(27)));
    assert!(bucket_beyond(bucket(Span::millis(9)), 2.4) > bucket(Span::millis(18)));
}
