//! Tests of the query state machine: scripted events with their times, and snapshots of the
//! resulting actions and results.

mod common;

use {
    bytes::Bytes,
    common::{collection, document, leaf, ms, spec, view},
    indexmap::IndexMap,
    insta::assert_snapshot,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{fmt::Write, sync::Arc},
    wigeonramp_config::{Document, Prefer},
    wigeonramp_serving::{
        budget::AttemptBudgets,
        query::{
            Action, AttemptResult, AttemptSpec, Event, LeafResponse, LeafView, Query, QueryResult,
            QuerySpec, Trust,
        },
        snapshot::choose,
        upstream::{LeafState, Refusal},
    },
    wigeonramp_units::{AttemptId, Digest, Fingerprint, Instant, Percent, SnapshotId, Span},
};

/// Drives a query and records its actions in a table.
struct Rig {
    query: Query,
    attempts: IndexMap<u64, AttemptSpec>,
    now: Instant,
    result: Option<QueryResult>,
    table: String,
}

impl Rig {
    fn start(doc: Document, view: LeafView, spec: QuerySpec) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let now = ms(0);
        let (query, actions) = Query::new(spec, Arc::new(doc), Arc::new(view), now, &mut rng);
        let attempts = IndexMap::new();
        let mut rig = Self { query, attempts, now, result: None, table: String::new() };
        rig.line("start");
        rig.record(actions);
        rig
    }

    /// Queries one collection `c` with that many shards, whose leaves are all warm and have
    /// snapshot 5.
    fn with(
        shards: usize,
        change: impl FnOnce(&mut Document, &mut LeafView, &mut QuerySpec),
    ) -> Self {
        let mut doc = document([("c", collection(shards, Prefer::Coverage))]);
        let mut view = view(&doc, &[5]);
        let mut spec = spec(&["c"]);
        change(&mut doc, &mut view, &mut spec);
        Self::start(doc, view, spec)
    }

    fn line(&mut self, text: &str) {
        let _ = writeln!(self.table, "{:>6} {text}", self.now.to_string());
    }

    fn record(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(spec) => self.record_send(spec),
                Action::Cancel { attempt } => self.line(&format!("  cancel {attempt}")),
                Action::WakeAt(at) => self.line(&format!("  wake at {at}")),
                Action::Finish(result) => self.record_result(*result),
            }
        }
    }

    fn record_send(&mut self, spec: AttemptSpec) {
        let hedge = if spec.hedge { " hedge" } else { "" };
        let alone = if spec.alone { " alone" } else { "" };
        let AttemptSpec { attempt, leaf, shard, snapshot, map_version, .. } = &spec;
        let text = format!("  send {attempt} {leaf} {shard} snapshot {snapshot} map {map_version}");
        self.line(&(text + hedge + alone));
        self.attempts.insert(spec.attempt.get(), spec);
    }

    fn record_result(&mut self, result: QueryResult) {
        let coverage = &result.coverage;
        let missing = coverage.missing.iter().map(|m| format!(" {}={}", m.shard, m.reason));
        let missing: String = missing.collect();
        let (covered, total) = (coverage.covered, coverage.total);
        self.line(&format!("  finish {:?} {covered}/{total}{missing}", result.outcome));
        let counters = self.query.counters();
        self.line(&format!("  {counters:?}"));
        self.result = Some(result);
    }

    fn at(&mut self, time: u64) -> &mut Self {
        self.now = ms(time);
        self
    }

    fn event(&mut self, text: &str, event: Event) -> &mut Self {
        self.line(text);
        let actions = self.query.handle(event, self.now);
        self.record(actions);
        self
    }

    fn tick(&mut self, time: u64) -> &mut Self {
        self.at(time).event("tick", Event::Tick)
    }

    fn end(&mut self, attempt: u64, result: AttemptResult) -> &mut Self {
        let name = match &result {
            AttemptResult::NotSent(refusal) => format!("NotSent:{refusal}"),
            other => format!("{other:?}"),
        };
        let name: String = name.chars().take_while(|c| !"{( ".contains(*c)).collect();
        let event = Event::AttemptEnded { attempt: AttemptId(attempt), result };
        self.event(&format!("{name} {attempt}"), event)
    }

    fn response(&self, attempt: u64) -> LeafResponse {
        let spec = &self.attempts[&attempt];
        let payload = Bytes::from(format!("{} {}", spec.shard, spec.snapshot));
        LeafResponse {
            request: "1-r".parse().expect("request id"),
            leaf: spec.leaf.clone(),
            shard: spec.shard.clone(),
            member: "m".parse().expect("member id"),
            snapshot: spec.snapshot,
            map_version: spec.map_version,
            rows: 1,
            digest: Digest::of(&payload),
            payload,
        }
    }

    fn ok(&mut self, attempt: u64) -> &mut Self {
        let response = self.response(attempt);
        self.end(attempt, AttemptResult::Answered(response))
    }

    fn not_sent(&mut self, attempt: u64, refusal: Refusal) -> &mut Self {
        self.end(attempt, AttemptResult::NotSent(refusal))
    }
}

