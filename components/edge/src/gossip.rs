//! Datagrams between the hosts.

use {
    crate::{
        node::{EventSource, Node},
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
    wigeonramp_routing::members::MemberInfo,
    wigeonramp_units::{Fingerprint, Instant, Revision, Span},
};

/// Time between beats of a host whose loss must be known soon.
const HEARTBEAT_INTERVAL: Span = Span::millis(700);
/// Time between beats of the others.
const STANDBY_HEARTBEAT_INTERVAL: Span = Span::millis(1_400);
/// Hosts of the own zone that a beat goes to; one more goes to another zone.
const NEAR_PARTNERS: usize = 2;
/// One of so many beats of a host on standby goes to another zone too.
const STANDBY_FAR: u32 = 4;
/// Time after the start in which a host that hears nobody beats faster.
const SEARCHING: Span = Span::secs(10);
/// Time between its beats then.
const SEARCH_EVERY: Span = Span::millis(150);
/// Hosts that each of them goes to.
const MAX_SEARCHED: usize = 8;
/// Hosts that a beat tells of besides those that come first for callers.
const MORE_NEWS: usize = 6;
/// Hosts told of in one datagram to a new host; keeps it below the usual packet size.
const MEMBERS_PER_DATAGRAM: usize = 24;
/// Refused requests that a beat tells of.
const MAX_REFUSED: usize = 16;
/// Longest datagram in bytes.
const MAX_DATAGRAM: usize = 8 * 1024;

/// One host, as told to another.
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
    /// Requests in ten seconds.
    #[prost(uint32, tag = "7")]
    rate: u32,
    /// Thousandths of a processor core.
    #[prost(uint32, tag = "8")]
    capacity: u32,
    #[prost(bool, tag = "9")]
    blind: bool,
    /// Milliseconds since the last beat.
    #[prost(uint32, tag = "10")]
    age: u32,
    /// Thousandths of a processor core that sends take.
    #[prost(uint32, tag = "11")]
    load: u32,
}

/// A beat.
#[derive(Clone, PartialEq, prost::Message)]
struct HeartbeatMessage {
    /// The sender first.
    #[prost(message, repeated, tag = "1")]
    members: Vec<MemberMessage>,
    #[prost(fixed64, repeated, tag = "2")]
    refused: Vec<u64>,
    /// Revisions of the last changes that the sender knows.
    #[prost(uint64, tag = "3")]
    config: u64,
    #[prost(uint64, tag = "4")]
    leaves: u64,
    #[prost(uint64, tag = "5")]
    evacuations: u64,
}

impl From<&MemberInfo> for MemberMessage {
    fn from(info: &MemberInfo) -> Self {
        Self {
            ip: info.ip.to_bits(),
            zone: info.zone.to_string(),
            incarnation: info.incarnation,
            beat: info.beat,
            ready: info.ready,
            leaving: info.leaving,
            rate: (info.rate * 10.0) as u32,
            capacity: (info.capacity * 1e3) as u32,
            blind: info.blind,
            age: info.age.as_millis() as u32,
            load: (info.load * 1e3) as u32,
        }
    }
}

impl MemberMessage {
    /// None when the zone is not a name.
    fn info(&self) -> Option<MemberInfo> {
        Some(MemberInfo {
            ip: Ipv4Addr::from_bits(self.ip),
            zone: self.zone.parse().ok()?,
            incarnation: self.incarnation,
            beat: self.beat,
            ready: self.ready,
            leaving: self.leaving,
            rate: f64::from(self.rate) / 10.0,
            capacity: f64::from(self.capacity) / 1e3,
            blind: self.blind,
            age: Span::millis(u64::from(self.age)),
            load: f64::from(self.load) / 1e3,
        })
    }
}

/// The host's side of the datagrams.
#[derive(Debug)]
pub(crate) struct Gossip {
    sock: UdpSocket,
    port: u16,
    next: Instant,
    /// Newest changes that other hosts know of: of configuration, leaves, evacuations.
    heard: [Revision; 3],
}

impl Gossip {
    pub fn open(settings: &NodeSettings, poll: &Poll, now: Instant) -> Result<Self> {
        let address = SocketAddr::from((settings.ip, settings.peer_port));
        let mut sock = sock::bind_datagram(address)?;
        poll.registry().register(&mut sock, EventSource::Datagrams.token(), Interest::READABLE)?;
        Ok(Self { sock, port: settings.peer_port, next: now, heard: [Revision(0); 3] })
    }

    /// When the next beat is due.
    pub fn next_at(&self) -> Instant {
        self.next
    }
}

