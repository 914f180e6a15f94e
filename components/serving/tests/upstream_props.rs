//! Property tests of the state machine of a held leaf: random event sequences, checked by a model
//! that sees only the events and the resulting actions.

mod common;

use {
    common::{job, limits, ms},
    indexmap::{IndexMap, IndexSet},
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::mem,
    wigeonramp_config::Priority,
    wigeonramp_serving::upstream::{
        CancelResult, Completion, ConnectionId, Effect, HealthReport, JobId, JobMeta, LeafState,
        NextAction, OfferResult, Rights, Upstream,
    },
    wigeonramp_units::{BootId, Fingerprint, Instant, Slots, Span},
};

const SLOTS: u32 = 6;
const COLD: u32 = 2;
const RATE: u32 = 8;
/// As declared by `limits`.
const COLD_ANSWERS: u32 = 16;

#[derive(Clone, Debug)]
enum Step {
    Offer {
        urgent: bool,
        within: u64,
        hedge: bool,
        alone: bool,
        non_idempotent: bool,
    },
    Wait(u64),
    End {
        which: usize,
        ending: Ending,
    },
    Opened {
        fails: bool,
        boot: Option<u8>,
    },
    Cancel(u64),
    Rights(Rights),
    Health {
        slots: Option<u32>,
        overloaded: bool,
    },
    Leave,
    Rejoin,
    /// Many quick responses, so that later steps apply to a ramping or warm leaf.
    Serve(u16),
}

#[derive(Clone, Debug)]
enum Ending {
    Answered { boot: Option<u8>, busy: bool },
    Rejected,
    Leaving,
    Reset,
    TimedOut,
    Cancelled(bool),
}

fn boot_number() -> impl Strategy<Value = Option<u8>> {
    prop_oneof![8 => Just(Some(1)), 1 => Just(Some(2)), 1 => Just(None)]
}

