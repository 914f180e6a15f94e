//! Heartbeats: versions, membership and leaf reports, exchanged with random peers.

use {
    crate::{
        clock,
        control::{
            fetcher::{DocumentFetch, Fetcher},
            host_directory::KnownHost,
            peer_calls::{self, PeerCall},
            shared_state::SharedState,
        },
        peer::client::Peers,
    },
    rand::RngExt,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc},
    wigeonramp_control::heartbeat::{PEERS_PER_ROUND, choose_peers},
    wigeonramp_proto::peer::{Heartbeat, LeafReport, Suspect},
    wigeonramp_telemetry::metrics::DirectionLabels,
    wigeonramp_units::{InstanceId, Instant, Percent, Span},
};

/// Interval between rounds.
const ROUND_INTERVAL: Span = Span::secs(1);
/// Maximum random deviation of the interval between rounds, in percent.
const JITTER_PERCENT: u64 = 10;
/// Minimum interval between rounds that a change of versions triggers.
const MIN_INTERVAL: Span = Span::millis(10);

/// Content of heartbeats that comes from the data path.
pub trait LeafGossip: Send + Sync + 'static {
    /// Reports on the leaves that this host holds.
    fn reports(&self) -> Vec<LeafReport>;

    /// Requests that are suspected of crashing leaves.
    fn suspects(&self) -> Vec<Suspect>;

    /// Processes the reports of a peer.
    fn receive(&self, reports: Vec<LeafReport>, suspects: Vec<Suspect>);
}

/// Recipients of the heartbeats of a round.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Recipients {
    /// All known hosts.
    All,
    /// All known hosts that have not reported the adopted configuration.
    Outdated,
    /// A few random hosts.
    Random,
}

/// Sends and receives heartbeats.
pub struct Gossip<L> {
    fetcher: Fetcher,
    shared: Arc<SharedState>,
    leaves: Arc<L>,
}

impl<L: LeafGossip> Gossip<L> {
    /// Creates the heartbeat service of this host.
    pub fn new(shared: Arc<SharedState>, leaves: Arc<L>, fetcher: Fetcher) -> Self {
        Self { fetcher, shared, leaves }
    }

    /// Returns the current heartbeat of this host.
    pub fn heartbeat(&self) -> Heartbeat {
        let now = clock::now();
        let (reports, suspects) = (self.leaves.reports(), self.leaves.suspects());
        let state = self.shared.lock();
        let this_host = state.this_host(now).to_report(now);
        Heartbeat {
            instance: this_host.instance,
            zone: this_host.zone,
            config_version: this_host.config_version,
            assignment_version: this_host.assignment_version,
            leaving: this_host.leaving,
            load_percent: this_host.load_percent,
            suspects,
            reports,
            store_contact_ms: state.store_contact.map_or(u64::MAX, |at| now.since(at).as_millis()),
            address: this_host.address,
            entry_address: this_host.entry_address,
            operator_address: this_host.operator_address,
            hosts: state
                .hosts
                .choose_reports(now, &mut rand::rng(), |id| state.lists_as_assigner(id)),
        }
    }

    /// Processes a heartbeat of a peer. `heard` is recorded as the time of the last contact: the
    /// arrival of the heartbeat or, if it is a reply, the time at which the request was sent.
    pub fn receive(&self, heartbeat: Heartbeat, heard: Instant) {
        let sender = match KnownHost::from_heartbeat(&heartbeat, heard) {
            Ok(sender) => sender,
            Err(err) => return log::warn!("invalid heartbeat ignored: {err}"),
        };
        let reported = heartbeat.hosts.iter().filter_map(|report| {
            KnownHost::from_report(report, heard)
                .inspect_err(|err| log::warn!("invalid host report ignored: {err}"))
                .ok()
        });
        let hosts: Vec<_> = reported.chain([sender.clone()]).collect();
        let (changed, newer) = {
            let mut state = self.shared.lock();
            let this_instance = state.identity.instance.clone();
            let mut changed = false;
            for host in hosts.into_iter().filter(|host| host.instance != this_instance) {
                changed |= state.hosts.update(host);
            }
            (changed, state.versions().fetch_from(sender.versions))
        };
        self.shared.notify_hosts_changed();
        if changed {
            self.shared.wakers().apply.wake();
        }
        if newer.config || newer.assignment {
            self.fetcher.enqueue(DocumentFetch { from: sender.peer_address, documents: newer });
        }
        self.leaves.receive(heartbeat.reports, heartbeat.suspects);
    }

