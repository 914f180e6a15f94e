//! How much is taken while leaves are overloaded.

mod common;

use {
    common::{SEED, at},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    wigeonramp_routing::overload::{OverloadController, PartStatus},
};

const SHARDS: usize = 20;

/// Counts a request whose parts of these shards are late.
fn record(overload: &mut OverloadController, is_late: impl Fn(usize) -> bool, ms: u64) {
    let status = |shard| if is_late(shard) { PartStatus::Late } else { PartStatus::Settled };
    overload.record((0..SHARDS).map(status), at(ms));
}

/// Lets `load` times what the leaves bear arrive for a while, 20 requests in 100 ms; returns the
/// share taken of the most urgent requests, averaged over the last second.
fn press(overload: &mut OverloadController, load: f64, from_ms: u64, for_ms: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut last = 0.0;
    for ms in (from_ms..from_ms + for_ms).step_by(100) {
        let taken = overload.share_for(1, at(ms));
        let admitted = load * taken;
        let late = if admitted > 1.0 { 1.0 - 1.0 / admitted } else { 0.005 };
        for _ in 0..(20.0 * taken) as u32 {
            let unlucky: Vec<bool> = (0..SHARDS).map(|_| rng.random_bool(late)).collect();
            record(overload, |shard| unlucky[shard], ms);
        }
        if ms + 1_000 >= from_ms + for_ms {
            last += taken / 10.0;
        }
    }
    last
}

/// Guards against an overload in which nearly every gathered answer misses too many parts: at three
/// times the usual load 14 in 100 requests of lsspin were served in time.
#[test]
fn share_follows_what_the_leaves_bear_and_returns() {
    let mut overload = OverloadController::new(at(0));
    assert!(press(&mut overload, 0.8, 0, 3_000) > 0.999);
    for (load, from) in [(1.5, 3_000), (3.0, 20_000)] {
        let share = press(&mut overload, load, from, 6_000);
        assert!(share < 1.2 / load && share > 0.6 / load, "load {load}: {share}");
        let calm = press(&mut overload, 0.8, from + 6_000, 4_000);
        assert!(calm > 0.999, "after load {load}: {calm}");
    }
}

/// Guards against urgent requests that are refused like ordinary ones, and against ordinary ones
/// that starve.
#[test]
fn urgent_requests_are_taken_first_and_ordinary_ones_keep_a_floor() {
    let mut overload = OverloadController::new(at(0));
    for rank in [1, 5] {
        overload.share_for(rank, at(0));
    }
    press(&mut overload, 1.8, 0, 3_000);
    let (urgent, ordinary) = (overload.share_for(1, at(3_000)), overload.share_for(5, at(3_000)));
    assert!(ordinary < urgent && urgent < 0.8, "{urgent} {ordinary}");
    press(&mut overload, 30.0, 3_000, 5_000);
    assert_eq!(overload.share_for(5, at(8_000)), 0.25);
}

/// Guards against slow or lost leaves of some shards taken for an overload: refusing requests does
/// not help them.
#[test]
fn late_parts_of_some_shards_are_no_overload() {
    let mut overload = OverloadController::new(at(0));
    for n in 0..200 {
        record(&mut overload, |shard| shard < 8, n * 20);
    }
    assert!(!overload.is_shedding());
    for n in 200..300 {
        record(&mut overload, |shard| shard < 12, n * 20);
    }
    assert!(overload.is_shedding());
}
