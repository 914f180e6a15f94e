//! Following the store, and passing changes on.

mod common;

use {
    common::{SEED, at, entry},
    rand::{SeedableRng, rngs::SmallRng},
    wigeonramp_routing::{
        changes::{Change, ChangeLog},
        list_watch::{ListWatch, ListWatchCall},
    },
    wigeonramp_units::{Revision, Span},
};

fn names(all: &[&str]) -> impl Iterator<Item = String> {
    all.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>().into_iter()
}

/// Guards against changes between two pages that nobody sees.
#[test]
fn watch_starts_at_the_revision_of_the_first_page() {
    let mut feed = ListWatch::new(at(0));
    assert_eq!(feed.due(at(0)), Some(ListWatchCall::List { after: None }));
    assert!(feed.on_page(names(&["a", "b"]), true, Revision(10), at(1)).is_none());
    assert_eq!(feed.due(at(1)), Some(ListWatchCall::List { after: Some("b".to_owned()) }));
    let all = feed.on_page(names(&["c"]), false, Revision(14), at(2)).expect("the whole list");
    assert_eq!(all.len(), 3);
    assert_eq!(feed.due(at(2)), Some(ListWatchCall::Watch { since: Revision(10) }));
}

/// Guards against a call a change when changes come in quick succession.
#[test]
fn watch_pauses_after_changes() {
    let mut feed = ListWatch::new(at(0));
    feed.due(at(0));
    feed.on_page(names(&[]), false, Revision(5), at(0));
    feed.due(at(0));
    feed.on_changes(true, Revision(6), at(10));
    assert_eq!(feed.due(at(100)), None);
    assert_eq!(feed.due(at(400)), Some(ListWatchCall::Watch { since: Revision(6) }));
}

/// Guards against the loop of a feed that asks for a forgotten revision again and again; it cost
/// 0.5 of a day's worth in store calls.
#[test]
fn forgotten_revision_is_not_resumed() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut feed = ListWatch::new(at(0));
    feed.resume(Revision(50), at(0));
    assert_eq!(feed.due(at(0)), Some(ListWatchCall::Watch { since: Revision(50) }));
    feed.on_history_gone(at(1), &mut rng);
    feed.resume(Revision(50), at(500));
    assert_eq!(feed.due(at(500)), Some(ListWatchCall::List { after: None }));
    feed.on_error(at(501), &mut rng);
    feed.resume(Revision(60), at(502));
    assert_eq!(feed.due(at(5_000)), Some(ListWatchCall::Watch { since: Revision(60) }));
}

/// Guards against a store that is pressed while it is down.
#[test]
fn failures_are_answered_with_growing_pauses() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut feed = ListWatch::new(at(0));
    let mut calls = 0;
    for ms in 0..10_000 {
        if feed.due(at(ms)).is_some() {
            calls += 1;
            feed.on_error(at(ms), &mut rng);
        }
    }
    assert!((5..=14).contains(&calls), "{calls} calls in ten seconds");
}

/// Guards against registrations taken for gone that only lapsed while the store was away.
#[test]
fn registrations_may_come_back_shortly_after_an_outage() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut feed = ListWatch::new(at(0));
    feed.due(at(0));
    feed.on_error(at(0), &mut rng);
    assert!(feed.due(at(1_000)).is_some());
    feed.on_page(names(&[]), false, Revision(5), at(1_000));
    assert_eq!(feed.lapse_until(at(1_500)), Some(at(3_000)));
    assert_eq!(feed.lapse_until(at(3_000)), None);
}

fn change(id: &str) -> Change {
    Change::Leaf(entry(id, "s0", "a"))
}

/// Guards against a follower that misses a change, or is told of one in the wrong order.
#[test]
fn followers_get_what_they_miss_or_everything() {
    let mut log = ChangeLog::default();
    assert!(log.since(Revision(0)).is_none(), "nothing is known yet");
    log.restart(Revision(10), Revision(8));
    assert!(log.extend(Revision(12), &[change("x")]));
    assert!(!log.extend(Revision(12), &[change("x")]), "known already");
    assert!(log.extend(Revision(15), &[]));
    assert!(log.since(Revision(9)).is_none(), "before the list");
    let update = log.since(Revision(10)).expect("changes");
    assert_eq!((update.changes.len(), update.upto), (1, Revision(15)));
    assert_eq!(log.changed(), Revision(12), "an empty batch changes nothing");
    let gone = Change::LeafGone { id: "x".parse().expect("an id"), grace: Span::ZERO };
    log.extend(Revision(16), &[gone]);
    assert_eq!(log.since(Revision(12)).expect("changes").changes.len(), 1);
}
