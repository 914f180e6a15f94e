//! Heartbeats: their targets, the versions in them and the last report of each peer.

use {
    crate::{assignment::AssignmentVersion, entry::EntryHost},
    rand::{Rng, RngExt},
    std::{collections::BTreeMap, net::SocketAddr},
    wigeonramp_config::{AdminState, Document},
    wigeonramp_units::{ConfigVersion, InstanceId, Instant, Percent, Span, ZoneId},
};

/// Number of peers that get a heartbeat each second.
pub const PEERS_PER_ROUND: usize = 3;

/// Chooses up to [`PEERS_PER_ROUND`] (3) different peers at random.
pub fn choose_peers(peers: &[InstanceId], rng: &mut impl Rng) -> Vec<InstanceId> {
    let mut remaining: Vec<_> = peers.iter().collect();
    let count = PEERS_PER_ROUND.min(remaining.len());
    (0..count)
        .map(|_| remaining.swap_remove(rng.random_range(0..remaining.len())).clone())
        .collect()
}

/// Document versions that a host has adopted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Versions {
    /// Version of the configuration.
    pub config: ConfigVersion,
    /// Version of the assignment.
    pub assignment: AssignmentVersion,
}

/// Documents to fetch from the sender of a heartbeat.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fetch {
    /// Whether the sender has a higher configuration version.
    pub config: bool,
    /// Whether the sender has a higher assignment version.
    pub assignment: bool,
}

impl Versions {
    /// Returns the documents to fetch from a peer that has adopted `theirs`.
    pub fn fetch_from(self, theirs: Versions) -> Fetch {
        Fetch {
            config: theirs.config > self.config,
            assignment: theirs.assignment > self.assignment,
        }
    }

    /// Returns the higher version of each document.
    pub fn merged(self, theirs: Versions) -> Versions {
        Versions {
            config: self.config.max(theirs.config),
            assignment: self.assignment.max(theirs.assignment),
        }
    }
}

/// What a peer reports about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerReport {
    /// The peer.
    pub instance: InstanceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Address at which other hosts connect.
    pub peer_address: SocketAddr,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Versions that it has adopted.
    pub versions: Versions,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Share of the query limit in use.
    pub load: Percent,
}

#[derive(Clone, Debug)]
struct Peer {
    report: PeerReport,
    last_heard: Instant,
}

/// The last report of each peer.
#[derive(Clone, Debug)]
pub struct PeerTable {
    this_instance: InstanceId,
    forget_after: Span,
    peers: BTreeMap<InstanceId, Peer>,
}

impl PeerTable {
    /// Creates an empty table. A peer without a report for `forget_after` is dropped.
    pub fn new(this_instance: InstanceId, forget_after: Span) -> Self {
        Self { this_instance, forget_after, peers: BTreeMap::new() }
    }

    /// Records the report in a heartbeat or in a heartbeat reply. It replaces the report of another
    /// boot of the same host.
    pub fn on_report(&mut self, report: PeerReport, now: Instant) {
        if report.instance == self.this_instance {
            return;
        }
        let host = report.instance.host();
        self.peers.retain(|id, peer| {
            let replaced = id.host() == host && *id != report.instance;
            !replaced && now.since(peer.last_heard) < self.forget_after
        });
        self.peers.insert(report.instance.clone(), Peer { report, last_heard: now });
    }

    /// Chooses the peers that get the next heartbeat.
    pub fn choose_targets(&self, rng: &mut impl Rng) -> Vec<&PeerReport> {
        let ids: Vec<_> = self.peers.keys().cloned().collect();
        let chosen = choose_peers(&ids, rng);
        chosen.iter().filter_map(|id| self.peers.get(id)).map(|peer| &peer.report).collect()
    }

    /// Returns the last report of `instance`.
    pub fn get(&self, instance: &InstanceId) -> Option<&PeerReport> {
        self.peers.get(instance).map(|peer| &peer.report)
    }

    /// Returns the peers that adopted the configuration `version` or a higher one.
    pub fn with_config_at_least(
        &self,
        version: ConfigVersion,
    ) -> impl Iterator<Item = &InstanceId> {
        let reports = self.peers.values().map(|peer| &peer.report);
        reports.filter(move |report| report.versions.config >= version).map(|r| &r.instance)
    }

    /// Returns the peers as entry hosts.
    pub fn entry_hosts(&self, document: &Document) -> Vec<EntryHost> {
        let host = |peer: &Peer| {
            let PeerReport { instance, zone, caller_address, load, leaving, .. } = &peer.report;
            EntryHost {
                host: instance.host(),
                zone: zone.clone(),
                zone_in_service: document
                    .zones
                    .get(zone)
                    .is_some_and(|z| z.state == AdminState::In),
                address: *caller_address,
                load: *load,
                leaving: *leaving,
                last_heard: peer.last_heard,
            }
        };
        self.peers.values().map(host).collect()
    }
}
