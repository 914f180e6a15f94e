//! Replication streams between hosts: a host that watches the store sends the changes to its
//! followers.
//!
//! A follower connects and sends the positions up to which it has the replicated state. The other
//! host responds with the missing changes and then sends every further change as it receives it.
//! Frames are JSON with a length prefix.

mod accepting;
mod frames;
mod updates;

use {
    crate::{
        node::{EventSource, Node},
        sock::{self, OutBuf, ReadEnd},
    },
    frames::{LENGTH_BYTES, encode_frame, take_frame},
    mio::{Interest, net::TcpStream},
    serde::{Deserialize, Serialize},
    serde_json::json,
    slab::Slab,
    std::net::Ipv4Addr,
    wigeonramp_routing::{
        catalog::Catalog,
        changes::Update,
        follow::{KEEP_ALIVE, Origin},
        position::Position,
    },
    wigeonramp_units::{ConfigVersion, Instant, Span},
};

/// Maximum length of a frame in bytes; all leaves and routes of a large installation stay well
/// below it.
const MAX_FRAME: usize = 16 * 1024 * 1024;
/// Maximum length of the frame with which a follower begins. Anybody may connect, so it is short.
const MAX_FOLLOWER_FRAME: usize = 4 * 1024;
/// Minimum progress of the news, and time since the last frame, with which followers are told of it
/// before the next keepalive.
const MIN_NEWS_STEP: Span = Span::millis(100);
/// Timeout of the first update from a followed host.
const FIRST_UPDATE_TIMEOUT: Span = Span::millis(800);

/// Positions up to which a follower has the replicated state; the first frame on a stream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct KnownPositions {
    config: Option<ConfigVersion>,
    leaves: Position,
    evacuations: Position,
    /// Left out where releases are not in use.
    #[serde(default, skip_serializing_if = "is_unknown")]
    orders: Position,
}

fn is_unknown(position: &Position) -> bool {
    !position.is_known()
}

/// The configuration in an update.
#[derive(Debug, Deserialize, Serialize)]
struct ConfigUpdate {
    upto: Position,
    /// Not used; hosts of earlier versions expect it.
    changed: Position,
    catalog: Catalog,
}

/// Changes sent to a follower; without any, the frame is a keepalive.
#[derive(Debug, Default, Deserialize, Serialize)]
struct ReplicationUpdate {
    /// Age of the sender's news; none if it has none. Hosts of earlier versions do not send it.
    #[serde(default = "no_age")]
    age: Option<Span>,
    #[serde(skip_serializing_if = "Option::is_none")]
    config: Option<ConfigUpdate>,
    #[serde(skip_serializing_if = "Option::is_none")]
    leaves: Option<Update>,
    #[serde(skip_serializing_if = "Option::is_none")]
    evacuations: Option<Update>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    orders: Option<Update>,
}

const fn no_age() -> Option<Span> {
    Some(Span::ZERO)
}

/// A replication stream.
#[derive(Debug)]
struct PeerConn {
    sock: TcpStream,
    inbuf: Vec<u8>,
    out: OutBuf,
    connected: bool,
    /// Positions that the follower at the other end has; `None` before its first frame, and if this
    /// host is the follower.
    follower: Option<KnownPositions>,
    /// The host that this host follows over the stream.
    followed: Option<Ipv4Addr>,
    opened: Instant,
    /// Whether the followed host has sent an update.
    has_update: bool,
    /// Time at which a frame was last sent to the follower.
    last_sent: Instant,
}

/// All replication streams of this host.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    conns: Slab<PeerConn>,
    /// Whether streams may wait to be accepted.
    awaits_accept: bool,
}

impl Peers {
    /// Returns the number of open streams.
    pub fn conn_count(&self) -> usize {
        self.conns.len()
    }
}

impl PeerConn {
    /// Returns the maximum length of the next frame.
    fn max_frame(&self) -> usize {
        if self.followed.is_some() { MAX_FRAME } else { MAX_FOLLOWER_FRAME }
    }

    /// Whether the other end connected and has not said yet which changes it has.
    fn is_unknown(&self) -> bool {
        self.followed.is_none() && self.follower.is_none()
    }
}

