//! A store that turns some hosts away and serves the others.

use {
    crate::support::{Fixture, get_status},
    std::{
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::store::{Door, StoreFault},
};

/// Time that callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the acknowledgement of a change to its effect on the hosts that the store serves.
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time for which the hosts are given to settle who watches.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Turns away the hosts that watch the store and then writes a configuration with another route.
/// Returns the hosts that still do not serve it after `APPLY_TIME`, of those that the store serves.
fn late_hosts(fixture: &Fixture, fault: StoreFault) -> Vec<usize> {
    thread::sleep(SETTLE_TIME);
    let watching: Vec<bool> = fixture.doors.iter().map(Door::is_watched).collect();
    let served: Vec<usize> = (0..watching.len()).filter(|host| !watching[*host]).collect();
    assert!(!served.is_empty() && served.len() < watching.len(), "{watching:?}");
    for (door, _) in fixture.doors.iter().zip(&watching).filter(|(_, watches)| **watches) {
        door.set_fault(fault);
    }
    thread::sleep(Duration::from_millis(50));
    fixture.replace_routes("later");
    let deadline = Instant::now() + APPLY_TIME;
    let hosts = fixture.caller_addresses();
    let is_late = |host: &usize| {
        let mut n = 0;
        while get_status(hosts[*host], "/later/", &format!("l{host}-{n}"), TIMEOUT) != 200 {
            if Instant::now() >= deadline {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
            n += 1;
        }
        false
    };
    served.into_iter().filter(is_late).collect()
}

/// Guards against hosts that stay on an old configuration because the store limits the calls of the
/// watching ones: stale reads that it still answered hid that no change could arrive.
#[test]
fn hosts_learn_of_a_change_while_the_store_limits_the_watching_ones() {
    let fixture = Fixture::start_fleet(8);
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    assert_eq!(late_hosts(&fixture, StoreFault::Limited), [0; 0]);
}

/// Guards against hosts that learn of a change late because the store gives no answers to the watching
/// ones: until that was noticed, told and taken over, up to 4.5 s passed.
#[test]
fn hosts_learn_of_a_change_while_the_store_does_not_answer_the_watching_ones() {
    let fixture = Fixture::start_fleet(8);
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    assert_eq!(late_hosts(&fixture, StoreFault::Silent), [0; 0]);
}
