//! Whom to send heartbeats to, and what the versions in them mean.

use {
    crate::{assignment::AssignmentVersion, entry::EntryHost},
    rand::{Rng, RngExt},
    std::{collections::BTreeMap, net::SocketAddr},
    wigeonramp_config::{AdminState, Document},
    wigeonramp_units::{ConfigVersion, InstanceId, Instant, Percent, Span, ZoneId},
};

/// PeerTable that get a heartbeat each second.
pub const PEERS_PER_ROUND: usize = 3;

/// Chooses up to 3 different peers at random.
pub fn choose_peers(peers: &[InstanceId], rng: &mut impl Rng) -> Vec<InstanceId> {
    let mut left: Vec<_> = peers.iter().collect();
    let count = PEERS_PER_ROUND.min(left.len());
    (0..count).map(|_| left.swap_remove(rng.random_range(0..left.len())).clone()).collect()
}

/// Versions that a host knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Versions {
    /// Configuration.
    pub config: ConfigVersion,
    /// Assignment.
    pub assignment: AssignmentVersion,
}

/// Documents to fetch from the sender of a heartbeat.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fetch {
    /// The sender knows a higher configuration.
    pub config: bool,
    /// The sender knows a higher assignment.
    pub assignment: bool,
}

impl Versions {
    /// What to fetch from a peer that knows `theirs`.
    pub fn fetch_from(self, theirs: Versions) -> Fetch {
        Fetch {
            config: theirs.config > self.config,
            assignment: theirs.assignment > self.assignment,
        }
    }

    /// The higher of both in each part.
    pub fn merged(self, theirs: Versions) -> Versions {
        Versions {
            config: self.config.max(theirs.config),
            assignment: self.assignment.max(theirs.assignment),
        }
    }
}

/// What a peer says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerReport {
    /// The peer.
    pub instance: InstanceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where other hosts connect.
    pub peer_address: SocketAddr,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Versions that it knows.
    pub versions: Versions,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Share of request workers in use.
    pub load: Percent,
}

#[derive(Clone, Debug)]
struct Peer {
    report: PeerReport,
    heard: Instant,
}

/// PeerTable by what was last heard of them.
#[derive(Clone, Debug)]
pub struct PeerTable {
    me: InstanceId,
    forget_after: Span,
    peers: BTreeMap<InstanceId, Peer>,
}

impl PeerTable {
    /// No peers; those not heard for `forget_after` are dropped.
    pub fn new(me: InstanceId, forget_after: Span) -> Self {
        Self { me, forget_after, peers: BTreeMap::new() }
    }

    /// A heartbeat arrived, or its answer. Another boot of the same host is replaced.
    pub fn on_report(&mut self, report: PeerReport, now: Instant) {
        if report.instance == self.me {
            return;
        }
        let host = report.instance.host();
        self.peers.retain(|id, peer| {
            let replaced = id.host() == host && *id != report.instance;
            !replaced && now.since(peer.heard) < self.forget_after
        });
        self.peers.insert(report.instance.clone(), Peer { report, heard: now });
    }

    /// PeerTable that get the next heartbeat.
    pub fn choose_targets(&self, rng: &mut impl Rng) -> Vec<&PeerReport> {
        let ids: Vec<_> = self.peers.keys().cloned().collect();
        let next = choose_peers(&ids, rng);
        next.iter().filter_map(|id| self.peers.get(id)).map(|peer| &peer.report).collect()
    }

    /// The last report of `instance`.
    pub fn get(&self, instance: &InstanceId) -> Option<&PeerReport> {
        self.peers.get(instance).map(|peer| &peer.report)
    }

    /// PeerTable that adopted `version` or a higher configuration.
    pub fn with_config_at_least(
        &self,
        version: ConfigVersion,
    ) -> impl Iterator<Item = &InstanceId> {
        let reports = self.peers.values().map(|peer| &peer.report);
        reports.filter(move |report| report.versions.config >= version).map(|r| &r.instance)
    }

    /// The peers as entry hosts.
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
                last_heard: peer.heard,
            }
        };
        self.peers.values().map(host).collect()
    }
}
