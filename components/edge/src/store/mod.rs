//! Client of the platform's object store, from which hosts get the configuration, the leaf
//! registrations, the evacuated zones and the member list.
//!
//! Only some hosts watch the store; they pass the changes on to the others. Such a host lists
//! configuration, leaves and evacuations and then watches them for changes, each on a separate
//! connection. It also registers itself in the member list and probes the store. A host without
//! live peers reads the member list to find some.

mod calls;
mod contents;
mod ignored;
mod outcomes;

use {
    crate::{
        body::BodyReader,
        node::Node,
        sock::{self, OutBuf, ReadEnd},
    },
    ignored::IgnoredObjects,
    mio::net::TcpStream,
    std::net::SocketAddr,
    wigeonramp_platform::{
        http::{self, ResponseHead, ResponseKind},
        objects::ObjectKind,
    },
    wigeonramp_routing::{
        list_watch::{ListWatch, ListWatchCall},
        position::Position,
        releases::status::StatusWrite,
        store_health::StoreHealth,
    },
    wigeonramp_units::{Instant, StoreEra},
};

/// Maximum length of a response in bytes; a page is about one megabyte at most.
const MAX_RESPONSE: u64 = 8 * 1024 * 1024;
/// Number of bytes that are read before they are decoded; heads are shorter.
const READ_AHEAD: usize = 64 * 1024;

/// Purpose of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
enum CallPurpose {
    ListWatch(ListWatchCall),
    Register,
    /// Writes the status of a release.
    Status(StatusWrite),
    /// A poll that shows whether the watch on another connection has missed a change.
    Probe {
        /// Index of the connection with the watch.
        watch: usize,
    },
}

impl CallPurpose {
    /// Whether the response is of use only in the era in which an earlier call was answered.
    fn continues_earlier_call(&self) -> bool {
        use ListWatchCall::{List, Poll, Watch};
        let continues =
            matches!(self, Self::ListWatch(List { after: Some(_) } | Poll { .. } | Watch { .. }));
        continues || matches!(self, Self::Probe { .. })
    }
}

/// A call whose response is pending.
#[derive(Debug)]
struct Call {
    purpose: CallPurpose,
    started: Instant,
    deadline: Instant,
}

/// A connection to the store, which carries the calls for one kind of object. The connection for
/// [`ObjectKind::Members`] also carries probes, the registration and the statuses of releases.
#[derive(Debug)]
struct StoreConn {
    kind: ObjectKind,
    /// Decides which list or watch is due, and when to retry after failures. For
    /// [`ObjectKind::Members`], only its backoff counts, which delays every call, and whether the
    /// last call was answered.
    list_watch: ListWatch,
    sock: Option<TcpStream>,
    connected: bool,
    out: OutBuf,
    inbuf: Vec<u8>,
    /// Response whose body is still incomplete.
    response: Option<(ResponseHead, BodyReader)>,
    call: Option<Call>,
    /// Position of the last change to any listed object. That of the list itself may be higher.
    last_change: Position,
}

/// Client of the store.
#[derive(Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    conns: Vec<StoreConn>,
    /// Whether this host has registered itself in the member list, or cannot.
    registered: bool,
    next_registration: Instant,
    next_member_list: Instant,
    health: StoreHealth,
    ignored: IgnoredObjects,
    /// Latest known era of the store; zero before the first response.
    era: StoreEra,
    /// Time of the first failed call of the current outage; `None` while the store answers.
    unavailable_since: Option<Instant>,
}

