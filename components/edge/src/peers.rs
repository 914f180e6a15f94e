//! Streams between hosts: who watches the store passes its changes on to those who follow.
//!
//! A follower connects and says up to which revisions it knows everything; the other host answers
//! with what is missing and then sends every change as it learns of it. Frames are JSON behind
//! their length.

use {
    crate::{
        node::{EventSource, Node},
        replicated::ReplicatedState,
        sock::{self, OutBuf, ReadEnd},
    },
    mio::{Interest, net::TcpStream},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::json,
    slab::Slab,
    std::{io::ErrorKind, net::Ipv4Addr},
    wigeonramp_routing::{
        catalog::Catalog,
        changes::{Change, ChangeLog, Update},
        follow::{KEEP_ALIVE, Origin},
    },
    wigeonramp_units::{ConfigVersion, Instant, LeafId, Revision, Span, ZoneId},
};

/// Longest frame in bytes; all leaves and routes of a large installation stay well below it.
const MAX_FRAME: usize = 16 * 1024 * 1024;
/// Length of a frame's length.
const LENGTH_BYTES: usize = 4;
/// Time until the first answer of a host that is followed.
const FIRST_ANSWER: Span = Span::millis(800);

/// What a follower knows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct KnownRevisions {
    config: Option<ConfigVersion>,
    leaves: Revision,
    evacuations: Revision,
}

/// The configuration, as told to a follower.
#[derive(Debug, Deserialize, Serialize)]
struct ConfigUpdate {
    upto: Revision,
    changed: Revision,
    catalog: Catalog,
}

/// What a follower is told.
#[derive(Debug, Default, Deserialize, Serialize)]
struct ReplicationUpdate {
    config: Option<ConfigUpdate>,
    leaves: Option<Update>,
    evacuations: Option<Update>,
}

/// A connection between hosts.
#[derive(Debug)]
struct PeerConn {
    sock: TcpStream,
    inbuf: Vec<u8>,
    out: OutBuf,
    connected: bool,
    /// What the follower on the other side knows; none before it has asked.
    told: Option<KnownRevisions>,
    /// The host that is followed over this connection.
    followed: Option<Ipv4Addr>,
    opened: Instant,
    answered: bool,
    /// When something was sent to the follower last.
    spoke: Instant,
}

/// All connections between this host and others.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    conns: Slab<PeerConn>,
}

fn frame<T: Serialize>(message: &T) -> Result<Vec<u8>, serde_json::Error> {
    let mut bytes = vec![0; LENGTH_BYTES];
    serde_json::to_writer(&mut bytes, message)?;
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(bytes)
}

/// Takes a whole frame from the front of `buf`.
fn take_frame<T: DeserializeOwned>(buf: &mut Vec<u8>) -> Result<Option<T>, String> {
    let Some(length) = buf.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_FRAME {
        return Err("frame too long".to_owned());
    }
    let end = LENGTH_BYTES + length;
    if buf.len() < end {
        return Ok(None);
    }
    let message = serde_json::from_slice(&buf[LENGTH_BYTES..end]).map_err(|err| err.to_string());
    buf.drain(..end);
    message.map(Some)
}

impl Node {
    /// Chooses where changes come from, and opens or ends connections accordingly.
    pub(crate) fn select_origin(&mut self) {
        if self.is_up_to_date() {
            self.origin_selector.caught_up();
        }
        let before = self.origin_selector.origin();
        let fetch = self.origin_selector.decide(&self.members, self.now);
        let origin = self.origin_selector.origin();
        if origin != before {
            let fields =
                json!({ "origin": format!("{origin:?}"), "before": format!("{before:?}") });
            self.journal.record("following", fields, self.now);
        }
        let wanted = match origin {
            Origin::Host(host) => Some(host),
            Origin::Nobody | Origin::Store => fetch,
        };
        self.drop_unwanted(wanted);
        if let Some(host) = wanted {
            self.follow(host);
        }
    }

    fn drop_unwanted(&mut self, wanted: Option<Ipv4Addr>) {
        let is_late =
            |conn: &PeerConn| !conn.answered && self.now.since(conn.opened) >= FIRST_ANSWER;
        let fetching = wanted.is_none() && self.origin_selector.origin() == Origin::Store;
        let over = |conn: &PeerConn| match conn.followed {
            Some(_) if is_late(conn) => true,
            // What was fetched besides the own watch is complete with the first answer.
            Some(_) if fetching => conn.answered,
            Some(host) => Some(host) != wanted,
            None => false,
        };
        let conns = self.peers.conns.iter().filter(|(_, conn)| over(conn));
        let keys: Vec<(usize, bool)> = conns.map(|(key, conn)| (key, is_late(conn))).collect();
        for (key, late) in keys {
            self.drop_peer(key, late);
        }
    }

