//! Limits on what a process holds for callers, and whom they hit first.

mod common;

use {
    common::at,
    std::net::Ipv4Addr,
    wigeonramp_routing::{
        clients::{
            connections::{ConnectionLimits, DEFAULT_FD_LIMIT},
            memory::{Charge, DEFAULT_MEMORY_MB, MemoryBudget, MemoryLevel},
            relief::{Client, ClientPhase, Relief, for_connections, for_memory},
        },
        members::{MemberInfo, Membership},
    },
    wigeonramp_units::Span,
};

const KB: usize = 1024;

fn client(key: usize, phase: ClientPhase, progress_ms: u64, bytes: usize) -> Client {
    Client { key, phase, progress: at(progress_ms), bytes }
}

/// Guards against large bodies that lock out small requests, and against requests that begin when
/// nothing is left.
#[test]
fn large_bodies_wait_before_small_ones_and_requests() {
    let mut budget = MemoryBudget::new(32);
    let mut charges: Vec<Charge> = Vec::new();
    while budget.admits_body(256 * KB) {
        let mut charge = Charge::default();
        budget.set(&mut charge, 256 * KB);
        charges.push(charge);
    }
    assert_eq!((charges.len(), budget.level()), (16, MemoryLevel::Tight));
    assert!(budget.admits_body(16 * KB) && budget.admits_request());
    let mut responses = Charge::default();
    budget.set(&mut responses, 3 * KB * KB);
    assert!(!budget.admits_body(1) && budget.admits_request());
    budget.set(&mut responses, 5 * KB * KB);
    assert!(!budget.admits_request() && budget.admits_response(256 * KB));
    assert!(!budget.admits_response(257 * KB));
    budget.release(&mut responses);
    charges.iter_mut().for_each(|charge| budget.release(charge));
    assert_eq!((budget.used(), budget.level()), (0, MemoryLevel::Calm));
}

/// Guards against defaults that ordinary clients reach on the smallest host: more than fifty bodies
/// of the largest size would have to arrive in the same moment.
#[test]
fn defaults_are_out_of_reach_of_ordinary_clients() {
    let budget = MemoryBudget::new(DEFAULT_MEMORY_MB);
    assert!(budget.admits_body(50 * 256 * KB));
    let limits = ConnectionLimits::new(DEFAULT_FD_LIMIT);
    assert!(limits.leaves >= 600 && limits.peers >= 200 && limits.callers >= 1_000, "{limits:?}");
}

/// Guards against a split that exceeds the descriptors.
#[test]
fn connection_limits_keep_places_for_files() {
    for fd_limit in [300, 500, 2_870, 8_192, 1 << 20] {
        let limits = ConnectionLimits::new(fd_limit);
        let all = limits.callers + limits.leaves + limits.peers + 3 * limits.endpoint;
        assert!(all + 20 <= fd_limit - 200, "{fd_limit}: {limits:?}");
    }
}

/// Guards against closed connections of callers with requests in progress or with recent progress.
#[test]
fn connections_without_progress_make_room_in_order() {
    use ClientPhase::{InProgress, Kept, Sending, Silent, Unread};
    let phases = [Kept, InProgress, Sending, Unread, Silent, Silent];
    let mut clients: Vec<Client> =
        phases.iter().enumerate().map(|(key, phase)| client(key, *phase, 0, KB)).collect();
    clients[5].progress = at(4_500);
    let mut closed = Vec::new();
    loop {
        let chosen = for_connections(&clients, at(5_000));
        let Some((key, relief)) = chosen.first() else { break };
        assert_eq!(chosen.len(), 1, "few connections are closed at a time");
        closed.push((*key, *relief));
        clients.retain(|client| client.key != *key);
    }
    assert_eq!(
        closed,
        [(4, Relief::Close), (3, Relief::Close), (2, Relief::TimeOut), (0, Relief::Close)]
    );
}

/// Guards against memory that is taken from those who make progress while others hold it without.
#[test]
fn memory_comes_from_stalled_connections_first() {
    use ClientPhase::{InProgress, Sending, Unread};
    let clients = [
        client(0, Sending, 4_900, 200 * KB),
        client(1, Sending, 1_000, 100 * KB),
        client(2, Sending, 500, 100 * KB),
        client(3, Unread, 2_000, 100 * KB),
        client(4, InProgress, 0, 900 * KB),
        client(5, Sending, 4_950, 250 * KB),
    ];
    let stalled = [(3, Relief::Close), (2, Relief::TimeOut), (1, Relief::TimeOut)];
    assert_eq!(for_memory(&clients, 150 * KB, false, at(5_000)), stalled[..2]);
    assert_eq!(for_memory(&clients, KB * KB, false, at(5_000)), stalled);
    let all = for_memory(&clients, KB * KB, true, at(5_000));
    assert_eq!(all[..3], stalled);
    assert_eq!(all[3..], [(5, Relief::Refuse), (0, Relief::Refuse)], "then the largest");
}

fn member(ip: u32) -> MemberInfo {
    MemberInfo {
        ip: Ipv4Addr::from_bits(ip),
        zone: "a".parse().expect("a zone"),
        incarnation: 1,
        heartbeat: 1,
        ready: true,
        leaving: false,
        rate: 0.0,
        load: 0.0,
        capacity: 0.5,
        store_failing: false,
        links_lost: false,
        age: Span::ZERO,
    }
}

/// Guards against datagrams that name any number of hosts, and against invented hosts that keep out
/// real ones for good.
#[test]
fn known_hosts_are_bounded() {
    let mut members = Membership::new(member(1), at(0));
    for ip in 2..5_000 {
        members.merge(member(ip), at(1_000));
    }
    assert_eq!(members.known_count(), 2_049);
    assert!(!members.merge(member(6_000), at(10_000)));
    assert!(members.merge(member(6_000), at(700_000)), "those lost for long make room");
    assert_eq!(members.known_count(), 2_049);
}