#[test]
fn slow_attempt_is_hedged_and_the_loser_cancelled() {
    let mut rig = Rig::with(2, |_, _, _| {});
    rig.at(5).ok(1).tick(20).at(25).ok(3).ok(2);
    assert_snapshot!(rig.table);
}

#[test]
fn no_hedge_to_a_cold_leaf_nor_without_budget_nor_for_a_request_that_must_not_run_twice() {
    let mut cold = Rig::with(1, |_, view, _| {
        view.leaves[&leaf("b0")].state = LeafState::Cold;
        view.leaves[&leaf("b0")].in_flight = 9;
    });
    cold.tick(20).tick(500);
    let mut no_budget = Rig::with(1, |_, _, spec| {
        spec.targets[0].budgets = Arc::new(AttemptBudgets::new(Percent(5), Percent(10), 0));
    });
    no_budget.tick(20).tick(500);
    let mut non_idempotent = Rig::with(1, |_, _, spec| spec.idempotent = false);
    non_idempotent.tick(20).tick(500);
    assert_snapshot!(cold.table + &no_budget.table + &non_idempotent.table);
}

#[test]
fn holder_refusals_lead_to_the_other_replica_then_to_another_round() {
    let mut rig = Rig::with(1, |_, _, _| {});
    rig.at(1).not_sent(1, Refusal::Moving).at(2).not_sent(2, Refusal::Cold).tick(22).at(30).ok(3);
    let mut none = Rig::with(1, |_, _, _| {});
    none.at(1).not_sent(1, Refusal::NotHolder).not_sent(2, Refusal::Overload);
    for (time, attempts) in [(21, [3, 4]), (61, [5, 6])] {
        none.tick(time);
        for attempt in attempts {
            none.not_sent(attempt, Refusal::Overload);
        }
    }
    none.tick(141);
    assert_snapshot!(rig.table + &none.table);
}

/// Guards against queries that together send more retries than the collection's budget allows.
#[test]
fn retries_end_with_the_budget_of_the_collection() {
    let mut rig = Rig::with(2, |_, _, spec| {
        spec.targets[0].budgets = Arc::new(AttemptBudgets::new(Percent(0), Percent(0), 1));
    });
    rig.at(5).end(1, AttemptResult::Unknown).end(2, AttemptResult::Unknown).at(9).ok(3);
    rig.tick(25);
    let retries = rig.query.counters().retries;
    let coverage = rig.result.expect("a result without a second retry").coverage;
    assert_eq!((retries, coverage.covered, coverage.total), (1, 1, 2));
}

#[test]
fn one_retry_follows_resets_and_it_runs_alone() {
    let mut rig = Rig::with(2, |_, _, _| {});
    rig.at(5).end(1, AttemptResult::Reset).end(2, AttemptResult::Reset);
    rig.at(9).end(3, AttemptResult::Reset);
    assert_snapshot!(rig.table);
}

#[test]
fn request_that_must_not_run_twice_moves_on_only_when_no_byte_was_sent() {
    let non_idempotent = || Rig::with(1, |_, _, spec| spec.idempotent = false);
    let mut table = String::new();
    for result in [AttemptResult::Unknown, AttemptResult::Refused, AttemptResult::Reset] {
        let mut rig = non_idempotent();
        rig.at(5).end(1, result);
        table += &rig.table;
    }
    let mut unsent = non_idempotent();
    unsent.at(5).not_sent(1, Refusal::Leaving).at(9).ok(2);
    let mut silent = non_idempotent();
    silent.tick(500);
    let many = Rig::with(2, |_, _, spec| spec.idempotent = false);
    assert_snapshot!(table + &unsent.table + &silent.table + &many.table);
}