fn ending() -> impl Strategy<Value = Ending> {
    prop_oneof![
        12 => (boot_number(), prop::bool::weighted(0.1))
            .prop_map(|(boot, busy)| Ending::Answered { boot, busy }),
        1 => Just(Ending::Rejected),
        1 => Just(Ending::Leaving),
        1 => Just(Ending::Reset),
        1 => Just(Ending::TimedOut),
        1 => any::<bool>().prop_map(Ending::Cancelled),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let rights = prop_oneof![
        4 => Just(Rights::Full),
        2 => Just(Rights::WarmOnly),
        1 => Just(Rights::None),
    ];
    let (rare, even) = (prop::bool::weighted(0.1), any::<bool>());
    let offer = (even, 1u64..2_000, rare, rare, rare);
    prop_oneof![
        10 => offer.prop_map(|(urgent, within, hedge, alone, non_idempotent)| {
            Step::Offer { urgent, within, hedge, alone, non_idempotent }
        }),
        6 => prop_oneof![8 => 1u64..50, 2 => 50u64..400, 1 => 1_000u64..70_000].prop_map(Step::Wait),
        8 => (any::<usize>(), ending()).prop_map(|(which, ending)| Step::End { which, ending }),
        6 => (prop::bool::weighted(0.1), boot_number())
            .prop_map(|(fails, boot)| Step::Opened { fails, boot }),
        1 => (0u64..60).prop_map(Step::Cancel),
        1 => rights.prop_map(Step::Rights),
        1 => (prop::option::of(0u32..9), prop::bool::weighted(0.3))
            .prop_map(|(slots, overloaded)| Step::Health { slots, overloaded }),
        1 => Just(Step::Rejoin),
        1 => prop::bool::weighted(0.2).prop_map(|leave| if leave { Step::Leave } else { Step::Rejoin }),
        2 => (50u16..800).prop_map(Step::Serve),
    ]
}

struct Model {
    upstream: Upstream,
    now: Instant,
    rights: Rights,
    next_job: u64,
    queued: IndexSet<u64>,
    /// Jobs that have left the queue.
    dequeued: IndexSet<u64>,
    running: IndexMap<u64, ConnectionId>,
    /// Jobs that were offered to run alone. The upstream runs crash suspects alone as well.
    alone: IndexSet<u64>,
    idle: IndexSet<ConnectionId>,
    opening: Option<ConnectionId>,
    /// Times of sends and connects since the leaf was last observed in another state than cold.
    cold_sends: Vec<Instant>,
    boot_known: bool,
    boot: Option<u8>,
    /// Responses since the last cold start that is visible in the events.
    responses: u32,
    in_flight: u32,
}

impl Model {
    fn new() -> Self {
        Self {
            upstream: Upstream::new(limits(SLOTS, COLD, RATE), ms(0)),
            now: ms(0),
            rights: Rights::Full,
            next_job: 0,
            queued: IndexSet::new(),
            dequeued: IndexSet::new(),
            running: IndexMap::new(),
            alone: IndexSet::new(),
            idle: IndexSet::new(),
            opening: None,
            cold_sends: Vec::new(),
            boot_known: false,
            boot: None,
            responses: 0,
            in_flight: COLD,
        }
    }

    fn run(&mut self, step: Step) {
        let answered =
            matches!(step, Step::End { ending: Ending::Answered { .. }, .. } | Step::Serve(_));
        match step {
            Step::Offer { urgent, within, hedge, alone, non_idempotent } => {
                self.offer(urgent, within, hedge, alone, non_idempotent);
            }
            Step::Wait(time) => self.now = self.now + Span::millis(time),
            Step::End { which, ending } if !self.running.is_empty() => {
                let index = which % self.running.len();
                let job = *self.running.get_index(index).expect("running job").0;
                self.end(job, ending);
            }
            Step::Opened { fails, boot } => self.opened(fails, boot),
            Step::Cancel(id) if self.upstream.cancel(JobId(id)) == CancelResult::Removed => {
                self.dequeue(id);
            }
            Step::Rights(rights) => self.rights = rights,
            Step::Health { slots, overloaded } => {
                let health = HealthReport { slots: slots.map(Slots), overloaded };
                let effects = self.upstream.apply_health(health, self.now);
                self.apply(effects);
            }
            Step::Leave => {
                let effects = self.upstream.leave(self.now);
                self.apply(effects);
            }
            Step::Rejoin if self.upstream.state() == LeafState::Gone => {
                let effects = self.upstream.rejoin(self.now);
                self.boot_known = false;
                self.cold_start(None);
                self.apply(effects);
            }
            Step::Serve(count) => self.serve(count),
            _ => {}
        }
        self.pump();
        let report = self.upstream.report(self.now);
        if matches!(report.state, LeafState::Ramping | LeafState::Warm) {
            let responses = self.responses;
            assert!(responses >= COLD_ANSWERS, "the cold state ended after {responses} responses");
        }
        let in_flight = report.allowance.in_flight.get();
        assert!(answered || in_flight <= self.in_flight, "the allowance grew without a success");
        self.in_flight = in_flight;
    }

    fn offer(&mut self, urgent: bool, within: u64, hedge: bool, alone: bool, non_idempotent: bool) {
        self.next_job += 1;
        let id = self.next_job;
        let meta = JobMeta {
            priority: if urgent { Priority::Urgent } else { Priority::Ordinary },
            hedge,
            alone,
            idempotent: !non_idempotent,
            fingerprint: Fingerprint(id % 7),
            ..job(id, self.now + Span::millis(within))
        };
        if self.upstream.offer(meta, self.now) == OfferResult::Queued {
            self.queued.insert(id);
        }
        if alone {
            self.alone.insert(id);
        }
    }

    fn dequeue(&mut self, id: u64) {
        assert!(self.queued.contains(&id), "job {id} left the queue without being in it");
        assert!(self.dequeued.insert(id), "job {id} left the queue twice");
    }

    fn end(&mut self, job: u64, ending: Ending) {
        let connection = self.running.shift_remove(&job).expect("running job");
        let is_reusable =
            matches!(ending, Ending::Answered { .. } | Ending::Rejected | Ending::Cancelled(true));
        if is_reusable {
            self.idle.insert(connection);
        }
        let completion = match ending {
            Ending::Answered { boot: number, busy } => {
                self.boot_known |= number.is_some();
                self.answered(number);
                let latency = Span::millis(4);
                Completion::Answered { boot: number.map(boot), latency, busy }
            }
            Ending::Rejected => {
                self.responses = 0;
                Completion::Rejected
            }
            Ending::Leaving => Completion::Leaving,
            Ending::Reset => {
                self.boot_known = false;
                self.cold_start(None);
                Completion::Reset
            }
            Ending::TimedOut => Completion::TimedOut,
            Ending::Cancelled(reusable) => Completion::Cancelled { reusable },
        };
        let effects = self.upstream.complete(JobId(job), completion, self.now);
        self.apply(effects);
    }

    fn answered(&mut self, boot: Option<u8>) {
        match boot {
            None => {}
            boot if boot == self.boot => self.responses += 1,
            boot => self.cold_start(boot),
        }
    }

    fn cold_start(&mut self, boot: Option<u8>) {
        self.boot = boot;
        self.responses = 0;
    }

    fn opened(&mut self, fails: bool, number: Option<u8>) {
        let Some(id) = self.opening.take() else { return };
        let effects = if fails {
            self.responses = 0;
            self.upstream.connect_failed(id, self.now)
        } else {
            if number.is_some() && number != self.boot {
                self.cold_start(number);
            }
            self.idle.insert(id);
            self.upstream.connected(id, number.map(boot), self.now)
        };
        self.apply(effects);
    }

    fn serve(&mut self, count: u16) {
        for _ in 0..count {
            self.now = self.now + Span::millis(10);
            self.offer(false, 1_000, false, false, false);
            self.pump();
            self.opened(false, None);
            self.pump();
            for job in self.running.keys().copied().collect::<Vec<_>>() {
                self.end(job, Ending::Answered { boot: Some(1), busy: false });
            }
        }
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let Effect::Close { connection, job } = effect else { continue };
            self.idle.shift_remove(&connection);
            if let Some(job) = job {
                self.running.shift_remove(&job.0).expect("the abandoned job is running");
            }
        }
    }

    fn pump(&mut self) {
        for _ in 0..1_000 {
            let before = self.upstream.report(self.now).state;
            if before != LeafState::Cold {
                self.cold_sends.clear();
            }
            match self.upstream.next_action(self.now, self.rights) {
                NextAction::Send { job, connection } => self.send(job.0, connection, before),
                NextAction::Connect { connection, .. } => self.connect(connection, before),
                NextAction::Drop(job, _) => self.dequeue(job.0),
                NextAction::Wait(until) => {
                    assert!(until.is_none_or(|at| at > self.now), "waits for a time in the past");
                    return;
                }
            }
        }
        panic!("next_action never waits");
    }

    fn send(&mut self, job: u64, connection: ConnectionId, before: LeafState) {
        assert!(self.idle.shift_remove(&connection), "sent on a connection that is not idle");
        if self.rights == Rights::WarmOnly {
            assert_eq!(before, LeafState::Warm, "holder in doubt sent to a leaf that is not warm");
            assert!(self.running.is_empty(), "holder in doubt sent a second request");
        }
        self.dequeue(job);
        self.running.insert(job, connection);
        let alone = self.running.keys().any(|id| self.alone.contains(id));
        assert!(
            !alone || self.running.len() == 1,
            "a job that must run alone runs next to another one"
        );
        let in_flight = self.running.len() as u32;
        assert!(in_flight <= SLOTS, "more requests than slots");
        assert!(
            self.boot_known || in_flight == 1,
            "second request to a leaf whose boot id is unknown"
        );
        if before == LeafState::Cold {
            assert!(in_flight <= COLD, "{in_flight} requests at a cold leaf");
        }
        self.record_send(before);
    }

    fn connect(&mut self, connection: ConnectionId, before: LeafState) {
        assert_eq!(self.rights, Rights::Full, "connect without full rights");
        assert_eq!(self.opening, None, "two connects at the same time");
        self.opening = Some(connection);
        let open = self.idle.len() + self.running.len() + 1;
        assert!(open <= 4, "{open} connections");
        self.record_send(before);
    }

    fn record_send(&mut self, before: LeafState) {
        assert_ne!(self.rights, Rights::None, "sent without rights");
        if before != LeafState::Cold {
            return;
        }
        self.cold_sends.push(self.now);
        let recent = self.cold_sends.iter().filter(|at| self.now.since(**at) < Span::secs(1));
        assert!(recent.count() <= RATE as usize, "too many sends and connects at a cold leaf");
    }

    fn finish(&mut self) {
        self.rights = Rights::None;
        self.pump();
        let dequeued = mem::take(&mut self.dequeued);
        assert!(self.queued.iter().all(|id| dequeued.contains(id)), "a job never left the queue");
    }
}

fn boot(number: u8) -> BootId {
    format!("b{number}").parse().expect("boot id")
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against overload of a cold leaf, lost or duplicate jobs, and sends without rights.
    #[test]
    fn upstream_keeps_its_limits(steps in vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in steps {
            model.run(step);
        }
        model.finish();
    }
}
