//! Whether a host has lost its links to all leaves.

mod common;

use {
    common::{at, routing_state},
    indexmap::IndexSet,
    wigeonramp_routing::{
        leaf::HealthSignal,
        leaf_links::{LeafLinks, LinkState},
        leaves::LeafKey,
        state::RoutingState,
    },
    wigeonramp_units::{Instant, Span},
};

/// Number of leaves that can be probed.
const LEAVES: usize = 20;

fn leaf(n: u64) -> LeafKey {
    LeafKey(n)
}

/// Returns links that a leaf was reached through at `ms`.
fn up(ms: u64) -> LeafLinks {
    let mut links = LeafLinks::default();
    links.on_opened(at(ms));
    links.on_heard(at(ms));
    links
}

/// Probes leaves from `ms` on, which all fail after 300 ms, until the links are down or 2 s have passed;
/// returns the time.
fn fail_probes(links: &mut LeafLinks, ms: u64) -> Option<u64> {
    let mut next = 100;
    let mut probes: Vec<(LeafKey, Instant)> = Vec::new();
    for ms in (ms..ms + 2_000).step_by(50) {
        let now = at(ms);
        let due = probes.extract_if(.., |(_, started)| now.since(*started).as_millis() >= 300);
        due.for_each(|(leaf, started)| links.on_unopened(leaf, started, now));
        if links.advance(LEAVES, now) == Some(LinkState::Down) {
            return Some(ms);
        }
        probes.extend((0..links.take_probes(now)).map(|_| {
            next += 1;
            (leaf(next), now)
        }));
    }
    None
}

/// Guards against a host that goes on trying leaves although it reaches none: requests to several leaves get
/// no response, and no connection can be opened.
#[test]
fn a_host_that_reaches_no_leaf_knows_it_within_a_second() {
    let mut links = up(0);
    for n in 0..3 {
        links.on_broken(leaf(n), at(250));
    }
    let lost_at = fail_probes(&mut links, 250);
    assert!(lost_at.is_some_and(|ms| ms <= 1_000), "{lost_at:?}");
}

/// Guards against hosts with little traffic that learn of the loss from their first callers only.
#[test]
fn a_host_without_traffic_checks_its_links_once_another_has_lost_its_own() {
    let mut links = up(0);
    links.on_other_lost(at(5_000));
    assert!(fail_probes(&mut links, 5_000).is_some_and(|ms| ms <= 6_000));
    let mut heard = up(0);
    heard.on_heard(at(4_900));
    heard.on_other_lost(at(5_000));
    assert_eq!(heard.state(), LinkState::Up, "it hears leaves");
}

/// Guards against leaves that fail and are taken for lost links: one leaf that can be reached is enough.
#[test]
fn failures_of_many_leaves_are_not_a_loss_of_links() {
    let mut links = up(0);
    for n in 0..15 {
        links.on_unopened(leaf(n), at(100), at(400));
        links.on_broken(leaf(n), at(400));
    }
    assert_eq!(links.advance(LEAVES, at(400)), Some(LinkState::Suspect));
    assert!(links.take_probes(at(400)) > 0);
    links.on_opened(at(402));
    assert_eq!(links.state(), LinkState::Up);
    for n in 0..15 {
        links.on_unopened(leaf(n), at(500), at(800));
    }
    assert_eq!(links.advance(LEAVES, at(800)), None, "it was checked a moment ago");
}

/// Guards against probes in the absence of trouble, which cost connections.
#[test]
fn a_single_failing_leaf_causes_no_probes_while_others_respond() {
    let mut links = up(0);
    for ms in (0..10_000).step_by(100) {
        links.on_broken(leaf(1), at(ms));
        links.on_unopened(leaf(1), at(ms), at(ms));
        links.advance(LEAVES, at(ms));
        assert_eq!(links.take_probes(at(ms)), 0);
        links.on_heard(at(ms));
    }
}

/// Guards against the loss of new connections that goes unnoticed because old ones live on.
#[test]
fn responses_on_old_connections_do_not_hide_that_none_can_be_opened() {
    let mut links = up(0);
    for n in 0..3 {
        links.on_unopened(leaf(n), at(100), at(100));
        links.on_heard(at(101));
    }
    assert!(fail_probes(&mut links, 150).is_some());
}

/// Guards against connections that were started during the loss and end after it: they say nothing of the
/// links that are back.
#[test]
fn late_failures_of_earlier_connections_do_not_count_after_the_return() {
    let mut links = up(0);
    for n in 0..3 {
        links.on_broken(leaf(n), at(250));
    }
    let lost_at = fail_probes(&mut links, 250).expect("a loss");
    let back = lost_at + 1_000;
    links.on_opened(at(back));
    assert_eq!(links.state(), LinkState::Returning);
    for n in 0..10 {
        links.on_unopened(leaf(n), at(back - 200), at(back + 100));
    }
    assert_eq!(links.advance(LEAVES, at(back + 100)), None);
    assert_eq!(links.advance(LEAVES, at(back + 1_000)), Some(LinkState::Up));
}

