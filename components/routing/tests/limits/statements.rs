//! One host's view of a leaf's limit.

use {
    super::fleet::leaf,
    insta::assert_snapshot,
    std::net::Ipv4Addr,
    wigeonramp_routing::{
        leaf::LeafInstance,
        limits::{
            LeafLimits, LimitHosts,
            messages::{LimitMessage, LimitNews, Outgoing, PermitGrant},
            statement::NamedLimit,
        },
    },
    wigeonramp_units::{Instant, RequestRate, Span},
};

fn at(ms: u64) -> Instant {
    Instant(1_000_000_000 + ms * 1_000)
}

fn named(limit: f64) -> NamedLimit {
    NamedLimit::Rate(RequestRate::new(limit).expect("a rate"))
}

fn limits() -> LeafLimits {
    LeafLimits::new(Ipv4Addr::new(10, 0, 0, 1), 0)
}

/// Times at which a request was sent and its response arrived, in milliseconds, and the limit.
type Response = (u64, u64, NamedLimit);

/// Guards against a late or unreadable response that lifts a limit or names an outdated one.
#[test]
fn the_order_of_responses() {
    let cases: [(&str, &[Response]); 9] = [
        ("named once", &[(0, 20, named(5.0))]),
        ("named lower", &[(0, 20, named(5.0)), (30, 50, named(3.0))]),
        ("named higher", &[(0, 20, named(5.0)), (30, 50, named(9.0))]),
        ("ended", &[(0, 20, named(5.0)), (30, 50, NamedLimit::None)]),
        ("overlapping and lower", &[(0, 20, named(5.0)), (10, 50, named(3.0))]),
        ("overlapping and higher", &[(0, 20, named(5.0)), (10, 50, named(9.0))]),
        ("overlapping without a limit", &[(0, 20, named(5.0)), (10, 50, NamedLimit::None)]),
        (
            "late response from before the end",
            &[(0, 20, named(5.0)), (30, 50, NamedLimit::None), (5, 60, named(5.0))],
        ),
        ("unreadable", &[(0, 20, named(5.0)), (30, 50, NamedLimit::Unreadable)]),
    ];
    let mut lines = Vec::new();
    for (name, responses) in cases {
        let mut limits = limits();
        for (asked, heard, named) in responses {
            limits.on_response(&leaf(), *named, at(*asked), at(*heard));
        }
        let rate = limits.rate(&leaf(), at(5_000)).map(|rate| rate.to_string());
        lines.push(format!("{name}: {}", rate.unwrap_or_else(|| "no limit".to_owned())));
    }
    assert_snapshot!(lines.join("\n"));
}

/// Guards against a limit of an earlier process that counts for a leaf that has restarted, and
/// against a limit that outlives its leaf.
#[test]
fn a_limit_ends_with_the_process_that_named_it() {
    let mut limits = limits();
    limits.on_response(&leaf(), named(5.0), at(0), at(20));
    let mut restarted = leaf();
    restarted.born = Some(2);
    assert_eq!(limits.rate(&restarted, at(20)), None);
    limits.forget(&leaf().id);
    assert_eq!(limits.rate(&leaf(), at(20)), None);
}

/// Guards against a limit that stays in force although nobody confirms it.
#[test]
fn an_unconfirmed_limit_is_forgotten() {
    let mut limits = limits();
    limits.on_response(&leaf(), named(5.0), at(0), at(20));
    limits.poll(&LimitHosts::default(), at(599_000));
    assert!(limits.rate(&leaf(), at(599_000)).is_some());
    limits.poll(&LimitHosts::default(), at(601_000));
    assert_eq!(limits.rate(&leaf(), at(601_000)), None);
}

/// Guards against a host that sends to a limited leaf before it has a permit, and against one that
/// waits long for the first.
#[test]
fn the_first_request_for_permits_is_sent_at_once() {
    let mut limits = limits();
    limits.on_response(&leaf(), named(5.0), at(0), at(20));
    assert!(!limits.may_send(&leaf(), 0, at(20)));
    let other = Ipv4Addr::new(10, 0, 0, 2);
    let hosts =
        LimitHosts { candidates: vec![other], alive: vec![other], stopping: Vec::new(), known: 2 };
    assert_eq!(limits.next_at(at(20)), Some(at(20)));
    let sent = limits.poll(&hosts, at(20));
    assert!(
        matches!(&sent[..], [Outgoing { to, message: LimitMessage::Request(req) }]
            if *to == other && req.delegation > Span::ZERO),
        "{sent:?}"
    );
}

/// Guards against less urgent requests that use permits which urgent ones lack, and against less
/// urgent ones that get none at all.
#[test]
fn urgent_requests_go_first_and_leave_a_floor() {
    let mut limits = limits();
    limits.on_response(&leaf(), named(40.0), at(0), at(20));
    let hosts = LimitHosts { candidates: Vec::new(), known: 1, ..LimitHosts::default() };
    let (mut urgent, mut ordinary) = (0, 0);
    for ms in (20..6_000).step_by(5) {
        limits.poll(&hosts, at(ms));
        for (priority, used) in [(2, &mut ordinary), (1, &mut urgent)] {
            if limits.may_send(&leaf(), priority, at(ms)) {
                limits.on_sent(&leaf(), priority, false, at(ms));
                *used += 1;
            } else {
                limits.on_denied(&leaf(), priority, at(ms));
            }
        }
    }
    let share = f64::from(ordinary) / f64::from(ordinary + urgent);
    assert!((0.15..0.35).contains(&share), "{ordinary} ordinary and {urgent} urgent");
}

