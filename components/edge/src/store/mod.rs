//! Client of the platform's object store, from which hosts get the configuration, the leaf
//! registrations, the evacuated zones and the member list.
//!
//! Only some hosts watch the store; they pass the changes on to the others. Such a host lists
//! configuration, leaves and evacuations and then watches them for changes, each on a separate
//! connection. It also registers itself in the member list and probes the store. A host without
//! live peers reads the member list to find some.

mod contents;

use {
    crate::{
        body::BodyReader,
        node::{EventSource, Node},
        sock::{self, OutBuf, ReadEnd},
    },
    mio::{Interest, net::TcpStream},
    serde_json::json,
    std::net::SocketAddr,
    wigeonramp_platform::{
        http::{self, ResponseHead},
        objects::{self, ObjectKind},
    },
    wigeonramp_routing::{
        follow::Origin,
        list_watch::{ListWatch, ListWatchCall},
        position::{FIRST_ERA, Position},
    },
    wigeonramp_units::{Instant, Span, StoreEra},
};

/// Time for which the store holds a watch open without changes.
const WATCH_WAIT: Span = Span::secs(25);
/// Timeout of a call other than a probe. For a watch, the time that the store may hold it open is
/// added.
const CALL_TIMEOUT: Span = Span::millis(2_500);
/// Interval of probes of the store. A pending watch does not show whether the store works, and its
/// response can be lost while its connection stays open.
const PROBE_INTERVAL: Span = Span::millis(1_000);
/// Timeout of a probe; a slow store responds within half a second.
const PROBE_TIMEOUT: Span = Span::millis(1_200);
/// Maximum length of a response in bytes; a page is about one megabyte at most.
const MAX_RESPONSE: u64 = 8 * 1024 * 1024;
/// Duration of an outage after which other hosts watch the store in place of this one.
const FAILING_AFTER: Span = Span::millis(1_000);
/// Time after its start until a host without live peers reads the member list in the store.
const ALONE_AFTER: Span = Span::millis(1_000);
/// Interval of reading the member list.
const MEMBER_LIST_INTERVAL: Span = Span::secs(3);

/// Purpose of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
enum CallPurpose {
    ListWatch(ListWatchCall),
    Register,
    Probe,
}

impl CallPurpose {
    /// Whether the response is of use only in the era in which an earlier call was answered.
    fn continues_earlier_call(&self) -> bool {
        use ListWatchCall::{List, Watch};
        matches!(self, Self::ListWatch(List { after: Some(_) } | Watch { .. }))
    }
}

/// A call whose response is pending.
#[derive(Debug)]
struct Call {
    purpose: CallPurpose,
    deadline: Instant,
}

/// A connection to the store, which carries the calls for one kind of object. The connection for
/// [`ObjectKind::Members`] also carries probes and the registration.
#[derive(Debug)]
struct StoreConn {
    kind: ObjectKind,
    /// Decides which list or watch is due, and when to retry after failures. For
    /// [`ObjectKind::Members`], only its backoff counts, which delays every call.
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
    next_member_list: Instant,
    next_probe: Instant,
    /// Latest known era of the store; zero before the first response.
    era: StoreEra,
    /// Time of the first failed call of the current outage; `None` while the store answers.
    unavailable_since: Option<Instant>,
}

impl StoreClient {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr, now: Instant) -> Self {
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
        let conns = ObjectKind::ALL.iter().map(conn).collect();
        Self {
            address,
            conns,
            registered: false,
            next_member_list: now,
            next_probe: now + PROBE_INTERVAL,
            era: StoreEra(0),
            unavailable_since: None,
        }
    }

    /// Whether the current outage is so long that other hosts should watch the store in place of
    /// this one.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.unavailable_since.is_some_and(|since| now.since(since) >= FAILING_AFTER)
    }

    /// Returns the latest known era of the store.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns the time at which the next call is due or a pending one times out. Unless
    /// `watches_store` is set, only timeouts count.
    pub fn next_at(&self, watches_store: bool) -> Option<Instant> {
        let due = self.conns.iter().filter_map(|conn| match &conn.call {
            Some(call) => Some(call.deadline),
            None if !watches_store => None,
            None if conn.kind == ObjectKind::Members => {
                conn.list_watch.next_at().map(|at| at.max(self.next_probe))
            }
            None => conn.list_watch.next_at(),
        });
        due.min()
    }
}

