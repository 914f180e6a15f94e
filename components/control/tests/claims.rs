//! Tests of claims: a non-idempotent request must never run twice, and a request that was sent must
//! never be reported as not run.

mod common;

use {
    common::id,
    proptest::{collection::vec, prelude::*},
    std::{collections::BTreeMap, fmt::Write},
    wigeonramp_control::{
        claims::{
            ClaimBatcher, ClaimBody, ClaimId, ClaimNonce, ClaimOperation, ClaimSettings,
            ClaimState, ClaimStoreCall, Verdict, is_deletable,
        },
        store_result::{ReadResult, Stored, WriteResult},
    },
    wigeonramp_units::{ByteSize, Revision, Span, UnixMillis},
};

const NOW: UnixMillis = UnixMillis(1_800_000_000_000);
const SETTINGS: ClaimSettings = ClaimSettings { buckets: 2, ..ClaimSettings::new(Span::secs(600)) };

fn claim(n: u64) -> ClaimId {
    let request = id(&format!("{}-r{n}", NOW.0 - 1_000));
    ClaimId { member: id("m"), caller: id("c"), request }
}

#[derive(Default)]
struct Store {
    objects: BTreeMap<String, Stored<ClaimBody>>,
    late_writes: Vec<ClaimStoreCall>,
    revision: u64,
}

impl Store {
    fn write(&mut self, write: &ClaimStoreCall) -> WriteResult<ClaimBody> {
        let ClaimOperation::Write { body, replaces } = &write.operation else {
            return WriteResult::NoEffect;
        };
        let current = self.objects.get(&write.key);
        if current.map(|stored| stored.revision) != *replaces {
            return WriteResult::Conflict(current.cloned());
        }
        self.revision += 1;
        let stored = Stored { revision: Revision(self.revision), value: body.clone() };
        self.objects.insert(write.key.clone(), stored);
        WriteResult::Written(Revision(self.revision))
    }

    fn read(&self, key: &str) -> ReadResult<ClaimBody> {
        self.objects.get(key).cloned().map_or(ReadResult::Missing, ReadResult::Found)
    }

    /// Makes the next call of `batcher`. `fault` selects a fault: with 0 the call fails without
    /// effect, with 1 the write takes effect and its response is lost, with 2 the response is lost
    /// and the write is applied later. Other values are no fault.
    fn step(
        &mut self,
        batcher: &mut ClaimBatcher,
        fault: u8,
    ) -> Vec<wigeonramp_control::claims::Decision> {
        let (call, mut decided) = batcher.next_call(NOW);
        let Some(write) = call else { return decided };
        decided.extend(match (&write.operation, fault) {
            (ClaimOperation::Read, 0) => batcher.on_read(&write.key, ReadResult::Failed),
            (ClaimOperation::Read, _) => batcher.on_read(&write.key, self.read(&write.key)),
            (_, 0) => batcher.on_written(&write.key, WriteResult::NoEffect, NOW),
            (_, 1) => {
                self.write(&write);
                batcher.on_written(&write.key, WriteResult::Unknown, NOW)
            }
            (_, 2) => {
                self.late_writes.push(write.clone());
                batcher.on_written(&write.key, WriteResult::Unknown, NOW)
            }
            _ => {
                let result = self.write(&write);
                batcher.on_written(&write.key, result, NOW)
            }
        });
        decided
    }
}