/// Guards against outdated news of another host that counts more than what the leaf said itself.
#[test]
fn older_news_does_not_replace_a_response() {
    let mut limits = limits();
    limits.on_response(&leaf(), named(5.0), at(1_000), at(1_020));
    let news = |rate, ago| {
        let rate = RequestRate::new(rate);
        let (asked_ago, heard_ago) = (Span::millis(ago), Span::millis(ago - 10));
        LimitMessage::News(LimitNews { leaf: leaf(), rate, asked_ago, heard_ago })
    };
    let from = Ipv4Addr::new(10, 0, 0, 2);
    limits.on_message(from, news(9.0, 900), 2, at(1_500));
    assert_eq!(limits.rate(&leaf(), at(1_500)), RequestRate::new(5.0));
    limits.on_message(from, news(9.0, 100), 2, at(1_500));
    assert_eq!(limits.rate(&leaf(), at(1_500)), RequestRate::new(9.0));
}

/// Guards against a surge at a leaf that has just lifted its limit, and at one that names its limit
/// in some responses only.
#[test]
fn the_rate_rises_after_the_end_of_a_limit() {
    let mut limits = limits();
    limits.on_response(&leaf(), named(5.0), at(0), at(20));
    limits.on_response(&leaf(), NamedLimit::None, at(30), at(50));
    let rate = |limits: &LeafLimits, ms| limits.rate(&leaf(), at(ms)).map(RequestRate::per_second);
    let rates: Vec<_> = [50, 1_050, 2_050, 4_049, 4_050].map(|ms| rate(&limits, ms)).into();
    assert_eq!(rates[..3], [Some(5.0), Some(10.0), Some(20.0)]);
    assert!(rates[3].is_some_and(|rate| rate < 80.0));
    assert_eq!(rates[4], None);
    limits.on_response(&leaf(), named(5.0), at(4_100), at(4_120));
    assert_eq!(rate(&limits, 4_120), Some(5.0));
}

/// Guards against hosts that send messages about a leaf that nobody wants any more, and against a
/// request that is denied for good then.
#[test]
fn no_permits_are_requested_for_a_leaf_that_nobody_wants() {
    let mut limits = limits();
    limits.on_response(&leaf(), named(5.0), at(0), at(20));
    let other = Ipv4Addr::new(10, 0, 0, 2);
    let hosts =
        LimitHosts { candidates: vec![other], alive: vec![other], stopping: Vec::new(), known: 2 };
    let mut count = |from_ms: u64, to_ms: u64| {
        let times = (from_ms..to_ms).step_by(500);
        times.map(|ms| limits.poll(&hosts, at(ms)).len()).sum::<usize>()
    };
    assert!(count(20, 60_000) > 5);
    assert_eq!(count(62_000, 200_000), 0);
    assert!(!limits.may_send(&leaf(), 0, at(200_000)));
    limits.on_denied(&leaf(), 0, at(200_000));
    assert_eq!(limits.poll(&hosts, at(200_000)).len(), 1);
}

/// Guards against a datagram for each limited leaf, when many leaves name limits at once.
#[test]
fn requests_that_are_due_soon_are_sent_together() {
    let mut limits = limits();
    let other = Ipv4Addr::new(10, 0, 0, 2);
    let hosts =
        LimitHosts { candidates: vec![other], alive: vec![other], stopping: Vec::new(), known: 2 };
    let leaves = ["i-1", "i-2", "i-3"]
        .map(|id| LeafInstance { id: id.parse().expect("a leaf id"), born: Some(1) });
    for (n, leaf) in leaves.iter().enumerate() {
        let heard = 20 + 30 * n as u64;
        limits.on_response(leaf, named(5.0), at(0), at(heard));
        // The second request acknowledges the response to the first one.
        for ms in [heard, heard + 1] {
            let sent = limits.poll(&hosts, at(ms));
            assert_eq!(sent.len(), 1, "sent at once");
            respond(&mut limits, &sent, at(ms));
        }
    }
    let sent = limits.poll(&hosts, at(2_021));
    let requests = sent.iter().filter(|out| matches!(out.message, LimitMessage::Request(_)));
    assert_eq!(requests.count(), 3);
}

/// Has the allocator respond to requests without granting a permit.
fn respond(limits: &mut LeafLimits, sent: &[Outgoing], now: Instant) {
    for out in sent {
        let LimitMessage::Request(req) = &out.message else { continue };
        let (news, serial) = (req.news.clone(), req.serial);
        let grant = PermitGrant { news, serial, permits: 0, delegated: true };
        limits.on_message(out.to, LimitMessage::Grant(grant), 2, now);
    }
}
