//! Merging of responses and detection of poison requests.

mod common;

use {
    common::at,
    proptest::{collection::vec, prelude::*},
    wigeonramp_routing::{
        leaves::LeafKey,
        merge::{RECORD_BYTES, merge_top_k},
        poison::{CrashDetector, PoisonList},
    },
    wigeonramp_units::Fingerprint,
};

proptest! {
    /// Guards against a merged response other than the greatest records of its parts.
    #[test]
    fn merge_is_the_head_of_the_sorted_records(
        parts in vec(vec(any::<u8>(), 0..200), 0..8),
        top_k in 0_usize..20,
    ) {
        let mut records: Vec<Vec<u8>> = Vec::new();
        for part in &parts {
            records.extend(part.chunks_exact(RECORD_BYTES).map(<[u8]>::to_vec));
        }
        records.sort();
        records.reverse();
        records.truncate(top_k);
        prop_assert_eq!(merge_top_k(parts.iter().map(Vec::as_slice), top_k), records.concat());
    }
}

/// Guards against requests that are suspected because of a connection that broke without a crash,
/// and against one that is not suspected after its leaf has crashed.
#[test]
fn request_is_suspected_only_with_another_sign_of_the_crash() {
    let (leaf, other) = (LeafKey(1), LeafKey(2));
    let (first, second) = (Fingerprint(7), Fingerprint(8));
    let mut detector = CrashDetector::default();
    assert!(
        !detector.on_connection_broken(first, leaf, at(0)),
        "one broken connection is no crash"
    );
    assert!(detector.on_crash_sign(other, at(10)).is_empty());
    assert_eq!(detector.on_crash_sign(leaf, at(1_000)), [first]);
    assert!(detector.on_crash_sign(leaf, at(1_001)).is_empty(), "it is suspected once");
    assert!(detector.on_connection_broken(second, leaf, at(2_000)), "the sign came first");
    assert!(!detector.on_connection_broken(second, leaf, at(3_000)), "the sign is too old");
}

/// Guards against a request that crashes one leaf after another, on any host.
#[test]
fn request_that_crashed_two_leaves_is_refused_on_every_host() {
    let fingerprint = Fingerprint(7);
    let mut list = PoisonList::default();
    list.record_crash(fingerprint, at(0));
    assert!(!list.is_refused(fingerprint, at(1)));
    list.record_crash(fingerprint, at(2));
    assert!(list.is_refused(fingerprint, at(3)));
    let mut other = PoisonList::default();
    for refused in list.refused(16, at(3)) {
        other.add_refused(refused, at(4));
    }
    assert!(other.is_refused(fingerprint, at(5)));
    assert!(!other.is_refused(fingerprint, at(70_000)), "forgotten after a minute");
}

/// Guards against sound requests that stay refused because a host lost its links while they ran, and against
/// the loss of what was known before or what another host has found.
#[test]
fn crashes_that_were_a_loss_of_links_are_taken_back() {
    let [before, during, told] = [1, 2, 3].map(Fingerprint);
    let mut list = PoisonList::default();
    for ms in [0, 10] {
        list.record_crash(before, at(ms));
        list.record_crash(during, at(1_000 + ms));
        list.record_crash(told, at(1_000 + ms));
    }
    list.add_refused(told, at(1_100));
    list.take_back(at(1_000));
    assert!(list.is_refused(before, at(1_200)));
    assert!(!list.is_refused(during, at(1_200)));
    assert!(list.is_refused(told, at(1_200)));
}

/// Guards against refusal of a request that only ran during a crash that it did not cause.
#[test]
fn answered_request_is_cleared() {
    let fingerprint = Fingerprint(7);
    let mut list = PoisonList::default();
    list.record_crash(fingerprint, at(0));
    list.clear(fingerprint);
    list.record_crash(fingerprint, at(10));
    assert!(!list.is_refused(fingerprint, at(11)));
}
