//! Whom to time out, refuse or close first when a limit is reached.

use {
    super::STALL_TIME,
    wigeonramp_units::{Instant, Span},
};

/// Time between two choices, each of which looks at all connections.
pub const RELIEF_INTERVAL: Span = Span::millis(50);
/// Part of the connections that one choice may close for new ones.
const CLOSED_FRACTION: usize = 16;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClientPhase {
    /// It has not sent a byte yet.
    Silent,
    /// It is idle after a response.
    Kept,
    /// It sends a request.
    Sending,
    /// It leaves a response unread.
    Unread,
    /// Its request is in progress.
    InProgress,
}

/// A connection as the choice sees it.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    /// Key of the connection.
    pub key: usize,
    /// What it is doing.
    pub phase: ClientPhase,
    /// Time of its last progress in this phase.
    pub progress: Instant,
    /// Bytes that it has charged.
    pub bytes: usize,
}

/// What to do with a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relief {
    /// Close it.
    Close,
    /// Respond that its request arrived too slowly, which therefore has not run.
    TimeOut,
    /// Refuse its request, which has not run.
    Refuse,
}

/// Returns the position in the order of closing for new connections; none if the connection stays.
fn connection_rank(phase: ClientPhase) -> Option<(u8, Relief)> {
    match phase {
        ClientPhase::Silent => Some((0, Relief::Close)),
        ClientPhase::Unread => Some((1, Relief::Close)),
        ClientPhase::Sending => Some((2, Relief::TimeOut)),
        ClientPhase::Kept => Some((3, Relief::Close)),
        ClientPhase::InProgress => None,
    }
}

/// Chooses connections to close in favor of new ones: only such without recent progress, the
/// longest without it first.
pub fn for_connections(clients: &[Client], now: Instant) -> Vec<(usize, Relief)> {
    let stalled = clients.iter().filter(|client| now.since(client.progress) >= STALL_TIME);
    let ranked = stalled.filter_map(|client| Some((connection_rank(client.phase)?, client)));
    let mut ranked: Vec<((u8, Relief), &Client)> = ranked.collect();
    ranked.sort_by_key(|((rank, _), client)| (*rank, client.progress));
    ranked.truncate((clients.len() / CLOSED_FRACTION).max(1));
    ranked.into_iter().map(|((_, relief), client)| (client.key, relief)).collect()
}

/// Chooses connections that free `excess` bytes, as far as there are any: those that read nothing,
/// then requests without progress, each the longest without progress first. If the budget is
/// `exceeded`, the largest others follow.
pub fn for_memory(
    clients: &[Client],
    excess: usize,
    exceeded: bool,
    now: Instant,
) -> Vec<(usize, Relief)> {
    let mut ranked = Vec::new();
    for client in clients {
        let stalled = now.since(client.progress) >= STALL_TIME;
        let (rank, relief) = match client.phase {
            ClientPhase::Unread if stalled => (0, Relief::Close),
            ClientPhase::Sending if stalled => (1, Relief::TimeOut),
            ClientPhase::Sending if exceeded => (2, Relief::Refuse),
            ClientPhase::Unread if exceeded => (3, Relief::Close),
            _ => continue,
        };
        let order = if stalled { client.progress.0 } else { u64::MAX - client.bytes as u64 };
        ranked.push(((rank, order), client.key, client.bytes, relief));
    }
    ranked.sort_by_key(|(order, ..)| *order);
    let mut freed = 0;
    let mut chosen = Vec::new();
    for (_, key, bytes, relief) in ranked {
        if freed >= excess {
            break;
        }
        freed += bytes;
        chosen.push((key, relief));
    }
    chosen
}
