//! Merging of parts, and requests that crash leaves.

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
    /// Guards against a merged answer that is not the greatest records of its parts.
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

/// Guards against requests that are blamed for connections which broke without a crash, and against
/// one that is not blamed for the crash of its leaf.
#[test]
fn request_is_blamed_only_with_another_sign_of_the_crash() {
    let (leaf, other) = (LeafKey(1), LeafKey(2));
    let (first, second) = (Fingerprint(7), Fingerprint(8));
    let mut signs = CrashDetector::default();
    assert!(!signs.broke(first, leaf, at(0)), "one broken connection is no crash");
    assert!(signs.sign(other, at(10)).is_empty());
    assert_eq!(signs.sign(leaf, at(1_000)), [first]);
    assert!(signs.sign(leaf, at(1_001)).is_empty(), "it is blamed once");
    assert!(signs.broke(second, leaf, at(2_000)), "the sign came first");
    assert!(!signs.broke(second, leaf, at(3_000)), "the sign is too old");
}

/// Guards against a request that crashes one leaf after the other, at any host.
#[test]
fn request_that_broke_two_leaves_is_refused_here_and_where_it_is_told() {
    let print = Fingerprint(7);
    let mut list = PoisonList::default();
    list.broke(print, at(0));
    assert!(!list.refuses(print, at(1)));
    list.broke(print, at(2));
    assert!(list.refuses(print, at(3)));
    let mut other = PoisonList::default();
    for told in list.refused(16, at(3)) {
        other.told(told, at(4));
    }
    assert!(other.refuses(print, at(5)));
    assert!(!other.refuses(print, at(70_000)), "forgotten after a minute");
}

/// Guards against an innocent request that ran beside a crash.
#[test]
fn answered_request_is_clear() {
    let print = Fingerprint(7);
    let mut list = PoisonList::default();
    list.broke(print, at(0));
    list.answered(print);
    list.broke(print, at(10));
    assert!(!list.refuses(print, at(11)));
}