    /// Sends heartbeats until the host stops. `load` returns the share of the query limit in use.
    pub fn run(&self, peers: &Peers, seeds: &[SocketAddr], load: impl Fn() -> Percent) {
        let mut rng = rand::rng();
        let mut leaving_sent = false;
        while !self.shared.is_stopped() {
            self.shared.lock().load = load();
            let leaving = self.shared.lock().is_leaving();
            // A stop is announced to all peers at once, so that they direct no caller to this host.
            let recipients = match (leaving && !leaving_sent, self.shared.take_outdated_request()) {
                (true, _) => Recipients::All,
                (false, true) => Recipients::Outdated,
                (false, false) => Recipients::Random,
            };
            leaving_sent = leaving;
            self.round(peers, seeds, recipients);
            let percent = rng.random_range(100 - JITTER_PERCENT..=100 + JITTER_PERCENT);
            std::thread::sleep(MIN_INTERVAL.to_duration());
            self.shared.wakers().gossip.wait(ROUND_INTERVAL.percent(percent));
        }
    }

    fn round(&self, peers: &Peers, seeds: &[SocketAddr], recipients: Recipients) {
        let addresses = self.choose_addresses(seeds, recipients);
        let heartbeat = self.heartbeat();
        let bytes = encoded_len(&heartbeat);
        let calls = addresses
            .into_iter()
            .map(|address| PeerCall { address, request: heartbeat.clone() })
            .collect();
        let sent = clock::now();
        peer_calls::call_all(
            peers,
            calls,
            |mut client, request| async move { client.send_heartbeat(request).await },
            |_, result| match result {
                Ok(heartbeat) => {
                    self.count_bytes("sent", bytes);
                    self.count_bytes("received", encoded_len(&heartbeat));
                    self.shared.record_peer_contact(sent);
                    self.receive(heartbeat, sent);
                }
                Err(status) => log::debug!("no response to a heartbeat: {}", status.message()),
            },
        );
    }

    /// Returns the peers of a round, including the seeds while few hosts are known.
    fn choose_addresses(&self, seeds: &[SocketAddr], recipients: Recipients) -> Vec<SocketAddr> {
        let now = clock::now();
        let state = self.shared.lock();
        let this_address = state.identity.peer_address;
        let live: Vec<_> = state.hosts.heard_within(state.silent_after(), now).collect();
        let version = state.document.version;
        let is_recipient =
            |host: &&&KnownHost| recipients == Recipients::All || host.versions.config < version;
        if recipients != Recipients::Random {
            return live.iter().filter(is_recipient).map(|host| host.peer_address).collect();
        }
        let ids: Vec<InstanceId> = live.iter().map(|host| host.instance.clone()).collect();
        let chosen = choose_peers(&ids, &mut rand::rng());
        let address = |id: &InstanceId| state.hosts.get(id).map(|host| host.peer_address);
        let mut addresses: BTreeSet<_> = chosen.iter().filter_map(address).collect();
        if addresses.len() < PEERS_PER_ROUND {
            addresses.extend(seeds.iter().copied().filter(|seed| *seed != this_address));
        }
        addresses.into_iter().collect()
    }

    fn count_bytes(&self, direction: &str, bytes: u64) {
        let labels = DirectionLabels { direction: direction.to_owned() };
        self.shared.metrics().heartbeat_bytes.get_or_create(&labels).inc_by(bytes);
    }
}

fn encoded_len(heartbeat: &Heartbeat) -> u64 {
    prost::Message::encoded_len(heartbeat) as u64
}
