//! Withdrawal of attempts of which nothing was written yet, when their request has its reply.
//!
//! The reply may say that the request never runs, and others wait for the places. An attempt that
//! was written goes on: the leaf ends it at the deadline that it was given, and a closed connection
//! would cost the next request a new one.

use {
    super::LeafConn,
    crate::node::Node,
    wigeonramp_routing::{exchange::AttemptRef, leaf::HealthSignal, leaves::LeafKey},
};

impl LeafConn {
    /// Whether the buffered request was not written at all.
    pub(super) fn has_unwritten_request(&self) -> bool {
        self.out.is_untouched() && !self.out.is_empty()
    }

    /// Whether it carries a request of which nothing was written.
    pub(super) fn is_unwritten(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| !in_flight.written)
    }
}

impl Node {
    /// Withdraws the attempts of a request of which nothing was written.
    pub(crate) fn withdraw_unwritten(&mut self, request: usize) {
        let Some(req) = self.requests.get(request) else { return };
        let (serial, unwritten) = (req.serial, req.exchange.unwritten());
        if unwritten.is_empty() {
            return;
        }
        self.withdraw_queued(request, serial);
        self.withdraw_connecting(request, serial, &unwritten);
    }

    fn withdraw_queued(&mut self, request: usize, serial: u64) {
        let mut withdrawn = Vec::new();
        self.upstreams.queued.retain(|_, queue| {
            withdrawn.extend(queue.withdraw(|q| (q.request, q.serial) == (request, serial)));
            !queue.is_empty()
        });
        for queued in withdrawn {
            let attempt = queued.spec.attempt;
            self.abandon_attempt(request, serial, attempt, HealthSignal::Abandoned);
        }
    }

    /// Empties the connections that would carry the attempts. An attempt ends when its connection
    /// is established or fails, so that the outcome counts for the health of the leaf.
    fn withdraw_connecting(&mut self, request: usize, serial: u64, unwritten: &[AttemptRef]) {
        for (_, conn) in &mut self.upstreams.conns {
            let Some(in_flight) = &mut conn.in_flight else { continue };
            if (in_flight.request, in_flight.serial) == (request, serial)
                && unwritten.contains(&in_flight.attempt)
            {
                in_flight.withdrawn = true;
                conn.out.clear();
            }
        }
    }

    /// Ends a withdrawn attempt whose connection is established, and offers the connection to
    /// others; returns false if there is none.
    pub(super) fn release_withdrawn(&mut self, key: usize) -> bool {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return false };
        let Some(withdrawn) = conn.in_flight.take_if(|in_flight| in_flight.withdrawn) else {
            return false;
        };
        conn.idle_since = self.now;
        let leaf = conn.leaf;
        let (request, serial) = (withdrawn.request, withdrawn.serial);
        self.abandon_attempt(request, serial, withdrawn.attempt, HealthSignal::Abandoned);
        if self.is_wanted(leaf) {
            self.upstreams.idle.entry(leaf).or_default().push(key);
        } else {
            self.close_conn(key);
        }
        self.send_queued(leaf);
        true
    }

    /// Whether connections to the leaf are kept.
    pub(super) fn is_wanted(&self, leaf: LeafKey) -> bool {
        self.routing.leaves.get(leaf).is_some_and(|leaf| !leaf.notice.is_leaving())
    }
}