/// Guards against callers that come and go with links that are lost each four seconds.
#[test]
fn flapping_links_must_hold_longer_each_time() {
    let mut links = up(0);
    let mut changes = Vec::new();
    for cut in [1_000, 5_000, 9_000, 13_000] {
        for n in 0..3 {
            links.on_broken(leaf(n), at(cut + 200));
        }
        let lost_at = match links.state() {
            LinkState::Up => fail_probes(&mut links, cut + 200),
            _ => fail_probes(&mut links, cut),
        };
        changes.push((lost_at.map(|ms| ms - cut), "down"));
        let back = cut + 2_000;
        links.on_opened(at(back));
        let up_at = (back..cut + 4_000)
            .step_by(50)
            .find(|ms| links.advance(LEAVES, at(*ms)) == Some(LinkState::Up));
        changes.push((up_at.map(|ms| ms - back), "up"));
    }
    insta::assert_debug_snapshot!(changes);
}

/// Guards against probes that all go to leaves of one service, which may have failed as a whole, to leaves that
/// have failed already or to those that want no connections.
#[test]
fn probes_go_to_leaves_of_several_services() {
    let mut cx = routing_state(5);
    let key = |cx: &RoutingState, id: &str| {
        cx.leaves.key_of(&id.parse().expect("a leaf id")).expect("a leaf")
    };
    let failed: IndexSet<LeafKey> = [key(&cx, "l0a"), key(&cx, "l1b")].into();
    let resting = key(&cx, "l2a");
    let process = cx.leaves.get(resting).expect("a leaf").registration.instance();
    cx.leaves.on_pause(resting, &process, Span::secs(5), at(0), &mut cx.rng);
    for _ in 0..50 {
        let chosen = cx.leaves.choose_probes(5, &failed, at(1), &mut cx.rng);
        let service = |key: &LeafKey| &cx.leaves.get(*key).expect("a leaf").registration.service;
        let services: IndexSet<_> = chosen.iter().map(service).collect();
        assert_eq!(services.len(), 5, "one of each service");
        assert!(chosen.iter().all(|key| !failed.contains(key) && *key != resting));
    }
    assert_eq!(cx.leaves.probe_count(at(1)), 9);
}

/// Guards against an installation with few leaves that can never find out.
#[test]
fn two_leaves_are_enough_to_know() {
    let mut links = up(0);
    links.on_unopened(leaf(1), at(1_000), at(1_000));
    assert_eq!(links.advance(2, at(1_000)), Some(LinkState::Suspect));
    assert_eq!(links.take_probes(at(1_000)), 3);
    links.on_unopened(leaf(2), at(1_000), at(1_001));
    assert_eq!(links.advance(2, at(1_001)), Some(LinkState::Down));
    assert_eq!(LeafLinks::default().advance(0, at(0)), None, "without leaves there are no links");
}

/// Guards against leaves that a host avoids, sends the load of cold ones or refuses requests for after its links
/// are back, because of failures that were those of the links.
#[test]
fn failures_during_a_loss_of_links_are_forgotten() {
    let mut cx = routing_state(1);
    let key = cx.leaves.key_of(&"l0a".parse().expect("a leaf id")).expect("a leaf");
    let fail = |cx: &mut RoutingState, ms: u64| {
        cx.leaves.on_connect_failed(key, Span::secs(30), at(ms));
        cx.leaves.on_sent(key, Span::millis(20), at(ms));
        cx.leaves.on_ended(key, at(ms), Span::millis(20), HealthSignal::Silent, at(ms + 400));
    };
    fail(&mut cx, 1_000);
    for n in 0..3 {
        cx.links.on_broken(leaf(n), at(1_400));
    }
    assert!(fail_probes(&mut cx.links, 1_400).is_some());
    assert!(cx.leaves.is_unhealthy(key, at(1_500)));
    cx.forget_link_failures();
    let sound = cx.leaves.get(key).expect("a leaf");
    assert!(!cx.leaves.is_unhealthy(key, at(1_500)) && !sound.is_cold(at(1_500)));
    assert!((sound.latency_ratio(at(1_500)) - 1.0).abs() < f64::EPSILON);
}

/// Guards against a leaf that failed before the loss of links and is trusted after it.
#[test]
fn failures_before_a_loss_of_links_count_after_it() {
    let mut cx = routing_state(1);
    let key = cx.leaves.key_of(&"l0a".parse().expect("a leaf id")).expect("a leaf");
    cx.leaves.on_connect_failed(key, Span::secs(30), at(100));
    for n in 0..3 {
        cx.links.on_broken(leaf(n), at(5_000));
    }
    assert!(fail_probes(&mut cx.links, 5_000).is_some());
    cx.forget_link_failures();
    assert!(cx.leaves.get(key).expect("a leaf").is_cold(at(6_000)));
}
