//! Selection of a leaf.

mod common;

use {
    common::{SEED, at, registration, routing_state, service},
    rand::{SeedableRng, rngs::SmallRng},
    std::net::Ipv4Addr,
    wigeonramp_routing::{
        leaf::HealthSignal,
        leaves::{LeafChange, LeafCriteria, LeafKey, Leaves, VersionConstraint},
        limits::LeafLimits,
    },
    wigeonramp_units::{Instant, Span},
};

const TYPICAL: Span = Span::millis(10);

fn no_limits() -> LeafLimits {
    LeafLimits::new(Ipv4Addr::new(10, 0, 0, 1), 0)
}

fn choose(leaves: &mut Leaves, tried: &[LeafKey], cold: Option<f64>, now: Instant) -> String {
    let service = service("s0");
    let limits = no_limits();
    let criteria = LeafCriteria {
        service: &service,
        homes: &[],
        tried,
        typical_latency: TYPICAL,
        cold_per_second: cold,
        limits: &limits,
        priority: 1,
        version: VersionConstraint::Unbarred,
    };
    let mut rng = SmallRng::seed_from_u64(SEED);
    match leaves.choose(&criteria, now, &mut rng).leaf {
        Some(key) => leaves.get(key).expect("a chosen leaf").registration.id.to_string(),
        None => "none".to_owned(),
    }
}

fn key(leaves: &Leaves, id: &str) -> LeafKey {
    leaves.key_of(&id.parse().expect("a leaf id")).expect("a registered leaf")
}

/// Guards against a request being sent outside the regions that its route allows when no leaf in
/// them is eligible.
#[test]
fn request_stays_in_the_homes_of_its_route() {
    let mut leaves = routing_state(1).leaves;
    let regions = [("a", "west"), ("b", "east")];
    leaves.set_regions(
        regions
            .map(|(zone, of)| (zone.parse().expect("a zone"), of.parse().expect("a region")))
            .into(),
    );
    let (service, east) = (service("s0"), ["east".parse().expect("a region")]);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let criteria = LeafCriteria {
        service: &service,
        homes: &east,
        tried: &[],
        typical_latency: TYPICAL,
        cold_per_second: None,
        limits: &no_limits(),
        priority: 1,
        version: VersionConstraint::Unbarred,
    };
    let far = key(&leaves, "l0b");
    assert_eq!(leaves.choose(&criteria, at(1), &mut rng).leaf, Some(far));
    leaves.set_evacuated("b".parse().expect("a zone"), true);
    assert_eq!(leaves.choose(&criteria, at(2), &mut rng).leaf, None);
    assert_eq!(leaves.wait(&service, &east, at(0)), None);
    assert_eq!(leaves.wait(&service, &[], at(0)), Some(Span::ZERO));
}

/// Makes a leaf unhealthy.
type Impairment = fn(&mut Leaves, LeafKey);

/// Guards against traffic between zones, and against requests that wait for an unhealthy leaf.
#[test]
fn leaf_of_own_zone_is_chosen_unless_it_is_unhealthy() {
    let cases: [(&str, Impairment, &str); 6] = [
        ("healthy", |_, _| {}, "l0a"),
        ("overdue", |leaves, key| leaves.on_sent(key, TYPICAL, at(0)), "l0b"),
        (
            "connection broken",
            |leaves, key| {
                leaves.on_sent(key, TYPICAL, at(90));
                leaves.on_ended(key, at(90), TYPICAL, HealthSignal::Broken, at(95));
            },
            "l0b",
        ),
        (
            "slow",
            |leaves, key| {
                for n in 0..4 {
                    leaves.on_sent(key, TYPICAL, at(n));
                    leaves.on_ended(key, at(n), TYPICAL, HealthSignal::Answered, at(n + 90));
                }
            },
            "l0b",
        ),
        (
            "draining",
            |leaves, _| {
                let mut leaving = registration("l0a", "s0", "a");
                leaving.draining = true;
                leaves.register(leaving, at(1));
            },
            "l0b",
        ),
        (
            "zone out of service",
            |leaves, _| leaves.set_evacuated("a".parse().expect("a zone"), true),
            "l0b",
        ),
    ];
    for (name, impair, chosen) in cases {
        let mut leaves = routing_state(1).leaves;
        let near = key(&leaves, "l0a");
        impair(&mut leaves, near);
        assert_eq!(choose(&mut leaves, &[], None, at(100)), chosen, "{name}");
    }
}

/// Guards against a service that is not used because all of its leaves are unhealthy.
#[test]
fn last_leaf_is_chosen_even_if_unhealthy() {
    let mut leaves = routing_state(1).leaves;
    let (near, far) = (key(&leaves, "l0a"), key(&leaves, "l0b"));
    for leaf in [near, far] {
        leaves.on_sent(leaf, TYPICAL, at(0));
        leaves.on_ended(leaf, at(0), TYPICAL, HealthSignal::Broken, at(1));
    }
    assert_eq!(choose(&mut leaves, &[far], None, at(100)), "l0a");
}