impl Node {
    /// Selects the origin of changes, and opens and closes streams accordingly.
    pub(crate) fn select_origin(&mut self) {
        if self.is_up_to_date() {
            self.origin_selector.on_caught_up();
        }
        let before = self.origin_selector.origin();
        let was_outdated = self.origin_selector.is_outdated();
        let fetch_from = self.origin_selector.select(&self.members, self.now);
        let origin = self.origin_selector.origin();
        if !was_outdated && self.origin_selector.is_outdated() {
            let age = self.origin_selector.news_age(self.now).map(|age| age.0);
            let fields = json!({ "origin": format!("{before:?}"), "age_us": age });
            self.journal.record("news_outdated", fields, self.now);
        }
        if origin != before {
            let fields =
                json!({ "origin": format!("{origin:?}"), "before": format!("{before:?}") });
            self.journal.record("following", fields, self.now);
        }
        let host_to_follow = match origin {
            Origin::Host(host) => Some(host),
            Origin::Nobody | Origin::Store => fetch_from,
        };
        self.drop_streams(host_to_follow);
        if let Some(host) = host_to_follow {
            self.follow(host);
        }
    }

    /// Closes the streams that timed out, and those to followed hosts other than `host_to_follow`.
    fn drop_streams(&mut self, host_to_follow: Option<Ipv4Addr>) {
        let is_timed_out = |conn: &PeerConn| {
            !conn.has_update && self.now.since(conn.opened) >= FIRST_UPDATE_TIMEOUT
        };
        // While this host watches the store itself, a stream serves for a single fetch, which is
        // complete with the first update.
        let is_single_fetch =
            host_to_follow.is_none() && self.origin_selector.origin() == Origin::Store;
        let is_unneeded = |conn: &PeerConn| match conn.followed {
            Some(_) if is_timed_out(conn) => true,
            Some(_) if is_single_fetch => conn.has_update,
            Some(host) => Some(host) != host_to_follow,
            None => false,
        };
        let conns = self.peers.conns.iter().filter(|(_, conn)| is_unneeded(conn));
        let keys: Vec<(usize, bool)> = conns.map(|(key, conn)| (key, is_timed_out(conn))).collect();
        for (key, timed_out) in keys {
            self.drop_peer(key, timed_out);
        }
    }

    fn follow(&mut self, host: Ipv4Addr) {
        if self.peers.conns.iter().any(|(_, conn)| conn.followed == Some(host)) {
            return;
        }
        let opened = sock::connect((host, self.settings.peer_port).into());
        let Ok(sock) = opened else { return self.origin_selector.on_failure(host, self.now) };
        self.add_peer(sock, Some(host));
    }

    fn add_peer(&mut self, mut sock: TcpStream, followed: Option<Ipv4Addr>) {
        let entry = self.peers.conns.vacant_entry();
        let token = EventSource::Peer(entry.key()).token();
        let both = Interest::READABLE | Interest::WRITABLE;
        let registered = self.poll.registry().register(&mut sock, token, both);
        if registered.and_then(|()| sock::enable_keepalive(&sock)).is_err() {
            return;
        }
        entry.insert(PeerConn {
            sock,
            inbuf: Vec::new(),
            out: OutBuf::default(),
            connected: followed.is_none(),
            follower: None,
            followed,
            opened: self.now,
            has_update: false,
            last_sent: self.now,
        });
    }

    fn drop_peer(&mut self, key: usize, failed: bool) {
        let Some(mut conn) = self.peers.conns.try_remove(key) else { return };
        // Closing the socket removes it from the event queue anyway.
        let _ = self.poll.registry().deregister(&mut conn.sock);
        if let Some(host) = conn.followed.filter(|_| failed) {
            self.origin_selector.on_failure(host, self.now);
        }
    }

    pub(crate) fn on_peer(&mut self, key: usize) {
        let positions = self.known_positions();
        let Some(conn) = self.peers.conns.get_mut(key) else { return };
        if !conn.connected {
            match (sock::is_connected(&conn.sock), encode_frame(&positions)) {
                (Ok(true), Ok(bytes)) => {
                    conn.connected = true;
                    conn.out.push(bytes);
                }
                (Ok(false), _) => return,
                (Err(_), _) | (_, Err(_)) => return self.drop_peer(key, true),
            }
        }
        if conn.out.flush(&mut conn.sock).is_err() {
            return self.drop_peer(key, true);
        }
        loop {
            let Some(conn) = self.peers.conns.get_mut(key) else { return };
            let limit = conn.max_frame() + LENGTH_BYTES;
            let before = conn.inbuf.len();
            let end = sock::read(&mut conn.sock, &mut conn.inbuf, &mut self.scratch, limit);
            if let Some(host) = conn.followed.filter(|_| conn.inbuf.len() > before) {
                self.origin_selector.on_data(host, self.now);
            }
            let valid = self.read_frames(key);
            match end {
                _ if !valid => return self.drop_peer(key, true),
                ReadEnd::Full => {}
                ReadEnd::Drained => return,
                ReadEnd::Closed | ReadEnd::Broken => return self.drop_peer(key, true),
            }
        }
    }

