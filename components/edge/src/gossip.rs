//! Gossip between hosts: heartbeat datagrams with member states, refused requests, the positions
//! of changes and messages about request limits.

use {
    crate::{
        limits::LimitsMessage,
        node::{EventSource, Node},
        quotas::QuotasMessage,
        releases::ReleasesMessage,
        sock,
    },
    mio::{Interest, Poll, net::UdpSocket},
    prost::Message,
    rand::RngExt,
    serde_json::json,
    std::{
        io::{ErrorKind, Result},
        net::{Ipv4Addr, SocketAddr},
    },
    wigeonramp_platform::settings::NodeSettings,
    wigeonramp_routing::{members::MemberInfo, position::Position},
    wigeonramp_units::{ConfigVersion, Fingerprint, Instant, Revision, Span, StoreEra},
};

/// Heartbeat interval of a candidate for callers, whose loss must be detected quickly.
const HEARTBEAT_INTERVAL: Span = Span::millis(700);
/// Heartbeat interval of all other hosts (standby).
const STANDBY_HEARTBEAT_INTERVAL: Span = Span::millis(1_400);
/// Number of hosts of the same zone that receive each heartbeat; one host of another zone receives
/// it too.
const SAME_ZONE_PARTNERS: usize = 2;
/// On average one in this many heartbeats of a standby host also goes to another zone.
const STANDBY_OTHER_ZONE_RATIO: u32 = 4;
/// Time after the start in which a host without live peers sends heartbeats more often.
const DISCOVERY_TIME: Span = Span::secs(10);
/// Heartbeat interval in that time.
const DISCOVERY_INTERVAL: Span = Span::millis(150);
/// Maximum number of hosts that receive each of these heartbeats.
const MAX_DISCOVERY_PARTNERS: usize = 8;
/// Maximum number of members in a heartbeat besides the candidates for callers.
const MAX_OTHER_MEMBERS: usize = 6;
/// Maximum number of members in a datagram to a new host, which keeps the datagram below the usual
/// packet size.
const MEMBERS_PER_DATAGRAM: usize = 24;
/// Maximum number of refused requests in a heartbeat.
const MAX_REFUSED: usize = 16;
/// Maximum length of a datagram in bytes.
const MAX_DATAGRAM: usize = 8 * 1024;
/// Maximum number of datagrams that are read before other events.
const DATAGRAMS_PER_TURN: usize = 64;

/// Gossiped state of a host.
#[derive(Clone, PartialEq, prost::Message)]
struct MemberMessage {
    #[prost(fixed32, tag = "1")]
    ip: u32,
    #[prost(string, tag = "2")]
    zone: String,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(uint64, tag = "4")]
    beat: u64,
    #[prost(bool, tag = "5")]
    ready: bool,
    #[prost(bool, tag = "6")]
    leaving: bool,
    /// Requests per ten seconds.
    #[prost(uint32, tag = "7")]
    rate: u32,
    /// Available CPU in thousandths of a processor core.
    #[prost(uint32, tag = "8")]
    capacity: u32,
    /// Whether calls to the store are failing.
    #[prost(bool, tag = "9")]
    blind: bool,
    /// Milliseconds since the last heartbeat.
    #[prost(uint32, tag = "10")]
    age: u32,
    /// CPU used for attempts, in thousandths of a processor core.
    #[prost(uint32, tag = "11")]
    load: u32,
    /// Whether the host has lost its links to all leaves.
    #[prost(bool, tag = "12")]
    links_lost: bool,
}