    fn follow(&mut self, host: Ipv4Addr) {
        if self.peers.conns.iter().any(|(_, conn)| conn.followed == Some(host)) {
            return;
        }
        let opened = sock::connect((host, self.settings.peer_port).into());
        let Ok(sock) = opened else { return self.origin_selector.failed(host, self.now) };
        self.add_peer(sock, Some(host));
    }

    fn add_peer(&mut self, mut sock: TcpStream, followed: Option<Ipv4Addr>) {
        let entry = self.peers.conns.vacant_entry();
        let token = EventSource::Peer(entry.key()).token();
        let both = Interest::READABLE | Interest::WRITABLE;
        let added = self.poll.registry().register(&mut sock, token, both);
        if added.and_then(|()| sock::enable_keep_alive(&sock)).is_err() {
            return;
        }
        entry.insert(PeerConn {
            sock,
            inbuf: Vec::new(),
            out: OutBuf::default(),
            connected: followed.is_none(),
            told: None,
            followed,
            opened: self.now,
            answered: false,
            spoke: self.now,
        });
    }

    pub(crate) fn accept_peers(&mut self) {
        loop {
            match self.peer_listener.accept() {
                Ok((sock, _)) => self.add_peer(sock, None),
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => {
                    if err.kind() != ErrorKind::WouldBlock {
                        let fields = json!({ "error": err.to_string() });
                        self.journal.record("accept_failed", fields, self.now);
                    }
                    return;
                }
            }
        }
    }

    fn drop_peer(&mut self, key: usize, failed: bool) {
        let Some(mut conn) = self.peers.conns.try_remove(key) else { return };
        // A closed socket leaves the queue by itself.
        let _ = self.poll.registry().deregister(&mut conn.sock);
        if let Some(host) = conn.followed.filter(|_| failed) {
            self.origin_selector.failed(host, self.now);
        }
    }