impl StoreClient {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr, has_releases: bool, now: Instant) -> Self {
        let conn = |kind: &ObjectKind| StoreConn {
            kind: *kind,
            list_watch: ListWatch::new(now),
            sock: None,
            connected: false,
            out: OutBuf::default(),
            inbuf: Vec::new(),
            response: None,
            call: None,
            last_change: Position::default(),
        };
        let is_used = |kind: &&ObjectKind| **kind != ObjectKind::Rollouts || has_releases;
        let conns = ObjectKind::ALL.iter().filter(is_used).map(conn).collect();
        Self {
            address,
            conns,
            registered: false,
            next_registration: now,
            next_member_list: now,
            health: StoreHealth::new(now),
            ignored: IgnoredObjects::default(),
            era: StoreEra(0),
            unavailable_since: None,
        }
    }

    /// Whether the store fails for this host, so that another one has to watch it.
    pub fn is_failing(&self) -> bool {
        self.health.is_failing()
    }

    /// Returns the time before which all acknowledged changes have been received, as the calls to
    /// the store show.
    fn current_until(&self) -> Option<Instant> {
        let is_watched = |conn: &&StoreConn| conn.kind != ObjectKind::Members;
        let watched = self.conns.iter().filter(is_watched);
        let kinds: Vec<&ListWatch> = watched.map(|conn| &conn.list_watch).collect();
        self.health.current_until(&kinds)
    }

    /// Returns the latest known era of the store.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns the time at which the next call is due or a pending one times out. Lists and watches
    /// count only if `watches_store` is set.
    pub fn next_at(&self, watches_store: bool) -> Option<Instant> {
        let due = self.conns.iter().filter_map(|conn| match &conn.call {
            Some(call) => Some(call.deadline),
            None if conn.kind == ObjectKind::Members => {
                let probe = self.health.next_probe()?;
                conn.list_watch.next_at().map(|at| at.max(probe))
            }
            None if !watches_store => None,
            None => conn.list_watch.next_at(),
        });
        due.min()
    }
}

impl Node {
    /// Handles an event of the socket of connection `index`.
    pub(crate) fn on_store(&mut self, index: usize) {
        let Some(conn) = self.store.conns.get_mut(index) else { return };
        let Some(sock) = &mut conn.sock else { return };
        if !conn.connected {
            match sock::is_connected(sock) {
                Ok(true) => conn.connected = true,
                Ok(false) => return,
                Err(_) => return self.store_failed(index, "cannot connect"),
            }
        }
        if conn.out.flush(sock).is_err() {
            return self.store_failed(index, "connection broke");
        }
        loop {
            let Some(conn) = self.store.conns.get_mut(index) else { return };
            let Some(sock) = &mut conn.sock else { return };
            let end = sock::read(sock, &mut conn.inbuf, &mut self.scratch, READ_AHEAD);
            match read_response(conn, end) {
                Ok(Some((head, body))) => {
                    if matches!(end, ReadEnd::Closed | ReadEnd::Broken) || head.close {
                        self.close_store_conn(index);
                    }
                    return self.on_store_response(index, &head, &body);
                }
                Ok(None) if end == ReadEnd::Drained => return,
                Ok(None) if end == ReadEnd::Full && conn.inbuf.len() < READ_AHEAD => {}
                Ok(None) => return self.store_failed(index, "connection broke"),
                Err(()) => return self.store_failed(index, "malformed response"),
            }
        }
    }

    fn close_store_conn(&mut self, index: usize) {
        let conn = &mut self.store.conns[index];
        if let Some(mut sock) = conn.sock.take() {
            // Closing the socket removes it from the event queue anyway.
            let _ = self.poll.registry().deregister(&mut sock);
        }
        conn.connected = false;
        conn.out = OutBuf::default();
        conn.inbuf = Vec::new();
        conn.response = None;
    }
}

/// Decodes the response to the pending call; returns `None` while it is incomplete.
fn read_response(
    conn: &mut StoreConn,
    end: ReadEnd,
) -> Result<Option<(ResponseHead, Vec<u8>)>, ()> {
    if conn.call.is_none() {
        // Nothing was requested, so any bytes are invalid.
        return if conn.inbuf.is_empty() { Ok(None) } else { Err(()) };
    }
    if conn.response.is_none() {
        let Some(head) = http::parse_response_head(&conn.inbuf, false, false).map_err(|_| ())?
        else {
            return Ok(None);
        };
        conn.inbuf.drain(..head.length);
        if head.kind() != ResponseKind::Final {
            return Err(());
        }
        let reader = BodyReader::new(head.framing, MAX_RESPONSE).map_err(|_| ())?;
        conn.response = Some((head, reader));
    }
    let Some((_, reader)) = &mut conn.response else { return Ok(None) };
    let used = reader.push(&conn.inbuf).map_err(|_| ())?;
    conn.inbuf.drain(..used);
    let complete = reader.is_done() || (end == ReadEnd::Closed && reader.end());
    if !complete {
        return Ok(None);
    }
    Ok(conn.response.take().map(|(head, reader)| (head, reader.into_body())))
}
