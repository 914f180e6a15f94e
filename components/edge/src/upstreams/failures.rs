//! Connections to leaves that fail, and what follows for leaf and request.

use {
    crate::{node::Node, requests::EndedAttempt},
    serde_json::json,
    wigeonramp_routing::{exchange::AttemptOutcome, leaves::LeafKey},
    wigeonramp_units::Fingerprint,
};

impl Node {
    /// Closes a failed connection and ends the attempt that it carries; `broken` tells whether the
    /// socket reported an error.
    pub(super) fn fail_conn(&mut self, key: usize, broken: bool) {
        let Some(conn) = self.upstreams.conns.get(key) else { return };
        let turned_away = broken && self.is_turned_away(conn);
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
        let (leaf, opened) = (conn.leaf, conn.opened);
        let unsent = conn.is_unwritten();
        let (not_connected, refused) = (!conn.connected, !conn.connected && broken);
        let no_response = conn.response.is_none() && conn.inbuf.is_empty();
        let in_flight = conn.in_flight.take();
        self.close_conn(key);
        if not_connected {
            self.on_link_unopened(leaf, opened);
            self.on_connect_failed(leaf);
        } else if broken && !turned_away {
            self.on_links_broken(&[leaf]);
        }
        if turned_away {
            self.on_turned_away(leaf);
        }
        match in_flight {
            Some(in_flight) => {
                let outcome = match unsent {
                    // A leaf without room for the connection is not broken.
                    true if turned_away => AttemptOutcome::Withheld,
                    true => AttemptOutcome::Unsent,
                    false => AttemptOutcome::Lost,
                };
                if !unsent && no_response {
                    if self.upstreams.crash_detector.on_connection_broken(
                        in_flight.fingerprint,
                        leaf,
                        self.now,
                    ) {
                        self.suspect_request(in_flight.fingerprint, leaf);
                    }
                } else if refused {
                    self.record_crash_sign(leaf);
                }
                let (request, serial, attempt) =
                    (in_flight.request, in_flight.serial, in_flight.attempt);
                self.ended_attempts.push_back(EndedAttempt { request, serial, attempt, outcome });
            }
            None if turned_away || (not_connected && !refused) => {}
            None => self.record_crash_sign(leaf),
        }
        self.send_queued(leaf);
    }

    /// Handles that a leaf did not accept a connection. If its service declares a request rate for
    /// cold leaves, the leaf is treated as one that has just started.
    fn on_connect_failed(&mut self, leaf: LeafKey) {
        let service = self.routing.leaves.get(leaf).map(|leaf| &leaf.registration.service);
        let catalog = self.active_catalog.current();
        let spec = service.and_then(|service| catalog?.services.get(service));
        let spec = spec.filter(|spec| spec.cold_per_second > 0.0);
        if let Some(spec) = spec.filter(|_| !self.routing.links.is_lost()) {
            let cold_for = spec.cold_for;
            self.routing.leaves.on_connect_failed(leaf, cold_for, self.now);
        }
    }

    /// Records a sign that a leaf crashed; requests whose connections to it broke recently become
    /// suspects.
    fn record_crash_sign(&mut self, leaf: LeafKey) {
        for fingerprint in self.upstreams.crash_detector.on_crash_sign(leaf, self.now) {
            self.suspect_request(fingerprint, leaf);
        }
    }

    /// Counts and logs that a request is suspected of crashing a leaf, unless this host reaches no
    /// leaf.
    fn suspect_request(&mut self, fingerprint: Fingerprint, leaf: LeafKey) {
        if self.routing.links.is_lost() {
            return;
        }
        self.poison.record_crash(fingerprint, self.now);
        let id = self.routing.leaves.get(leaf).map(|leaf| leaf.registration.id.clone());
        let refused = self.poison.is_refused(fingerprint, self.now);
        let fields = json!({ "fingerprint": fingerprint, "leaf": id, "refused": refused });
        self.journal.record("request_suspected", fields, self.now);
    }
}
