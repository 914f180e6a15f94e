//! A store that comes back from an earlier copy, as real hosts see it.

use {
    crate::support::{Fixture, get_status},
    std::{
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::store::{StoreCopy, StoreFault},
};

/// Time that callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the return of the store within which a change must be in force on all hosts.
const APPLY_TIME: Duration = Duration::from_secs(4);
/// Time for which the store is away.
const OUTAGE: Duration = Duration::from_millis(600);

/// Waits until all hosts serve the route `name`; returns false if one does not by `deadline`.
fn is_served(fixture: &Fixture, name: &str, deadline: Instant) -> bool {
    fixture.caller_addresses().into_iter().all(|host| {
        let mut n = 0;
        loop {
            let id = format!("{name}-{n}-{}", host.ip());
            if get_status(host, &format!("/{name}/"), &id, TIMEOUT) == 200 {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
            n += 1;
        }
    })
}

/// Writes other objects until the store is past `revision`.
fn advance_past(fixture: &Fixture, revision: u64) {
    let mut n = 0;
    while fixture.store.revision() <= revision {
        fixture.store.put("other", &format!("object-{n}"), serde_json::json!({}));
        n += 1;
    }
}

/// Has the hosts know a version that the store then loses, and writes the route `restored` at a
/// revision that was given out before. Without an outage, connections and watches stay open.
fn restore_and_change(fixture: &Fixture, has_outage: bool) {
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    let copy = fixture.store.copy();
    for name in ["first", "second"] {
        fixture.replace_routes(name);
        assert!(is_served(fixture, name, Instant::now() + APPLY_TIME), "{name}");
    }
    let known = fixture.store.revision();
    if has_outage {
        fixture.store.set_fault(StoreFault::Reset);
        thread::sleep(OUTAGE);
    }
    fixture.store.restore(&copy);
    fixture.replace_routes("restored");
    assert!(fixture.store.revision() <= known);
    advance_past(fixture, known);
    fixture.store.set_fault(StoreFault::None);
}

/// Guards against a change that a host misses because the store has given out its revision before.
#[test]
fn a_change_at_a_revision_that_was_given_out_before_takes_effect() {
    let fixture = Fixture::start("connection_limit", 50);
    restore_and_change(&fixture, true);
    assert!(is_served(&fixture, "restored", Instant::now() + APPLY_TIME));
}

/// Guards against hosts that do not pass on what the store says after its return, as its revisions
/// are lower.
#[test]
fn all_hosts_learn_of_a_change_after_the_return_of_the_store() {
    let fixture = Fixture::start_fleet(6);
    restore_and_change(&fixture, true);
    assert!(is_served(&fixture, "restored", Instant::now() + APPLY_TIME));
}

/// Guards against watches that wait for changes of an era that is over, on connections that stay
/// open.
#[test]
fn all_hosts_learn_of_a_change_although_no_connection_broke() {
    let fixture = Fixture::start_fleet(6);
    restore_and_change(&fixture, false);
    assert!(is_served(&fixture, "restored", Instant::now() + APPLY_TIME));
}

/// Has the store go away and come back from a copy.
fn restore(fixture: &Fixture, copy: &StoreCopy) {
    fixture.store.set_fault(StoreFault::Reset);
    thread::sleep(OUTAGE);
    fixture.store.restore(copy);
    fixture.store.set_fault(StoreFault::None);
}

/// Guards against a leaf that had left or was leaving, and that is used again because the copy of the
/// store holds its earlier registration.
#[test]
fn a_leaf_that_has_left_is_not_used_again() {
    for leaves in [false, true] {
        let fixture = Fixture::start("connection_limit", 50);
        let left = fixture.add_leaf("one", Duration::from_millis(1));
        fixture.add_leaf("one", Duration::from_millis(1));
        fixture.wait_until_serving();
        let copy = fixture.store.copy();
        if leaves {
            left.unregister()
        } else {
            left.register("draining")
        }
        fixture.wait_until_unused(&left);
        let before = fixture.run_times(&left).len();
        restore(&fixture, &copy);
        let statuses = fixture.send_for(Duration::from_secs(3));
        assert_eq!(fixture.run_times(&left).len(), before, "has left: {leaves}");
        assert!(statuses.iter().all(|status| *status == 200));
    }
}

/// Guards against requests to a zone that operators took out, because the copy of the store is older
/// than the evacuation, and against a zone that is taken out again because it is newer.
#[test]
fn evacuations_are_kept_until_operators_have_written_them_again() {
    let fixture = Fixture::start("connection_limit", 50);
    let evacuated = fixture.add_leaf_in("b", "one", Duration::from_millis(1));
    fixture.add_leaf_in("c", "one", Duration::from_millis(1));
    fixture.wait_until_serving();
    let copy = fixture.store.copy();
    fixture.store.put("evacuations", "b", serde_json::json!({}));
    fixture.wait_until_unused(&evacuated);
    let before = fixture.run_times(&evacuated).len();
    restore(&fixture, &copy);
    fixture.send_for(Duration::from_secs(2));
    fixture.store.put("evacuations", "b", serde_json::json!({}));
    fixture.send_for(Duration::from_secs(4));
    assert_eq!(fixture.run_times(&evacuated).len(), before);
}

/// Guards against a zone that is taken out again because the copy of the store holds an evacuation
/// that has ended.
#[test]
fn an_evacuation_that_has_ended_is_not_put_in_force_again() {
    let fixture = Fixture::start("connection_limit", 50);
    fixture.add_leaf_in("b", "one", Duration::from_millis(1));
    fixture.wait_until_serving();
    fixture.store.put("evacuations", "b", serde_json::json!({}));
    let deadline = Instant::now() + APPLY_TIME;
    while fixture.send_for(Duration::from_millis(100)).contains(&200) {
        assert!(Instant::now() < deadline, "the zone must be out");
    }
    let copy = fixture.store.copy();
    fixture.store.delete("evacuations", "b");
    fixture.wait_until_serving();
    restore(&fixture, &copy);
    let statuses = fixture.send_for(Duration::from_secs(2));
    fixture.store.delete("evacuations", "b");
    let later = fixture.send_for(Duration::from_secs(4));
    let failed = statuses.iter().chain(&later).filter(|status| **status != 200).count();
    assert_eq!(failed, 0, "of {} requests", statuses.len() + later.len());
}

/// Guards against a host that starts after the store's return and serves an older version than the
/// other hosts, until operators write the latest one again.
#[test]
fn a_host_that_starts_after_the_return_learns_the_version_in_force() {
    let mut fixture = Fixture::start_fleet(4);
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    let copy = fixture.store.copy();
    fixture.replace_routes("later");
    assert!(is_served(&fixture, "later", Instant::now() + APPLY_TIME));
    restore(&fixture, &copy);
    fixture.restart(1);
    fixture.restart(3);
    assert!(is_served(&fixture, "later", Instant::now() + APPLY_TIME));
}

/// Guards against hosts that need the store to tell its era.
#[test]
fn a_store_without_an_era_is_served_as_before() {
    let fixture = Fixture::start("connection_limit", 50);
    fixture.store.hide_era();
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    fixture.replace_routes("later");
    assert!(is_served(&fixture, "later", Instant::now() + APPLY_TIME));
}

/// Guards against a change that is missed because the store goes back twice, the second time to a
/// state before all that the host knows, while its watches wait.
#[test]
fn a_change_takes_effect_after_two_returns() {
    let fixture = Fixture::start("connection_limit", 50);
    let first = fixture.store.copy();
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    let second = fixture.store.copy();
    fixture.replace_routes("lost");
    assert!(is_served(&fixture, "lost", Instant::now() + APPLY_TIME));
    let known = fixture.store.revision();
    fixture.store.restore(&second);
    advance_past(&fixture, known);
    thread::sleep(Duration::from_millis(100));
    fixture.store.restore(&first);
    advance_past(&fixture, known + 5);
    fixture.replace_routes("restored");
    assert!(is_served(&fixture, "restored", Instant::now() + APPLY_TIME));
}
