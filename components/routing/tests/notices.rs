//! What leaves say of themselves in their responses.

mod common;

use {
    common::{at, registration},
    wigeonramp_routing::{
        leaf::{LeafInstance, LeafRegistration},
        leaves::{LeafKey, Leaves},
    },
    wigeonramp_units::{Instant, LeafId, ServiceId},
};

fn leaves_with(registration: &LeafRegistration) -> (Leaves, LeafKey) {
    let mut leaves = Leaves::new("a".parse().expect("a zone"));
    leaves.register(registration.clone(), at(0));
    let key = leaves.key_of(&registration.id).expect("a leaf");
    (leaves, key)
}

fn is_used(leaves: &Leaves) -> bool {
    let service: ServiceId = "s0".parse().expect("a service");
    leaves.has_eligible_leaf(&service, &[])
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
