//! Listing and watching the store, and the log of changes for other hosts.

mod common;

use {
    common::{SEED, at, registration},
    rand::{SeedableRng, rngs::SmallRng},
    wigeonramp_routing::{
        changes::{Change, ChangeLog},
        list_watch::{ListWatch, ListWatchCall},
        position::{FIRST_ERA, Position},
    },
    wigeonramp_units::{Revision, Span, StoreEra},
};

fn position(revision: u64) -> Position {
    Position::new(FIRST_ERA, Revision(revision))
}

fn later_era(revision: u64) -> Position {
    Position::new(FIRST_ERA.next(), Revision(revision))
}

fn names(all: &[&str]) -> impl Iterator<Item = String> {
    all.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>().into_iter()
}

/// Guards against missed changes that are made between two pages of a list.
#[test]
fn watch_starts_at_the_revision_of_the_first_page() {
    let mut watch = ListWatch::new(at(0));
    assert_eq!(watch.start_due_call(at(0)), Some(ListWatchCall::List { after: None }));
    assert!(watch.on_page(names(&["a", "b"]), true, position(10), at(1)).is_none());
    assert_eq!(
        watch.start_due_call(at(1)),
        Some(ListWatchCall::List { after: Some("b".to_owned()) })
    );
    let all = watch.on_page(names(&["c"]), false, position(14), at(2)).expect("the whole list");
    assert_eq!(all.len(), 3);
    assert_eq!(watch.start_due_call(at(2)), Some(ListWatchCall::Watch { since: Revision(10) }));
}

/// Guards against one call per change when changes come in quick succession.
#[test]
fn watch_pauses_after_changes() {
    let mut watch = ListWatch::new(at(0));
    watch.start_due_call(at(0));
    watch.on_page(names(&[]), false, position(5), at(0));
    watch.start_due_call(at(0));
    watch.on_changes(true, position(6), at(10));
    assert_eq!(watch.start_due_call(at(100)), None);
    assert_eq!(watch.start_due_call(at(400)), Some(ListWatchCall::Watch { since: Revision(6) }));
}

/// Guards against a loop of watches from a revision that the store no longer has. Such a loop made
/// 0.5 of a day's store calls.
#[test]
fn forgotten_revision_is_not_resumed() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut watch = ListWatch::new(at(0));
    watch.advance_to(position(50), at(0));
    assert_eq!(watch.start_due_call(at(0)), Some(ListWatchCall::Poll { since: Revision(50) }));
    watch.on_history_gone(at(1), &mut rng);
    watch.advance_to(position(50), at(500));
    assert_eq!(watch.start_due_call(at(500)), Some(ListWatchCall::List { after: None }));
    watch.on_error(at(501), &mut rng);
    watch.advance_to(position(60), at(502));
    assert_eq!(watch.start_due_call(at(5_000)), Some(ListWatchCall::Poll { since: Revision(60) }));
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
    watch.on_page(names(&[]), false, position(5), at(1_000));
    assert_eq!(watch.renewal_deadline(at(1_500)), Some(at(3_000)));
    assert_eq!(watch.renewal_deadline(at(3_000)), None);
}

/// Guards against a watch whose response was lost while its connection stayed open, between two
/// probes that both succeeded: all watching hosts then knew no later change until the watch timed
/// out after 27 s. Also guards against a watch that is made again for changes that it has shown, or
/// because the store changes other objects.
#[test]
fn watch_is_made_again_when_a_probe_shows_changes_without_it() {
    let mut watch = ListWatch::new(at(0));
    watch.start_due_call(at(0));
    assert_eq!(watch.probe(), None, "the list shows whether the store answers");
    watch.on_page(names(&[]), false, position(5), at(0));
    assert!(watch.start_due_call(at(0)).is_some());
    assert_eq!(watch.probe(), Some(ListWatchCall::Poll { since: Revision(5) }));
    assert!(!watch.on_probe(false, position(6), at(800)), "other objects have changed");
    assert_eq!(watch.probe(), Some(ListWatchCall::Poll { since: Revision(6) }));
    assert!(watch.on_probe(true, position(7), at(1_600)), "the watch has missed a change");
    watch.repeat(at(1_610));
    assert_eq!(watch.start_due_call(at(1_610)), Some(ListWatchCall::Watch { since: Revision(7) }));
    watch.on_changes(true, position(9), at(2_400));
    assert!(!watch.on_probe(true, position(9), at(2_390)), "the watch was first");
    assert!(!watch.on_probe(true, position(8), at(2_390)), "the watch has shown a later change");
    assert_eq!(watch.position(), Some(position(9)));
    assert!(!watch.on_probe(true, later_era(3), at(3_000)), "the kind is listed again");
}

