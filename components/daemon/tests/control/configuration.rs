//! Guards against a confirmed configuration that is not in force everywhere, against two operators
//! that both believe they have won, and against a lost answer that is reported as a refusal.

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
    let begun = Instant::now();
    let answer = fleet.confirm(0, plan.clone());
    println!("in force on 5 hosts {:?} after confirm was sent", begun.elapsed());
    let ConfirmResponse::InForce { version, mut hosts, pending } = answer else {
        panic!("{answer:?}");
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
    // The same plan again changes nothing and tells the truth.
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
    let racers: Vec<_> = plans
        .into_iter()
        .zip([1, 2])
        .map(|(plan, n)| {
            let operator = fleet.hosts[n].addresses().operator;
            thread::spawn(move || (n, confirm_at(operator, plan)))
        })
        .collect();
    let answers: Vec<_> = racers.into_iter().map(|racer| racer.join().expect("it ends")).collect();
    let won = |answer: &ConfirmResponse| matches!(answer, ConfirmResponse::InForce { .. });
    let lost = |answer: &ConfirmResponse| matches!(answer, ConfirmResponse::Refused { .. });
    assert_eq!(answers.iter().filter(|(_, answer)| won(answer)).count(), 1, "{answers:?}");
    assert_eq!(answers.iter().filter(|(_, answer)| lost(answer)).count(), 1, "{answers:?}");
    let winner = answers.iter().find(|(_, answer)| won(answer)).expect("one has won").0;
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
    // Session renewals lose answers as well, so more than one is lost.
    fleet.platform.inject_fault(&PlatformFault::LostAnswers { writes: 1000 });
    let answer = fleet.confirm(0, plan);
    assert!(fleet.platform.counters().lost > 0);
    fleet.platform.inject_fault(&PlatformFault::Clear {});
    assert!(matches!(answer, ConfirmResponse::InForce { .. }), "{answer:?}");
}

#[test]
fn an_unreachable_store_refuses_and_changes_nothing() {
    let fleet = Fleet::start(3, 3);
    let plan = fleet.plan(0, Intent::ZoneOut { zone: zone(1) }).expect("a plan");
    fleet.platform.inject_fault(&PlatformFault::Outage { mode: OutageMode::Unavailable });
    let answer = fleet.confirm(0, plan.clone());
    assert!(matches!(answer, ConfirmResponse::Refused { .. }), "{answer:?}");
    fleet.platform.inject_fault(&PlatformFault::Clear {});
    for n in 0..3 {
        assert_eq!(fleet.status(n).config_version, Some(plan.base_version));
    }
    let answer = fleet.confirm(0, plan);
    assert!(matches!(answer, ConfirmResponse::InForce { .. }), "{answer:?}");
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
        let Ok(ReadOutcome::Found(now)) = store.get("config/current") else {
            panic!("no document")
        };
        let put = store.put("config/current", &body, Precondition::Revision(now.revision));
        assert!(matches!(put, Ok(WriteOutcome::Written(_))), "{put:?}");
    };
    for (version, broken) in [(2, true), (3, false), (1, false), (4, false)] {
        let watches = fleet.platform.counters().watch;
        write(version, broken);
        // The hosts begin another watch once they have dealt with the document.
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
    let answer = fleet.change(0, leaf("s0-a"));
    assert!(matches!(answer, ConfirmResponse::InForce { .. }), "{answer:?}");
    let (status, reason) = fleet.plan(0, leaf("s0-b")).expect_err("the shard would be uncovered");
    assert_eq!(status.as_u16(), 409, "{reason}");
    assert!(reason.contains("quotes/s0"), "{reason}");
    // Removing the permission from an allowed plan is noticed as well.
    let mut plan = fleet.plan_with(0, leaf("s0-b"), true).expect("an allowed plan");
    plan.allow_coverage_loss = false;
    let answer = fleet.confirm(0, plan.clone());
    assert!(matches!(answer, ConfirmResponse::Refused { .. }), "{answer:?}");
    plan.allow_coverage_loss = true;
    let answer = fleet.confirm(0, plan);
    assert!(matches!(answer, ConfirmResponse::InForce { .. }), "{answer:?}");
    wait_for("no host sends to the shard", || {
        fleet.query(1, &0.into()).is_some_and(|a| a.collections[0].coverage.missing.len() == 1)
    });
}