impl Node {
    pub(crate) fn drive_gossip(&mut self) {
        if self.now < self.gossip.next {
            return;
        }
        if !self.members.hears_others(self.now) && self.now.since(self.started) < SEARCHING {
            self.gossip.next = self.now + SEARCH_EVERY;
            let all: Vec<Ipv4Addr> = self.members.all().take(MAX_SEARCHED).collect();
            return self.send_heartbeat(&all);
        }
        let candidate = self.members.is_candidate(self.now);
        let every = if candidate { HEARTBEAT_INTERVAL } else { STANDBY_HEARTBEAT_INTERVAL };
        let jitter = Span(self.rng.random_range(0..every.0 / 4));
        self.gossip.next = self.now + every + jitter;
        let far = candidate || self.rng.random_ratio(1, STANDBY_FAR);
        let near = if candidate { NEAR_PARTNERS } else { 1 };
        let partners = self.members.partners(near, far.into(), self.now, &mut self.rng);
        self.send_heartbeat(&partners);
    }

    /// Tells these hosts what this one knows.
    pub(crate) fn send_heartbeat(&mut self, to: &[Ipv4Addr]) {
        self.members.beat();
        let news = self.members.news(MORE_NEWS, self.now);
        self.send_members(to, &news);
    }

    /// Tells all living hosts that something has changed; the changes follow on the streams.
    pub(crate) fn announce_changes(&mut self) {
        let alive: Vec<Ipv4Addr> = self.members.alive(self.now).map(|info| info.ip).collect();
        self.members.beat();
        self.send_members(&alive, &[]);
    }

    fn send_members(&mut self, to: &[Ipv4Addr], news: &[MemberInfo]) {
        let own = std::iter::once(MemberMessage::from(self.members.own()));
        let [config, leaves, evacuations] = self.own_changes();
        let beat = HeartbeatMessage {
            members: own.chain(news.iter().map(MemberMessage::from)).collect(),
            refused: self.poison.refused(MAX_REFUSED, self.now).iter().map(|f| f.0).collect(),
            config: config.0,
            leaves: leaves.0,
            evacuations: evacuations.0,
        };
        let bytes = beat.encode_to_vec();
        for ip in to {
            // A datagram that cannot be sent is like one that is lost.
            let _ = self.gossip.sock.send_to(&bytes, (*ip, self.gossip.port).into());
        }
    }

    fn own_changes(&self) -> [Revision; 3] {
        let known = &self.replicated;
        [known.config_changed, known.leaves.changed(), known.evacuations.changed()]
    }

    /// Whether this host knows all changes that it heard of.
    pub(crate) fn is_up_to_date(&self) -> bool {
        let known = &self.replicated;
        let own = [known.config_upto, known.leaves.upto(), known.evacuations.upto()];
        own.iter().zip(&self.gossip.heard).all(|(own, heard)| own >= heard)
    }

    pub(crate) fn on_datagrams(&mut self) {
        let mut buf = [0; MAX_DATAGRAM];
        loop {
            match self.gossip.sock.recv_from(&mut buf) {
                Ok((length, from)) => self.on_heartbeat(&buf[..length], from),
                Err(err) if err.kind() == ErrorKind::WouldBlock => return,
                // An earlier datagram of ours met a closed port.
                Err(_) => {}
            }
        }
    }

    fn on_heartbeat(&mut self, bytes: &[u8], from: SocketAddr) {
        let beat = match HeartbeatMessage::decode(bytes) {
            Ok(beat) => beat,
            Err(err) => {
                let fields = json!({ "from": from, "error": err.to_string() });
                self.journal.record("datagram_unreadable", fields, self.now);
                return;
            }
        };
        let Some(sender) = beat.members.first().and_then(MemberMessage::info) else { return };
        let is_new = !self.members.knows(sender.ip, sender.incarnation);
        for info in beat.members.iter().filter_map(MemberMessage::info) {
            let (ip, ready, leaving) = (info.ip, info.ready, info.leaving);
            if self.members.told(info, self.now) {
                let fields = json!({ "ip": ip, "ready": ready, "leaving": leaving });
                self.journal.record("member", fields, self.now);
            }
        }
        for print in beat.refused {
            self.poison.told(Fingerprint(print), self.now);
        }
        let told = [beat.config, beat.leaves, beat.evacuations].map(Revision);
        for (heard, told) in self.gossip.heard.iter_mut().zip(told) {
            *heard = told.max(*heard);
        }
        if !self.is_up_to_date() {
            self.origin_selector.behind(sender.ip, self.now);
        }
        if is_new {
            self.send_all_members(sender.ip);
        }
    }

    /// Tells a host that has just started of all others.
    fn send_all_members(&mut self, ip: Ipv4Addr) {
        let everything = self.members.everything(self.now);
        for part in everything.chunks(MEMBERS_PER_DATAGRAM) {
            self.send_members(&[ip], part);
        }
    }
}
