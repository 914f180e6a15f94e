//! Merging of parts, and requests that crash leaves.

mod common;

use {
    common::at,
    proptest::{collection::vec, prelude::*},
    wigeonramp_routing::{
        merge::{RECORD_BYTES, greatest},
        poison::PoisonList,
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
        prop_assert_eq!(greatest(parts.iter().map(Vec::as_slice), top_k), records.concat());
    }
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