#[test]
fn unseen_request_runs_on_one_shard_first_and_harms_at_most_two_leaves() {
    let unseen = || {
        Rig::with(3, |doc, _, spec| {
            doc.collections[0].canary = true;
            spec.trust = Trust::Unseen;
            spec.fingerprint = Fingerprint(1);
        })
    };
    let mut good = unseen();
    good.at(5).ok(1).at(9).ok(2).ok(3);
    let mut crashing = unseen();
    crashing.at(5).end(1, AttemptResult::Reset).at(9).end(2, AttemptResult::Reset);
    let mut busy = unseen();
    busy.at(5).not_sent(1, Refusal::Cold).not_sent(2, Refusal::Cold).at(9).ok(3).ok(4).ok(5);
    let mut refused = unseen();
    refused.at(5).not_sent(1, Refusal::Quarantined);
    assert_snapshot!(good.table + &crashing.table + &busy.table + &refused.table);
}

#[test]
fn lost_snapshot_leads_to_the_replica_and_then_restarts_where_more_is_covered() {
    let mut rig = Rig::with(3, |_, view, _| {
        for info in view.leaves.values_mut() {
            info.snapshots = vec![SnapshotId(5), SnapshotId(12)];
        }
        // Not all leaves have loaded the newest snapshot yet.
        view.leaves[&leaf("a2")].snapshots.pop();
        view.leaves[&leaf("x2")].snapshots.pop();
    });
    rig.at(5).ok(1).end(2, AttemptResult::SnapshotGone).end(3, AttemptResult::SnapshotGone);
    rig.at(9).end(4, AttemptResult::SnapshotGone).end(5, AttemptResult::SnapshotGone);
    rig.at(12).ok(2).ok(6).ok(7).ok(8);
    assert_snapshot!(rig.table);
    let result = rig.result.expect("result");
    assert!(
        result.responses.iter().all(|shard| shard.response.snapshot == result.pinned[0].snapshot)
    );
}

#[test]
fn no_restart_without_time() {
    let mut rig = Rig::with(2, |_, view, _| {
        for info in view.leaves.values_mut() {
            info.snapshots = vec![SnapshotId(5), SnapshotId(6)];
        }
    });
    rig.at(490);
    for attempt in [1, 2, 3, 4] {
        rig.end(attempt, AttemptResult::SnapshotGone);
    }
    assert_snapshot!(rig.table);
}

#[test]
fn replies_that_do_not_match_are_dropped_and_the_shard_is_retried() {
    type Change = fn(&mut LeafResponse);
    let changes: [(&str, Change); 8] = [
        ("request", |response| response.request = "2-r".parse().expect("request id")),
        ("leaf", |response| response.leaf = leaf("b0")),
        ("shard", |response| response.shard = "s9".parse().expect("shard id")),
        ("member", |response| response.member = "other".parse().expect("member id")),
        ("snapshot", |response| response.snapshot = SnapshotId(4)),
        ("map", |response| response.map_version = response.map_version.next()),
        ("payload", |response| response.payload = Bytes::from_static(b"cut")),
        ("rows", |response| {
            response.payload = Bytes::new();
            response.digest = Digest::of(b"");
        }),
    ];
    let mut table = String::new();
    for (name, change) in changes {
        let mut rig = Rig::with(1, |_, _, _| {});
        let mut response = rig.response(1);
        change(&mut response);
        rig.at(5).end(1, AttemptResult::Answered(response)).at(9).ok(2);
        let counted = rig.query.counters().mismatched;
        let covered = rig.result.expect("result").coverage.covered;
        let _ = writeln!(table, "{name}: mismatched {counted}, covered {covered}");
    }
    let mut non_idempotent = Rig::with(1, |_, _, spec| spec.idempotent = false);
    let mut other_member = non_idempotent.response(1);
    other_member.member = "other".parse().expect("member id");
    non_idempotent.at(5).end(1, AttemptResult::Answered(other_member)).at(9).ok(1);
    assert_snapshot!(table + &non_idempotent.table);
}

#[test]
fn doubled_and_late_answers_count_once() {
    let mut rig = Rig::with(2, |_, _, _| {});
    rig.at(5).ok(1).ok(1).tick(20).at(30).ok(2).ok(3);
    let counters = rig.query.counters();
    rig.line(&format!("{counters:?}"));
    assert_snapshot!(rig.table);
}

