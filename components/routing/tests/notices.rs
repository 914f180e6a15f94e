//! What leaves say of themselves in their responses.

mod common;

use {
    common::{at, registration},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    wigeonramp_routing::{
        leaf::{HealthSignal, LeafInstance, LeafRegistration},
        leaves::{LeafKey, Leaves},
    },
    wigeonramp_units::{Instant, LeafId, ServiceId, Span},
};

fn leaves_with(registration: &LeafRegistration) -> (Leaves, LeafKey) {
    let mut leaves = Leaves::new("a".parse().expect("a zone"));
    leaves.register(registration.clone(), at(0));
    let key = leaves.key_of(&registration.id).expect("a leaf");
    (leaves, key)
}

fn is_used(leaves: &Leaves) -> bool {
    let service: ServiceId = "s0".parse().expect("a service");
    leaves.wait(&service, &[], at(0)) == Some(Span::ZERO)
}

fn removed(leaves: &mut Leaves, id: &LeafId, now: Instant) {
    leaves.remove(id, now);
    assert!(!is_used(leaves));
}

/// Guards against a leaf that is used again although its process has said that it is leaving: its own
/// registration says otherwise, vanishes and comes back, or was moved.
#[test]
fn a_leaving_process_stays_so_until_its_end() {
    let ready = registration("x", "s0", "a");
    let (mut leaves, key) = leaves_with(&ready);
    assert!(leaves.on_leaving(key, &ready.instance()));
    assert!(!leaves.on_leaving(key, &ready.instance()), "told before");
    assert!(!is_used(&leaves));
    let renewed = LeafRegistration { sequence: 9, slots: 3, ..ready.clone() };
    leaves.register(renewed.clone(), at(1_000));
    assert!(!is_used(&leaves), "registered as ready");
    let moved = LeafRegistration { address: "10.0.0.9:80".parse().expect("an address"), ..renewed };
    leaves.register(moved.clone(), at(2_000));
    assert!(!is_used(&leaves), "the same process at another address");
    removed(&mut leaves, &ready.id, at(3_000));
    leaves.register(moved, at(4_000));
    assert!(!is_used(&leaves), "registered again");
    removed(&mut leaves, &ready.id, at(5_000));
    leaves.register(LeafRegistration { born: Some(2), ..ready.clone() }, at(6_000));
    assert!(is_used(&leaves), "another process under the same id");
}

/// Guards against a leaving process that is used again because many others have left in the meantime and no
/// room was left for its notice.
#[test]
fn the_latest_notices_are_remembered_when_many_leaves_leave() {
    let mut leaves = Leaves::new("a".parse().expect("a zone"));
    let registrations: Vec<LeafRegistration> =
        (0..3_000).map(|n| registration(&format!("x{n}"), "s0", "a")).collect();
    for (n, leaf) in registrations.iter().enumerate() {
        leaves.register(leaf.clone(), at(n as u64));
        let key = leaves.key_of(&leaf.id).expect("a leaf");
        assert!(leaves.on_leaving(key, &leaf.instance()));
        leaves.remove(&leaf.id, at(n as u64));
    }
    for leaf in &registrations[2_500..] {
        leaves.register(leaf.clone(), at(4_000));
    }
    assert!(!is_used(&leaves));
}

/// Guards against a leaf that is not used because the process before it was leaving, whose response
/// arrives late.
#[test]
fn a_notice_counts_for_the_process_that_sent_it() {
    let first = registration("x", "s0", "a");
    let (mut leaves, key) = leaves_with(&first);
    let second = LeafRegistration { born: Some(2), ..first.clone() };
    leaves.register(second.clone(), at(1_000));
    assert!(!leaves.on_leaving(key, &first.instance()), "of the process before");
    assert!(is_used(&leaves));
    assert!(leaves.on_leaving(key, &second.instance()));
    leaves.register(LeafRegistration { born: Some(3), ..first.clone() }, at(2_000));
    assert!(is_used(&leaves), "started again");
    let unknown = LeafInstance { id: first.id.clone(), born: None };
    assert!(!leaves.on_leaving(key, &unknown));
}

/// Guards against a leaf without a known start that is never used again after it has left once.
#[test]
fn a_notice_without_a_known_start_ends_with_the_registration() {
    let first = LeafRegistration { born: None, ..registration("x", "s0", "a") };
    let (mut leaves, key) = leaves_with(&first);
    assert!(leaves.on_leaving(key, &first.instance()));
    leaves.register(LeafRegistration { sequence: 9, ..first.clone() }, at(1_000));
    assert!(!is_used(&leaves));
    removed(&mut leaves, &first.id, at(2_000));
    leaves.register(first, at(3_000));
    assert!(is_used(&leaves));
}

/// Answers of a leaf to the requests of one host: the pause that each one asks for, if it is turned away.
struct PausingLeaf {
    leaves: Leaves,
    key: LeafKey,
    /// Times of answers that asked for a pause, and its length.
    pauses: Vec<(Instant, Span)>,
    /// Times at which requests arrived.
    arrivals: Vec<Instant>,
    /// Answers under way: when they arrive, when their requests were sent, and the pause that they ask for.
    under_way: Vec<(Instant, Instant, Option<Span>)>,
    rng: SmallRng,
}

impl PausingLeaf {
    fn new(seed: u64) -> Self {
        let (leaves, key) = leaves_with(&registration("x", "s0", "a"));
        let rng = SmallRng::seed_from_u64(seed);
        Self { leaves, key, pauses: Vec::new(), arrivals: Vec::new(), under_way: Vec::new(), rng }
    }

