//! Leaves whose registrations vanish.

mod common;

use {
    common::{at, registration},
    wigeonramp_routing::{
        changes::{Change, ChangeLog},
        lapse::Vanished,
        position::{FIRST_ERA, Position},
    },
    wigeonramp_units::{Instant, LeafId, Revision, Span},
};

const DRAIN_TIME: Span = Span::secs(3);

fn position(revision: u64) -> Position {
    Position::new(FIRST_ERA, Revision(revision))
}

/// Returns the time from `at(10_000)` for which the leaves are used, in milliseconds.
fn used_for(count: usize, renewed_until: Option<u64>, known_until: u64) -> u64 {
    let known_until = Some(at(known_until));
    let renewed_until = renewed_until.map(at);
    let vanished = Vanished { count, leaves: 100, renewed_until, known_until };
    vanished.used_until(DRAIN_TIME, at(10_000)).since(at(10_000)).as_millis()
}

/// Guards against requests to leaves that have left longer than allowed before the host heard of it, and
/// against giving up leaves whose registrations lapsed while the store was away.
#[test]
fn vanished_leaves_are_used_as_long_as_their_removal_allows() {
    let cases = [
        ("one leaf", 1, None, 9_500, 0),
        ("many leaves, the news is recent", 10, None, 9_900, 2_000),
        ("many leaves, removed since the news before", 10, None, 9_200, 1_500),
        ("many leaves, after a takeover", 10, None, 8_000, 300),
        ("many leaves, after a long takeover", 10, None, 7_100, 0),
        ("many leaves, the store was away", 10, None, 5_000, 2_000),
        ("one leaf, the store was away", 1, Some(11_500), 5_000, 1_500),
        ("one leaf, the store was away for a short time", 1, Some(11_500), 8_100, 1_500),
        ("one leaf, only this host's calls failed", 1, Some(11_500), 9_000, 1_300),
        ("many leaves, only this host's calls failed", 10, Some(11_900), 8_600, 900),
    ];
    for (name, count, renewed_until, known_until, expected) in cases {
        assert_eq!(used_for(count, renewed_until, known_until), expected, "{name}");
    }
}

/// Guards against leaves that have left and stay in use for longer on each host that hears of it later,
/// as the time until their removal starts anew there.
#[test]
fn the_time_until_a_removal_does_not_start_anew_at_another_host() {
    let id: LeafId = "x".parse().expect("an id");
    let mut log = ChangeLog::default();
    log.restart(position(10), position(10));
    let gone = Change::LeafGone { id: id.clone(), grace: Span::millis(2_000) };
    log.extend(position(11), &[Change::Leaf(registration("y", "s0", "a")), gone], at(5_000));
    let graces = |now: Instant| -> Vec<Span> {
        let update = log.since(position(10), now).expect("changes");
        let grace = |change: &Change| match change {
            Change::LeafGone { grace, .. } => Some(*grace),
            _ => None,
        };
        update.changes.iter().filter_map(grace).collect()
    };
    assert_eq!(graces(at(5_000)), [Span::millis(2_000)]);
    assert_eq!(graces(at(6_500)), [Span::millis(500)]);
    assert_eq!(graces(at(9_000)), [Span::ZERO]);
}
