//! Random event sequences against the query, checked by a model of what was sent and answered.

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
    shards: Vec<(usize, bool, bool)>,
    idempotent: bool,
    trust: Trust,
    fingerprint: u64,
    /// For each leaf: state, snapshots and whether it takes work.
    leaves: Vec<(LeafState, u8, bool)>,
    seed: u64,
}

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    End {
        which: usize,
        how: How,
    },
    /// Repeats the reply of an attempt that has ended.
    Again(usize),
}

#[derive(Clone, Copy, Debug)]
enum How {
    Answered,
    /// A reply of another attempt.
    Foreign(u8),
    NotSent(Refusal),
    Refused,
    Unknown,
    Reset,
    SnapshotGone,
}

fn setup() -> impl Strategy<Value = Setup> {
    let state = prop_oneof![6 => Just(LeafState::Warm), 1 => Just(LeafState::Cold), 1 => Just(LeafState::Ramping),
        1 => Just(LeafState::Suspect), 1 => Just(LeafState::Leaving)];
    let leaves = vec((state, 0u8..8, prop::bool::weighted(0.9)), 12);
    let trust = prop_oneof![Just(Trust::Known), Just(Trust::Unseen), Just(Trust::Suspect)];
    let shards = vec((1usize..5, any::<bool>(), any::<bool>()), 1..3);
    (shards, prop::bool::weighted(0.7), trust, 0u64..9, leaves, any::<u64>()).prop_map(
        |(shards, idempotent, trust, fingerprint, leaves, seed)| {
            let shards = if idempotent { shards } else { vec![(1, shards[0].1, shards[0].2)] };
            Setup { shards, idempotent, trust, fingerprint, leaves, seed }
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    let how = prop_oneof![
        6 => Just(How::Answered),
        1 => (0u8..6).prop_map(How::Foreign),
        3 => Just(How::NotSent(Refusal::Cold)),
        1 => Just(How::NotSent(Refusal::Quarantined)),
        1 => Just(How::Refused),
        1 => Just(How::Unknown),
        2 => Just(How::Reset),
        2 => Just(How::SnapshotGone),
    ];
    prop_oneof![
        3 => (0u64..60).prop_map(Step::Pass),
        6 => (any::<usize>(), how).prop_map(|(which, how)| Step::End { which, how }),
        1 => any::<usize>().prop_map(Step::Again),
    ]
}

struct Model {
    query: Query,
    view: Arc<LeafView>,
    idempotent: bool,
    trust: Trust,
    now: Instant,
    wake: Option<Instant>,
    sends: IndexMap<AttemptId, AttemptSpec>,
    open: IndexSet<AttemptId>,
    /// Attempts whose holder said that no byte was sent.
    unsent: IndexSet<AttemptId>,
    /// Attempts with a reply that did not match, which may still be theirs.
    foreign: IndexSet<AttemptId>,
    resets: IndexSet<String>,
    answer: Option<QueryResult>,
}

fn prepare(setup: &Setup) -> (Document, LeafView, QuerySpec) {
    let collections = ["c", "d"].into_iter().zip(&setup.shards);
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
        let held = snapshots.filter(|(i, _)| bits & (1 << i) != 0);
        info.snapshots = held.map(|(_, id)| SnapshotId(id)).collect();
    }
    let names: Vec<_> = ["c", "d"].into_iter().take(setup.shards.len()).collect();
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
            sends: IndexMap::new(),
            open: IndexSet::new(),
            unsent: IndexSet::new(),
            foreign: IndexSet::new(),
            resets: IndexSet::new(),
            answer: None,
        };
        model.apply(actions);
        model
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Pass(time) => self.pass(self.now + Span::millis(time)),
            Step::End { which, how } if !self.open.is_empty() => {
                let id = self.open[which % self.open.len()];
                self.end(id, how);
            }
            Step::Again(which) if !self.sends.is_empty() => {
                let id = *self.sends.get_index(which % self.sends.len()).expect("attempt").0;
                if !self.open.contains(&id) {
                    let result = AttemptResult::Answered(self.reply(id));
                    self.on(Event::AttemptEnded { attempt: id, result });
                }
            }
            _ => {}
        }
    }

    fn pass(&mut self, until: Instant) {
        while let Some(at) = self.wake.filter(|at| *at <= until && self.answer.is_none()) {
            self.now = self.now.max(at);
            self.wake = None;
            self.on(Event::Tick);
            assert!(self.wake.is_none_or(|next| next > self.now), "asks to be woken in the past");
        }
        self.now = until;
    }

    fn end(&mut self, id: AttemptId, how: How) {
        let result = match how {
            How::Answered => AttemptResult::Answered(self.reply(id)),
            How::Foreign(field) => {
                self.foreign.insert(id);
                AttemptResult::Answered(self.foreign(id, field))
            }
            How::NotSent(refusal) => {
                if !self.foreign.contains(&id) {
                    self.unsent.insert(id);
                }
                AttemptResult::NotSent(refusal)
            }
            How::Refused => AttemptResult::Refused,
            How::Unknown => AttemptResult::Unknown,
            How::Reset => {
                self.resets.insert(self.sends[&id].leaf.to_string());
                AttemptResult::Reset
            }
            How::SnapshotGone => AttemptResult::SnapshotGone,
        };
        if !matches!(how, How::Foreign(_)) {
            self.open.shift_remove(&id);
        }
        self.on(Event::AttemptEnded { attempt: id, result });
    }

    fn reply(&self, id: AttemptId) -> LeafResponse {
        let send = &self.sends[&id];
        let payload = Bytes::from(format!("{} {} {}", send.collection, send.shard, send.snapshot));
        LeafResponse {
            request: "1-r".parse().expect("request id"),
            leaf: send.leaf.clone(),
            shard: send.shard.clone(),
            member: "m".parse().expect("member id"),
            snapshot: send.snapshot,
            map_version: send.map_version,
            rows: 1,
            digest: Digest::of(&payload),
            payload,
        }
    }

    fn foreign(&self, id: AttemptId, field: u8) -> LeafResponse {
        let mut reply = self.reply(id);
        match field {
            0 => reply.request = "2-r".parse().expect("request id"),
            1 => reply.leaf = leaf("other"),
            2 => reply.shard = "other".parse().expect("shard id"),
            3 => reply.member = "other".parse().expect("member id"),
            4 => reply.snapshot = reply.snapshot.next(),
            _ => reply.payload = Bytes::from_static(b"other"),
        }
        reply
    }

    fn on(&mut self, event: Event) {
        let finished = self.answer.is_some();
        let actions = self.query.handle(event, self.now);
        assert!(!finished || actions.is_empty(), "acts after its answer");
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(send) => self.sent(send),
                Action::Cancel { attempt } => {
                    assert!(self.open.shift_remove(&attempt), "cancels an attempt that has ended");
                }
                Action::WakeAt(at) => self.wake = Some(at),
                Action::Finish(answer) => self.finished(*answer),
            }
        }
    }

    fn sent(&mut self, send: AttemptSpec) {
        if !self.idempotent {
            let unsent = self.sends.keys().all(|id| self.unsent.contains(id));
            assert!(unsent, "a request that must not run twice is sent again");
        }
        assert!(self.view.is_usable(&send.leaf), "sent to a leaf that takes no work");
        assert!(!send.hedge || self.view.is_warm(&send.leaf), "hedge to a leaf that is not warm");
        assert!(send.deadline <= ms(DEADLINE));
        let id = send.attempt;
        self.open.insert(id);
        assert!(self.sends.insert(id, send).is_none(), "an attempt id is used twice");
    }

    fn finished(&mut self, answer: QueryResult) {
        assert!(self.answer.is_none(), "answers twice");
        assert!(self.now <= ms(DEADLINE), "answers after the deadline");
        let coverage = &answer.coverage;
        assert_eq!(coverage.covered as usize, answer.responses.len());
        assert_eq!(coverage.total as usize, answer.responses.len() + coverage.missing.len());
        let parts = answer.responses.iter().map(|part| (&part.collection, &part.response.shard));
        let missing = coverage.missing.iter().map(|missing| (&missing.collection, &missing.shard));
        let shards: IndexSet<_> = parts.chain(missing).collect();
        assert_eq!(shards.len(), coverage.total as usize, "a shard is counted twice");
        for part in &answer.responses {
            let pin = answer.pinned.iter().find(|pin| pin.collection == part.collection);
            let pin = pin.expect("the part's collection is pinned");
            assert_eq!(
                (part.response.snapshot, part.response.map_version),
                (pin.snapshot, pin.map_version)
            );
            let payload = format!("{} {} {}", part.collection, part.response.shard, pin.snapshot);
            assert_eq!(part.response.payload, payload.as_bytes(), "a part of another attempt");
            assert_eq!(part.response.member.as_str(), "m", "a part of another member");
        }
        self.check_outcome(&answer);
        self.answer = Some(answer);
    }

    fn check_outcome(&self, answer: &QueryResult) {
        let none_sent = self.sends.keys().all(|id| self.unsent.contains(id));
        match answer.outcome {
            Outcome::NotRun(_) => assert!(none_sent, "says not run though bytes were sent"),
            Outcome::Unknown(_) => {
                assert!(!self.idempotent && !none_sent && answer.responses.is_empty())
            }
            Outcome::Done => assert!(self.idempotent || !answer.responses.is_empty()),
        }
        let alone = self.sends.values().filter(|send| send.alone).count();
        assert!(self.trust == Trust::Suspect || alone <= 1, "more than one retry after resets");
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

    /// Guards against merged snapshots and members, wrong coverage, false "not run" answers,
    /// second runs of requests that must run once, and answers after the deadline.
    #[test]
    fn query_tells_the_truth(setup in setup(), steps in vec(step(), 0..60)) {
        let mut model = Model::new(&setup);
        for step in steps {
            model.run(step);
        }
        model.pass(model.now.max(ms(DEADLINE)));
        prop_assert!(model.answer.is_some(), "no answer at the deadline");
    }

    /// Guards against a crashing request that fans out: two leaves may reset, not more.
    #[test]
    fn crashing_request_harms_two_leaves(setup in setup()) {
        let mut setup = Setup { trust: Trust::Unseen, idempotent: true, ..setup };
        setup.shards.iter_mut().for_each(|shard| shard.2 = true);
        let mut model = Model::new(&setup);
        while let Some(id) = model.open.first().copied() {
            model.end(id, How::Reset);
        }
        prop_assert!(model.resets.len() <= 2, "reset: {:?}", model.resets);
        prop_assert!(model.answer.is_some());
    }
}
