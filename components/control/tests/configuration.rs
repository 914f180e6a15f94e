//! Tests of configuration changes: hosts must never adopt an older or a conflicting configuration,
//! a plan must not take a shard out of service unless that is allowed, and the outcome of a
//! confirmation must be true.

mod common;

use {
    common::{document, id, take_out},
    indexmap::IndexMap,
    proptest::{collection::vec, prelude::*},
    std::{collections::BTreeSet, fmt::Write},
    wigeonramp_config::Document,
    wigeonramp_control::{
        adoption::{AdoptedVersion, DocumentSource, OfferOutcome},
        plan::{ConfirmOutcome, ConfirmRefusal, ConfirmStep, Confirmation, Plan},
        store_result::{ReadResult, Stored, WriteResult},
    },
    wigeonramp_units::{ConfigVersion, Digest, LeafId, Revision, ZoneId},
};

fn without_zone(base: &Document, zone: &str) -> Document {
    let mut target = base.clone();
    take_out(&mut target, zone);
    target
}

fn holders(base: &Document) -> IndexMap<LeafId, ZoneId> {
    base.leaves.iter().map(|(id, leaf)| (id.clone(), leaf.zone.clone())).collect()
}

fn plan(op: &str, base: &Document, target: Document) -> Plan {
    Plan::new(id(op), base, target, &holders(base), false)
}

fn stored(value: Document, revision: u64) -> Stored<Document> {
    Stored { revision: Revision(revision), value }
}

#[test]
fn a_plan_shows_its_cost() {
    let base = document(3);
    let plan = plan("op-2", &base, without_zone(&base, "a"));
    assert_eq!(plan.check(&base), Ok(()));
    insta::assert_json_snapshot!((&plan.changes, &plan.cost));
}

#[test]
fn a_plan_is_refused_when_it_does_not_fit_or_uncovers_a_shard() {
    let base = document(3);
    let mut bad = without_zone(&base, "a");
    take_out(&mut bad, "b");
    let plan = plan("op-2", &base, bad);
    let mut other = base.clone();
    other.limits.stale_after = other.limits.stale_after * 2;
    let mut table = String::new();
    for (case, base) in [("uncovers", &base), ("other body", &other), ("newer", &plan.target)] {
        writeln!(table, "{case}: {}", plan.check(base).unwrap_err()).unwrap();
    }
    insta::assert_snapshot!(table);
    let allowed = Plan { allow_coverage_loss: true, ..plan };
    assert_eq!(allowed.check(&base), Ok(()));
}

