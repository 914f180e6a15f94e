//! Streams that other hosts open. Anybody may connect, so those that have not said which changes
//! they have are few, short-lived and hold little.

use {
    super::PeerConn, crate::node::Node, serde_json::json, std::io::ErrorKind,
    wigeonramp_units::Span,
};

/// Time within which a follower must have sent its first frame.
const FOLLOWER_FRAME_TIMEOUT: Span = Span::secs(2);

/// Maximum number of streams that are accepted before other events.
const ACCEPTS_PER_TURN: usize = 64;

impl Node {
    /// Accepts streams of other hosts, the rest of many or refused by the system with the next
    /// sweep.
    pub(crate) fn accept_peers(&mut self) {
        self.peers.awaits_accept = false;
        for _ in 0..ACCEPTS_PER_TURN {
            match self.peer_listener.accept() {
                Ok((sock, _)) if self.make_room_for_peer() => self.add_peer(sock, None),
                // Dropping the socket closes it; a follower connects again or follows another host.
                Ok(_) => self.metrics.clients.count("peer_connections", "refused"),
                Err(err) if err.kind() == ErrorKind::WouldBlock => return,
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => {
                    let fields = json!({ "error": err.to_string(), "port": "peers" });
                    self.journal.record("accept_failed", fields, self.now);
                    break;
                }
            }
        }
        self.peers.awaits_accept = true;
    }

    /// Returns whether another stream can be accepted. At the limit, the oldest stream without a
    /// first frame is closed; streams of followers and to followed hosts stay.
    fn make_room_for_peer(&mut self) -> bool {
        let limit = self.clients.connections.peers;
        if self.peers.conns.len() >= limit {
            let unknown = self.peers.conns.iter().filter(|(_, conn)| conn.is_unknown());
            if let Some((key, _)) = unknown.min_by_key(|(_, conn)| conn.opened) {
                self.metrics.clients.count("peer_connections", "closed");
                self.drop_peer(key, false);
            }
        }
        self.peers.conns.len() < limit
    }

    /// Accepts streams that wait, and closes those that others opened without sending the first
    /// frame in time.
    pub(super) fn sweep_accepted_peers(&mut self) {
        if self.peers.awaits_accept {
            self.accept_peers();
        }
        let is_late = |conn: &PeerConn| {
            conn.is_unknown() && self.now.since(conn.opened) >= FOLLOWER_FRAME_TIMEOUT
        };
        let late = self.peers.conns.iter().filter(|(_, conn)| is_late(conn));
        for key in late.map(|(key, _)| key).collect::<Vec<usize>>() {
            self.metrics.clients.count("peer_connections", "timed_out");
            self.drop_peer(key, false);
        }
    }
}
