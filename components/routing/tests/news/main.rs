//! How soon a change in the store is known to all hosts that the store serves, whatever it does to
//! the others.

mod world;

use {
    wigeonramp_units::Span,
    world::{Access, Host, World},
};

/// Time from the acknowledgement of a change within which it must be in force.
const BOUND: Span = Span::secs(3);
/// Time for which the store must have served a host until the bound holds for it.
const CONTACT_TIME: Span = Span::secs(4);
/// Time for which the hosts are given to settle who watches.
const SETTLE_TIME: Span = Span::secs(5);
/// Share of the hosts that the store may turn away while it serves the others, in percent.
const MAX_TURNED_AWAY_PERCENT: usize = 35;
/// Ways in which the store turns a host away.
const WAYS: [Access; 5] =
    [Access::Refused, Access::RefusedMute, Access::Silent, Access::Mute, Access::EndsWatches];

/// Changes the store and runs until all hosts of `judged` know it; returns those that do not after
/// `BOUND`.
fn late_hosts(world: &mut World, judged: &[usize]) -> Vec<usize> {
    world.revision += 1;
    let (revision, acked) = (world.revision, world.now);
    let is_late = |host: &Host| host.known < revision;
    while world.now.since(acked) < BOUND && judged.iter().any(|host| is_late(&world.hosts[*host])) {
        world.run_for(Span::millis(20));
    }
    judged.iter().copied().filter(|host| is_late(&world.hosts[*host])).collect()
}

fn settled(count: usize, seed: u64) -> World {
    let mut world = World::new(count, seed);
    world.run_for(SETTLE_TIME + Span::millis(seed * 130));
    let watchers = world.watchers();
    assert!(!watchers.is_empty() && watchers.len() < count / 2, "{watchers:?}");
    world
}

fn set_access(world: &mut World, hosts: &[usize], access: Access) {
    for host in hosts {
        world.hosts[*host].access = access;
    }
}

fn served(world: &World) -> Vec<usize> {
    let is_served = |host: &usize| world.hosts[*host].access == Access::Served;
    (0..world.hosts.len()).filter(is_served).collect()
}

/// Guards against hosts that learn of a change later than allowed while the store turns away the hosts
/// that watch it, in every way it may, at several times from the begin of that to the change.
#[test]
fn a_change_is_known_in_time_while_the_watching_hosts_are_turned_away() {
    for way in WAYS {
        for (count, seed, delay) in [(13, 1, 0), (18, 2, 50), (13, 3, 900), (40, 4, 1_500)] {
            let mut world = settled(count, seed);
            let watchers = world.watchers();
            set_access(&mut world, &watchers, way);
            world.run_for(Span::millis(delay));
            let judged = served(&world);
            let late = late_hosts(&mut world, &judged);
            assert!(late.is_empty(), "{way:?}, {count} hosts, {delay} ms after: {late:?}");
        }
    }
}

/// Returns the hosts that take over if the store turns away `watchers`.
fn successors(count: usize, seed: u64, watchers: &[usize]) -> Vec<usize> {
    let mut world = settled(count, seed);
    set_access(&mut world, watchers, Access::Refused);
    world.run_for(Span::secs(2));
    world.watchers()
}

/// Guards against a takeover by hosts that the store turns away as well.
#[test]
fn a_change_is_known_in_time_while_the_next_watching_hosts_are_turned_away() {
    for way in [Access::Refused, Access::RefusedMute, Access::Silent] {
        for (count, seed, delay) in [(18, 1, 0), (18, 2, 700), (40, 3, 1_500)] {
            let mut world = settled(count, seed);
            let watchers = world.watchers();
            let mut turned_away = watchers.clone();
            turned_away.extend(successors(count, seed, &watchers));
            turned_away.truncate(count * MAX_TURNED_AWAY_PERCENT / 100);
            assert!(turned_away.len() > watchers.len(), "{turned_away:?}");
            set_access(&mut world, &turned_away, way);
            world.run_for(Span::millis(delay));
            let judged = served(&world);
            let late = late_hosts(&mut world, &judged);
            assert!(late.is_empty(), "{way:?}, {count} hosts, {delay} ms after: {late:?}");
        }
    }
}

