//! Guards against a holder that counts on a longer session time than an assigner waits for while a
//! change spreads, and against old reports that hide a stop or a newer version of a host.

use {
    wigeonramp_control::{assignment::AssignmentVersion, heartbeat::Versions},
    wigeonramp_daemon::control::{
        changing::ChangingTime,
        directory::{Directory, KnownHost},
    },
    wigeonramp_units::{ConfigVersion, InstanceId, Instant, Percent, Span},
};

#[test]
fn during_a_change_the_relying_side_uses_the_shorter_time() {
    let second = |n| Instant(0) + Span::secs(n);
    for (old, new) in [(4, 15), (15, 4)] {
        let mut time = ChangingTime::new(Span::secs(old));
        time.change(Span::secs(new), second(100));
        // 2.5 times the longer value.
        for at in [100, 137] {
            assert_eq!(time.shorter(second(at)), Span::secs(4));
            assert_eq!(time.longer(second(at)), Span::secs(15));
        }
        for at in [138, 500] {
            assert_eq!(time.shorter(second(at)), Span::secs(new));
            assert_eq!(time.longer(second(at)), Span::secs(new));
        }
    }
}

#[test]
fn a_second_change_keeps_the_extremes_of_the_first() {
    let mut time = ChangingTime::new(Span::secs(4));
    time.change(Span::secs(15), Instant(0));
    time.change(Span::secs(8), Instant(1));
    assert_eq!(time.shorter(Instant(2)), Span::secs(4));
    assert_eq!(time.longer(Instant(2)), Span::secs(15));
}

fn host(config: u64, leaving: bool, heard: u64) -> KnownHost {
    let address = "127.0.0.1:1".parse().expect("an address");
    let instance: InstanceId = "h1@b1".parse().expect("an instance");
    KnownHost {
        caller_address: address,
        heard: Instant(heard),
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
fn an_older_report_takes_nothing_back() {
    let mut directory = Directory::default();
    assert!(directory.hear(host(3, false, 100)));
    assert!(directory.hear(host(2, true, 50)), "a stop is news, however old the report");
    assert!(!directory.hear(host(1, false, 200)));
    let known = directory.get(&host(0, false, 0).instance).expect("it was heard");
    assert_eq!((known.versions.config, known.leaving), (ConfigVersion(3), true));
    assert_eq!(known.heard, Instant(200));
    let second = Span(1_000_000);
    assert_eq!(directory.fresh(second, Instant(200) + second).count(), 0);
    assert_eq!(directory.fresh(second, Instant(199) + second).count(), 1);
}