    pub(crate) fn on_peer(&mut self, key: usize) {
        let ask = self.ask();
        let Some(conn) = self.peers.conns.get_mut(key) else { return };
        if !conn.connected {
            match (sock::is_connected(&conn.sock), frame(&ask)) {
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
        let limit = MAX_FRAME + LENGTH_BYTES;
        let before = conn.inbuf.len();
        let end = sock::read(&mut conn.sock, &mut conn.inbuf, &mut self.scratch, limit);
        if let Some(host) = conn.followed.filter(|_| conn.inbuf.len() > before) {
            self.origin_selector.heard(host, self.now);
        }
        let sound = self.read_frames(key);
        if !sound || end != ReadEnd::Drained {
            self.drop_peer(key, true);
        }
    }

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

    /// Takes one frame in; false when there is none.
    fn read_one_frame(&mut self, key: usize) -> Result<bool, String> {
        let Some(conn) = self.peers.conns.get_mut(key) else { return Ok(false) };
        if conn.followed.is_some() {
            let Some(news) = take_frame::<ReplicationUpdate>(&mut conn.inbuf)? else {
                return Ok(false);
            };
            conn.answered = true;
            self.apply_replication_update(news);
            return Ok(true);
        }
        let Some(ask) = take_frame::<KnownRevisions>(&mut conn.inbuf)? else { return Ok(false) };
        conn.told = Some(ask);
        self.tell(key, true);
        Ok(true)
    }

    fn ask(&self) -> KnownRevisions {
        KnownRevisions {
            config: self.active_catalog.version(),
            leaves: self.replicated.leaves.upto(),
            evacuations: self.replicated.evacuations.upto(),
        }
    }

    /// Tells all followers what has changed since they were told last.
    pub(crate) fn update_followers(&mut self) {
        let keys: Vec<usize> = self.peers.conns.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.tell(key, false);
        }
    }

    fn tell(&mut self, key: usize, first: bool) {
        let now_known = self.ask();
        let Some(told) = self.peers.conns.get(key).and_then(|conn| conn.told) else { return };
        if told == now_known && !first {
            return;
        }
        let news = self.update_since(&told);
        let nothing = news.config.is_none() && news.leaves.is_none() && news.evacuations.is_none();
        let Some(conn) = self.peers.conns.get_mut(key) else { return };
        conn.told = Some(now_known);
        if !nothing || first {
            self.send_update(key, &news);
        }
    }

    fn send_update(&mut self, key: usize, news: &ReplicationUpdate) {
        let Some(conn) = self.peers.conns.get_mut(key) else { return };
        conn.spoke = self.now;
        match frame(news) {
            Ok(bytes) => conn.out.push(bytes),
            Err(err) => {
                let fields = json!({ "error": err.to_string() });
                self.journal.record("news_unwritable", fields, self.now);
                return;
            }
        }
        if conn.out.flush(&mut conn.sock).is_err() {
            self.drop_peer(key, false);
        }
    }

    /// Lets followers that were told nothing for a while know that this host is there.
    pub(crate) fn send_keep_alives(&mut self) {
        let waits = |conn: &PeerConn| {
            conn.told.is_some() && conn.out.is_empty() && self.now.since(conn.spoke) >= KEEP_ALIVE
        };
        let conns = self.peers.conns.iter().filter(|(_, conn)| waits(conn));
        let keys: Vec<usize> = conns.map(|(key, _)| key).collect();
        for key in keys {
            self.send_update(key, &ReplicationUpdate::default());
        }
    }

    fn update_since(&self, told: &KnownRevisions) -> ReplicationUpdate {
        let catalog = self.active_catalog.current().filter(|c| Some(c.version) > told.config);
        let config = catalog.map(|catalog| ConfigUpdate {
            upto: self.replicated.config_upto,
            changed: self.replicated.config_changed,
            catalog: catalog.as_ref().clone(),
        });
        let leaves = match self.replicated.leaves.since(told.leaves) {
            Some(update) => Some(update),
            None if self.replicated.leaves.upto() > told.leaves => Some(self.all_leaves()),
            None => None,
        };
        let evacuations = match self.replicated.evacuations.since(told.evacuations) {
            Some(update) => Some(update),
            None if self.replicated.evacuations.upto() > told.evacuations => Some(self.all_zones()),
            None => None,
        };
        let newer = |update: &Update, known: Revision| update.upto > known;
        ReplicationUpdate {
            config,
            leaves: leaves.filter(|update| newer(update, told.leaves)),
            evacuations: evacuations.filter(|update| newer(update, told.evacuations)),
        }
    }

    fn all_leaves(&self) -> Update {
        let log = &self.replicated.leaves;
        let leaves = self.routing.leaves.entries(self.now).map(Change::Leaf).collect();
        Update { whole: true, upto: log.upto(), changed: log.changed(), changes: leaves }
    }

    fn all_zones(&self) -> Update {
        let log = &self.replicated.evacuations;
        let zone = |zone: &ZoneId| Change::Evacuation { zone: zone.clone(), out: true };
        let zones = self.routing.leaves.evacuated().map(zone).collect();
        Update { whole: true, upto: log.upto(), changed: log.changed(), changes: zones }
    }

    fn apply_replication_update(&mut self, news: ReplicationUpdate) {
        if let Some(config) = news.config {
            self.replicated.config_upto = self.replicated.config_upto.max(config.upto);
            self.replicated.config_changed = self.replicated.config_changed.max(config.changed);
            self.adopt(config.catalog, "host");
            self.replicated.unsent_changes = true;
        }
        if let Some(update) = news.leaves {
            self.take_leaves(update);
        }
        if let Some(update) = news.evacuations {
            self.take_zones(update);
        }
    }

    fn take_leaves(&mut self, update: Update) {
        let named = |id: &LeafId| {
            update.changes.iter().any(|c| matches!(c, Change::Leaf(entry) if entry.id == *id))
        };
        let gone = self.routing.leaves.ids().filter(|id| !named(id)).cloned();
        let gone = gone.map(|id| Change::LeafGone { id, grace: Span::ZERO }).collect();
        self.take_update(&update, gone, |known| &mut known.leaves);
    }

    fn take_zones(&mut self, update: Update) {
        let named = |zone: &ZoneId| {
            let is = |c: &Change| matches!(c, Change::Evacuation { zone: z, .. } if z == zone);
            update.changes.iter().any(is)
        };
        let back = self.routing.leaves.evacuated().filter(|zone| !named(zone)).cloned();
        let back = back.map(|zone| Change::Evacuation { zone, out: false }).collect();
        self.take_update(&update, back, |known| &mut known.evacuations);
    }

    /// Takes in what another host knows of one kind of object; `unnamed` undoes the objects that the
    /// update does not name, for an update that names all.
    fn take_update(
        &mut self,
        update: &Update,
        unnamed: Vec<Change>,
        log: fn(&mut ReplicatedState) -> &mut ChangeLog,
    ) {
        if update.upto <= log(&mut self.replicated).upto() {
            return;
        }
        for change in unnamed.iter().filter(|_| update.whole).chain(&update.changes) {
            self.apply(change);
        }
        let log = log(&mut self.replicated);
        if update.whole {
            log.restart(update.upto, update.changed);
        } else {
            log.extend(update.upto, &update.changes);
        }
        self.replicated.unsent_changes = true;
    }
}