/// Guards against a watch that waits for 25 s before it shows whether the store answers again.
#[test]
fn first_call_after_a_failure_does_not_wait() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut watch = ListWatch::new(at(0));
    watch.start_due_call(at(0));
    watch.on_page(names(&[]), false, position(5), at(0));
    watch.start_due_call(at(0));
    assert_eq!(watch.unanswered_since(), None, "a watch that waits owes no answer");
    watch.on_error(at(700), &mut rng);
    assert_eq!(watch.unanswered_since(), Some(at(700)));
    let poll = Some(ListWatchCall::Poll { since: Revision(5) });
    assert_eq!(watch.start_due_call(at(1_000)), poll);
    watch.on_error(at(1_500), &mut rng);
    assert_eq!(watch.unanswered_since(), Some(at(700)), "no answer since the first failure");
    assert_eq!(watch.start_due_call(at(3_000)), poll);
    assert!(watch.on_changes(false, position(5), at(3_010)));
    assert_eq!(watch.unanswered_since(), None);
    assert_eq!(watch.confirmed_at(), Some(at(3_000)));
    assert_eq!(watch.start_due_call(at(3_010)), Some(ListWatchCall::Watch { since: Revision(5) }));
    watch.release(at(4_000));
    assert_eq!(watch.start_due_call(at(9_000)), poll, "another host has watched meanwhile");
    assert_eq!(watch.unanswered_since(), Some(at(9_000)), "a poll owes an answer at once");
}

/// Guards against a loop of calls to a store that ends watches at once.
#[test]
fn watches_that_end_at_once_are_paced() {
    let mut watch = ListWatch::new(at(0));
    watch.start_due_call(at(0));
    watch.on_page(names(&[]), false, position(5), at(0));
    let mut calls = 0;
    for ms in 0..3_000 {
        if watch.start_due_call(at(ms)).is_some() {
            calls += 1;
            watch.on_changes(false, position(5), at(ms));
        }
    }
    assert!(calls <= 10, "{calls} calls in three seconds");
}

/// Guards against a watch that goes on from a revision of an earlier era, which the store has given
/// out again to other changes.
#[test]
fn a_watch_of_an_earlier_era_is_given_up() {
    let list = Some(ListWatchCall::List { after: None });
    let mut watch = ListWatch::new(at(0));
    watch.start_due_call(at(0));
    watch.on_page(names(&["a"]), false, position(83), at(0));
    assert_eq!(watch.start_due_call(at(0)), Some(ListWatchCall::Watch { since: Revision(83) }));
    assert!(!watch.on_changes(true, later_era(84), at(10)), "they do not continue revision 83");
    assert_eq!(watch.start_due_call(at(10)), list);
    watch.on_page(names(&["a"]), false, later_era(60), at(20));
    assert_eq!(watch.start_due_call(at(20)), Some(ListWatchCall::Watch { since: Revision(60) }));
    watch.on_changes(false, later_era(61), at(30));
    watch.advance_to(position(99), at(40));
    assert_eq!(watch.position(), Some(later_era(61)), "news of the era before");
    assert!(watch.enter_era(StoreEra(3)));
    watch.advance_to(later_era(70), at(45));
    assert_eq!(watch.start_due_call(at(400)), list, "news of the era before");
    assert!(!watch.enter_era(StoreEra(3)), "the list has not begun");
}

