//! Guards against merged lists that contradict the order of events within a process, against ring
//! buffers that grow without bound, and against filters that let other events through.

use {
    insta::assert_snapshot,
    std::thread,
    wigeonramp_telemetry::timeline::{
        EventKind, NewEvent, Timeline, TimelineFilter, TimelineResponse, merge, to_json, to_text,
    },
    wigeonramp_units::{ConfigVersion, Epoch, LeafId, RequestId},
};

fn timeline(host: &str, zone: &str, capacity: usize) -> Timeline {
    let boot = "b1".parse().unwrap();
    Timeline::new(host.parse().unwrap(), zone.parse().unwrap(), boot, capacity)
}

fn request() -> RequestId {
    "r-1".parse().unwrap()
}

fn leaf() -> LeafId {
    "quote-desk/07/a".parse().unwrap()
}

/// Events of two hosts that run the same request; the clock of the second host steps back by a
/// second.
fn two_hosts() -> (Timeline, Timeline) {
    let entry = timeline("gulf-01", "gulf-a", 100);
    entry.record(NewEvent::new(EventKind::QueryStarted, 1_000_000).request(&request()));
    let retry = NewEvent::new(EventKind::Retry, 1_000_300).request(&request()).leaf(&leaf());
    entry.record(retry.field("reason", "leaf is shedding load"));
    entry.record(NewEvent::new(EventKind::QueryFinished, 1_000_900).request(&request()));
    let holder = timeline("gulf-02", "gulf-b", 100);
    let version = ConfigVersion(4);
    let adopted = NewEvent::new(EventKind::ConfigAdopted, 1_000_100).config_version(version);
    holder.record(adopted.field("zone", "gulf-a"));
    let sent = NewEvent::new(EventKind::AttemptSent, 1_000_400).request(&request()).leaf(&leaf());
    holder.record(sent.epoch(Epoch(3)).config_version(version));
    let finished = NewEvent::new(EventKind::AttemptFinished, 500).request(&request()).leaf(&leaf());
    holder.record(finished);
    (entry, holder)
}

#[test]
fn events_of_two_hosts_merge_into_one_order() {
    let (entry, holder) = two_hosts();
    let all = TimelineFilter::default();
    let events = merge([holder.read(&all), entry.read(&all), holder.read(&all)]);
    assert_snapshot!(to_text(&events));
    assert_snapshot!("json", to_json(&events[..2]));
}

#[test]
fn filters_select_by_every_condition() {
    let (entry, holder) = two_hosts();
    let all = TimelineFilter::default();
    let cases = [
        ("request", TimelineFilter { request: Some(request()), ..all.clone() }),
        ("leaf", TimelineFilter { leaf: Some(leaf()), ..all.clone() }),
        ("zone", TimelineFilter { zone: Some("gulf-a".parse().unwrap()), ..all.clone() }),
        ("version", TimelineFilter { config_version: Some(ConfigVersion(4)), ..all.clone() }),
        ("kind", TimelineFilter { kind: Some(EventKind::Retry), ..all.clone() }),
        ("since", TimelineFilter { since: Some(1_000_300), ..all.clone() }),
    ];
    let mut table = String::new();
    for (name, filter) in cases {
        let events = merge([entry.read(&filter), holder.read(&filter)]);
        let kinds: Vec<_> = events.iter().map(|event| event.kind.name()).collect();
        table.push_str(&format!("{name}: {}\n", kinds.join(" ")));
    }
    assert_snapshot!(table);
}

#[test]
fn the_ring_keeps_the_newest_events_and_counts_the_others() {
    let timeline = timeline("gulf-01", "gulf-a", 32);
    for at in 0..100 {
        timeline.record(NewEvent::new(EventKind::Hedge, at));
    }
    let response = timeline.response(&TimelineFilter::default());
    let kept: Vec<_> = response.events.iter().map(|event| event.at_unix_us).collect();
    assert_eq!((kept, response.dropped), ((68..100).collect(), 68));
    let text = serde_json::to_string(&response).unwrap();
    assert_eq!(serde_json::from_str::<TimelineResponse>(&text).unwrap(), response);
}

#[test]
fn threads_record_without_losing_events() {
    let timeline = timeline("gulf-01", "gulf-a", 4096);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                (0..1000).for_each(|at| {
                    timeline.record(NewEvent::new(EventKind::AttemptSent, at));
                })
            });
        }
    });
    let response = timeline.response(&TimelineFilter::default());
    let seqs: Vec<_> = response.events.iter().map(|event| event.seq).collect();
    assert_eq!((seqs, response.dropped), ((0..4000).collect(), 0));
}
