//! What a host believes after the store has come back from a copy.

mod common;

use {
    common::{at, registration},
    insta::assert_snapshot,
    wigeonramp_routing::{
        changes::Change, leaf::LeafRegistration, leaves::Leaves, position::Position,
        reconcile::Reconciler,
    },
    wigeonramp_units::{Instant, Revision, Span, StoreEra},
};

/// A host's leaves and evacuated zones with the changes that it has received.
struct Host {
    leaves: Leaves,
    reconciler: Reconciler,
}

impl Host {
    fn new() -> Self {
        let mut reconciler = Reconciler::default();
        assert!(!reconciler.enter_era(StoreEra(1), at(0)), "the first era is no return");
        Self { leaves: Leaves::new("a".parse().expect("a zone")), reconciler }
    }

    fn apply(&mut self, change: &Change, now: Instant) {
        if !self.reconciler.admits(change, &self.leaves, now) {
            return;
        }
        match change {
            Change::Leaf(registration) => {
                self.leaves.register(registration.clone(), now);
            }
            Change::LeafGone { id, grace } if *grace == Span::ZERO => {
                self.leaves.remove(id, now);
            }
            Change::LeafGone { id, grace } => self.leaves.mark_lapsed(id, now + *grace),
            Change::Evacuation { zone, out, .. } => self.leaves.set_evacuated(zone.clone(), *out),
            Change::Order(_) | Change::OrderGone { .. } => {}
        }
    }

    /// Applies what was put off until now.
    fn settle(&mut self, now: Instant) {
        for change in self.reconciler.take_due(now) {
            let change = match change {
                Change::Evacuation { zone, out: false, .. } => {
                    Change::end_of_evacuation(zone, Span::ZERO)
                }
                change => change,
            };
            self.apply(&change, now);
        }
        for (registration, _) in self.leaves.remove_lapsed(now) {
            self.reconciler.on_removed(&registration, now);
        }
    }

    /// Returns the state of the leaf and of the zone `b`.
    fn state(&self) -> String {
        let key = self.leaves.key_of(&leaf(1, false).id);
        let leaf = match key.and_then(|key| self.leaves.get(key)) {
            None => "no leaf".to_owned(),
            Some(leaf) if leaf.registration.draining => "draining".to_owned(),
            Some(leaf) => format!("ready {}", leaf.registration.sequence),
        };
        let out = self.leaves.evacuated().next().is_some();
        format!("{leaf}, {}", if out { "zone out" } else { "zone in" })
    }
}

fn leaf(sequence: u64, draining: bool) -> LeafRegistration {
    LeafRegistration { sequence, draining, ..registration("l", "s", "b") }
}

fn ready(sequence: u64) -> Change {
    Change::Leaf(leaf(sequence, false))
}

fn draining(sequence: u64) -> Change {
    Change::Leaf(leaf(sequence, true))
}

fn gone() -> Change {
    Change::LeafGone { id: leaf(1, false).id, grace: Span::ZERO }
}

fn zone_out(era: u64, revision: u64) -> Change {
    let written = Position::new(StoreEra(era), Revision(revision));
    Change::Evacuation { zone: "b".parse().expect("a zone"), out: true, written, grace: Span::ZERO }
}

fn zone_in(grace: Span) -> Change {
    Change::end_of_evacuation("b".parse().expect("a zone"), grace)
}

/// Name, and the changes before the return, from the copy and afterwards.
type Case<'a> = (&'a str, Vec<Change>, Vec<Change>, Vec<Change>);