    /// Handles all complete frames; returns false if one is invalid.
    fn read_frames(&mut self, key: usize) -> bool {
        loop {
            match self.read_one_frame(key) {
                Ok(true) => {}
                Ok(false) => return true,
                Err(err) => {
                    self.journal.record("frame_unreadable", json!({ "error": err }), self.now);
                    return false;
                }
            }
        }
    }

    /// Handles the next frame; returns false if none is complete.
    fn read_one_frame(&mut self, key: usize) -> Result<bool, String> {
        let Some(conn) = self.peers.conns.get_mut(key) else { return Ok(false) };
        let max = conn.max_frame();
        if conn.followed.is_some() {
            let Some(update) = take_frame::<ReplicationUpdate>(&mut conn.inbuf, max)? else {
                return Ok(false);
            };
            conn.has_update = true;
            let current_until = update.age.map(|age| self.now - age);
            self.apply_replication_update(update);
            if let Some(until) = current_until {
                self.on_news_current(until);
            }
            return Ok(true);
        }
        let Some(positions) = take_frame::<KnownPositions>(&mut conn.inbuf, max)? else {
            return Ok(false);
        };
        conn.follower = Some(positions);
        self.update_follower(key, true);
        Ok(true)
    }

    fn known_positions(&self) -> KnownPositions {
        KnownPositions {
            config: self.active_catalog.version(),
            leaves: self.replicated.leaves.upto(),
            evacuations: self.replicated.evacuations.upto(),
            orders: self.replicated.orders.upto(),
        }
    }

    /// Sends all followers the changes since their last update.
    pub(crate) fn update_followers(&mut self) {
        let keys: Vec<usize> = self.peers.conns.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.update_follower(key, false);
        }
    }

    /// Sends a follower the changes since its last update; the first update is sent even if it is
    /// empty.
    fn update_follower(&mut self, key: usize, first: bool) {
        let current = self.known_positions();
        let conn = self.peers.conns.get(key);
        let Some(follower) = conn.and_then(|conn| conn.follower) else { return };
        if follower == current && !first {
            return;
        }
        let update = self.update_since(&follower);
        let is_empty = update.config.is_none()
            && update.leaves.is_none()
            && update.evacuations.is_none()
            && update.orders.is_none();
        let Some(conn) = self.peers.conns.get_mut(key) else { return };
        conn.follower = Some(current);
        if !is_empty || first {
            self.send_update(key, update);
        }
    }

    fn send_update(&mut self, key: usize, mut update: ReplicationUpdate) {
        let Some(conn) = self.peers.conns.get_mut(key) else { return };
        conn.last_sent = self.now;
        update.age = self.origin_selector.news_age(self.now);
        match encode_frame(&update) {
            Ok(bytes) => conn.out.push(bytes),
            Err(err) => {
                let fields = json!({ "error": err.to_string() });
                self.journal.record("news_unwritable", fields, self.now);
                return;
            }
        }
        // A follower that reads nothing would otherwise collect all changes.
        if conn.out.flush(&mut conn.sock).is_err() || conn.out.unwritten() > MAX_FRAME {
            self.drop_peer(key, false);
        }
    }

    /// Sends a keepalive to followers that have not been sent a frame for `KEEP_ALIVE`.
    pub(crate) fn send_keepalives(&mut self) {
        self.sweep_accepted_peers();
        self.send_keepalives_after(KEEP_ALIVE);
    }

    fn send_keepalives_after(&mut self, interval: Span) {
        let is_due = |conn: &PeerConn| {
            conn.follower.is_some()
                && conn.out.is_empty()
                && self.now.since(conn.last_sent) >= interval
        };
        let conns = self.peers.conns.iter().filter(|(_, conn)| is_due(conn));
        let keys: Vec<usize> = conns.map(|(key, _)| key).collect();
        for key in keys {
            self.send_update(key, ReplicationUpdate::default());
        }
    }

    /// Records that all changes that the store acknowledged before `until` have been received, and
    /// tells the followers, whose news is as old as this host's. If the news was out of date, a
    /// host that watches the store tells all others, so that they can follow it.
    pub(crate) fn on_news_current(&mut self, until: Instant) {
        let before = self.origin_selector.current_until();
        if self.origin_selector.on_current(until, self.now) {
            let fields = json!({ "age_us": self.now.since(until).0 });
            self.journal.record("news_current", fields, self.now);
            if self.origin_selector.origin() == Origin::Store {
                self.announce_state();
            }
        }
        if before.is_none_or(|before| until.since(before) >= MIN_NEWS_STEP) {
            self.send_keepalives_after(MIN_NEWS_STEP);
        }
    }
}
