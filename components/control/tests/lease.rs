//! Tests of sessions, promises, rights, handover and membership, with and without faults.

mod common;

use {
    common::{SESSION, document, id, observed, sessions, take_out},
    indexmap::IndexMap,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::fmt::Write,
    wigeonramp_control::{
        assignment::{Assignment, AssignmentVersion, Holding, NamedAssigner},
        membership::Membership,
        promise::{PromiseAnswer, PromiseIssuer, PromiseRound, RequestedPromise},
        rights::HolderState,
        session::Session,
        takeover_throttle::TakeoverThrottle,
    },
    wigeonramp_units::{Epoch, InstanceId, Instant, LeafId, Slots, Span},
};

const T0: Instant = Instant(1_000_000_000);

fn at(ms: u64) -> Instant {
    T0 + Span::millis(ms)
}

fn assignment(version: u64, assigners: &[&str]) -> Assignment {
    let since = AssignmentVersion(1);
    let named = |text: &&str| NamedAssigner { instance: id(text), since };
    Assignment {
        version: AssignmentVersion(version),
        op: id("op-1"),
        assigners: assigners.iter().map(named).collect(),
        disputed: Vec::new(),
        holdings: IndexMap::new(),
    }
}

fn holding(instance: &str, epoch: u64, from: Option<&str>) -> Holding {
    Holding {
        instance: id(instance),
        epoch: Epoch(epoch),
        from: from.map(id),
        taken_over: false,
        since_version: AssignmentVersion(3),
    }
}

#[test]
fn a_session_counts_from_before_the_renewal_and_ends_when_its_object_is_gone() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut session = Session::new(SESSION, T0);
    let mut table = String::new();
    let mut row = |session: &Session, event: &str| {
        let until = session.valid_until().map(|until| until.since(T0).to_string());
        writeln!(table, "{event:<44} valid until {until:?}, fenced {}", session.is_fenced())
            .unwrap();
    };
    row(&session, "started");
    let first = session.start_renewal(at(0), &mut rng);
    row(&session, "renewal sent at 0");
    session.confirm_renewal(first.counter, first.sent, at(900));
    row(&session, "answer at 900ms");
    session.start_renewal(at(1300), &mut rng);
    row(&session, "renewal sent at 1300ms, answer lost");
    let back = session.read_back(Some(1), at(1500));
    row(&session, &format!("read back counter 1: {back:?}"));
    let back = session.read_back(Some(2), at(1600));
    row(&session, &format!("read back counter 2: {back:?}"));
    let back = session.read_back(Some(1), at(1700));
    row(&session, &format!("read back counter 1 again: {back:?}"));
    let mut session = Session::new(SESSION, T0);
    let first = session.start_renewal(at(0), &mut rng);
    let back = session.read_back(None, at(100));
    row(&session, &format!("first write lost, object missing: {back:?}"));
    session.confirm_renewal(first.counter, first.sent, at(200));
    let back = session.read_back(None, at(300));
    row(&session, &format!("object deleted: {back:?}"));
    session.confirm_renewal(9, at(400), at(500));
    row(&session, "late answer after the end");
    insta::assert_snapshot!(table);
}

#[test]
fn promises_are_refused_for_each_reason() {
    let assigner: InstanceId = id("a1@1");
    let mut issuer = PromiseIssuer::new(assigner.clone(), SESSION, SESSION * 10);
    let request = |version: u64, term: Span| RequestedPromise {
        holder: id("h1@1"),
        assigner: assigner.clone(),
        known_version: AssignmentVersion(version),
        term,
    };
    let mut table = String::new();
    let mut row = |case: &str, answer: PromiseAnswer| {
        writeln!(table, "{case:<40} {answer:?}").unwrap();
    };
    let renewal = Some(at(0));
    row("not an assigner", issuer.answer(&request(3, SESSION), renewal, at(1)));
    issuer.on_assignment(&assignment(3, &["a1@1", "a2@1"]));
    row("same version", issuer.answer(&request(3, SESSION), renewal, at(1)));
    row("older version", issuer.answer(&request(2, SESSION), renewal, at(1)));
    row("term too long", issuer.answer(&request(3, SESSION * 2), renewal, at(1)));
    row("horizon passed", issuer.answer(&request(3, SESSION), renewal, at(40_000)));
    let other = RequestedPromise { assigner: id("a1@0"), ..request(3, SESSION) };
    row("earlier boot asked", issuer.answer(&other, renewal, at(1)));
    issuer.on_write_started(AssignmentVersion(4));
    row("write of 4 in progress", issuer.answer(&request(3, SESSION), renewal, at(1)));
    row(
        "write of 4 in progress, holder knows it",
        issuer.answer(&request(4, SESSION), renewal, at(1)),
    );
    issuer.on_assignment(&assignment(4, &["a1@1"]));
    issuer.prepare_takeover(&id("h1@1"));
    row("takeover prepared", issuer.answer(&request(4, SESSION), renewal, at(1)));
    insta::assert_snapshot!(table);
}