impl Node {
    /// Starts the calls that are due, and fails those that have timed out.
    pub(crate) fn start_due_calls(&mut self) {
        let watches_store = self.origin_selector.origin() == Origin::Store;
        let known_era = self.replicated.era();
        if known_era > self.store.era {
            self.enter_era(known_era, "host");
        }
        for index in 0..self.store.conns.len() {
            let now = self.now;
            let conn = &mut self.store.conns[index];
            if let Some(call) = &conn.call {
                if now >= call.deadline {
                    self.store_failed(index, "no answer");
                }
                continue;
            }
            if conn.kind == ObjectKind::Members {
                self.start_due_member_call(index, watches_store);
                continue;
            }
            if !watches_store {
                continue;
            }
            // Skip the changes that were received from another host.
            let upto = match conn.kind {
                ObjectKind::Config => self.replicated.config_upto,
                ObjectKind::Leaves => self.replicated.leaves.upto(),
                ObjectKind::Evacuations => self.replicated.evacuations.upto(),
                ObjectKind::Members => Position::default(),
            };
            conn.list_watch.advance_to(upto, now);
            let Some(call) = conn.list_watch.start_due_call(now) else { continue };
            let bytes =
                objects::list_watch_request(conn.kind, &call, WATCH_WAIT, self.store.address);
            if let ListWatchCall::Watch { since } = call {
                let fields = json!({ "kind": conn.kind.name(), "since": since });
                self.journal.record("store_watch", fields, now);
            }
            let wait = match call {
                ListWatchCall::Watch { .. } => WATCH_WAIT,
                ListWatchCall::List { .. } => Span::ZERO,
            };
            self.start_call(index, bytes, CallPurpose::ListWatch(call), wait);
        }
    }

    /// Starts the call that is due on the connection for members. A host that watches the store
    /// first registers itself, so that other hosts find it in the member list, and then probes the
    /// store at intervals. Any host without live peers reads the member list.
    fn start_due_member_call(&mut self, index: usize, watches_store: bool) {
        let now = self.now;
        let alone = !self.members.has_live_peers(now) && now.since(self.started) >= ALONE_AFTER;
        let conn = &mut self.store.conns[index];
        if conn.list_watch.next_at().is_none_or(|at| at > now) {
            return;
        }
        if watches_store && !self.store.registered {
            return self.register_self(index);
        }
        if watches_store && now >= self.store.next_probe {
            self.store.next_probe = now + PROBE_INTERVAL;
            let bytes = objects::probe_request(self.store.address);
            return self.start_call(index, bytes, CallPurpose::Probe, Span::ZERO);
        }
        if !alone || now < self.store.next_member_list {
            return;
        }
        self.store.next_member_list = now + MEMBER_LIST_INTERVAL;
        let call = ListWatchCall::List { after: None };
        let bytes =
            objects::list_watch_request(ObjectKind::Members, &call, WATCH_WAIT, self.store.address);
        self.start_call(index, bytes, CallPurpose::ListWatch(call), Span::ZERO);
    }

    fn register_self(&mut self, index: usize) {
        let settings = &self.settings;
        let call = objects::register_request(
            settings.host.as_str(),
            settings.ip,
            &settings.zone,
            self.store.address,
        );
        match call {
            Ok(bytes) => self.start_call(index, bytes, CallPurpose::Register, Span::ZERO),
            Err(err) => {
                // The same settings would fail again, so do not retry.
                self.store.registered = true;
                self.journal.record(
                    "register_failed",
                    json!({ "error": err.to_string() }),
                    self.now,
                );
            }
        }
    }

