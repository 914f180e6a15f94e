//! Property tests of the query state machine: random event sequences, checked by a model of the
//! attempts sent and their results.

mod common;

use {
    bytes::Bytes,
    common::{collection, document, leaf, ms, spec, view},
    indexmap::{IndexMap, IndexSet},
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::sync::Arc,
    wigeonramp_config::{Document, Prefer},
    wigeonramp_serving::{
        query::{
            Action, AttemptResult, AttemptSpec, Event, LeafResponse, LeafView, Outcome, Query,
            QueryResult, QuerySpec, Trust,
        },
        upstream::{LeafState, Refusal},
    },
    wigeonramp_units::{AttemptId, Digest, Fingerprint, Instant, SnapshotId, Span},
};

const DEADLINE: u64 = 500;

#[derive(Clone, Debug)]
struct Setup {
    /// For each collection: number of shards, whether it prefers latency, and whether it needs a
    /// canary.
    collections: Vec<(usize, bool, bool)>,
    idempotent: bool,
    trust: Trust,
    fingerprint: u64,
    /// For each leaf: state, bit set of snapshots, and whether it is in service.
    leaves: Vec<(LeafState, u8, bool)>,
    seed: u64,
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    End {
        which: usize,
        ending: Ending,
    },
    /// Delivers the response of an attempt that has ended once more.
    Duplicate(usize),
}

#[derive(Clone, Copy, Debug)]
enum Ending {
    Answered,
    /// A response of another attempt; the number selects the field that differs.
    Mismatched(u8),
    NotSent(Refusal),
    Refused,
    Unknown,
    Reset,
    SnapshotGone,
}