#[test]
fn a_round_counts_only_when_all_answered_it_in_the_same_version() {
    let current = assignment(3, &["a1@1", "a2@1"]);
    let holder = id("h1@1");
    let mut round = PromiseRound::default();
    let requests = round.begin(&holder, &current, SESSION, at(0));
    round.on_answer(&requests[0], PromiseAnswer::Granted, at(0));
    assert_eq!(round.valid_until(), None, "the promise of one of two assigners is not enough");
    let repeated = round.begin(&holder, &current, SESSION, at(1_000));
    round.on_answer(&requests[1], PromiseAnswer::Granted, at(0));
    round.on_answer(&repeated[0], PromiseAnswer::Granted, at(1_000));
    assert_eq!(round.valid_until(), None, "an answer of the earlier round was counted");
    round.on_answer(&repeated[1], PromiseAnswer::Granted, at(1_000));
    assert_eq!(round.valid_until(), Some(at(1_000 + 3_920)));
}

#[test]
fn rights_by_condition() {
    let mut doc = document(2);
    let mut view = assignment(3, &["a1@1"]);
    for (leaf, holding) in [
        ("leaf-0", holding("h1@1", 1, None)),
        ("leaf-1", holding("h1@1", 2, Some("h2@1"))),
        ("leaf-2", holding("h2@1", 1, None)),
    ] {
        view.holdings.insert(id(leaf), holding);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut holder = HolderState::new(id("h1@1"), Session::new(SESSION, T0), Span::secs(2));
    let mut table = String::new();
    let mut row = |holder: &HolderState, doc: &_, case: &str, now: Instant| {
        let rights = ["leaf-0", "leaf-1", "leaf-2"]
            .map(|leaf| holder.rights(&id::<LeafId>(leaf), &view, doc, now));
        let cap = holder.deadline_cap(now).since(T0);
        writeln!(table, "{case}\n    {rights:?} deadline {cap}").unwrap();
    };
    row(&holder, &doc, "no session", at(0));
    let renewal = holder.session.start_renewal(at(0), &mut rng);
    holder.session.confirm_renewal(renewal.counter, renewal.sent, at(100));
    row(&holder, &doc, "session, no contact", at(200));
    holder.record_contact(at(0));
    row(&holder, &doc, "session and contact", at(200));
    holder.incoming.on_released(&id("leaf-1"), Epoch(1));
    row(&holder, &doc, "release of another epoch", at(200));
    holder.incoming.on_released(&id("leaf-1"), Epoch(2));
    row(&holder, &doc, "released", at(200));
    row(&holder, &doc, "first check after a pause", at(2_500));
    holder.record_contact(at(3_000));
    row(&holder, &doc, "contact again", at(3_100));
    holder.record_contact(at(4_000));
    row(&holder, &doc, "session expired", at(4_100));
    let requests = holder.promises.begin(&id("h1@1"), &view, SESSION, at(4_100));
    holder.promises.on_answer(&requests[0], PromiseAnswer::Granted, at(4_100));
    row(&holder, &doc, "promised", at(4_200));
    let answer = holder.outgoing.release(&id("leaf-0"), Epoch(2), Some(Epoch(1)), 1);
    row(&holder, &doc, &format!("release of leaf-0 requested: {answer:?}"), at(4_200));
    take_out(&mut doc, "b");
    row(&holder, &doc, "zone of leaf-1 out of service", at(4_200));
    holder.session.close();
    row(&holder, &doc, "closed", at(4_200));
    insta::assert_snapshot!(table);
}

#[test]
fn a_leaf_taken_over_gets_one_concurrent_request_less_for_one_session_time() {
    let mut throttle = TakeoverThrottle::new(SESSION);
    let mut view = assignment(3, &["a1@1"]);
    let taken = Holding { taken_over: true, ..holding("h1@1", 2, None) };
    view.holdings.insert(id("leaf-0"), taken);
    throttle.on_assignment(&id("h1@1"), &view, at(0));
    throttle.on_assignment(&id("h1@1"), &view, at(3_000));
    let allowed = |ms, declared| throttle.cold_in_flight(&id("leaf-0"), Slots(declared), at(ms)).0;
    assert_eq!([allowed(3_999, 3), allowed(3_999, 1), allowed(4_000, 3)], [2, 1, 3]);
}

#[test]
fn observation_restarts_after_a_gap_and_ignores_old_lists() {
    let mut membership = observed(1, at(0));
    let mut table = String::new();
    let mut row = |membership: &Membership, case: &str, ms: u64| {
        let view = membership.view(at(ms));
        let state = view.instances.values().next().map(|v| (v.liveness, v.renewal_seen));
        writeln!(table, "{case:<40} {state:?}").unwrap();
    };
    row(&membership, "renewed at 0, at 3.9s", 3_900);
    membership.on_session_list(at(3_900), sessions(1, 2), at(3_900));
    row(&membership, "unchanged at 4.1s", 4_100);
    membership.on_session_list(at(100), sessions(1, 1), at(4_200));
    row(&membership, "old list arrives at 4.2s, at 4.9s", 4_900);
    row(&membership, "unchanged at 5s", 5_000);
    membership.on_session_list(at(20_000), sessions(1, 2), at(20_000));
    row(&membership, "first list after an outage", 20_000);
    membership.on_session_list(at(21_000), sessions(1, 3), at(21_000));
    row(&membership, "renewed after the outage", 21_000);
    membership.on_heartbeat(&id("h0@1"), true, at(21_500));
    row(&membership, "heartbeat announces leaving", 21_500);
    insta::assert_snapshot!(table);
}
