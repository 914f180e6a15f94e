//! Probes of the links to leaves: connections on which nothing is sent. What they show is decided by
//! `wigeonramp_routing::leaf_links`.

use {
    crate::{
        node::{EventSource, Node},
        sock,
        upstreams::CONNECT_TIMEOUT,
    },
    indexmap::IndexSet,
    mio::{Interest, net::TcpStream},
    serde_json::json,
    std::io::ErrorKind,
    wigeonramp_routing::{leaf_links::LinkState, leaves::LeafKey},
    wigeonramp_units::Instant,
};

/// A connection that is being opened to a leaf and closed as soon as it is.
#[derive(Debug)]
pub(crate) struct Probe {
    sock: TcpStream,
    leaf: LeafKey,
    started: Instant,
}

impl Node {
    /// Ends the probes that took too long, draws the conclusions and starts the next ones.
    pub(crate) fn sweep_links(&mut self) {
        let now = self.now;
        let is_late = |probe: &Probe| now.since(probe.started) > CONNECT_TIMEOUT;
        let late = self.probes.iter().filter(|(_, probe)| is_late(probe));
        let late: Vec<usize> = late.map(|(key, _)| key).collect();
        for key in late {
            self.end_probe(key, false);
        }
        self.advance_links();
        let count = self.routing.links.take_probes(now);
        if count > 0 {
            self.start_probes(count);
        }
    }

    fn start_probes(&mut self, count: usize) {
        let now = self.now;
        let failed: IndexSet<LeafKey> = self.routing.links.unopened().collect();
        for leaf in self.routing.leaves.choose_probes(count, &failed, now, &mut self.rng) {
            self.start_probe(leaf);
        }
    }

    fn start_probe(&mut self, leaf: LeafKey) {
        let Some(address) = self.routing.leaves.get(leaf).map(|leaf| leaf.registration.address)
        else {
            return;
        };
        // Without a descriptor or a port of its own, the host learns nothing of the leaf.
        let Ok(mut sock) = sock::connect(address) else { return };
        let entry = self.probes.vacant_entry();
        let token = EventSource::Probe(entry.key()).token();
        if self.poll.registry().register(&mut sock, token, Interest::WRITABLE).is_err() {
            return;
        }
        self.metrics.count_probe();
        entry.insert(Probe { sock, leaf, started: self.now });
    }

    pub(crate) fn on_link_probe(&mut self, key: usize) {
        let Some(probe) = self.probes.get(key) else { return };
        match sock::is_connected(&probe.sock) {
            Ok(false) => {}
            Ok(true) => self.end_probe(key, true),
            // A reset, unlike a refusal, ends a connection that the leaf had accepted.
            Err(err) => self.end_probe(key, err.kind() == ErrorKind::ConnectionReset),
        }
    }

    fn end_probe(&mut self, key: usize, is_open: bool) {
        let Some(mut probe) = self.probes.try_remove(key) else { return };
        // Closing the socket removes it from the event queue anyway.
        let _ = self.poll.registry().deregister(&mut probe.sock);
        if is_open {
            return self.on_link_opened();
        }
        self.routing.links.on_unopened(probe.leaf, probe.started, self.now);
        self.next_sweep = self.now;
    }

    /// Records that open connections to these leaves broke or that requests on them have no response.
    pub(crate) fn on_links_broken(&mut self, leaves: &[LeafKey]) {
        for leaf in leaves {
            self.routing.links.on_broken(*leaf, self.now);
        }
        self.advance_links();
    }

    /// Records that a connection to a leaf could not be opened.
    pub(crate) fn on_link_unopened(&mut self, leaf: LeafKey, started: Instant) {
        self.routing.links.on_unopened(leaf, started, self.now);
        self.advance_links();
    }

    /// Records that a connection to a leaf was opened.
    pub(crate) fn on_link_opened(&mut self) {
        let before = self.routing.links.state();
        self.routing.links.on_opened(self.now);
        self.on_links_changed(before);
    }

    fn advance_links(&mut self) {
        // Counting the leaves takes a look at each of them.
        if self.routing.links.is_settled() {
            return;
        }
        let before = self.routing.links.state();
        let leaves = self.routing.leaves.probe_count(self.now);
        if self.routing.links.advance(leaves, self.now).is_some() {
            self.on_links_changed(before);
        }
    }

    fn on_links_changed(&mut self, before: LinkState) {
        let state = self.routing.links.state();
        if state == before {
            return;
        }
        self.next_sweep = self.now;
        match (before, state) {
            (LinkState::Up, LinkState::Suspect) => return self.metrics.count_suspicion(),
            (LinkState::Suspect, LinkState::Up) => return,
            _ => {}
        }
        let links = &self.routing.links;
        let doubted_since = links.doubted_since();
        let fields = json!({
            "state": state.name(), "before": before.name(),
            "unopened": links.unopened().count(), "quiet_us": links.quiet_for(self.now).0,
        });
        self.journal.record("leaf_links", fields, self.now);
        self.announce_links();
        if state == LinkState::Down {
            self.poison.take_back(doubted_since);
            self.relay_open_requests();
        } else {
            self.routing.forget_link_failures();
        }
    }

    /// Tells the other hosts whether this one has lost its links, as they name it to callers.
    fn announce_links(&mut self) {
        if self.members.own().links_lost == self.routing.links.is_lost() {
            return;
        }
        self.refresh_shares();
        self.announce_state();
    }

    /// Handles that another host has lost its links.
    pub(crate) fn on_other_links_lost(&mut self) {
        let before = self.routing.links.state();
        self.routing.links.on_other_lost(self.now);
        self.on_links_changed(before);
    }
}