/// Guards against an older state of the store's copy that replaces what a host knows, against
/// changes after the return that are taken for older ones, and against a host that never believes
/// the store again.
#[test]
fn what_the_copy_holds() {
    let missing = Span::secs(4);
    let cases: [Case<'_>; 12] = [
        ("earlier registration", vec![ready(5)], vec![ready(3)], vec![]),
        ("earlier registration, written again", vec![ready(5)], vec![ready(3)], vec![ready(6)]),
        ("ready before it drained", vec![ready(3), draining(4)], vec![ready(3)], vec![]),
        ("drains in the meantime", vec![ready(3)], vec![ready(3)], vec![draining(4)]),
        ("registered before it left", vec![ready(3), gone()], vec![ready(3)], vec![]),
        (
            "registered before it left, removed",
            vec![ready(3), gone()],
            vec![ready(3)],
            vec![gone()],
        ),
        ("left, and is back", vec![ready(3), gone()], vec![ready(3)], vec![ready(9)]),
        ("evacuation is missing", vec![zone_out(1, 7)], vec![zone_in(missing)], vec![]),
        (
            "evacuation is missing, written again",
            vec![zone_out(1, 7)],
            vec![zone_in(missing)],
            vec![zone_out(2, 6)],
        ),
        (
            "evacuation has ended",
            vec![zone_out(1, 7), zone_in(Span::ZERO)],
            vec![zone_out(2, 7)],
            vec![zone_in(Span::ZERO)],
        ),
        (
            "another evacuation",
            vec![zone_out(1, 7), zone_in(Span::ZERO)],
            vec![],
            vec![zone_out(2, 5)],
        ),
        (
            "evacuation has ended, never removed",
            vec![zone_out(1, 7), zone_in(Span::ZERO)],
            vec![zone_out(2, 7)],
            vec![],
        ),
    ];
    let mut lines = Vec::new();
    for (name, before, copy, later) in cases {
        let mut host = Host::new();
        before.iter().for_each(|change| host.apply(change, at(10)));
        let known = host.state();
        assert!(host.reconciler.enter_era(StoreEra(2), at(1_000)));
        copy.iter().for_each(|change| host.apply(change, at(1_000)));
        let restored = host.state();
        later.iter().for_each(|change| host.apply(change, at(2_000)));
        let written = host.state();
        host.settle(at(4_999));
        assert_eq!(host.state(), written, "{name}: before the store has settled");
        host.settle(at(5_000));
        lines.push(format!("{name}: {known}; {restored}; {written}; {}", host.state()));
    }
    assert_snapshot!(lines.join("\n"));
}

/// Guards against changes of a store that runs on that are put off.
#[test]
fn nothing_is_put_off_without_a_return_from_a_copy() {
    let mut host = Host::new();
    for change in [ready(5), ready(3), gone(), ready(3), zone_out(1, 7), zone_in(Span::ZERO)] {
        assert!(host.reconciler.admits(&change, &host.leaves, at(10)), "{change:?}");
        host.apply(&change, at(10));
    }
    assert_eq!(host.reconciler.grace(at(10)), Span::ZERO);
    assert!(host.reconciler.take_due(at(100_000)).is_empty());
}

/// Guards against a second return that ends the time of the first one, and against an earlier era
/// that begins one.
#[test]
fn returns_may_follow_each_other() {
    let mut host = Host::new();
    host.apply(&ready(3), at(10));
    host.apply(&gone(), at(20));
    assert!(host.reconciler.enter_era(StoreEra(2), at(1_000)));
    host.apply(&ready(3), at(1_000));
    assert!(!host.reconciler.enter_era(StoreEra(1), at(2_000)));
    assert!(host.reconciler.enter_era(StoreEra(3), at(4_000)));
    host.settle(at(5_000));
    assert_eq!(host.state(), "no leaf, zone in", "put off again");
    host.settle(at(8_000));
    assert_eq!(host.state(), "ready 3, zone in");
}

/// Guards against a host without a memory that learns less from another host than from the store.
#[test]
fn other_hosts_learn_what_is_put_off() {
    let mut host = Host::new();
    host.apply(&ready(3), at(10));
    host.apply(&gone(), at(20));
    host.apply(&zone_out(1, 7), at(20));
    host.reconciler.enter_era(StoreEra(2), at(1_000));
    host.apply(&ready(3), at(1_000));
    host.apply(&zone_in(Span::secs(4)), at(1_000));
    let deferred: Vec<Change> = host.reconciler.deferred(at(2_000)).collect();
    assert_eq!(deferred, [ready(3), zone_in(Span::secs(3))]);
}