    /// Sends the encoded request `bytes`, and opens the connection if it is closed. `wait` is the
    /// time for which the store may hold the call open.
    fn start_call(&mut self, index: usize, bytes: Vec<u8>, purpose: CallPurpose, wait: Span) {
        let now = self.now;
        let address = self.store.address;
        let conn = &mut self.store.conns[index];
        self.metrics.count_store_call(conn.kind.name());
        let timeout = if purpose == CallPurpose::Probe { PROBE_TIMEOUT } else { CALL_TIMEOUT };
        conn.call = Some(Call { purpose, deadline: now + timeout + wait });
        conn.out.push(bytes);
        if conn.sock.is_none() {
            let opened = sock::connect(address).and_then(|mut sock| {
                let interest = Interest::READABLE | Interest::WRITABLE;
                let token = EventSource::Store(index).token();
                self.poll.registry().register(&mut sock, token, interest)?;
                sock::enable_keepalive(&sock)?;
                Ok(sock)
            });
            match opened {
                Ok(sock) => {
                    conn.sock = Some(sock);
                    conn.connected = false;
                }
                Err(err) => self.store_failed(index, &err.to_string()),
            }
            return;
        }
        if conn.connected
            && let Some(sock) = &mut conn.sock
            && conn.out.flush(sock).is_err()
        {
            self.store_failed(index, "connection broke");
        }
    }

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
        let limit = MAX_RESPONSE as usize;
        let end = sock::read(sock, &mut conn.inbuf, &mut self.scratch, limit);
        match read_response(conn, end) {
            Ok(Some((head, body))) => {
                if end != ReadEnd::Drained || head.close {
                    self.close_store_conn(index);
                }
                self.on_store_response(index, &head, &body);
            }
            Ok(None) if end == ReadEnd::Drained => {}
            Ok(None) => self.store_failed(index, "connection broke"),
            Err(()) => self.store_failed(index, "malformed response"),
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

    /// Closes the connection and fails its pending call, if any. The first failure begins an outage.
    fn store_failed(&mut self, index: usize, reason: &str) {
        self.close_store_conn(index);
        let conn = &mut self.store.conns[index];
        if conn.call.take().is_none() {
            return;
        }
        conn.list_watch.on_error(self.now, &mut self.rng);
        self.metrics.count_store_failure(conn.kind.name());
        if self.store.unavailable_since.is_none() {
            self.store.unavailable_since = Some(self.now);
            let kind = self.store.conns[index].kind.name();
            self.journal.record("store_lost", json!({ "kind": kind, "reason": reason }), self.now);
        }
    }

    /// Handles that the store is in a later era, as a response or another host has shown: it has come
    /// back from a copy. Lists and watches that began before are given up and made anew at once.
    fn enter_era(&mut self, era: StoreEra, from: &str) {
        let before = std::mem::replace(&mut self.store.era, era);
        self.reconciler.enter_era(era, self.now);
        // The copy may be older than this host's registration.
        self.store.registered = false;
        let mut repeated = Vec::new();
        for index in 0..self.store.conns.len() {
            let conn = &mut self.store.conns[index];
            if !conn.list_watch.enter_era(era) {
                continue;
            }
            repeated.push(conn.kind.name());
            conn.list_watch.repeat(self.now);
            if conn.call.take().is_some() {
                self.close_store_conn(index);
            }
        }
        let fields = json!({ "from": from, "era": era, "before": before, "made_again": repeated });
        self.journal.record("store_era", fields, self.now);
    }

    fn on_store_response(&mut self, index: usize, head: &ResponseHead, body: &[u8]) {
        let Some(call) = self.store.conns[index].call.take() else { return };
        let era = head.era.unwrap_or(FIRST_ERA);
        if era < self.store.era {
            // A probe may be answered with data that is seconds old.
            return match call.purpose {
                CallPurpose::Probe => self.on_store_available(),
                _ => self.call_failed(index, call, "response of an earlier era"),
            };
        }
        if era > self.store.era {
            self.enter_era(era, "store");
            if call.purpose.continues_earlier_call() {
                return self.on_store_available();
            }
        }
        let conn = &mut self.store.conns[index];
        match (&call.purpose, head.status) {
            // Conflict: this host is already registered.
            (CallPurpose::Register, 200..=299 | 409) => {
                self.store.registered = true;
                self.on_store_available();
            }
            (CallPurpose::Probe, 200) => self.on_probe(index, call, body),
            // Not found: the store works, but has no objects of the probed kind.
            (CallPurpose::Probe, 404) => self.on_store_available(),
            (CallPurpose::ListWatch(ListWatchCall::List { .. }), 200) => {
                self.on_page(index, call, body)
            }
            // Not found: there are no objects of this kind.
            (CallPurpose::ListWatch(ListWatchCall::List { .. }), 404) => {
                let page = b"{\"items\":[],\"current_rev\":0}";
                self.on_page(index, call, page);
            }
            (CallPurpose::ListWatch(ListWatchCall::Watch { .. }), 200) => {
                self.on_changes(index, call, body)
            }
            // Gone: the store has discarded the changes since the watched revision.
            (CallPurpose::ListWatch(ListWatchCall::Watch { .. }), 410) => {
                conn.list_watch.on_history_gone(self.now, &mut self.rng);
                let fields = json!({ "kind": conn.kind.name() });
                self.journal.record("store_history_gone", fields, self.now);
            }
            (_, status) => self.call_failed(index, call, &format!("status {status}")),
        }
    }

    /// Fails a call whose response cannot be used.
    fn call_failed(&mut self, index: usize, call: Call, reason: &str) {
        // `store_failed` only counts a failure if a call is pending.
        self.store.conns[index].call = Some(call);
        self.store_failed(index, reason);
    }

    /// Handles the response to a probe: makes the watches again that may have missed a change.
    fn on_probe(&mut self, index: usize, call: Call, body: &[u8]) {
        let position = match objects::parse_probe(body) {
            Ok(revision) => Position::new(self.store.era, revision),
            Err(err) => return self.call_failed(index, call, &err),
        };
        self.on_store_available();
        let now = self.now;
        for index in 0..self.store.conns.len() {
            let conn = &mut self.store.conns[index];
            if conn.call.is_none() || !conn.list_watch.is_doubtful(position, now) {
                continue;
            }
            conn.call = None;
            conn.list_watch.repeat(now);
            self.close_store_conn(index);
        }
    }

    /// Ends the current outage, if any. Repeats the pending lists and watches, whose responses may
    /// have been lost.
    fn on_store_available(&mut self) {
        if self.store.unavailable_since.take().is_none() {
            return;
        }
        let mut repeated = Vec::new();
        for index in 0..self.store.conns.len() {
            let conn = &mut self.store.conns[index];
            if conn
                .call
                .as_ref()
                .is_some_and(|call| matches!(call.purpose, CallPurpose::ListWatch(_)))
            {
                conn.call = None;
                conn.list_watch.retry_after_outage(self.now);
                repeated.push(conn.kind.name());
                self.close_store_conn(index);
            }
        }
        self.journal.record("store_regained", json!({ "made_again": repeated }), self.now);
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
