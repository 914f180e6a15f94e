//! Tests of drain, entry choice, backoff, heartbeats and the budget of platform calls.

mod common;

use {
    common::{document, id},
    proptest::{collection::vec, prelude::*},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeSet, fmt::Write},
    wigeonramp_control::{
        assignment::AssignmentVersion,
        backoff::Backoff,
        call_budget::CallBudget,
        drain::{Drain, DrainProgress, DrainSettings, DrainState},
        entry::{EntryHost, EntryView, choose},
        heartbeat::{PeerReport, PeerTable, Versions},
    },
    wigeonramp_units::{ConfigVersion, Instant, Percent, Span},
};

const DRAIN: DrainSettings = DrainSettings {
    entry_lifetime: Span::secs(5),
    max_deadline: Span::secs(2),
    stale_after: Span::secs(2),
    phase_timeout: Span::secs(20),
};

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(14), failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn drain_stops_only_when_nothing_is_in_flight_and_callers_have_left(
        steps in vec((any::<bool>(), 0_usize..3, 0_usize..3, 0_u64..8_000), 1..40),
    ) {
        let mut now = Instant(1_000_000);
        let mut drain = Drain::new(DRAIN, now);
        drain.begin(now);
        let (mut unlisted_at, mut last) = (None, DrainState::Unlisted);
        for (leaving_written, held_leaves, in_flight, ms) in steps {
            now = now + Span::millis(ms);
            let progress = DrainProgress { leaving_written, held_leaves, in_flight };
            let state = drain.step(progress, now);
            if state == DrainState::HandingOver && last == DrainState::Unlisted {
                unlisted_at = Some(now);
            }
            if state == DrainState::Stopped && last != DrainState::Stopped {
                prop_assert_eq!(in_flight, 0);
                prop_assert!(now.since(unlisted_at.unwrap()) >= Span::secs(9));
            }
            last = state;
        }
    }
}

#[test]
fn drain_goes_through_all_states_and_continues_after_a_timeout_in_a_store_outage() {
    let mut table = String::new();
    let none = DrainProgress { leaving_written: false, held_leaves: 0, in_flight: 0 };
    for (case, progress) in [
        ("no fault", DrainProgress { leaving_written: true, ..none }),
        ("store unavailable, leaves not handed over", DrainProgress { held_leaves: 2, ..none }),
        ("request never ends", DrainProgress { leaving_written: true, in_flight: 1, ..none }),
    ] {
        let mut drain = Drain::new(DRAIN, Instant(0));
        drain.begin(Instant(0));
        let mut last = DrainState::Serving;
        for second in 0..100 {
            let state = drain.step(progress, Instant(0) + Span::secs(second));
            if state != last {
                writeln!(table, "{case}: {state:?} at {second}s").unwrap();
            }
            last = state;
        }
    }
    insta::assert_snapshot!(table);
}

fn hosts() -> Vec<EntryHost> {
    let host = |n: usize| EntryHost {
        host: id(&format!("h{n}")),
        zone: id(["a", "b", "c"][n % 3]),
        zone_in_service: true,
        address: format!("127.0.0.1:{}", 100 + n).parse().unwrap(),
        load: Percent(10),
        leaving: false,
        last_heard: Instant(10_000_000),
    };
    (0..9).map(host).collect()
}

#[test]
fn callers_are_never_sent_to_leaving_stale_or_taken_out_hosts() {
    let mut all = hosts();
    let mut table = String::new();
    let mut row = |case: &str, hosts: &[EntryHost], zone: Option<&str>| {
        let (stale_after, lifetime) = (Span::secs(2), Span::secs(5));
        let view = EntryView { hosts: hosts.to_vec(), stale_after, lifetime };
        let zone = zone.map(id);
        let answer = choose(&view, &id("caller-1"), zone.as_ref(), Instant(11_000_000));
        let ports: Vec<_> = answer.addresses.iter().map(|address| address.port()).collect();
        writeln!(table, "{case:<32} {ports:?} for {}", answer.lifetime).unwrap();
    };
    row("zone a", &all, Some("a"));
    row("no zone", &all, None);
    all[0].leaving = true;
    row("zone a, h0 leaving", &all, Some("a"));
    all[3].last_heard = Instant(8_000_000);
    row("zone a, h3 stale too", &all, Some("a"));
    all[6].load = Percent(90);
    row("zone a, h6 busy too", &all, Some("a"));
    all.iter_mut().filter(|h| h.zone == id("b")).for_each(|h| h.zone_in_service = false);
    row("zone a, zone b out too", &all, Some("a"));
    all.iter_mut().for_each(|h| h.zone_in_service = false);
    row("all out", &all, Some("a"));
    insta::assert_snapshot!(table);
}

#[test]
fn backoff_grows_to_2s_and_starts_again() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut backoff = Backoff::default();
    let delays: Vec<_> = (0..12).map(|_| backoff.next_delay(&mut rng)).collect();
    assert!(delays.iter().all(|delay| *delay <= Span::secs(2)));
    assert!(delays[8] >= Span::secs(1) && delays[0] <= Span::millis(50));
    backoff.reset();
    assert!(backoff.next_delay(&mut rng) <= Span::millis(50));
}

#[test]
fn heartbeats_reach_all_peers_and_replace_earlier_boots() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut peers = PeerTable::new(id("h0@1"), Span::secs(20));
    let report = |instance: &str, config| PeerReport {
        instance: id(instance),
        zone: id("a"),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        caller_address: "127.0.0.1:2".parse().unwrap(),
        versions: versions(config, 1),
        leaving: false,
        load: Percent(10),
    };
    (0..18).for_each(|n| peers.on_report(report(&format!("h{n}@1"), 1), Instant(0)));
    let mut reached = BTreeSet::new();
    for _ in 0..40 {
        let targets: BTreeSet<_> =
            peers.choose_targets(&mut rng).iter().map(|p| p.instance.clone()).collect();
        assert_eq!(targets.len(), 3);
        reached.extend(targets);
    }
    assert_eq!(reached.len(), 17, "all but this instance");
    peers.on_report(report("h3@2", 2), Instant(0) + Span::secs(19));
    assert!(peers.get(&id("h3@1")).is_none() && peers.get(&id("h4@1")).is_some());
    peers.on_report(report("h5@1", 1), Instant(0) + Span::secs(20));
    let hosts = peers.entry_hosts(&document(1)).into_iter().map(|host| host.host.to_string());
    assert_eq!(hosts.collect::<Vec<_>>(), ["h3", "h5"]);
    assert_eq!(peers.with_config_at_least(ConfigVersion(2)).collect::<Vec<_>>(), [&id("h3@2")]);
}

fn versions(config: u64, assignment: u64) -> Versions {
    Versions { config: ConfigVersion(config), assignment: AssignmentVersion(assignment) }
}

#[test]
fn only_higher_versions_are_fetched() {
    let fetch = versions(2, 5).fetch_from(versions(3, 4));
    assert!(fetch.config && !fetch.assignment);
    assert_eq!(versions(2, 5).merged(versions(3, 4)), versions(3, 5));
}

#[test]
fn platform_calls_stay_within_the_rates_with_18_and_570_hosts() {
    let (small, large) = (CallBudget::new(18, Span::secs(4)), CallBudget::new(570, Span::secs(15)));
    for budget in [&small, &large] {
        assert!(budget.writes() < 300.0 && budget.reads() < 1_000.0);
    }
    let rows =
        [small, large].map(|b| format!("{b:.1?} writes {:.1} reads {:.1}", b.writes(), b.reads()));
    insta::assert_snapshot!(rows.join("\n"));
}
