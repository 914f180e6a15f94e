//! Heartbeats: versions, membership and conditions of leaves, exchanged with random peers.

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

/// Time between two rounds.
const ROUND: Span = Span::secs(1);
/// Deviation of the time between two rounds, in hundredths.
const JITTER_PERCENT: u64 = 10;
/// Shortest time between two rounds that a change of versions asks for.
const SHORTEST_PAUSE: Span = Span::millis(10);

/// The data path's part of heartbeats.
pub trait LeafGossip: Send + Sync + 'static {
    /// Conditions of the leaves that are held here.
    fn reports(&self) -> Vec<LeafReport>;

    /// Requests suspected of crashing leaves.
    fn suspects(&self) -> Vec<Suspect>;

    /// Takes what a peer reported.
    fn receive(&self, reports: Vec<LeafReport>, suspects: Vec<Suspect>);
}

/// Who gets the heartbeats of a round.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Audience {
    /// Everybody who is known.
    All,
    /// Everybody who is not known to have the adopted configuration.
    Behind,
    /// A few at random.
    Random,
}

/// Builds and takes heartbeats.
pub struct Gossip<N> {
    fetcher: Fetcher,
    shared: Arc<SharedState>,
    news: Arc<N>,
}

impl<N: LeafGossip> Gossip<N> {
    /// Heartbeats of this host.
    pub fn new(shared: Arc<SharedState>, news: Arc<N>, fetcher: Fetcher) -> Self {
        Self { fetcher, shared, news }
    }

    /// This host's heartbeat.
    pub fn heartbeat(&self) -> Heartbeat {
        let now = clock::now();
        let (reports, suspects) = (self.news.reports(), self.news.suspects());
        let state = self.shared.lock();
        let own = state.this_host(now).to_report(now);
        Heartbeat {
            instance: own.instance,
            zone: own.zone,
            config_version: own.config_version,
            assignment_version: own.assignment_version,
            leaving: own.leaving,
            load_percent: own.load_percent,
            suspects,
            reports,
            store_contact_ms: state.store_contact.map_or(u64::MAX, |at| now.since(at).as_millis()),
            address: own.address,
            entry_address: own.entry_address,
            operator_address: own.operator_address,
            hosts: state
                .hosts
                .choose_reports(now, &mut rand::rng(), |id| state.lists_as_assigner(id)),
        }
    }

    /// Takes a peer's heartbeat that was sent no earlier than `heard`.
    pub fn receive(&self, heartbeat: Heartbeat, heard: Instant) {
        let sender = match KnownHost::from_heartbeat(&heartbeat, heard) {
            Ok(sender) => sender,
            Err(err) => return log::warn!("heartbeat ignored: {err}"),
        };
        let named = heartbeat.hosts.iter().filter_map(|report| {
            KnownHost::from_report(report, heard).inspect_err(|err| log::warn!("{err}")).ok()
        });
        let hosts: Vec<_> = named.chain([sender.clone()]).collect();
        let (changed, behind) = {
            let mut state = self.shared.lock();
            let me = state.identity.instance.clone();
            let mut changed = false;
            for host in hosts.into_iter().filter(|host| host.instance != me) {
                changed |= state.hosts.update(host);
            }
            (changed, state.versions().fetch_from(sender.versions))
        };
        self.shared.notify_hosts_changed();
        if changed {
            self.shared.wakers().apply.wake();
        }
        if behind.config || behind.assignment {
            self.fetcher.enqueue(DocumentFetch { from: sender.peer_address, documents: behind });
        }
        self.news.receive(heartbeat.reports, heartbeat.suspects);
    }

    /// Sends heartbeats until the host stops. `load` gives the share of request workers in use.
    pub fn run(&self, peers: &Peers, seeds: &[SocketAddr], load: impl Fn() -> Percent) {
        let mut rng = rand::rng();
        let mut left = false;
        while !self.shared.is_stopped() {
            self.shared.lock().load = load();
            let leaving = self.shared.lock().is_leaving();
            // All peers hear of a stop at once, so that they name this host to no caller.
            let audience = match (leaving && !left, self.shared.take_outdated_request()) {
                (true, _) => Audience::All,
                (false, true) => Audience::Behind,
                (false, false) => Audience::Random,
            };
            left = leaving;
            self.round(peers, seeds, audience);
            let percent = rng.random_range(100 - JITTER_PERCENT..=100 + JITTER_PERCENT);
            std::thread::sleep(SHORTEST_PAUSE.to_duration());
            self.shared.wakers().gossip.wait(ROUND.percent(percent));
        }
    }

    fn round(&self, peers: &Peers, seeds: &[SocketAddr], audience: Audience) {
        let addresses = self.choose(seeds, audience);
        let heartbeat = self.heartbeat();
        let bytes = prost_len(&heartbeat);
        let calls = addresses
            .into_iter()
            .map(|address| PeerCall { address, request: heartbeat.clone() })
            .collect();
        let sent = clock::now();
        peer_calls::call_all(
            peers,
            calls,
            |mut client, request| async move { client.send_heartbeat(request).await },
            |_, answer| match answer {
                Ok(heartbeat) => {
                    self.count("sent", bytes);
                    self.count("received", prost_len(&heartbeat));
                    self.shared.record_peer_contact(sent);
                    self.receive(heartbeat, sent);
                }
                Err(status) => log::debug!("heartbeat not answered: {}", status.message()),
            },
        );
    }

    /// The peers of one round; the seeds as well while few are known.
    fn choose(&self, seeds: &[SocketAddr], audience: Audience) -> Vec<SocketAddr> {
        let now = clock::now();
        let state = self.shared.lock();
        let me = state.identity.peer_address;
        let fresh: Vec<_> = state.hosts.heard_within(state.silent_after(), now).collect();
        let version = state.document.version;
        let told = |host: &&&KnownHost| audience == Audience::All || host.versions.config < version;
        if audience != Audience::Random {
            return fresh.iter().filter(told).map(|host| host.peer_address).collect();
        }
        let ids: Vec<InstanceId> = fresh.iter().map(|host| host.instance.clone()).collect();
        let chosen = choose_peers(&ids, &mut rand::rng());
        let address = |id: &InstanceId| state.hosts.get(id).map(|host| host.peer_address);
        let mut addresses: BTreeSet<_> = chosen.iter().filter_map(address).collect();
        if addresses.len() < PEERS_PER_ROUND {
            addresses.extend(seeds.iter().copied().filter(|seed| *seed != me));
        }
        addresses.into_iter().collect()
    }

    fn count(&self, direction: &str, bytes: u64) {
        let labels = DirectionLabels { direction: direction.to_owned() };
        self.shared.metrics().heartbeat_bytes.get_or_create(&labels).inc_by(bytes);
    }
}

fn prost_len(heartbeat: &Heartbeat) -> u64 {
    prost::Message::encoded_len(heartbeat) as u64
}