/// Guards against hosts that lose their origin again and again, as the store turns away whoever
/// watches it at the moment.
#[test]
fn changes_are_known_in_time_while_one_host_after_the_other_is_turned_away() {
    for (way, seed) in [(Access::Refused, 1), (Access::Silent, 2), (Access::RefusedMute, 3)] {
        let mut world = settled(18, seed);
        let mut served_since = vec![world.now; world.hosts.len()];
        for round in 0..10 {
            let watchers = world.watchers();
            let turned_away = &watchers[..watchers.len().min(6)];
            set_access(&mut world, &(0..18).collect::<Vec<_>>(), Access::Served);
            set_access(&mut world, turned_away, way);
            world.run_for(Span::millis(200 * (round % 4)));
            for host in turned_away {
                served_since[*host] = world.now + BOUND;
            }
            let in_touch = |host: &usize| world.now.since(served_since[*host]) >= CONTACT_TIME;
            let judged: Vec<usize> = (0..18).filter(in_touch).collect();
            let late = late_hosts(&mut world, &judged);
            assert!(late.is_empty(), "{way:?}, round {round}: {late:?} of {judged:?}");
        }
    }
}

/// Guards against a takeover that depends on datagrams, all of which may be lost, or on a fast store.
#[test]
fn a_change_is_known_in_time_without_datagrams_and_with_a_slow_store() {
    for (loss_percent, answer_ms) in [(100, 5), (2, 400)] {
        for way in [Access::Refused, Access::Silent] {
            let mut world = settled(18, 5);
            world.loss_percent = loss_percent;
            world.answer_time = Span::millis(answer_ms);
            world.run_for(Span::secs(2));
            let watchers = world.watchers();
            set_access(&mut world, &watchers, way);
            let judged = served(&world);
            let late = late_hosts(&mut world, &judged);
            assert!(late.is_empty(), "{way:?}, {loss_percent}% lost, {answer_ms} ms: {late:?}");
        }
    }
}

/// Guards against a takeover by all hosts at once, whose calls the store then refuses, so that they
/// take over from each other without end.
#[test]
fn takeovers_cost_few_calls_and_end() {
    for (count, most) in [(13, 80), (195, 120)] {
        let mut world = settled(count, 6);
        let watchers = world.watchers();
        (world.calls, world.busiest_second) = (0, 0);
        set_access(&mut world, &watchers, Access::Refused);
        // The store answers fewer calls than a takeover by all hosts would make.
        world.calls_per_second = count.max(60);
        let judged = served(&world);
        let late = late_hosts(&mut world, &judged);
        assert!(late.is_empty(), "{count} hosts: {late:?}");
        world.run_for(Span::secs(3));
        assert!(world.calls <= most, "{count} hosts: {} calls in six seconds", world.calls);
        let outdated = |host: &&usize| world.hosts[**host].selector.is_outdated();
        assert_eq!(judged.iter().filter(outdated).count(), 0);
    }
}

/// Guards against an outage in which every host calls the store all the time, and against changes
/// that are late after it.
#[test]
fn hosts_call_a_store_that_is_away_rarely_and_find_it_again() {
    for (count, way) in [(18, Access::Refused), (18, Access::Silent), (195, Access::Refused)] {
        let mut world = settled(count, 7);
        let all: Vec<usize> = (0..count).collect();
        set_access(&mut world, &all, way);
        world.run_for(Span::secs(5));
        let before = world.calls;
        world.run_for(Span::secs(5));
        let per_host = (world.calls - before) as f64 / (count * 5) as f64;
        assert!(per_host < 1.0, "{way:?}, {count} hosts: {per_host} calls a second and host");
        set_access(&mut world, &all, Access::Served);
        world.run_for(CONTACT_TIME);
        let late = late_hosts(&mut world, &all);
        assert!(late.is_empty(), "{way:?}, {count} hosts: {late:?}");
    }
}
