//! Simulation test of holder rights: no two instances may have full rights on one leaf, under
//! pauses, lost and late calls, store outages, partitioned hosts, clock rates that differ by 1%
//! each way, restarts and concurrent assigners.

#[path = "../common/mod.rs"]
mod common;
mod node;
mod world;

use {
    proptest::{collection::vec, prelude::*},
    wigeonramp_units::Span,
    world::{Fault, HOSTS, World},
};

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..HOSTS;
    // All hosts but one, which includes partitions that isolate all assigners, or any set of hosts.
    let isolated = prop_oneof![(0..HOSTS).prop_map(|n| !(1 << n)), 1_u32..1 << HOSTS];
    prop_oneof![
        (isolated, 5_000_u64..60_000).prop_map(|(isolated, ms)| Fault::Partition { isolated, ms }),
        (node.clone(), 100_u64..12_000).prop_map(|(node, ms)| Fault::Pause { node, ms }),
        (node.clone(), 1_000_u64..40_000)
            .prop_map(|(node, ms)| Fault::StoreUnreachable { node, ms }),
        (1_000_u64..20_000).prop_map(|ms| Fault::StoreOutage { ms }),
        (node.clone(), 1_000_u64..40_000)
            .prop_map(|(node, ms)| Fault::PeersUnreachable { node, ms }),
        node.clone().prop_map(|node| Fault::Restart { node }),
        node.prop_map(|node| Fault::Leave { node }),
        (1_000_u64..20_000).prop_map(|ms| Fault::MessageLoss { ms }),
    ]
}

fn cases() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(24);
    let rng_seed = proptest::test_runner::RngSeed::Fixed(11);
    ProptestConfig {
        cases,
        rng_seed,
        failure_persistence: None,
        max_shrink_iters: 60,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn no_leaf_has_two_full_holders(
        seed: u64,
        faults in vec((0_u64..15_000, fault()), 1..16),
    ) {
        let mut world = World::new(seed);
        prop_assert_eq!(world.run(Span::secs(20)), Ok(()));
        prop_assert!(world.full_rights_seen > 0, "no instance ever got full rights");
        for (ms, fault) in faults {
            world.fault(fault);
            prop_assert_eq!(world.run(Span::millis(ms)), Ok(()));
        }
        world.nodes.iter_mut().for_each(|node| node.leaving = false);
        prop_assert_eq!(world.run(Span::secs(150)), Ok(()));
        for leaf in world.document.leaves.keys() {
            prop_assert_eq!(world.full_holders(leaf).len(), 1, "{} is not served again", leaf);
        }
    }
}
