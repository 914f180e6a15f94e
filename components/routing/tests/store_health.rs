//! Noticing that the store does not tell this host of changes.

mod common;

use {
    common::{SEED, at},
    rand::{SeedableRng, rngs::SmallRng},
    wigeonramp_routing::{
        list_watch::{ListWatch, ListWatchCall},
        position::{FIRST_ERA, Position},
        store_health::{FAILING_AFTER, PROBE_INTERVAL, StoreHealth},
    },
    wigeonramp_units::Revision,
};

fn position(revision: u64) -> Position {
    Position::new(FIRST_ERA, Revision(revision))
}

/// Returns three kinds of objects with watches that wait since `at(0)`.
fn watches() -> [ListWatch; 3] {
    [(); 3].map(|()| {
        let mut watch = ListWatch::new(at(0));
        watch.start_due_call(at(0));
        watch.on_page(std::iter::empty(), false, position(5), at(0));
        watch.start_due_call(at(0));
        watch
    })
}

/// Guards against a watch that misses a change for longer than three intervals.
#[test]
fn probes_confirm_each_kind_in_turn() {
    let mut health = StoreHealth::new(at(0));
    let mut kinds = watches();
    let all: Vec<&ListWatch> = kinds.iter().collect();
    assert_eq!(health.start_due_probe(&all, at(5_000)), None, "the host does not watch");
    health.set_watches(true, at(0));
    let mut confirmed = vec![0; kinds.len()];
    for ms in (0..24_000).step_by(100) {
        let all: Vec<&ListWatch> = kinds.iter().collect();
        let Some(kind) = health.start_due_probe(&all, at(ms)) else { continue };
        let age = ms - confirmed[kind];
        assert!(age <= 3 * PROBE_INTERVAL.as_millis(), "kind {kind} after {age} ms");
        confirmed[kind] = ms;
        kinds[kind].on_probe(false, position(5), at(ms));
    }
    assert!(confirmed.iter().all(|ms| *ms > 20_000), "{confirmed:?}");
}

/// What happens to the calls for the three kinds of objects.
type Failure = fn(&mut [ListWatch; 3], &mut SmallRng);

/// Guards against a host that goes on watching a store that turns it away: calls are refused, or get
/// no answer, or only those for one kind of object do.
#[test]
fn a_store_that_owes_an_answer_fails_soon() {
    let cases: [(&str, Failure); 3] = [
        ("refused", |kinds, rng| kinds.iter_mut().for_each(|kind| kind.on_error(at(1_000), rng))),
        ("one kind", |kinds, rng| kinds[1].on_error(at(1_000), rng)),
        ("silent", |kinds, _| kinds[2].begin_call(at(1_000))),
    ];
    for (name, fail) in cases {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let mut health = StoreHealth::new(at(0));
        health.set_watches(true, at(0));
        let mut kinds = watches();
        assert!(!health.check(kinds.iter(), at(990)), "{name}: watches may wait");
        fail(&mut kinds, &mut rng);
        let due = at(1_000) + FAILING_AFTER;
        assert!(!health.check(kinds.iter(), at(1_100)), "{name}: one failure is no outage");
        assert!(health.check(kinds.iter(), due), "{name}");
        assert!(!health.check(kinds.iter(), at(5_000)), "{name}: it is told once");
        assert!(health.is_failing(), "{name}");
    }
}

/// Guards against a host that watches the store again and again before the store answers it, and
/// against one that never does again.
#[test]
fn a_failing_store_is_asked_until_it_answers() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut health = StoreHealth::new(at(0));
    health.set_watches(true, at(0));
    let mut kinds = watches();
    kinds[0].on_error(at(1_000), &mut rng);
    assert!(health.check(kinds.iter(), at(2_000)));
    health.set_watches(false, at(2_000));
    kinds.iter_mut().for_each(|kind| kind.release(at(2_000)));
    let mut probes = 0;
    for ms in (2_000..22_000).step_by(100) {
        let all: Vec<&ListWatch> = kinds.iter().collect();
        probes += usize::from(health.start_due_probe(&all, at(ms)).is_some());
        assert!(!health.check(kinds.iter(), at(ms)));
    }
    assert!((3..=4).contains(&probes), "{probes} probes in twenty seconds");
    assert!(health.on_proof());
    assert!(!health.is_failing());
    assert_eq!(health.next_probe(), None);
    assert_eq!(kinds[0].probe(), Some(ListWatchCall::Poll { since: Revision(5) }));
}
