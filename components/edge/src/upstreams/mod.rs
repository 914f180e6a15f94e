//! Connections to leaves.
//!
//! A connection carries one request at a time. Bytes that arrive without a request in flight, or
//! after a complete response, close the connection. A response to another request is read and
//! dropped; the connection is not reused after it.

mod failures;
mod responses;
mod room;
mod withdrawal;

pub(crate) use responses::READ_AHEAD;

use {
    crate::{
        body::BodyReader,
        node::{EventSource, Node},
        requests::EndedAttempt,
        sock::{self, OutBuf},
    },
    mio::{Interest, net::TcpStream},
    serde_json::json,
    slab::Slab,
    std::collections::HashMap,
    wigeonramp_platform::http::{self, ResponseHead},
    wigeonramp_routing::{
        catalog::RepeatPolicy,
        clients::memory::Charge,
        connections::{Admission, HostCounts},
        exchange::{AttemptOutcome, AttemptRef, AttemptSpec},
        leaf::{HealthSignal, Leaf, LeafInstance, LeafRegistration},
        leaves::LeafKey,
        poison::CrashDetector,
        queue::ConnectionQueue,
    },
    wigeonramp_units::{Fingerprint, Instant, Span},
};

/// Timeout of opening a connection.
pub(crate) const CONNECT_TIMEOUT: Span = Span::millis(300);
/// Time allowed for a response beyond the deadline given to the leaf, at which the leaf itself
/// stops.
const RESPONSE_SLACK: Span = Span::millis(100);
/// Idle timeout of a connection if the leaf does not announce one.
const DEFAULT_IDLE_TIMEOUT: Span = Span::secs(20);
/// Idle time from which a connection is not used for a non-idempotent request, which opens a new
/// one instead: on a connection that the leaf has already dropped, the request would be lost.
const MAX_IDLE_AT_MOST_ONCE: Span = Span::millis(800);
/// Time without bytes on a connection with a request in flight, after which the leaf's idle
/// connections are suspect too: those that received nothing since the request was sent are closed.
const SILENT_AFTER: Span = Span::millis(400);
/// Time without bytes from any leaf after which requests in flight show that the links to all leaves
/// may be lost.
const LINK_SILENT_AFTER: Span = Span::millis(200);
/// Connection limit of a leaf whose service declares none.
const DEFAULT_CONNECTIONS: u32 = 50;
/// Largest body that is copied behind the head of each attempt; larger ones are shared between them
/// and written separately.
const MAX_COPIED_BODY: usize = 16 * 1024;
/// Bytes that a connection takes without its buffers.
const CONN_BYTES: usize = 1_024;

/// A request that was sent on a connection and has no response yet.
#[derive(Debug)]
struct InFlightRequest {
    /// Key of the request.
    request: usize,
    serial: u64,
    attempt: AttemptRef,
    id: Option<String>,
    sent: Instant,
    deadline: Instant,
    no_body: bool,
    keep_headers: bool,
    fingerprint: Fingerprint,
    /// Whether bytes of it were written.
    written: bool,
    /// Whether it was withdrawn before that and must not be sent.
    withdrawn: bool,
}

/// A connection to a leaf.
#[derive(Debug)]
pub(crate) struct LeafConn {
    sock: TcpStream,
    leaf: LeafKey,
    /// The leaf's process that was registered when the connection was opened.
    process: LeafInstance,
    connected: bool,
    /// Whether a response has arrived.
    answered: bool,
    opened: Instant,
    /// Time at which bytes last arrived.
    last_received: Instant,
    idle_since: Instant,
    idle_timeout: Span,
    out: OutBuf,
    inbuf: Vec<u8>,
    in_flight: Option<InFlightRequest>,
    response: Option<(ResponseHead, BodyReader)>,
    /// Bytes of interim responses to the request in flight.
    interim_bytes: usize,
    /// Whether the response being read belongs to another request.
    mismatched: bool,
    /// Whether the connection closes after the response.
    close: bool,
    charge: Charge,
}

/// An attempt that is queued for a connection.
#[derive(Debug)]
struct QueuedAttempt {
    /// Key of the request.
    request: usize,
    serial: u64,
    /// Whether the request is not idempotent.
    at_most_once: bool,
    spec: AttemptSpec,
}

/// Connection for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Connection {
    /// Key of a connection that can carry it.
    Ready(usize),
    /// The host has reached its limit, and all connections are in use.
    Busy,
    /// This host can have no connection to the leaf for now.
    Barred,
    /// The leaf is not available.
    None,
}

/// All connections to leaves.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    queued: HashMap<LeafKey, ConnectionQueue<QueuedAttempt>>,
    conns: Slab<LeafConn>,
    /// Keys of idle connections, the most recently used last.
    idle: HashMap<LeafKey, Vec<usize>>,
    /// Hosts that share the connections; none until the first sweep.
    pub hosts: Option<HostCounts>,
    crash_detector: CrashDetector,
}

