//! Connections that this host may open and keep, as `wigeonramp_routing::connections` decides.

use {
    super::{DEFAULT_CONNECTIONS, LeafConn},
    crate::node::Node,
    serde_json::json,
    wigeonramp_routing::{
        connections::{Admission, ConnectionShare},
        leaves::LeafKey,
    },
    wigeonramp_units::{Instant, ServiceId, Span},
};

/// Time after the opening of a connection within which a reset without a response counts as one for
/// want of room at the leaf.
const RESET_WINDOW: Span = Span::millis(500);

impl LeafConn {
    /// Whether no response has arrived on a connection that was opened a moment ago.
    fn is_fresh(&self, now: Instant) -> bool {
        let has_response = self.answered || self.response.is_some() || !self.inbuf.is_empty();
        self.connected && !has_response && now.since(self.opened) < RESET_WINDOW
    }
}

impl Node {
    fn connection_share(&self, service: &ServiceId) -> ConnectionShare {
        let catalog = self.active_catalog.current();
        let spec = catalog.and_then(|catalog| catalog.services.get(service));
        let declared = spec.map_or(DEFAULT_CONNECTIONS, |spec| spec.connections);
        let hosts = self.upstreams.hosts;
        ConnectionShare::new(declared, hosts.unwrap_or_else(|| self.members.host_counts(self.now)))
    }

    pub(super) fn admit_connection(&self, leaf: LeafKey, service: &ServiceId) -> Admission {
        let share = self.connection_share(service);
        let leaf = self.routing.leaves.get(leaf);
        leaf.map_or(Admission::Elsewhere, |leaf| leaf.room.admit(share, self.now))
    }

    /// Returns the time for which a connection may stay idle.
    pub(super) fn max_idle(&self, conn: &LeafConn) -> Span {
        let Some(leaf) = self.routing.leaves.get(conn.leaf) else { return conn.idle_timeout };
        let limit = self.connection_share(&leaf.registration.service).max_idle();
        limit.map_or(conn.idle_timeout, |limit| limit.min(conn.idle_timeout))
    }

    /// Whether the end of a connection by its leaf counts as one for want of room.
    pub(super) fn is_turned_away(&self, conn: &LeafConn) -> bool {
        let leaf = self.routing.leaves.get(conn.leaf).filter(|_| conn.is_fresh(self.now));
        leaf.is_some_and(|leaf| self.connection_share(&leaf.registration.service).is_short())
    }

    /// Records that a leaf reset a connection for want of room, after the connection is closed.
    pub(super) fn on_turned_away(&mut self, key: LeafKey) {
        self.metrics.count_turned_away();
        let Some(leaf) = self.routing.leaves.get_mut(key) else { return };
        let is_new = leaf.room.on_reset(self.now, &mut self.rng);
        let wait = leaf.room.wait(self.now);
        let id = leaf.registration.id.clone();
        if is_new && self.journal.admits("connections", self.now) {
            let fields = json!({ "leaf": id, "state": "reset", "barred_us": wait.0 });
            self.journal.record("connections", fields, self.now);
        }
    }
}
