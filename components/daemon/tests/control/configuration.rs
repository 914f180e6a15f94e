//! Guards against a confirmed configuration that is not in force on all hosts, against two
//! concurrent confirmations that are both reported as in force, and against a write whose response
//! was lost and that is reported as refused.

use {
    crate::support::{Fleet, confirm_at, wait_for},
    std::{thread, time::Instant},
    wigeonramp_config::{
        AdminState, Document,
        api::{ConfirmResponse, Intent},
    },
    wigeonramp_standin::platform::{OutageMode, PlatformFault},
    wigeonramp_store::{
        HttpStore, HttpStoreTimeouts, ObjectStore, Precondition, ReadOutcome, WriteOutcome,
    },
    wigeonramp_telemetry::timeline::{EventKind, TimelineFilter},
    wigeonramp_units::{ConfigVersion, ZoneId},
};

fn zone(n: usize) -> ZoneId {
    format!("z{n}").parse().expect("a zone id")
}

#[test]
fn the_first_declaration_is_in_force_on_all_hosts() {
    let fleet = Fleet::undeclared(5, 3);
    fleet.all_know_each_other();
    let plan = fleet.plan(0, fleet.declaration()).expect("a plan on an empty platform");
    assert_eq!(plan.base_version, ConfigVersion(0));
    let start = Instant::now();
    let response = fleet.confirm(0, plan.clone());
    println!("in force on 5 hosts {:?} after confirm was sent", start.elapsed());
    let ConfirmResponse::InForce { version, mut hosts, pending } = response else {
        panic!("{response:?}");
    };
    hosts.sort_unstable();
    let names: Vec<String> = hosts.iter().map(ToString::to_string).collect();
    assert_eq!((version, pending), (ConfigVersion(1), vec![]));
    assert_eq!(names, ["h0", "h1", "h2", "h3", "h4"]);
    for n in 0..5 {
        let status = fleet.status(n);
        assert_eq!(
            (status.config_version, status.config_op),
            (Some(version), Some(plan.id.clone()))
        );
    }
    // Confirming the same plan again changes nothing and reports it as in force.
    let again = fleet.confirm(1, plan);
    assert!(
        matches!(again, ConfirmResponse::InForce { version: ConfigVersion(1), .. }),
        "{again:?}"
    );
}

#[test]
fn of_two_racing_operators_exactly_one_wins() {
    let fleet = Fleet::start(3, 3);
    let plans: Vec<_> = (1..=2)
        .map(|n| fleet.plan(n, Intent::ZoneOut { zone: zone(n) }).expect("a plan"))
        .collect();
    let operators: Vec<_> = plans
        .into_iter()
        .zip([1, 2])
        .map(|(plan, n)| {
            let operator = fleet.hosts[n].addresses().operator;
            thread::spawn(move || (n, confirm_at(operator, plan)))
        })
        .collect();
    let responses: Vec<_> = operators
        .into_iter()
        .map(|operator| operator.join().expect("the operator does not panic"))
        .collect();
    let won = |response: &ConfirmResponse| matches!(response, ConfirmResponse::InForce { .. });
    let lost = |response: &ConfirmResponse| matches!(response, ConfirmResponse::Refused { .. });
    assert_eq!(responses.iter().filter(|(_, response)| won(response)).count(), 1, "{responses:?}");
    assert_eq!(responses.iter().filter(|(_, response)| lost(response)).count(), 1, "{responses:?}");
    let winner = responses
        .iter()
        .find(|(_, response)| won(response))
        .expect("one confirmation is in force")
        .0;
    for host in &fleet.hosts {
        let document = host.shared_state().document();
        for n in 1..=3 {
            let expected = if n == winner { AdminState::Out } else { AdminState::In };
            assert_eq!(document.zones[&zone(n)].state, expected);
        }
    }
}

#[test]
fn a_lost_answer_to_confirm_is_read_back() {
    let fleet = Fleet::start(3, 3);
    let plan = fleet.plan(0, Intent::ZoneOut { zone: zone(1) }).expect("a plan");
    // Responses to session renewals are lost too, so more than one must be lost.
    fleet.platform.inject_fault(&PlatformFault::LostAnswers { writes: 1000 });
    let response = fleet.confirm(0, plan);
    assert!(fleet.platform.counters().lost > 0);
    fleet.platform.inject_fault(&PlatformFault::Clear {});
    assert!(matches!(response, ConfirmResponse::InForce { .. }), "{response:?}");
}