/// A heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
struct HeartbeatMessage {
    /// Member states; the sender's own comes first.
    #[prost(message, repeated, tag = "1")]
    members: Vec<MemberMessage>,
    /// Fingerprints of refused requests.
    #[prost(fixed64, repeated, tag = "2")]
    refused: Vec<u64>,
    /// Positions of the last changes to leaves and evacuations that the sender has, and the version
    /// of its configuration.
    #[prost(uint64, tag = "4")]
    leaves: u64,
    #[prost(uint64, tag = "5")]
    evacuations: u64,
    /// Messages about request limits of leaves.
    #[prost(message, optional, tag = "6")]
    limits: Option<LimitsMessage>,
    #[prost(uint64, tag = "7")]
    config_version: u64,
    #[prost(uint64, tag = "8")]
    leaves_era: u64,
    #[prost(uint64, tag = "9")]
    evacuations_era: u64,
    /// Age of the sender's news in milliseconds; none if it has none.
    #[prost(uint32, optional, tag = "10")]
    news_age: Option<u32>,
    /// Messages about quotas of accounts.
    #[prost(message, optional, tag = "12")]
    quotas: Option<QuotasMessage>,
    /// Messages about releases; none where these are not in use.
    #[prost(message, optional, tag = "11")]
    releases: Option<ReleasesMessage>,
}

impl From<&MemberInfo> for MemberMessage {
    fn from(info: &MemberInfo) -> Self {
        Self {
            ip: info.ip.to_bits(),
            zone: info.zone.to_string(),
            incarnation: info.incarnation,
            beat: info.heartbeat,
            ready: info.ready,
            leaving: info.leaving,
            rate: (info.rate * 10.0) as u32,
            capacity: (info.capacity * 1e3) as u32,
            blind: info.store_failing,
            age: info.age.as_millis() as u32,
            load: (info.load * 1e3) as u32,
            links_lost: info.links_lost,
        }
    }
}

impl MemberMessage {
    /// Converts the message; returns `None` if the zone name is invalid.
    fn info(&self) -> Option<MemberInfo> {
        Some(MemberInfo {
            ip: Ipv4Addr::from_bits(self.ip),
            zone: self.zone.parse().ok()?,
            incarnation: self.incarnation,
            heartbeat: self.beat,
            ready: self.ready,
            leaving: self.leaving,
            rate: f64::from(self.rate) / 10.0,
            capacity: f64::from(self.capacity) / 1e3,
            store_failing: self.blind,
            age: Span::millis(u64::from(self.age)),
            load: f64::from(self.load) / 1e3,
            links_lost: self.links_lost,
        })
    }
}

/// State of the gossip.
#[derive(Debug)]
pub(crate) struct Gossip {
    sock: UdpSocket,
    port: u16,
    next_heartbeat: Instant,
    /// Highest version of the configuration that other hosts have reported.
    reported_config: ConfigVersion,
    /// Highest positions of changes that other hosts have reported, of leaves and evacuations.
    reported: [Position; 2],
    /// Highest position of changes to orders that other hosts have reported.
    reported_orders: Position,
}

impl Gossip {
    pub fn open(settings: &NodeSettings, poll: &Poll, now: Instant) -> Result<Self> {
        let address = SocketAddr::from((settings.ip, settings.peer_port));
        let mut sock = sock::bind_datagram(address)?;
        poll.registry().register(&mut sock, EventSource::Datagrams.token(), Interest::READABLE)?;
        Ok(Self {
            sock,
            port: settings.peer_port,
            next_heartbeat: now,
            reported_config: ConfigVersion(0),
            reported: [Position::default(); 2],
            reported_orders: Position::default(),
        })
    }

    /// Returns the time of the next heartbeat.
    pub fn next_at(&self) -> Instant {
        self.next_heartbeat
    }
}

impl Node {
    pub(crate) fn send_due_heartbeat(&mut self) {
        if self.now < self.gossip.next_heartbeat {
            return;
        }
        if !self.members.has_live_peers(self.now) && self.now.since(self.started) < DISCOVERY_TIME {
            self.gossip.next_heartbeat = self.now + DISCOVERY_INTERVAL;
            let all: Vec<Ipv4Addr> =
                self.members.other_addresses().take(MAX_DISCOVERY_PARTNERS).collect();
            return self.send_heartbeat(&all);
        }
        let is_candidate = self.members.is_candidate(self.now);
        let interval = if is_candidate { HEARTBEAT_INTERVAL } else { STANDBY_HEARTBEAT_INTERVAL };
        let jitter = Span(self.rng.random_range(0..interval.0 / 4));
        self.gossip.next_heartbeat = self.now + interval + jitter;
        let other_zone = is_candidate || self.rng.random_ratio(1, STANDBY_OTHER_ZONE_RATIO);
        let same_zone = if is_candidate { SAME_ZONE_PARTNERS } else { 1 };
        let partners =
            self.members.gossip_partners(same_zone, other_zone.into(), self.now, &mut self.rng);
        self.send_heartbeat(&partners);
    }