    /// Receives the answers that have arrived and sends up to `wanted` requests, which the leaf answers
    /// with `pause` after up to `latency_ms`.
    fn step(&mut self, wanted: usize, pause: Option<Span>, latency_ms: u64, now: Instant) {
        let process = registration("x", "s0", "a").instance();
        let due = self.under_way.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>();
        for (_, sent, pause) in due {
            let signal =
                if pause.is_some() { HealthSignal::Failed } else { HealthSignal::Answered };
            self.leaves.on_ended(self.key, sent, Span::millis(10), signal, now);
            if let Some(pause) = pause {
                self.leaves.on_pause(self.key, &process, pause, now, &mut self.rng);
            }
        }
        for _ in 0..wanted {
            let leaf = self.leaves.get(self.key).expect("a leaf");
            if !self.leaves.is_available(leaf, now) {
                return;
            }
            self.leaves.on_sent(self.key, Span::millis(10), now);
            let latency = Span::millis(self.rng.random_range(1..=latency_ms));
            self.arrivals.push(now);
            // The leaf decides as the request arrives; its answer is on the way for the latency.
            self.pauses.extend(pause.map(|pause| (now + latency, pause)));
            self.under_way.push((now + latency, now, pause));
        }
    }

    /// Returns the highest number of requests in the part of a pause that the rule covers: from half a
    /// second after the answer to the end of the pause.
    fn most_in_a_pause(&self) -> usize {
        let in_pause = |(answered, length): &(Instant, Span)| {
            let covered = *answered + Span::millis(500)..*answered + *length;
            self.arrivals.iter().filter(|at| covered.contains(at)).count()
        };
        self.pauses.iter().map(in_pause).max().unwrap_or_default()
    }
}

/// Guards against more than two requests in a pause that a leaf has asked for, however its answers overtake
/// each other and differ.
#[test]
fn a_pausing_leaf_gets_at_most_two_requests() {
    for (seed, latency_ms) in [(1, 5), (2, 100), (3, 450), (4, 450)] {
        let mut leaf = PausingLeaf::new(seed);
        for ms in (0..30_000).step_by(10) {
            // It turns requests away in the first part of each ten seconds.
            let pause_ms = [400, 2_500, 700, 5_000, 1_500][leaf.rng.random_range(0..5)];
            let pause = (ms % 10_000 < 3_000).then(|| Span::millis(pause_ms));
            leaf.step(3, pause, latency_ms, at(ms));
        }
        assert!(leaf.pauses.len() > 3, "{} pauses", leaf.pauses.len());
        assert!(leaf.most_in_a_pause() <= 2, "{} requests in a pause", leaf.most_in_a_pause());
        assert!(leaf.arrivals.iter().any(|at| *at > common::at(29_000)), "it is used again");
    }
}

/// Guards against a leaf that gets all requests at once when its pause is over.
#[test]
fn a_leaf_gets_a_few_requests_first_after_a_pause() {
    let mut leaf = PausingLeaf::new(5);
    leaf.step(1, Some(Span::secs(2)), 1, at(0));
    let mut sent = Vec::new();
    for ms in (20..4_000).step_by(20) {
        let before = leaf.arrivals.len();
        leaf.step(20, None, 15, at(ms));
        if leaf.arrivals.len() > before {
            sent.push(leaf.arrivals.len() - before);
        }
    }
    assert_eq!(sent[..5], [1, 2, 4, 8, 20], "requests at the same time");
}

/// Guards against a pause that is lost or is that of another process, or lasts for ever.
#[test]
fn a_pause_is_that_of_its_process() {
    let first = registration("x", "s0", "a");
    let (mut leaves, key) = leaves_with(&first);
    let mut rng = SmallRng::seed_from_u64(6);
    let service: ServiceId = "s0".parse().expect("a service");
    assert!(leaves.on_pause(key, &first.instance(), Span::secs(10), at(0), &mut rng));
    assert!(
        !leaves.on_pause(key, &first.instance(), Span::millis(10), at(100), &mut rng),
        "shorter"
    );
    let wait = leaves.wait(&service, &[], at(1_000)).expect("it pauses");
    assert!((Span::secs(9)..Span::millis(9_200)).contains(&wait), "{wait}");
    removed_while_pausing(&mut leaves, &first, at(2_000));
    assert_ne!(leaves.wait(&service, &[], at(2_500)), Some(Span::ZERO), "registered again");
    leaves.register(LeafRegistration { born: Some(2), ..first.clone() }, at(3_000));
    assert!(is_used(&leaves), "another process");
    let second = LeafRegistration { born: Some(2), ..first };
    leaves.on_pause(key_of(&leaves), &second.instance(), Span(u64::MAX), at(4_000), &mut rng);
    let wait = leaves.wait(&service, &[], at(4_000)).expect("it pauses");
    assert!(wait <= Span::secs(24 * 3_600 + 1), "{wait}");
}

fn key_of(leaves: &Leaves) -> LeafKey {
    leaves.key_of(&"x".parse().expect("a leaf id")).expect("a leaf")
}

fn removed_while_pausing(leaves: &mut Leaves, leaf: &LeafRegistration, now: Instant) {
    leaves.remove(&leaf.id, now);
    leaves.register(leaf.clone(), now);
}