#[test]
fn latency_first_answers_at_the_soft_deadline_and_coverage_first_waits() {
    let run = |prefer| {
        let mut rig = Rig::with(2, |doc, _, _| {
            doc.collections[0].prefer = prefer;
            doc.collections[0].hedge = false;
        });
        rig.at(5).ok(1).tick(100);
        if rig.result.is_none() {
            rig.tick(500);
        }
        rig.table
    };
    assert_snapshot!(run(Prefer::Latency) + &run(Prefer::Coverage));
}

#[test]
fn several_collections_are_pinned_each_to_its_own_snapshot() {
    let slow = collection(1, Prefer::Latency);
    let doc = document([("c", collection(1, Prefer::Coverage)), ("d", slow)]);
    let view = view(&doc, &[5]);
    let mut rig = Rig::start(doc, view, spec(&["c", "d"]));
    rig.tick(100).at(200).ok(1);
    assert_snapshot!(rig.table);
}

#[test]
fn nothing_sent_is_reported_as_not_run() {
    let out = Rig::with(1, |_, view, _| {
        for info in view.leaves.values_mut() {
            info.in_service = false;
        }
    });
    let late = Rig::with(1, |_, _, spec| spec.deadline = ms(0));
    let mut refused = Rig::with(1, |_, _, spec| spec.deadline = ms(10));
    refused.at(1).not_sent(1, Refusal::StaleConfig).not_sent(2, Refusal::StaleConfig);
    let mut open = Rig::with(1, |_, _, _| {});
    open.tick(500);
    assert_snapshot!(out.table + &late.table + &refused.table + &open.table);
}

#[test]
fn replica_choice_avoids_cold_ejected_leaving_loaded_and_far_leaves() {
    let mut table = String::new();
    let mut pick = |name: &str, change: fn(&mut LeafView)| {
        let rig = Rig::with(1, |_, view, _| change(view));
        let leaf = rig.attempts.values().next().map(|spec| spec.leaf.to_string());
        let _ = writeln!(table, "{name}: {leaf:?}");
    };
    pick("all good", |_| {});
    pick("a0 cold and busy", |view| {
        view.leaves[&leaf("a0")].state = LeafState::Cold;
        view.leaves[&leaf("a0")].queued = 1;
    });
    pick("a0 ejected", |view| view.leaves[&leaf("a0")].ejected = true);
    pick("a0 leaving", |view| view.leaves[&leaf("a0")].state = LeafState::Leaving);
    pick("a0 zone out", |view| view.leaves[&leaf("a0")].in_service = false);
    pick("a0 loaded", |view| view.leaves[&leaf("a0")].queued = 4);
    pick("a0 far", |view| {
        view.leaves[&leaf("a0")].zone = "z2".parse().expect("zone id");
        view.leaves[&leaf("b0")].p50 = Span::millis(6);
    });
    pick("only a cold one", |view| {
        view.leaves[&leaf("a0")].state = LeafState::Cold;
        view.leaves[&leaf("b0")].state = LeafState::Gone;
    });
    assert_snapshot!(table);
}

#[test]
fn idle_cold_replica_gets_a_share_of_the_queries() {
    let picks = (0..1_000).filter(|seed| {
        let doc = document([("c", collection(1, Prefer::Coverage))]);
        let mut view = view(&doc, &[5]);
        view.leaves[&leaf("a0")].state = LeafState::Cold;
        let mut rng = ChaCha8Rng::seed_from_u64(*seed);
        let spec = spec(&["c"]);
        let (_, actions) = Query::new(spec, Arc::new(doc), Arc::new(view), ms(0), &mut rng);
        actions.iter().any(|a| matches!(a, Action::Send(spec) if spec.leaf == leaf("a0")))
    });
    let picks = picks.count();
    assert!((80..170).contains(&picks), "{picks} of 1000 queries went to the cold leaf");
}

#[test]
fn snapshot_choice_prefers_coverage_then_the_newest() {
    let collection = collection(2, Prefer::Coverage);
    let doc = document([("c", collection.clone())]);
    let mut view = view(&doc, &[5, 6]);
    let pick = |view: &LeafView| choose(&collection, None, view, &Default::default());
    let both = pick(&view);
    view.leaves[&leaf("a0")].snapshots.pop();
    view.leaves[&leaf("b0")].snapshots.pop();
    let table = format!("{both:?}\n{:?}\n", pick(&view));
    assert_snapshot!(table, @r"
    Some(Choice { snapshot: SnapshotId(6), covered: 2, total: 2 })
    Some(Choice { snapshot: SnapshotId(5), covered: 2, total: 2 })
    ");
}