impl Upstreams {
    /// Returns the number of open connections.
    pub fn conn_count(&self) -> usize {
        self.conns.len()
    }
}

impl LeafConn {
    /// Returns the number of bytes that the connection takes.
    fn held_bytes(&self) -> usize {
        let response = self
            .response
            .as_ref()
            .map_or(0, |(head, reader)| head.headers.capacity() + reader.held_bytes());
        CONN_BYTES + self.inbuf.capacity() + self.out.held_bytes() + response
    }
}

impl Node {
    /// Charges what a connection takes now.
    fn charge_leaf(&mut self, key: usize) {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
        let bytes = conn.held_bytes();
        self.clients.memory.set(&mut conn.charge, bytes);
    }

    /// Closes the connection that has been idle the longest if there are as many as allowed;
    /// returns whether another one may be opened.
    fn make_room_for_leaf(&mut self) -> bool {
        let limit = self.clients.connections.leaves;
        if self.upstreams.conns.len() >= limit {
            let idle = self.upstreams.idle.values().flatten();
            let oldest =
                idle.min_by_key(|key| self.upstreams.conns.get(**key).map(|c| c.idle_since));
            if let Some(key) = oldest.copied() {
                self.metrics.clients.count("leaf_connections", "closed");
                self.close_conn(key);
            }
        }
        let has_room = self.upstreams.conns.len() < limit;
        if !has_room {
            self.metrics.clients.count("leaf_connections", "refused");
        }
        has_room
    }

    /// Starts an attempt of a request. A failure is reported as an ended attempt. If this host has
    /// reached its connection limit to the leaf, the attempt is queued for a connection.
    pub(crate) fn start_attempt(&mut self, request: usize, spec: &AttemptSpec) {
        let Some(req) = self.requests.get(request) else { return };
        let serial = req.serial;
        let at_most_once = req.exchange.route().repeat == RepeatPolicy::AtMostOnce;
        let attempt = QueuedAttempt { request, serial, at_most_once, spec: *spec };
        let queue = self.upstreams.queued.entry(spec.leaf).or_default();
        queue.push(spec.urgency, attempt, self.now);
        self.send_queued(spec.leaf);
    }

    fn end_queued(&mut self, queued: &QueuedAttempt, outcome: AttemptOutcome) {
        let attempt = queued.spec.attempt;
        let (request, serial) = (queued.request, queued.serial);
        self.ended_attempts.push_back(EndedAttempt { request, serial, attempt, outcome });
    }

    /// Sends a request on a connection.
    fn send_on_conn(&mut self, conn_key: usize, queued: &QueuedAttempt) {
        let (request, spec) = (queued.request, &queued.spec);
        let timeout = spec.urgency.deadline.since(self.now);
        let id = self.routing.leaves.get(spec.leaf).map(|leaf| leaf.registration.id.clone());
        let (Some(id), Some(req), Some(conn)) =
            (id, self.requests.get(request), self.upstreams.conns.get_mut(conn_key))
        else {
            return;
        };
        let (account, id) = (req.account.as_deref(), id.as_str());
        if req.body.len() > MAX_COPIED_BODY {
            let length = req.body.len();
            let head = http::encode_leaf_request_head(&req.head, length, id, account, timeout, 0);
            conn.out.push_shared(head, req.body.clone());
        } else {
            let body = &req.body[..];
            conn.out.push(http::encode_leaf_request(&req.head, body, id, account, timeout));
        }
        conn.in_flight = Some(InFlightRequest {
            request,
            serial: req.serial,
            attempt: spec.attempt,
            id: req.head.id.clone(),
            sent: self.now,
            deadline: self.now + timeout + RESPONSE_SLACK,
            no_body: req.head.is_head,
            keep_headers: req.exchange.coverage().1 == 1,
            fingerprint: req.fingerprint,
            written: false,
            withdrawn: false,
        });
        self.metrics.count_attempt(self.now);
        if conn.connected && !self.flush_conn(conn_key) {
            return;
        }
        self.charge_leaf(conn_key);
    }