#[test]
fn an_unreachable_store_refuses_and_changes_nothing() {
    let fleet = Fleet::start(3, 3);
    let plan = fleet.plan(0, Intent::ZoneOut { zone: zone(1) }).expect("a plan");
    fleet.platform.inject_fault(&PlatformFault::Outage { mode: OutageMode::Unavailable });
    let response = fleet.confirm(0, plan.clone());
    assert!(matches!(response, ConfirmResponse::Refused { .. }), "{response:?}");
    fleet.platform.inject_fault(&PlatformFault::Clear {});
    for n in 0..3 {
        assert_eq!(fleet.status(n).config_version, Some(plan.base_version));
    }
    let response = fleet.confirm(0, plan);
    assert!(matches!(response, ConfirmResponse::InForce { .. }), "{response:?}");
}

#[test]
fn broken_and_older_documents_in_the_store_are_never_adopted() {
    let fleet = Fleet::start(3, 3);
    let store = HttpStore::new(fleet.platform.address(), HttpStoreTimeouts::default());
    let write = |version: u64, broken: bool| {
        let mut document = Document::clone(&fleet.hosts[0].shared_state().document());
        document.version = ConfigVersion(version);
        if broken {
            document.zones.clear();
        }
        let body = serde_json::to_string(&document).expect("JSON");
        let Ok(ReadOutcome::Found(current)) = store.get("config/current") else {
            panic!("no document")
        };
        let put = store.put("config/current", &body, Precondition::Revision(current.revision));
        assert!(matches!(put, Ok(WriteOutcome::Written(_))), "{put:?}");
    };
    for (version, broken) in [(2, true), (3, false), (1, false), (4, false)] {
        let watches = fleet.platform.counters().watch;
        write(version, broken);
        // The hosts start another watch after they have processed the document.
        wait_for("all hosts have seen the document", || {
            fleet.platform.counters().watch >= watches + 3
        });
        if !broken && version > 1 {
            wait_for("all hosts adopt the version", || {
                (0..3).all(|n| fleet.status(n).config_version == Some(ConfigVersion(version)))
            });
        }
    }
    let kind = Some(EventKind::ConfigAdopted);
    let filter = TimelineFilter { kind, ..TimelineFilter::default() };
    for host in &fleet.hosts {
        let adopted = host.shared_state().timeline().read(&filter);
        let versions: Vec<_> = adopted.iter().filter_map(|event| event.config_version).collect();
        assert_eq!(versions, [1, 3, 4].map(ConfigVersion));
    }
}

#[test]
fn a_plan_that_uncovers_a_shard_needs_permission() {
    let fleet = Fleet::start(3, 3);
    let leaf = |id: &str| Intent::LeafOut { leaf: id.parse().expect("a leaf id") };
    let response = fleet.change(0, leaf("s0-a"));
    assert!(matches!(response, ConfirmResponse::InForce { .. }), "{response:?}");
    let (status, reason) = fleet.plan(0, leaf("s0-b")).expect_err("the shard would be uncovered");
    assert_eq!(status.as_u16(), 409, "{reason}");
    assert!(reason.contains("quotes/s0"), "{reason}");
    // Removing the permission from an allowed plan is detected too.
    let mut plan = fleet.plan_with(0, leaf("s0-b"), true).expect("an allowed plan");
    plan.allow_coverage_loss = false;
    let response = fleet.confirm(0, plan.clone());
    assert!(matches!(response, ConfirmResponse::Refused { .. }), "{response:?}");
    plan.allow_coverage_loss = true;
    let response = fleet.confirm(0, plan);
    assert!(matches!(response, ConfirmResponse::InForce { .. }), "{response:?}");
    wait_for("no host sends requests to the shard", || {
        fleet.query(1, &0.into()).is_some_and(|a| a.collections[0].coverage.missing.len() == 1)
    });
}
