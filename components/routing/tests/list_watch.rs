//! Listing and watching the store, and the log of changes for other hosts.

mod common;

use {
    common::{SEED, at, registration},
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

/// Guards against missed changes that are made between two pages of a list.
#[test]
fn watch_starts_at_the_revision_of_the_first_page() {
    let mut watch = ListWatch::new(at(0));
    assert_eq!(watch.start_due_call(at(0)), Some(ListWatchCall::List { after: None }));
    assert!(watch.on_page(names(&["a", "b"]), true, Revision(10), at(1)).is_none());
    assert_eq!(
        watch.start_due_call(at(1)),
        Some(ListWatchCall::List { after: Some("b".to_owned()) })
    );
    let all = watch.on_page(names(&["c"]), false, Revision(14), at(2)).expect("the whole list");
    assert_eq!(all.len(), 3);
    assert_eq!(watch.start_due_call(at(2)), Some(ListWatchCall::Watch { since: Revision(10) }));
}

/// Guards against one call per change when changes come in quick succession.
#[test]
fn watch_pauses_after_changes() {
    let mut watch = ListWatch::new(at(0));
    watch.start_due_call(at(0));
    watch.on_page(names(&[]), false, Revision(5), at(0));
    watch.start_due_call(at(0));
    watch.on_changes(true, Revision(6), at(10));
    assert_eq!(watch.start_due_call(at(100)), None);
    assert_eq!(watch.start_due_call(at(400)), Some(ListWatchCall::Watch { since: Revision(6) }));
}

/// Guards against a loop of watches from a revision that the store no longer has. Such a loop made
/// 0.5 of a day's store calls.
#[test]
fn forgotten_revision_is_not_resumed() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut watch = ListWatch::new(at(0));
    watch.advance_to(Revision(50), at(0));
    assert_eq!(watch.start_due_call(at(0)), Some(ListWatchCall::Watch { since: Revision(50) }));
    watch.on_history_gone(at(1), &mut rng);
    watch.advance_to(Revision(50), at(500));
    assert_eq!(watch.start_due_call(at(500)), Some(ListWatchCall::List { after: None }));
    watch.on_error(at(501), &mut rng);
    watch.advance_to(Revision(60), at(502));
    assert_eq!(watch.start_due_call(at(5_000)), Some(ListWatchCall::Watch { since: Revision(60) }));
}

/// Guards against frequent calls to a store that is down.
#[test]
fn failed_calls_back_off() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut watch = ListWatch::new(at(0));
    let mut calls = 0;
    for ms in 0..10_000 {
        if watch.start_due_call(at(ms)).is_some() {
            calls += 1;
            watch.on_error(at(ms), &mut rng);
        }
    }
    assert!((5..=14).contains(&calls), "{calls} calls in ten seconds");
}

/// Guards against removing leaves whose registrations merely lapsed in a store outage.
#[test]
fn registrations_may_come_back_shortly_after_an_outage() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut watch = ListWatch::new(at(0));
    watch.start_due_call(at(0));
    watch.on_error(at(0), &mut rng);
    assert!(watch.start_due_call(at(1_000)).is_some());
    watch.on_page(names(&[]), false, Revision(5), at(1_000));
    assert_eq!(watch.renewal_deadline(at(1_500)), Some(at(3_000)));
    assert_eq!(watch.renewal_deadline(at(3_000)), None);
}

/// Guards against a watch whose response was lost while its connection stayed open, between two
/// probes that both succeeded: all watching hosts then knew no later change until the watch timed
/// out after 27 s. Also guards against a call per probe while the store changes other objects.
#[test]
fn watch_is_made_again_when_the_store_has_moved_on_without_it() {
    let mut watch = ListWatch::new(at(0));
    watch.start_due_call(at(0));
    watch.on_page(names(&[]), false, Revision(5), at(0));
    assert!(watch.start_due_call(at(0)).is_some());
    assert!(!watch.is_doubtful(Revision(5), at(3_000)), "the store has not changed");
    assert!(!watch.is_doubtful(Revision(4), at(4_000)), "a stale revision");
    assert!(watch.is_doubtful(Revision(6), at(5_000)));
    watch.repeat(at(5_000));
    assert_eq!(watch.start_due_call(at(5_000)), Some(ListWatchCall::Watch { since: Revision(5) }));
    assert!(!watch.is_doubtful(Revision(6), at(9_000)), "made again since then");
    assert!(watch.is_doubtful(Revision(7), at(9_000)));
    watch.repeat(at(9_000));
    watch.start_due_call(at(9_000));
    let doubted = (0..10).filter(|n| watch.is_doubtful(Revision(8 + n), at(9_000 + n * 150)));
    assert_eq!(doubted.count(), 0, "within the first seconds of the watch");
}

fn change(id: &str) -> Change {
    Change::Leaf(registration(id, "s0", "a"))
}

/// Guards against a follower that misses a change or gets changes out of order.
#[test]
fn followers_get_what_they_miss_or_everything() {
    let mut log = ChangeLog::default();
    assert!(log.since(Revision(0)).is_none(), "the log is empty");
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