    /// Writes as much of a request as the connection accepts; returns false if it failed.
    fn flush_conn(&mut self, key: usize) -> bool {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return false };
        let is_flushed = conn.out.flush(&mut conn.sock).is_ok();
        let is_written = !conn.has_unwritten_request();
        if let Some(in_flight) = conn.in_flight.as_mut().filter(|i| is_written && !i.written) {
            in_flight.written = true;
            let (request, serial, attempt) =
                (in_flight.request, in_flight.serial, in_flight.attempt);
            let req = self.requests.get_mut(request).filter(|req| req.serial == serial);
            if let Some(req) = req {
                req.exchange.on_written(attempt);
            }
        }
        if !is_flushed {
            self.fail_conn(key, true);
        }
        is_flushed
    }

    /// Sends the queued attempts to a leaf as far as there are connections; ends those that have
    /// waited too long.
    fn send_queued(&mut self, leaf: LeafKey) {
        let Some(mut queue) = self.upstreams.queued.remove(&leaf) else { return };
        for late in queue.take_late(self.now) {
            self.end_queued(&late, AttemptOutcome::Withheld);
        }
        for timed_out in queue.take_timed_out(self.now) {
            self.end_queued(&timed_out, AttemptOutcome::Unsent);
        }
        while let Some(at_most_once) = queue.peek(self.now).map(|next| next.at_most_once) {
            let connection = self.connection(leaf, at_most_once);
            if connection == Connection::Busy {
                self.upstreams.queued.insert(leaf, queue);
                return;
            }
            let Some(next) = queue.pop(self.now) else { return };
            match connection {
                Connection::Ready(conn) => self.send_on_conn(conn, &next),
                Connection::Barred => self.end_queued(&next, AttemptOutcome::Withheld),
                Connection::Busy | Connection::None => {
                    self.end_queued(&next, AttemptOutcome::Unsent)
                }
            }
        }
    }

    /// Returns a connection to a leaf that can carry a request now.
    fn connection(&mut self, leaf: LeafKey, at_most_once: bool) -> Connection {
        // The leaf may have said since it was chosen that it wants no requests.
        let wants_none = |leaf: &Leaf| leaf.notice.is_leaving() || leaf.notice.is_pausing(self.now);
        let registered = self.routing.leaves.get(leaf).filter(|leaf| !wants_none(leaf));
        let Some(registration) = registered.map(|leaf| leaf.registration.clone()) else {
            return Connection::None;
        };
        if let Some(conn) = self.take_idle(leaf, at_most_once) {
            return Connection::Ready(conn);
        }
        match self.admit_connection(leaf, &registration.service) {
            Admission::Wait => Connection::Busy,
            Admission::Elsewhere => Connection::Barred,
            Admission::Open => {
                self.open_conn(leaf, &registration).map_or(Connection::None, Connection::Ready)
            }
        }
    }

    /// Takes an idle connection to a leaf that can still be used.
    fn take_idle(&mut self, leaf: LeafKey, at_most_once: bool) -> Option<usize> {
        let now = self.now;
        loop {
            let key = self.upstreams.idle.get_mut(&leaf)?.pop()?;
            let conn = self.upstreams.conns.get(key)?;
            let idle = now.since(conn.idle_since);
            // The leaf may have closed the connection while its event is not read yet.
            if idle >= conn.idle_timeout || !sock::is_open(&conn.sock) {
                self.close_conn(key);
                continue;
            }
            if at_most_once && idle >= MAX_IDLE_AT_MOST_ONCE {
                // The most recently used connection comes first, so the others are idle even
                // longer.
                self.upstreams.idle.entry(leaf).or_default().push(key);
                return None;
            }
            return Some(key);
        }
    }

    fn open_conn(&mut self, leaf: LeafKey, registration: &LeafRegistration) -> Option<usize> {
        if !self.make_room_for_leaf() {
            return None;
        }
        let mut sock = match sock::connect(registration.address) {
            Ok(sock) => sock,
            Err(err) => {
                let fields = json!({ "address": registration.address, "error": err.to_string() });
                self.journal.record("connect_failed", fields, self.now);
                return None;
            }
        };
        let entry = self.upstreams.conns.vacant_entry();
        let token = EventSource::Leaf(entry.key()).token();
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut sock, token, both).ok()?;
        let key = entry.key();
        entry.insert(LeafConn {
            sock,
            leaf,
            process: registration.instance(),
            connected: false,
            answered: false,
            opened: self.now,
            last_received: self.now,
            idle_since: self.now,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            out: OutBuf::default(),
            inbuf: Vec::new(),
            in_flight: None,
            response: None,
            interim_bytes: 0,
            mismatched: false,
            close: false,
            charge: Charge::default(),
        });
        if let Some(leaf) = self.routing.leaves.get_mut(leaf) {
            leaf.room.on_opened();
        }
        self.metrics.count_connect();
        Some(key)
    }

    fn close_conn(&mut self, key: usize) {
        let Some(mut conn) = self.upstreams.conns.try_remove(key) else { return };
        self.clients.memory.release(&mut conn.charge);
        // Closing the socket removes it from the event queue anyway.
        let _ = self.poll.registry().deregister(&mut conn.sock);
        if let Some(idle) = self.upstreams.idle.get_mut(&conn.leaf) {
            idle.retain(|idle_key| *idle_key != key);
        }
        if let Some(leaf) = self.routing.leaves.get_mut(conn.leaf) {
            leaf.room.on_closed();
        }
    }

    /// Closes the idle connections to a leaf.
    pub(crate) fn close_idle_conns(&mut self, leaf: LeafKey) {
        for key in self.upstreams.idle.remove(&leaf).unwrap_or_default() {
            self.close_conn(key);
        }
    }

    /// Cancels the attempts of a request whose caller closed its connection.
    pub(crate) fn cancel_attempts(&mut self, request: usize, serial: u64) {
        let belongs = |conn: &LeafConn| {
            conn.in_flight
                .as_ref()
                .is_some_and(|in_flight| in_flight.request == request && in_flight.serial == serial)
        };
        let keys: Vec<usize> =
            self.upstreams.conns.iter().filter(|(_, c)| belongs(c)).map(|(key, _)| key).collect();
        for key in keys {
            self.abandon_conn(key, HealthSignal::Abandoned);
        }
    }

    fn abandon_conn(&mut self, key: usize, signal: HealthSignal) {
        let in_flight = self.upstreams.conns.get_mut(key).and_then(|conn| conn.in_flight.take());
        self.close_conn(key);
        if let Some(in_flight) = in_flight {
            self.abandon_attempt(in_flight.request, in_flight.serial, in_flight.attempt, signal);
        }
    }

    pub(crate) fn sweep_upstreams(&mut self) {
        let now = self.now;
        let mut unopened = Vec::new();
        let mut timed_out = Vec::new();
        let mut expired = Vec::new();
        let mut suspect = Vec::new();
        for (key, conn) in &self.upstreams.conns {
            match &conn.in_flight {
                _ if !conn.connected && now.since(conn.opened) > CONNECT_TIMEOUT => {
                    unopened.push(key)
                }
                Some(in_flight) if now > in_flight.deadline => timed_out.push(key),
                Some(in_flight)
                    if now.since(in_flight.sent.max(conn.last_received)) > SILENT_AFTER =>
                {
                    suspect.push((conn.leaf, in_flight.sent));
                }
                None if now.since(conn.idle_since) >= self.max_idle(conn) => expired.push(key),
                _ => {}
            }
        }
        self.note_silent_leaves();
        for key in unopened {
            self.fail_conn(key, false);
        }
        for key in timed_out {
            self.time_out_conn(key);
        }
        for key in expired {
            self.close_conn(key);
        }
        for (leaf, sent) in suspect {
            self.close_unheard_idle(leaf, sent);
        }
        let queued: Vec<LeafKey> = self.upstreams.queued.keys().copied().collect();
        for leaf in queued {
            self.send_queued(leaf);
        }
    }

    /// Takes note of the leaves with requests in flight if nothing has arrived from any leaf since
    /// these were sent.
    fn note_silent_leaves(&mut self) {
        let now = self.now;
        let quiet_for = self.routing.links.quiet_for(now);
        if quiet_for < LINK_SILENT_AFTER {
            return;
        }
        let is_silent = |conn: &LeafConn| {
            let in_flight = conn.in_flight.as_ref().filter(|_| conn.connected);
            in_flight.is_some_and(|in_flight| {
                let age = now.since(in_flight.sent);
                age >= LINK_SILENT_AFTER && age <= quiet_for
            })
        };
        let silent = self.upstreams.conns.iter().filter(|(_, conn)| is_silent(conn));
        let leaves: Vec<LeafKey> = silent.map(|(_, conn)| conn.leaf).collect();
        self.on_links_broken(&leaves);
    }

    /// Closes a connection whose response did not arrive before the deadline.
    fn time_out_conn(&mut self, key: usize) {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
        if conn.is_unwritten() {
            return self.fail_conn(key, false);
        }
        let Some(in_flight) = conn.in_flight.take() else { return };
        let open =
            self.requests.get(in_flight.request).filter(|req| req.serial == in_flight.serial);
        let open = open.is_some_and(|req| !req.is_replied());
        self.close_conn(key);
        if open {
            let outcome = AttemptOutcome::Lost;
            self.ended_attempts.push_back(EndedAttempt {
                request: in_flight.request,
                serial: in_flight.serial,
                attempt: in_flight.attempt,
                outcome,
            });
        } else {
            self.abandon_attempt(
                in_flight.request,
                in_flight.serial,
                in_flight.attempt,
                HealthSignal::Silent,
            );
        }
    }

    /// Closes the idle connections to a leaf on which nothing arrived since `sent`.
    fn close_unheard_idle(&mut self, leaf: LeafKey, sent: Instant) {
        let idle = self.upstreams.idle.get(&leaf).cloned().unwrap_or_default();
        for key in idle {
            if self.upstreams.conns.get(key).is_some_and(|conn| conn.last_received < sent) {
                self.close_conn(key);
            }
        }
    }
}