#[test]
fn confirmation_by_result_of_the_write() {
    let base = document(3);
    let plan = plan("op-2", &base, without_zone(&base, "a"));
    let mine = plan.target.clone();
    let theirs = Document { op: id("op-x"), ..mine.clone() };
    let later = Document { version: ConfigVersion(3), ..theirs.clone() };
    let found = |document: &Document| ReadResult::Found(stored(document.clone(), 7));
    let conflict = |document: &Document| WriteResult::Conflict(Some(stored(document.clone(), 7)));
    let cases = [
        ("written", WriteResult::Written(Revision(6)), vec![]),
        ("conflict with another", conflict(&theirs), vec![]),
        ("conflict with itself", conflict(&mine), vec![]),
        ("refused by the store", WriteResult::NoEffect, vec![]),
        ("lost, read back itself", WriteResult::Unknown, vec![found(&mine)]),
        ("lost, read back another", WriteResult::Unknown, vec![found(&theirs)]),
        ("lost, read back the base", WriteResult::Unknown, vec![found(&base)]),
        ("lost, read back a later version", WriteResult::Unknown, vec![found(&later)]),
        ("lost, store gone", WriteResult::Unknown, vec![ReadResult::Failed]),
    ];
    let mut table = String::new();
    for (case, write, reads) in cases {
        let current = stored(base.clone(), 5);
        let expected = BTreeSet::from([id("h1@1"), id("h2@1")]);
        let (mut confirm, _) = Confirmation::start(plan.clone(), &current, expected);
        let mut steps = vec![confirm.on_written(write)];
        steps.extend(reads.into_iter().map(|read| confirm.on_read(read)));
        confirm.on_host_report(&id("h1@1"), ConfigVersion(2));
        writeln!(table, "{case}\n    {steps:?}\n    {:?}", confirm.give_up()).unwrap();
    }
    insta::assert_snapshot!(table);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(12), failure_persistence: None,
        ..Default::default()
    })]

    /// Three operators confirm plans for the same base concurrently, while calls fail, responses
    /// are lost and writes are applied late. Every confirmation that ends as in force or refused
    /// must be right.
    #[test]
    fn at_most_one_of_several_confirmations_takes_effect(schedule in vec((0_usize..3, 0_u8..4), 1..40)) {
        let base = document(2);
        let mut store = stored(base.clone(), 1);
        let plans = ["op-a", "op-b", "op-c"].map(|op| plan(op, &base, without_zone(&base, "a")));
        let mut late_writes = Vec::new();
        let mut runs = plans.clone().map(|plan| Confirmation::start(plan, &store, BTreeSet::new()));
        for (n, fault) in schedule {
            let (confirm, step) = &mut runs[n];
            *step = match step.clone() {
                ConfirmStep::Write(at) => confirm.on_written(match fault {
                    0 | 1 if at == store.revision => {
                        store = stored(confirm.target().clone(), store.revision.0 + 1);
                        if fault == 0 {
                            WriteResult::Written(store.revision)
                        } else {
                            WriteResult::Unknown
                        }
                    }
                    0 | 1 => WriteResult::Conflict(Some(store.clone())),
                    2 => { late_writes.push((at, confirm.target().clone())); WriteResult::Unknown }
                    _ => WriteResult::NoEffect,
                }),
                ConfirmStep::Read if fault == 3 => confirm.on_read(ReadResult::Failed),
                ConfirmStep::Read => confirm.on_read(ReadResult::Found(store.clone())),
                done => done,
            };
            if fault == 2 && late_writes.len() > 1 {
                let (at, target) = late_writes.remove(0);
                if at == store.revision {
                    store = stored(target, store.revision.0 + 1);
                }
            }
        }
        for (plan, (confirm, _)) in plans.iter().zip(&mut runs) {
            match confirm.give_up() {
                ConfirmOutcome::InForce { .. } => prop_assert_eq!(&store.value.op, &plan.id),
                ConfirmOutcome::Refused(_) => prop_assert_ne!(&store.value.op, &plan.id),
                ConfirmOutcome::NotKnownYet => {}
            }
        }
        prop_assert!(store.revision.0 <= 2, "more than one plan was written");
    }

    #[test]
    fn adoption_never_reverts(offers in vec((1_u64..9, 0_u64..2), 1..60)) {
        let mut adoption = AdoptedVersion::default();
        let mut highest = None;
        for (version, body) in offers {
            let sources = [DocumentSource::Watch, DocumentSource::Read, DocumentSource::Peer];
            let source = sources[version as usize % 3];
            let before = (adoption.version(), adoption.digest());
            let offered = adoption.offer(ConfigVersion(version), Digest(body), source);
            highest = highest.max(Some(ConfigVersion(version)));
            prop_assert_eq!(adoption.version(), highest);
            if offered != OfferOutcome::Adopt {
                prop_assert_eq!((adoption.version(), adoption.digest()), before);
            }
        }
    }
}

#[test]
fn the_same_version_with_another_body_is_a_conflict() {
    let mut adoption = AdoptedVersion::default();
    adoption.offer(ConfigVersion(2), Digest(1), DocumentSource::Watch);
    let offers = [(2, 1), (2, 7), (1, 1), (3, 7)].map(|(version, body)| {
        adoption.offer(ConfigVersion(version), Digest(body), DocumentSource::Peer)
    });
    insta::assert_debug_snapshot!(offers);
}

#[test]
fn a_confirmed_plan_can_be_confirmed_again() {
    let base = document(2);
    let plan = plan("op-2", &base, without_zone(&base, "a"));
    let now = stored(plan.target.clone(), 9);
    let (_, step) = Confirmation::start(plan.clone(), &now, BTreeSet::new());
    assert!(matches!(step, ConfirmStep::Done(ConfirmOutcome::InForce { .. })));
    let (_, step) = Confirmation::start(plan, &stored(document(1), 9), BTreeSet::new());
    assert!(matches!(step, ConfirmStep::Done(ConfirmOutcome::Refused(ConfirmRefusal::Plan(_)))));
}