    /// Sends a heartbeat with member states to these hosts.
    pub(crate) fn send_heartbeat(&mut self, to: &[Ipv4Addr]) {
        self.members.increment_heartbeat();
        let members = self.members.select_for_gossip(MAX_OTHER_MEMBERS, self.now);
        self.send_members(to, &members);
    }

    /// Tells all live hosts at once of this host's state and of the positions up to which it has the
    /// replicated state; the streams carry the changes.
    pub(crate) fn announce_state(&mut self) {
        let alive: Vec<Ipv4Addr> = self.members.alive(self.now).map(|info| info.ip).collect();
        self.members.increment_heartbeat();
        self.send_members(&alive, &[]);
    }

    fn send_members(&mut self, to: &[Ipv4Addr], members: &[MemberInfo]) {
        self.send_datagram(to, members, None, None, None);
    }

    /// Sends messages about request limits of leaves.
    pub(crate) fn send_limits(&mut self, to: Ipv4Addr, limits: LimitsMessage) {
        self.send_datagram(&[to], &[], Some(limits), None, None);
    }

    /// Sends messages about quotas of accounts.
    pub(crate) fn send_quotas(&mut self, to: Ipv4Addr, quotas: QuotasMessage) {
        self.send_datagram(&[to], &[], None, Some(quotas), None);
    }

    /// Sends messages about releases.
    pub(crate) fn send_releases(&mut self, to: Ipv4Addr, releases: ReleasesMessage) {
        self.send_datagram(&[to], &[], None, None, Some(releases));
    }

    fn send_datagram(
        &mut self,
        to: &[Ipv4Addr],
        members: &[MemberInfo],
        limits: Option<LimitsMessage>,
        quotas: Option<QuotasMessage>,
        releases: Option<ReleasesMessage>,
    ) {
        let orders = self.replicated.orders.changed();
        let releases = releases
            .map(|message| message.with_last_change(orders))
            .or_else(|| self.order_position_message());
        let own = std::iter::once(MemberMessage::from(self.members.own()));
        let [leaves, evacuations] = self.last_changes();
        let links_in_doubt = self.routing.links.is_in_doubt();
        let max_refused = if links_in_doubt { 0 } else { MAX_REFUSED };
        let heartbeat = HeartbeatMessage {
            members: own.chain(members.iter().map(MemberMessage::from)).collect(),
            refused: self.poison.refused(max_refused, self.now).iter().map(|f| f.0).collect(),
            leaves: leaves.revision().0,
            evacuations: evacuations.revision().0,
            limits,
            quotas,
            config_version: self.active_catalog.version().unwrap_or_default().0,
            leaves_era: leaves.era().0,
            evacuations_era: evacuations.era().0,
            news_age: self.origin_selector.news_age(self.now).map(|age| age.as_millis() as u32),
            releases,
        };
        let is_release = heartbeat.releases.as_ref().is_some_and(|m| !m.is_position_only());
        let kind = match (&heartbeat.limits, &heartbeat.quotas) {
            (Some(_), _) => "limits",
            (None, Some(_)) => "quotas",
            (None, None) if is_release => "releases",
            (None, None) => "heartbeat",
        };
        let bytes = heartbeat.encode_to_vec();
        self.metrics.count_datagrams(kind, bytes.len() * to.len());
        for ip in to {
            // A failure has the same effect as the loss of the datagram.
            let _ = self.gossip.sock.send_to(&bytes, (*ip, self.gossip.port).into());
        }
    }

    fn last_changes(&self) -> [Position; 2] {
        [self.replicated.leaves.changed(), self.replicated.evacuations.changed()]
    }

    /// Whether this host has all changes that other hosts have reported.
    pub(crate) fn is_up_to_date(&self) -> bool {
        let state = &self.replicated;
        let upto = [state.leaves.upto(), state.evacuations.upto()];
        self.active_catalog.version().unwrap_or_default() >= self.gossip.reported_config
            && upto.iter().zip(&self.gossip.reported).all(|(upto, reported)| upto >= reported)
            && state.orders.upto() >= self.gossip.reported_orders
    }

