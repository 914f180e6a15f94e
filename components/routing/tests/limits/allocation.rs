//! One allocator of a leaf's permits.

use {
    std::net::Ipv4Addr,
    wigeonramp_routing::limits::allocator::{Allocator, Wanted},
    wigeonramp_units::{Instant, RequestRate, Span},
};

const HOST: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn at(ms: u64) -> Instant {
    Instant(1_000_000_000 + ms * 1_000)
}

fn limit() -> RequestRate {
    RequestRate::new(20.0).expect("a rate")
}

fn wanted(serial: u64, acknowledged: u64) -> Wanted {
    let delegation = Span::secs(2);
    Wanted { serial, permits: 5, unused: 0, acknowledged, delegation, known_hosts: 2 }
}

fn capacity(allocator: &Allocator, now: Instant) -> f64 {
    allocator.capacity(limit(), 2, now)
}

/// Guards against a delegation that counts from the time at which a suspended allocator reads the
/// request, when the host has delegated its share to another one.
#[test]
fn a_delegation_counts_from_the_acknowledged_response() {
    let mut allocator = Allocator::new(at(0));
    allocator.grant(HOST, wanted(1, 0), limit(), 2, at(0));
    assert_eq!(capacity(&allocator, at(0)), 0.0, "nothing is acknowledged");
    allocator.grant(HOST, wanted(2, 1), limit(), 2, at(10));
    assert_eq!(capacity(&allocator, at(1_999)), 10.0, "one of two shares");
    assert_eq!(capacity(&allocator, at(2_000)), 0.0);
    allocator.grant(HOST, wanted(3, 2), limit(), 2, at(5_000));
    assert_eq!(capacity(&allocator, at(5_000)), 0.0, "the request is from before");
    allocator.grant(HOST, wanted(4, 3), limit(), 2, at(5_010));
    assert_eq!(capacity(&allocator, at(5_010)), 10.0);
}

/// Guards against a request that is counted twice or out of order.
#[test]
fn an_overtaken_request_is_ignored() {
    let mut allocator = Allocator::new(at(0));
    assert!(allocator.grant(HOST, wanted(2, 0), limit(), 2, at(0)).is_some());
    assert_eq!(allocator.grant(HOST, wanted(1, 0), limit(), 2, at(1)), None);
    assert_eq!(allocator.grant(HOST, wanted(2, 0), limit(), 2, at(2)), None);
}

/// Guards against permits beyond the rate when unused ones are returned again and again.
#[test]
fn returned_permits_do_not_raise_the_rate() {
    let mut allocator = Allocator::new(at(0));
    let mut used = 0;
    let mut last = 0;
    for n in 1..=400 {
        let req = Wanted { unused: last / 2, ..wanted(n, n - 1) };
        last = allocator.grant(HOST, req, limit(), 2, at(n * 100)).expect("a grant");
        used += last - last / 2;
    }
    // One of two shares: 10 a second for 40 s, and the permits in reserve.
    assert!(used <= 10 * 40 + 10, "{used} permits used in 40 s");
}