/// Guards against a slow leaf that is never chosen again.
#[test]
fn latency_ratio_decays() {
    let mut leaves = routing_state(1).leaves;
    let near = key(&leaves, "l0a");
    for n in 0..4 {
        leaves.on_sent(near, TYPICAL, at(n));
        leaves.on_ended(near, at(n), TYPICAL, HealthSignal::Answered, at(n + 90));
    }
    assert_eq!(choose(&mut leaves, &[], None, at(200)), "l0b");
    assert_eq!(choose(&mut leaves, &[], None, at(20_000)), "l0a");
}

/// Guards against a cold leaf that gets more than this host's share of its declared rate.
#[test]
fn cold_leaf_gets_its_allowance() {
    let mut leaves = Leaves::new("a".parse().expect("a zone"));
    let mut cold = registration("l0a", "s0", "a");
    cold.cold_left = Span::secs(3);
    leaves.register(cold, at(0));
    let times = (0..3_000).step_by(10);
    let chosen = times.filter(|ms| choose(&mut leaves, &[], Some(2.0), at(*ms)) == "l0a").count();
    assert_eq!(chosen, 5, "two per second, beginning with an empty allowance");
    assert_eq!(choose(&mut leaves, &[], Some(2.0), at(3_001)), "l0a", "warm again");
}

/// Guards against a request that is not sent although there is a warm leaf. It happened when a cold
/// leaf of this host's zone had the lowest cost but no allowance left.
#[test]
fn cold_leaf_without_allowance_is_passed_over() {
    let mut leaves = routing_state(1).leaves;
    let near = key(&leaves, "l0a");
    let mut cold = registration("l0a", "s0", "a");
    cold.cold_left = Span::secs(3);
    leaves.register(cold, at(0));
    // The warm leaf has a higher cost than the cold one.
    let far = key(&leaves, "l0b");
    for n in 0..4 {
        leaves.on_sent(far, TYPICAL, at(n));
        leaves.on_ended(far, at(n), TYPICAL, HealthSignal::Answered, at(n + 90));
    }
    assert_eq!(choose(&mut leaves, &[], Some(2.0), at(200)), "l0b", "no allowance yet");
    assert_eq!(choose(&mut leaves, &[], Some(2.0), at(600)), "l0a", "one request is allowed");
    assert_eq!(choose(&mut leaves, &[], Some(2.0), at(610)), "l0b", "it is used up");
    assert_eq!(choose(&mut leaves, &[far], Some(2.0), at(620)), "none", "never more than allowed");
    assert!(leaves.get(near).is_some_and(|leaf| leaf.is_cold(at(620))));
}

/// Guards against a restarted leaf that gets full load before its new registration arrives.
#[test]
fn leaf_that_was_down_is_cold_until_its_registration_says_otherwise() {
    let mut leaves = routing_state(1).leaves;
    let (near, far) = (key(&leaves, "l0a"), key(&leaves, "l0b"));
    leaves.on_connect_failed(near, Span::secs(3), at(100));
    assert_eq!(choose(&mut leaves, &[far], Some(2.0), at(200)), "none");
    assert_eq!(choose(&mut leaves, &[far], None, at(200)), "l0a", "no rate is declared");
    let mut warm = registration("l0a", "s0", "a");
    warm.slots = 3;
    leaves.register(warm, at(300));
    assert_eq!(choose(&mut leaves, &[far], Some(2.0), at(310)), "l0a");
}

/// Guards against a leaf that stays in use forever after its registration lapsed in a store outage,
/// and against one that is removed although it is registered again.
#[test]
fn lapsed_registration_is_used_until_its_grace_ends() {
    let mut leaves = routing_state(1).leaves;
    let id = "l0a".parse().expect("a leaf id");
    leaves.mark_lapsed(&id, at(2_000));
    assert_eq!(choose(&mut leaves, &[], None, at(1_000)), "l0a");
    leaves.register(registration("l0a", "s0", "a"), at(1_500));
    assert!(leaves.remove_lapsed(at(3_000)).is_empty(), "it was renewed");
    leaves.mark_lapsed(&id, at(4_000));
    assert_eq!(leaves.remove_lapsed(at(4_000)).len(), 1);
    assert_eq!(choose(&mut leaves, &[], None, at(4_001)), "l0b");
}

/// Guards against state of a leaf's earlier start that is applied to a new start under the same id.
#[test]
fn restart_resets_the_state_of_a_leaf() {
    let mut leaves = routing_state(1).leaves;
    let near = key(&leaves, "l0a");
    leaves.get_mut(near).expect("a leaf").address_reused = true;
    assert_eq!(choose(&mut leaves, &[], None, at(1)), "l0b");
    let mut restarted = registration("l0a", "s0", "a");
    restarted.born = Some(2);
    assert_eq!(leaves.register(restarted, at(2)), LeafChange::Restarted(near));
    assert_eq!(choose(&mut leaves, &[], None, at(3)), "l0a");
}
