//! Leaves that reset connections for want of room.

use {
    crate::support::{Fixture, request_status},
    std::{
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::leaf::Leaf,
};

/// Time that callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which callers send.
const SEND_TIME: Duration = Duration::from_secs(6);
const CALLERS_PER_HOST: usize = 3;
/// Connections that each leaf accepts.
const MAX_CONNECTIONS: usize = 2;
/// A leaf may not have noticed yet that a host has closed a connection.
const MAX_RESETS: usize = 2;

/// Guards against hosts that together open more connections than a leaf accepts, and against
/// requests lost on those that it resets: two hosts had two connections each to a leaf that accepts
/// two.
#[test]
fn hosts_share_the_connections_that_leaves_accept() {
    let fixture = Fixture::start_short(2, MAX_CONNECTIONS as u32);
    let leaves = [(); 2].map(|()| fixture.add_leaf("one", Duration::from_millis(10)));
    fixture.wait_until_serving();
    leaves.iter().for_each(|leaf| leaf.set_max_connections(MAX_CONNECTIONS));
    let end = Instant::now() + SEND_TIME;
    let statuses: Vec<u16> = thread::scope(|scope| {
        let hosts = fixture.caller_addresses();
        let callers = (0..CALLERS_PER_HOST).flat_map(|n| hosts.iter().map(move |host| (n, *host)));
        let send = |(n, host)| {
            let mut statuses = Vec::new();
            while Instant::now() < end {
                let id = format!("c{n}-{host}-{}", statuses.len());
                statuses.push(request_status(host, "POST", &id, TIMEOUT));
            }
            statuses
        };
        let callers: Vec<_> = callers.map(|caller| scope.spawn(move || send(caller))).collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    });
    let count = |status| statuses.iter().filter(|other| **other == status).count();
    let (served, lost) = (count(200), count(502));
    let resets: usize = leaves.iter().map(Leaf::resets).sum();
    assert!(served * 100 >= statuses.len() * 99, "{served} of {}", statuses.len());
    assert!(resets <= MAX_RESETS && lost <= resets, "{lost} lost, {resets} resets");
}