fn setup() -> impl Strategy<Value = Setup> {
    let state = prop_oneof![
        6 => Just(LeafState::Warm),
        1 => Just(LeafState::Cold),
        1 => Just(LeafState::Ramping),
        1 => Just(LeafState::Suspect),
        1 => Just(LeafState::Leaving),
    ];
    let leaves = vec((state, 0u8..8, prop::bool::weighted(0.9)), 12);
    let trust = prop_oneof![Just(Trust::Known), Just(Trust::Unseen), Just(Trust::Suspected)];
    let collections = vec((1usize..5, any::<bool>(), any::<bool>()), 1..3);
    (collections, prop::bool::weighted(0.7), trust, 0u64..9, leaves, any::<u64>()).prop_map(
        |(collections, idempotent, trust, fingerprint, leaves, seed)| {
            let collections = if idempotent {
                collections
            } else {
                vec![(1, collections[0].1, collections[0].2)]
            };
            Setup { collections, idempotent, trust, fingerprint, leaves, seed }
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    let ending = prop_oneof![
        6 => Just(Ending::Answered),
        1 => (0u8..6).prop_map(Ending::Mismatched),
        3 => Just(Ending::NotSent(Refusal::Cold)),
        1 => Just(Ending::NotSent(Refusal::Quarantined)),
        1 => Just(Ending::Refused),
        1 => Just(Ending::Unknown),
        2 => Just(Ending::Reset),
        2 => Just(Ending::SnapshotGone),
    ];
    prop_oneof![
        3 => (0u64..60).prop_map(Step::Wait),
        6 => (any::<usize>(), ending).prop_map(|(which, ending)| Step::End { which, ending }),
        1 => any::<usize>().prop_map(Step::Duplicate),
    ]
}

struct Model {
    query: Query,
    view: Arc<LeafView>,
    idempotent: bool,
    trust: Trust,
    now: Instant,
    wake: Option<Instant>,
    attempts: IndexMap<AttemptId, AttemptSpec>,
    open: IndexSet<AttemptId>,
    /// Attempts whose holder reported that no byte was sent.
    unsent: IndexSet<AttemptId>,
    /// Attempts that received a mismatched response, so bytes of them may have been sent.
    mismatched: IndexSet<AttemptId>,
    /// Leaves that have reset.
    resets: IndexSet<String>,
    result: Option<QueryResult>,
}

fn prepare(setup: &Setup) -> (Document, LeafView, QuerySpec) {
    let collections = ["c", "d"].into_iter().zip(&setup.collections);
    let doc = document(collections.map(|(name, (shards, latency, canary))| {
        let prefer = if *latency { Prefer::Latency } else { Prefer::Coverage };
        let mut collection = collection(*shards, prefer);
        collection.canary = *canary;
        (name, collection)
    }));
    let mut view = view(&doc, &[]);
    for (info, (state, bits, in_service)) in view.leaves.values_mut().zip(&setup.leaves) {
        info.state = *state;
        info.in_service = *in_service;
        let snapshots = [5, 6, 12].into_iter().enumerate();
        let present = snapshots.filter(|(i, _)| bits & (1 << i) != 0);
        info.snapshots = present.map(|(_, id)| SnapshotId(id)).collect();
    }
    let names: Vec<_> = ["c", "d"].into_iter().take(setup.collections.len()).collect();
    let spec = QuerySpec {
        idempotent: setup.idempotent,
        trust: setup.trust,
        fingerprint: Fingerprint(setup.fingerprint),
        deadline: ms(DEADLINE),
        ..spec(&names)
    };
    (doc, view, spec)
}

impl Model {
    fn new(setup: &Setup) -> Self {
        let (doc, view, spec) = prepare(setup);
        let view = Arc::new(view);
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let (query, actions) = Query::new(spec, Arc::new(doc), view.clone(), ms(0), &mut rng);
        let mut model = Self {
            query,
            view,
            idempotent: setup.idempotent,
            trust: setup.trust,
            now: ms(0),
            wake: None,
            attempts: IndexMap::new(),
            open: IndexSet::new(),
            unsent: IndexSet::new(),
            mismatched: IndexSet::new(),
            resets: IndexSet::new(),
            result: None,
        };
        model.apply(actions);
        model
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Wait(time) => self.advance_to(self.now + Span::millis(time)),
            Step::End { which, ending } if !self.open.is_empty() => {
                let id = self.open[which % self.open.len()];
                self.end(id, ending);
            }
            Step::Duplicate(which) if !self.attempts.is_empty() => {
                let id = *self.attempts.get_index(which % self.attempts.len()).expect("attempt").0;
                if !self.open.contains(&id) {
                    let result = AttemptResult::Answered(self.response(id));
                    self.on(Event::AttemptEnded { attempt: id, result });
                }
            }
            _ => {}
        }
    }

    fn advance_to(&mut self, until: Instant) {
        while let Some(at) = self.wake.filter(|at| *at <= until && self.result.is_none()) {
            self.now = self.now.max(at);
            self.wake = None;
            self.on(Event::Tick);
            assert!(self.wake.is_none_or(|next| next > self.now), "requests a wake-up in the past");
        }
        self.now = until;
    }

    fn end(&mut self, id: AttemptId, ending: Ending) {
        let result = match ending {
            Ending::Answered => AttemptResult::Answered(self.response(id)),
            Ending::Mismatched(field) => {
                self.mismatched.insert(id);
                AttemptResult::Answered(self.mismatched_response(id, field))
            }
            Ending::NotSent(refusal) => {
                if !self.mismatched.contains(&id) {
                    self.unsent.insert(id);
                }
                AttemptResult::NotSent(refusal)
            }
            Ending::Refused => AttemptResult::Refused,
            Ending::Unknown => AttemptResult::Unknown,
            Ending::Reset => {
                self.resets.insert(self.attempts[&id].leaf.to_string());
                AttemptResult::Reset
            }
            Ending::SnapshotGone => AttemptResult::SnapshotGone,
        };
        if !matches!(ending, Ending::Mismatched(_)) {
            self.open.shift_remove(&id);
        }
        self.on(Event::AttemptEnded { attempt: id, result });
    }

    fn response(&self, id: AttemptId) -> LeafResponse {
        let spec = &self.attempts[&id];
        let payload = Bytes::from(format!("{} {} {}", spec.collection, spec.shard, spec.snapshot));
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

    fn mismatched_response(&self, id: AttemptId, field: u8) -> LeafResponse {
        let mut response = self.response(id);
        match field {
            0 => response.request = "2-r".parse().expect("request id"),
            1 => response.leaf = leaf("other"),
            2 => response.shard = "other".parse().expect("shard id"),
            3 => response.member = "other".parse().expect("member id"),
            4 => response.snapshot = response.snapshot.next(),
            _ => response.payload = Bytes::from_static(b"other"),
        }
        response
    }

    fn on(&mut self, event: Event) {
        let finished = self.result.is_some();
        let actions = self.query.handle(event, self.now);
        assert!(!finished || actions.is_empty(), "acts after its result");
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(spec) => self.sent(spec),
                Action::Cancel { attempt } => {
                    assert!(self.open.shift_remove(&attempt), "cancels an attempt that has ended");
                }
                Action::WakeAt(at) => self.wake = Some(at),
                Action::Finish(result) => self.finished(*result),
            }
        }
    }

    fn sent(&mut self, spec: AttemptSpec) {
        if !self.idempotent {
            let unsent = self.attempts.keys().all(|id| self.unsent.contains(id));
            assert!(unsent, "a non-idempotent request is sent again");
        }
        assert!(self.view.is_usable(&spec.leaf), "sent to a leaf that accepts no requests");
        assert!(!spec.hedge || self.view.is_warm(&spec.leaf), "hedge to a leaf that is not warm");
        assert!(spec.deadline <= ms(DEADLINE));
        let id = spec.attempt;
        self.open.insert(id);
        assert!(self.attempts.insert(id, spec).is_none(), "an attempt id is used twice");
    }

    fn finished(&mut self, result: QueryResult) {
        assert!(self.result.is_none(), "finishes twice");
        assert!(self.now <= ms(DEADLINE), "finishes after the deadline");
        let coverage = &result.coverage;
        assert_eq!(coverage.covered as usize, result.responses.len());
        assert_eq!(coverage.total as usize, result.responses.len() + coverage.missing.len());
        let covered =
            result.responses.iter().map(|shard| (&shard.collection, &shard.response.shard));
        let missing = coverage.missing.iter().map(|missing| (&missing.collection, &missing.shard));
        let shards: IndexSet<_> = covered.chain(missing).collect();
        assert_eq!(shards.len(), coverage.total as usize, "a shard is counted twice");
        for shard in &result.responses {
            let pin = result.pinned.iter().find(|pin| pin.collection == shard.collection);
            let pin = pin.expect("the response's collection is pinned");
            assert_eq!(
                (shard.response.snapshot, shard.response.map_version),
                (pin.snapshot, pin.map_version)
            );
            let payload = format!("{} {} {}", shard.collection, shard.response.shard, pin.snapshot);
            assert_eq!(shard.response.payload, payload.as_bytes(), "a response of another attempt");
            assert_eq!(shard.response.member.as_str(), "m", "a response of another member");
        }
        self.check_outcome(&result);
        self.result = Some(result);
    }

    fn check_outcome(&self, result: &QueryResult) {
        let none_sent = self.attempts.keys().all(|id| self.unsent.contains(id));
        match result.outcome {
            Outcome::NotRun(_) => assert!(none_sent, "reports not run although bytes were sent"),
            Outcome::Unknown(_) => {
                assert!(!self.idempotent && !none_sent && result.responses.is_empty())
            }
            Outcome::Done => assert!(self.idempotent || !result.responses.is_empty()),
        }
        let alone = self.attempts.values().filter(|spec| spec.alone).count();
        assert!(self.trust == Trust::Suspected || alone <= 1, "more than one retry after resets");
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(13),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against merged snapshots or members, wrong coverage, wrong "not run" results, second
    /// runs of non-idempotent requests, and results after the deadline.
    #[test]
    fn query_reports_what_ran(setup in setup(), steps in vec(step(), 0..60)) {
        let mut model = Model::new(&setup);
        for step in steps {
            model.run(step);
        }
        model.advance_to(model.now.max(ms(DEADLINE)));
        prop_assert!(model.result.is_some(), "no result at the deadline");
    }

    /// Guards against the fan-out of a request that crashes leaves: at most two leaves may reset.
    #[test]
    fn crashing_request_resets_at_most_two_leaves(setup in setup()) {
        let mut setup = Setup { trust: Trust::Unseen, idempotent: true, ..setup };
        setup.collections.iter_mut().for_each(|collection| collection.2 = true);
        let mut model = Model::new(&setup);
        while let Some(id) = model.open.first().copied() {
            model.end(id, Ending::Reset);
        }
        prop_assert!(model.resets.len() <= 2, "reset: {:?}", model.resets);
        prop_assert!(model.result.is_some());
    }
}