/// Guards against a list whose pages are of two eras.
#[test]
fn a_list_that_meets_another_era_starts_again() {
    let mut watch = ListWatch::new(at(0));
    watch.start_due_call(at(0));
    assert!(watch.on_page(names(&["a", "b"]), true, position(10), at(1)).is_none());
    watch.start_due_call(at(1));
    assert!(watch.on_page(names(&["c"]), false, later_era(4), at(2)).is_none());
    assert_eq!(watch.start_due_call(at(2)), Some(ListWatchCall::List { after: None }));
    let all = watch.on_page(names(&["a"]), false, later_era(5), at(3)).expect("the whole list");
    assert_eq!(all.len(), 1);
    watch.advance_to(position(50), at(3));
    assert_eq!(watch.start_due_call(at(3)), Some(ListWatchCall::Watch { since: Revision(5) }));
}

/// Guards against a host that learns of the new era from another host and lists all the same, or
/// that takes up a position of the era before while its list of the new one is under way.
#[test]
fn a_later_era_is_taken_over_from_another_host() {
    let mut watch = ListWatch::new(at(0));
    watch.start_due_call(at(0));
    watch.on_page(names(&[]), false, position(83), at(0));
    watch.advance_to(later_era(7), at(1));
    assert_eq!(watch.start_due_call(at(1)), Some(ListWatchCall::Watch { since: Revision(7) }));
    let mut listing = ListWatch::new(at(0));
    listing.start_due_call(at(0));
    listing.on_page(names(&["a"]), true, later_era(5), at(0));
    listing.advance_to(position(83), at(1));
    let next = Some(ListWatchCall::List { after: Some("a".to_owned()) });
    assert_eq!(listing.start_due_call(at(1)), next);
}

fn change(id: &str) -> Change {
    Change::Leaf(registration(id, "s0", "a"))
}

/// Guards against a follower that misses a change or gets changes out of order.
#[test]
fn followers_get_what_they_miss_or_everything() {
    let mut log = ChangeLog::default();
    assert!(log.since(Position::default(), at(0)).is_none(), "the log is empty");
    log.restart(position(10), position(8));
    assert!(log.extend(position(12), &[change("x")], at(0)));
    assert!(!log.extend(position(12), &[change("x")], at(0)), "known already");
    assert!(log.extend(position(15), &[], at(0)));
    assert!(log.since(position(9), at(0)).is_none(), "before the list");
    let update = log.since(position(10), at(0)).expect("changes");
    assert_eq!((update.changes.len(), update.upto), (1, position(15)));
    assert_eq!(log.changed(), position(12), "an empty batch changes nothing");
    let gone = Change::LeafGone { id: "x".parse().expect("an id"), grace: Span::ZERO };
    log.extend(position(16), &[gone], at(0));
    assert_eq!(log.since(position(12), at(0)).expect("changes").changes.len(), 1);
}

/// Guards against a follower that gets the changes since a revision of an earlier era, and against
/// changes that are ignored as their revision is lower than a known one of an earlier era.
#[test]
fn changes_do_not_continue_across_eras() {
    let mut log = ChangeLog::default();
    log.restart(position(83), position(80));
    assert!(
        !log.extend(later_era(90), &[change("x")], at(0)),
        "the changes since its start are missing"
    );
    log.restart(later_era(60), later_era(55));
    assert_eq!((log.upto(), log.changed()), (later_era(60), later_era(55)));
    assert!(log.extend(later_era(61), &[change("x")], at(0)));
    assert!(log.since(position(83), at(0)).is_none(), "it gets everything");
    assert_eq!(log.since(later_era(60), at(0)).expect("changes").changes.len(), 1);
}

/// Guards against hosts of different versions that do not read each other's positions.
#[test]
fn positions_of_the_first_era_are_sent_as_numbers() {
    let texts = [Position::default(), position(7), later_era(7)]
        .map(|position| serde_json::to_string(&position).expect("a text"));
    assert_eq!(texts, ["0", "7", "[2,7]"]);
    for text in texts {
        let read: Position = serde_json::from_str(&text).expect("a position");
        assert_eq!(serde_json::to_string(&read).expect("a text"), text);
    }
}