    pub(crate) fn on_datagrams(&mut self) {
        let mut buf = [0; MAX_DATAGRAM];
        for _ in 0..DATAGRAMS_PER_TURN {
            match self.gossip.sock.recv_from(&mut buf) {
                Ok((length, from)) => self.on_heartbeat(&buf[..length], from),
                Err(err) if err.kind() == ErrorKind::WouldBlock => return,
                // An earlier datagram from this host was rejected by a closed port.
                Err(_) => {}
            }
        }
        // Has the event queue report the socket again, so that other events come first. If this
        // fails, the next datagram reports it.
        let token = EventSource::Datagrams.token();
        let _ = self.poll.registry().reregister(&mut self.gossip.sock, token, Interest::READABLE);
    }

    fn on_heartbeat(&mut self, bytes: &[u8], from: SocketAddr) {
        let heartbeat = match HeartbeatMessage::decode(bytes) {
            Ok(heartbeat) => heartbeat,
            Err(err) => {
                let fields = json!({ "from": from, "error": err.to_string() });
                self.journal.record("datagram_unreadable", fields, self.now);
                return;
            }
        };
        let Some(sender) = heartbeat.members.first().and_then(MemberMessage::info) else { return };
        let is_new = !self.members.has_heard(sender.ip, sender.incarnation);
        let was_failing = self.members.is_store_failing(sender.ip);
        for info in heartbeat.members.iter().filter_map(MemberMessage::info) {
            let (ip, ready, leaving) = (info.ip, info.ready, info.leaving);
            let links_lost = info.links_lost;
            if self.members.merge(info, self.now) {
                let fields = json!({
                    "ip": ip, "ready": ready, "leaving": leaving, "links_lost": links_lost,
                });
                self.journal.record("member", fields, self.now);
                if links_lost {
                    self.on_other_links_lost();
                }
            }
        }
        if let Some(age) = heartbeat.news_age {
            let age = Span::millis(u64::from(age));
            self.origin_selector.on_news_age(sender.ip, age, self.now);
        }
        // Who watches the store may have changed.
        if self.members.is_store_failing(sender.ip) != was_failing
            || self.origin_selector.is_outdated()
        {
            self.next_sweep = self.now;
        }
        for fingerprint in heartbeat.refused {
            self.poison.add_refused(Fingerprint(fingerprint), self.now);
        }
        let changed = [
            Position::new(StoreEra(heartbeat.leaves_era), Revision(heartbeat.leaves)),
            Position::new(StoreEra(heartbeat.evacuations_era), Revision(heartbeat.evacuations)),
        ];
        for (reported, changed) in self.gossip.reported.iter_mut().zip(changed) {
            *reported = changed.max(*reported);
        }
        if let Some(releases) = &heartbeat.releases
            && self.routing.releases.is_enabled()
        {
            self.gossip.reported_orders = releases.last_change().max(self.gossip.reported_orders);
        }
        let version = ConfigVersion(heartbeat.config_version);
        self.gossip.reported_config = self.gossip.reported_config.max(version);
        if !self.is_up_to_date() {
            self.origin_selector.on_lag(sender.ip, self.now);
        }
        if let Some(limits) = &heartbeat.limits {
            self.on_limit_messages(sender.ip, limits);
        }
        if let Some(quotas) = &heartbeat.quotas {
            self.on_quota_messages(sender.ip, quotas);
        }
        if let Some(releases) = &heartbeat.releases {
            self.on_release_messages(sender.ip, releases);
        }
        if is_new {
            self.send_all_members(sender.ip);
            self.send_known_limits(sender.ip);
        }
    }

    /// Sends all member states to a host that has just started.
    fn send_all_members(&mut self, ip: Ipv4Addr) {
        let members = self.members.heard_members(self.now);
        for chunk in members.chunks(MEMBERS_PER_DATAGRAM) {
            self.send_members(&[ip], chunk);
        }
    }
}