#[derive(Clone, Debug)]
enum Event {
    Request { host: usize, n: u64 },
    Step { host: usize, fault: u8, sent: bool },
    Late,
    Restart { host: usize },
    Withdraw { host: usize, n: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0_usize..3, 0_u64..4).prop_map(|(host, n)| Event::Request { host, n }),
        6 => (0_usize..3, 0_u8..8, any::<bool>())
            .prop_map(|(host, fault, sent)| Event::Step { host, fault, sent }),
        2 => Just(Event::Late),
        1 => (0_usize..3).prop_map(|host| Event::Restart { host }),
        1 => (0_usize..3, 0_u64..4).prop_map(|(host, n)| Event::Withdraw { host, n }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(13), failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn a_request_is_sent_at_most_once(events in vec(event(), 1..120)) {
        let mut store = Store::default();
        let mut batchers = [(); 3].map(|()| ClaimBatcher::new(SETTINGS));
        let (mut nonce, mut sends) = (0, BTreeMap::<ClaimId, u32>::new());
        for event in events {
            match event {
                Event::Request { host, n } => {
                    nonce += 1;
                    batchers[host].request(claim(n), ClaimNonce(nonce), NOW);
                }
                Event::Step { host, fault, sent } => {
                    for decision in store.step(&mut batchers[host], fault) {
                        if decision.verdict != Verdict::Granted {
                            continue;
                        }
                        let state = if sent { ClaimState::Done } else { ClaimState::NotRun };
                        *sends.entry(decision.claim.clone()).or_default() += u32::from(sent);
                        batchers[host].record_outcome(decision.claim, decision.nonce, state);
                    }
                }
                Event::Late => {
                    if let Some(write) = store.late_writes.pop() {
                        store.write(&write);
                    }
                }
                Event::Restart { host } => batchers[host] = ClaimBatcher::new(SETTINGS),
                Event::Withdraw { host, n } => drop(batchers[host].withdraw(&claim(n))),
            }
        }
        prop_assert!(sends.values().all(|sends| *sends <= 1), "sent twice: {sends:?}");
    }
}

/// Returns the verdicts of a host whose calls meet `faults` and which then records `state`, and
/// those of a second host that requests the same claim.
fn verdicts_of_two_hosts(faults: &[u8], state: Option<ClaimState>) -> String {
    let mut store = Store::default();
    let (mut first, mut second) = (ClaimBatcher::new(SETTINGS), ClaimBatcher::new(SETTINGS));
    first.request(claim(1), ClaimNonce(1), NOW);
    let first_decided: Vec<_> =
        faults.iter().flat_map(|fault| store.step(&mut first, *fault)).collect();
    if let Some(state) = state {
        first.record_outcome(claim(1), ClaimNonce(1), state);
        store.step(&mut first, 9);
    }
    second.request(claim(1), ClaimNonce(2), NOW);
    let second_decided: Vec<_> = (0..4).flat_map(|_| store.step(&mut second, 9)).collect();
    let verdicts = |list: Vec<wigeonramp_control::claims::Decision>| {
        list.into_iter().map(|decision| decision.verdict).collect::<Vec<_>>()
    };
    format!("first {:?}, second {:?}", verdicts(first_decided), verdicts(second_decided))
}

#[test]
fn claims_by_fault() {
    let mut table = String::new();
    for (case, faults, state) in [
        ("granted, no outcome", &[9][..], None),
        ("done", &[9], Some(ClaimState::Done)),
        ("no answer from the leaf", &[9], Some(ClaimState::Unknown)),
        ("holder sent nothing", &[9], Some(ClaimState::NotRun)),
        ("store down", &[0], None),
        ("answer lost, read back", &[1, 9, 9], None),
        ("answer lost, read back fails", &[1, 0], None),
        ("write lost, read back, written again", &[2, 9, 9], None),
    ] {
        writeln!(table, "{case}: {}", verdicts_of_two_hosts(faults, state)).unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn bad_old_and_used_requests_are_refused_at_once() {
    let mut batcher = ClaimBatcher::new(SETTINGS);
    let with_id = |text: &str| ClaimId { request: id(text), ..claim(1) };
    let mut verdict = |text: &str, nonce| {
        batcher.request(with_id(text), ClaimNonce(nonce), NOW).map(|decision| decision.verdict)
    };
    insta::assert_debug_snapshot!([
        verdict("abc", 1),
        verdict("5x-1", 2),
        verdict("1800000000000-", 3),
        verdict("1799999399999-x", 4),
        verdict("1800000060001-x", 5),
        verdict("1800000000000-x", 6),
        verdict("1800000000000-x", 7),
        verdict("1800000000000-y", 6),
    ]);
}

#[test]
fn a_full_object_takes_no_more_claims_and_outcomes_still_fit() {
    let settings = ClaimSettings { max_body: ByteSize(1_000), buckets: 1, ..SETTINGS };
    let mut batcher = ClaimBatcher::new(settings);
    let mut store = Store::default();
    for n in 0..40 {
        batcher.request(claim(n), ClaimNonce(u64::MAX - n), NOW);
    }
    let decided = store.step(&mut batcher, 9);
    let granted: Vec<_> = decided.iter().filter(|d| d.verdict == Verdict::Granted).collect();
    for decision in &granted {
        batcher.record_outcome(decision.claim.clone(), decision.nonce, ClaimState::Unknown);
    }
    store.step(&mut batcher, 9);
    let body = &store.objects.values().next().unwrap().value;
    assert!(granted.len() > 5 && decided.len() == 40);
    assert!(body.claims.values().all(|claim| claim.state == ClaimState::Unknown));
    assert!(serde_json::to_string(body).unwrap().len() <= 1_000);
}

#[test]
fn an_object_is_deleted_5_min_after_its_last_request_is_forgotten() {
    let key = SETTINGS.object_key(&claim(1)).unwrap();
    let end = (NOW.0 - 1_000) / 60_000 * 60_000 + 60_000;
    assert!(!is_deletable(&key, &SETTINGS, UnixMillis(end + 900_000)));
    assert!(is_deletable(&key, &SETTINGS, UnixMillis(end + 900_001)));
}

/// Guards against starvation of an object whose claims wait forever because all calls go to a
/// busier one.
#[test]
fn a_busy_object_does_not_keep_calls_from_the_others() {
    let settings = ClaimSettings { buckets: 16, ..SETTINGS };
    let (mut batcher, mut store) = (ClaimBatcher::new(settings), Store::default());
    let mut nonce = 0;
    let mut requested = 0;
    let mut waiting = Vec::new();
    let mut longest = 0;
    for call in 0..1_000_usize {
        for _ in 0..3 {
            requested += 1;
            nonce += 1;
            assert!(batcher.request(claim(requested), ClaimNonce(nonce), NOW).is_none());
            waiting.push((claim(requested), call));
        }
        for decision in store.step(&mut batcher, 3) {
            assert_eq!(decision.verdict, Verdict::Granted);
            let at = waiting.iter().position(|(claim, _)| *claim == decision.claim);
            let (_, since) = waiting.swap_remove(at.expect("it was requested once"));
            longest = longest.max(call - since);
        }
    }
    let oldest = waiting.iter().map(|(_, since)| 1_000 - since).max().unwrap_or_default();
    assert!(longest.max(oldest) <= 16, "a claim waited for {} calls", longest.max(oldest));
}

/// Guards against a write that conflicts and then waits for the turns of other objects: other hosts
/// write the object in the meantime, so that the write conflicts again.
#[test]
fn a_conflicting_write_is_repeated_before_other_objects() {
    let mut batcher = ClaimBatcher::new(ClaimSettings::new(Span::secs(600)));
    for n in 0..40 {
        assert!(batcher.request(claim(n), ClaimNonce(n), NOW).is_none());
    }
    let first = batcher.next_call(NOW).0.expect("claims are pending");
    let other = Stored { revision: Revision(9), value: ClaimBody::default() };
    batcher.on_written(&first.key, WriteResult::Conflict(Some(other)), NOW);
    let repeated = batcher.next_call(NOW).0.expect("the write is repeated");
    assert_eq!(repeated.key, first.key);
    assert!(matches!(
        repeated.operation,
        ClaimOperation::Write { replaces: Some(Revision(9)), .. }
    ));
    let next = batcher.next_call(NOW).0.expect("other claims are pending");
    assert_ne!(next.key, first.key);
}
