//! A store that comes back from an earlier copy, as real hosts see it.

use {
    crate::support::{Fixture, get_status},
    std::{
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::store::StoreFault,
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
/// revision that was given out before.
fn restore_and_change(fixture: &Fixture) {
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    let copy = fixture.store.copy();
    for name in ["first", "second"] {
        fixture.replace_routes(name);
        assert!(is_served(fixture, name, Instant::now() + APPLY_TIME), "{name}");
    }
    let known = fixture.store.revision();
    fixture.store.set_fault(StoreFault::Reset);
    thread::sleep(OUTAGE);
    fixture.store.restore(&copy);
    fixture.replace_routes("restored");
    assert!(fixture.store.revision() <= known);
    advance_past(fixture, known);
    fixture.store.set_fault(StoreFault::None);
}

/// Guards against a change that a host misses because the store has given out its revision before.
#[test]
fn a_change_at_a_revision_that_was_given_out_before_takes_effect() {
    let fixture = Fixture::start(11, "connection_limit", 50);
    restore_and_change(&fixture);
    assert!(is_served(&fixture, "restored", Instant::now() + APPLY_TIME));
}

/// Guards against hosts that do not pass on what the store says after its return, as its revisions
/// are lower.
#[test]
fn all_hosts_learn_of_a_change_after_the_return_of_the_store() {
    let fixture = Fixture::start_fleet(12, 6);
    restore_and_change(&fixture);
    assert!(is_served(&fixture, "restored", Instant::now() + APPLY_TIME));
}
