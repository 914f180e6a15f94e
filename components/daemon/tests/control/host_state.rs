//! Guards against a holder that relies on a longer session time than an assigner waits for while a
//! change spreads, and against old reports that hide a stop or a newer version of a host.

use {
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeSet, sync::Arc},
    wigeonramp_control::{
        assignment::{Assignment, AssignmentVersion, Holding},
        heartbeat::Versions,
    },
    wigeonramp_daemon::{
        control::{
            host_directory::{HostDirectory, KnownHost},
            shared_state::{HostIdentity, SharedState},
            transitional::TransitionalSpan,
        },
        observe::Observer,
    },
    wigeonramp_telemetry::{metrics::Metrics, timeline::Timeline},
    wigeonramp_units::{BootId, ConfigVersion, Epoch, InstanceId, Instant, LeafId, Percent, Span},
};

#[test]
fn during_a_change_the_relying_side_uses_the_shorter_time() {
    let second = |n| Instant(0) + Span::secs(n);
    for (old, new) in [(4, 15), (15, 4)] {
        let mut time = TransitionalSpan::new(Span::secs(old));
        time.change(Span::secs(new), second(100));
        // 2.5 times the longer value.
        for at in [100, 137] {
            assert_eq!(time.lower_bound(second(at)), Span::secs(4));
            assert_eq!(time.upper_bound(second(at)), Span::secs(15));
        }
        for at in [138, 500] {
            assert_eq!(time.lower_bound(second(at)), Span::secs(new));
            assert_eq!(time.upper_bound(second(at)), Span::secs(new));
        }
    }
}

#[test]
fn a_second_change_keeps_the_extremes_of_the_first() {
    let mut time = TransitionalSpan::new(Span::secs(4));
    time.change(Span::secs(15), Instant(0));
    time.change(Span::secs(8), Instant(1));
    assert_eq!(time.lower_bound(Instant(2)), Span::secs(4));
    assert_eq!(time.upper_bound(Instant(2)), Span::secs(15));
}

fn host(config: u64, leaving: bool, last_heard: u64) -> KnownHost {
    let address = "127.0.0.1:1".parse().expect("an address");
    let instance: InstanceId = "h1@b1".parse().expect("an instance");
    KnownHost {
        caller_address: address,
        last_heard: Instant(last_heard),
        instance,
        leaving,
        load: Percent(0),
        operator_address: address,
        peer_address: address,
        versions: Versions {
            config: ConfigVersion(config),
            assignment: AssignmentVersion::default(),
        },
        zone: "z1".parse().expect("a zone"),
    }
}

#[test]
fn an_older_report_reverts_neither_a_stop_nor_a_version() {
    let mut directory = HostDirectory::default();
    assert!(directory.update(host(3, false, 100)));
    assert!(directory.update(host(2, true, 50)), "a stop is a change even in an older report");
    assert!(!directory.update(host(1, false, 200)));
    let known = directory.get(&host(0, false, 0).instance).expect("the host was reported");
    assert_eq!((known.versions.config, known.leaving), (ConfigVersion(3), true));
    assert_eq!(known.last_heard, Instant(200));
    let second = Span(1_000_000);
    assert_eq!(directory.heard_within(second, Instant(200) + second).count(), 0);
    assert_eq!(directory.heard_within(second, Instant(199) + second).count(), 1);
}

/// Guards against many hosts of a large fleet that get no report on any assigner and therefore read
/// the assignment and sessions from the platform.
#[test]
fn each_heartbeat_names_an_assigner_among_many_hosts() {
    let mut directory = HostDirectory::default();
    for n in 0..570 {
        let instance = format!("h{n}@b1").parse().expect("an instance");
        directory.update(KnownHost { instance, ..host(1, false, 0) });
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let is_assigner = |id: &InstanceId| ["h7@b1", "h300@b1"].contains(&id.as_str());
    for _ in 0..100 {
        let reports = directory.choose_reports(Instant(0), &mut rng, is_assigner);
        let names: BTreeSet<_> = reports.iter().map(|report| &report.instance).collect();
        assert_eq!((reports.len(), names.len()), (4, 4), "4 different hosts");
        assert!(names.contains(&"h7@b1".to_owned()) || names.contains(&"h300@b1".to_owned()));
    }
}

#[test]
fn heartbeats_name_all_hosts_of_a_small_fleet_whoever_assigns() {
    let mut directory = HostDirectory::default();
    for n in 0..3 {
        let instance = format!("h{n}@b1").parse().expect("an instance");
        directory.update(KnownHost { instance, ..host(1, false, 0) });
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for assigners in [0, 1, 3] {
        let is_assigner =
            |id: &InstanceId| (0..assigners).any(|n| id.as_str() == format!("h{n}@b1"));
        assert_eq!(directory.choose_reports(Instant(0), &mut rng, is_assigner).len(), 3);
    }
}

/// Guards against claim writes above the platform's rate limit when most hosts are not heard from
/// in time: the share of each host is then based on the holders in the assignment.
#[test]
fn hosts_that_are_not_heard_still_count_for_the_share_of_claim_writes() {
    let known = host(1, false, 0);
    let boot: BootId = "b1".parse().expect("a boot id");
    let me = HostIdentity {
        boot: boot.clone(),
        caller_address: known.caller_address,
        host: known.instance.host(),
        instance: known.instance,
        operator_address: known.operator_address,
        peer_address: known.peer_address,
        zone: known.zone.clone(),
    };
    let timeline = Timeline::new(me.host.clone(), known.zone, boot, 16);
    let observer = Observer::new(Arc::new(timeline), Arc::new(Metrics::new()));
    let shared = SharedState::new(me, Arc::new(observer));
    let mut state = shared.lock();
    assert_eq!(state.host_count(Instant(0)), 1);
    let holding = |n: usize| {
        let leaf: LeafId = format!("c/{n:02}/a").parse().expect("a leaf");
        let holding = Holding {
            instance: format!("h{}@b1", n % 5).parse().expect("an instance"),
            epoch: Epoch(1),
            from: None,
            taken_over: false,
            since_version: AssignmentVersion(1),
        };
        (leaf, holding)
    };
    state.assignment = Some(Arc::new(Assignment {
        version: AssignmentVersion(1),
        op: "op-1".parse().expect("an operation id"),
        assigners: Vec::new(),
        disputed: Vec::new(),
        holdings: (0..20).map(holding).collect(),
    }));
    assert_eq!(state.host_count(Instant(0)), 5);
}
