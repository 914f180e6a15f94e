//! Connections to leaves.
//!
//! A connection carries one request at a time. Bytes that arrive without a request in flight, or
//! after a complete response, close the connection. A response to another request is read and
//! dropped; the connection is not reused after it.

use {
    crate::{
        body::BodyReader,
        node::{EventSource, Node},
        requests::EndedAttempt,
        sock::{self, OutBuf, ReadEnd},
    },
    indexmap::IndexMap,
    mio::{Interest, net::TcpStream},
    serde_json::json,
    slab::Slab,
    std::collections::{HashMap, VecDeque},
    wigeonramp_platform::http::{self, ResponseHead},
    wigeonramp_routing::{
        catalog::RepeatPolicy,
        exchange::{AttemptOutcome, AttemptRef, AttemptSpec},
        leaf::HealthSignal,
        leaves::LeafKey,
        poison::CrashDetector,
        reply::LeafResponse,
    },
    wigeonramp_units::{Fingerprint, Instant, Span},
};

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Span = Span::millis(300);
/// Time allowed for a response beyond the deadline given to the leaf, at which the leaf itself
/// stops.
const RESPONSE_SLACK: Span = Span::millis(100);
/// Time before the leaf's idle timeout at which an idle connection is no longer used.
const IDLE_MARGIN: Span = Span::millis(500);
/// Idle timeout of a connection if the leaf does not announce one.
const DEFAULT_IDLE_TIMEOUT: Span = Span::secs(20);
/// Idle time from which a connection is not used for a non-idempotent request, which opens a new
/// one instead: on a connection that the leaf has already dropped, the request would be lost.
const MAX_IDLE_AT_MOST_ONCE: Span = Span::millis(800);
/// Time without bytes on a connection with a request in flight, after which the leaf's idle
/// connections are suspect too: those that received nothing since the request was sent are closed.
const SILENT_AFTER: Span = Span::millis(400);
/// Maximum length of a response in bytes.
const MAX_RESPONSE: u64 = 8 * 1024 * 1024;
/// Maximum length of a response head in bytes.
const MAX_RESPONSE_HEAD: usize = 64 * 1024;
/// Share of a leaf's connection limit that all hosts together use.
const CONNECTION_LIMIT_SHARE: f64 = 0.8;
/// Minimum connection limit of a host to a leaf: one connection in use and one for a second
/// request.
const MIN_CONNECTIONS: usize = 2;
/// Connection limit of a leaf whose service declares none.
const DEFAULT_CONNECTIONS: u32 = 50;
/// Timeout of an attempt that is queued for a connection: the leaf may be unresponsive on all of
/// them while another leaf is free.
const QUEUE_TIMEOUT: Span = Span::millis(200);

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
}

/// A connection to a leaf.
#[derive(Debug)]
pub(crate) struct LeafConn {
    sock: TcpStream,
    leaf: LeafKey,
    connected: bool,
    opened: Instant,
    /// Time at which bytes last arrived.
    last_received: Instant,
    idle_since: Instant,
    idle_timeout: Span,
    out: OutBuf,
    inbuf: Vec<u8>,
    in_flight: Option<InFlightRequest>,
    response: Option<(ResponseHead, BodyReader)>,
    /// Whether the response being read belongs to another request.
    mismatched: bool,
    /// Whether the connection closes after the response.
    close: bool,
}

/// An attempt that is queued for a connection.
#[derive(Debug)]
struct QueuedAttempt {
    /// Key of the request.
    request: usize,
    serial: u64,
    spec: AttemptSpec,
    since: Instant,
}

/// All connections to leaves.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    queued: HashMap<LeafKey, VecDeque<QueuedAttempt>>,
    conns: Slab<LeafConn>,
    /// Keys of idle connections, the most recently used last.
    idle: HashMap<LeafKey, Vec<usize>>,
    /// Number of open connections.
    open: IndexMap<LeafKey, usize>,
    crash_detector: CrashDetector,
}

impl Node {
    /// Starts an attempt of a request. A failure is reported as an ended attempt. If this host has
    /// reached its connection limit to the leaf, the attempt is queued for a connection.
    pub(crate) fn start_attempt(&mut self, request: usize, spec: &AttemptSpec) {
        let Some(req) = self.requests.get(request) else { return };
        let serial = req.serial;
        let at_most_once = req.exchange.route().repeat == RepeatPolicy::AtMostOnce;
        let leaf = self.routing.leaves.get(spec.leaf);
        let leaf = leaf.map(|leaf| (leaf.registration.address, leaf.registration.service.clone()));
        let Some((address, service)) = leaf else {
            return self.report_unsent(request, serial, spec);
        };
        if let Some(conn) = self.take_idle(spec.leaf, at_most_once) {
            return self.send_on_conn(conn, request, spec);
        }
        let open = self.upstreams.open.get(&spec.leaf).copied().unwrap_or(0);
        if open >= self.connection_limit(&service) {
            let attempt = QueuedAttempt { request, serial, spec: *spec, since: self.now };
            return self.upstreams.queued.entry(spec.leaf).or_default().push_back(attempt);
        }
        match self.open_conn(spec.leaf, address) {
            Some(conn) => self.send_on_conn(conn, request, spec),
            None => self.report_unsent(request, serial, spec),
        }
    }

    fn report_unsent(&mut self, request: usize, serial: u64, spec: &AttemptSpec) {
        let outcome = AttemptOutcome::Unsent;
        let ended = EndedAttempt { request, serial, attempt: spec.attempt, outcome };
        self.ended_attempts.push_back(ended);
    }

    /// Sends a request on a connection.
    fn send_on_conn(&mut self, conn_key: usize, request: usize, spec: &AttemptSpec) {
        let id = self.routing.leaves.get(spec.leaf).map(|leaf| leaf.registration.id.clone());
        let (Some(id), Some(req), Some(conn)) =
            (id, self.requests.get(request), self.upstreams.conns.get_mut(conn_key))
        else {
            return;
        };
        conn.out.push(http::encode_leaf_request(&req.head, &req.body, id.as_str(), spec.timeout));
        conn.in_flight = Some(InFlightRequest {
            request,
            serial: req.serial,
            attempt: spec.attempt,
            id: req.head.id.clone(),
            sent: self.now,
            deadline: self.now + spec.timeout + RESPONSE_SLACK,
            no_body: req.head.is_head,
            keep_headers: req.exchange.coverage().1 == 1,
            fingerprint: req.fingerprint,
        });
        self.metrics.count_attempt(self.now);
        if conn.connected && conn.out.flush(&mut conn.sock).is_err() {
            self.fail_conn(conn_key, true);
        }
    }

    /// Starts the queued attempts to a leaf as far as there are connections; ends those that timed
    /// out in the queue or are no longer needed.
    fn send_queued(&mut self, leaf: LeafKey) {
        while let Some(next) = self.pop_queued(leaf) {
            let timeout = next.spec.timeout - self.now.since(next.since);
            let open = self.requests.get(next.request).filter(|req| req.serial == next.serial);
            if open.is_none_or(crate::requests::Request::is_replied) {
                self.abandon_attempt(
                    next.request,
                    next.serial,
                    next.spec.attempt,
                    HealthSignal::Abandoned,
                );
                continue;
            }
            if timeout == Span::ZERO || self.now.since(next.since) >= QUEUE_TIMEOUT {
                self.report_unsent(next.request, next.serial, &next.spec);
                continue;
            }
            let before = self.queued_for(leaf);
            self.start_attempt(next.request, &AttemptSpec { timeout, ..next.spec });
            if self.queued_for(leaf) > before {
                return;
            }
        }
    }

    fn pop_queued(&mut self, leaf: LeafKey) -> Option<QueuedAttempt> {
        let queue = self.upstreams.queued.get_mut(&leaf)?;
        let next = queue.pop_front();
        if queue.is_empty() {
            self.upstreams.queued.remove(&leaf);
        }
        next
    }

    fn queued_for(&self, leaf: LeafKey) -> usize {
        self.upstreams.queued.get(&leaf).map_or(0, VecDeque::len)
    }

    /// Takes an idle connection to a leaf that can still be used.
    fn take_idle(&mut self, leaf: LeafKey, at_most_once: bool) -> Option<usize> {
        let now = self.now;
        loop {
            let key = self.upstreams.idle.get_mut(&leaf)?.pop()?;
            let conn = self.upstreams.conns.get(key)?;
            let idle = now.since(conn.idle_since);
            if idle >= conn.idle_timeout {
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

    /// Returns this host's connection limit to each leaf of a service.
    fn connection_limit(&self, service: &wigeonramp_units::ServiceId) -> usize {
        let catalog = self.active_catalog.current();
        let spec = catalog.and_then(|catalog| catalog.services.get(service));
        let declared = spec.map_or(DEFAULT_CONNECTIONS, |spec| spec.connections);
        let hosts = self.members.active_count(self.now).max(1);
        let share = f64::from(declared) * CONNECTION_LIMIT_SHARE / hosts as f64;
        (share as usize).max(MIN_CONNECTIONS)
    }

    fn open_conn(&mut self, leaf: LeafKey, address: std::net::SocketAddr) -> Option<usize> {
        let mut sock = match sock::connect(address) {
            Ok(sock) => sock,
            Err(err) => {
                let fields = json!({ "address": address, "error": err.to_string() });
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
            connected: false,
            opened: self.now,
            last_received: self.now,
            idle_since: self.now,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            out: OutBuf::default(),
            inbuf: Vec::new(),
            in_flight: None,
            response: None,
            mismatched: false,
            close: false,
        });
        *self.upstreams.open.entry(leaf).or_default() += 1;
        self.metrics.count_connect();
        Some(key)
    }

    pub(crate) fn on_leaf(&mut self, key: usize) {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
        if !conn.connected {
            match sock::is_connected(&conn.sock) {
                Ok(true) => conn.connected = true,
                Ok(false) => return,
                Err(_) => return self.fail_conn(key, true),
            }
        }
        if conn.out.flush(&mut conn.sock).is_err() {
            return self.fail_conn(key, true);
        }
        let limit = MAX_RESPONSE as usize;
        let end = sock::read(&mut conn.sock, &mut conn.inbuf, &mut self.scratch, limit);
        if !conn.inbuf.is_empty() {
            conn.last_received = self.now;
        }
        if self.read_responses(key) && end != ReadEnd::Drained {
            self.on_leaf_closed(key, end);
        }
    }

    fn on_leaf_closed(&mut self, key: usize, end: ReadEnd) {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
        let complete = end == ReadEnd::Closed
            && conn.response.as_mut().is_some_and(|(_, reader)| reader.end());
        if complete && !conn.mismatched {
            conn.close = true;
            self.finish_response(key);
            return;
        }
        self.fail_conn(key, end == ReadEnd::Broken);
    }

    /// Decodes responses from the received bytes; returns false if the connection was closed.
    fn read_responses(&mut self, key: usize) -> bool {
        loop {
            let Some(conn) = self.upstreams.conns.get_mut(key) else { return false };
            let Some(in_flight) = &conn.in_flight else {
                if conn.inbuf.is_empty() {
                    return true;
                }
                self.close_conn(key);
                return false;
            };
            if conn.response.is_none() {
                match http::parse_response_head(
                    &conn.inbuf,
                    in_flight.keep_headers,
                    in_flight.no_body,
                ) {
                    Ok(None) if conn.inbuf.len() <= MAX_RESPONSE_HEAD => return true,
                    Ok(Some(head)) if head.status == 101 => {
                        self.fail_conn(key, false);
                        return false;
                    }
                    Ok(Some(head)) if head.status < 200 => {
                        conn.inbuf.drain(..head.length);
                        continue;
                    }
                    Ok(Some(head)) => {
                        conn.inbuf.drain(..head.length);
                        conn.mismatched = head.id.is_some() && head.id != in_flight.id;
                        conn.close |= conn.mismatched || head.close || !conn.out.is_empty();
                        match BodyReader::new(head.framing, MAX_RESPONSE) {
                            Ok(reader) => conn.response = Some((head, reader)),
                            Err(_) => {
                                self.fail_conn(key, false);
                                return false;
                            }
                        }
                    }
                    _ => {
                        self.fail_conn(key, false);
                        return false;
                    }
                }
            }
            let Some((_, reader)) = &mut conn.response else { return true };
            match reader.push(&conn.inbuf) {
                Ok(used) => {
                    conn.inbuf.drain(..used);
                }
                Err(_) => {
                    self.fail_conn(key, false);
                    return false;
                }
            }
            if !reader.is_done() {
                return true;
            }
            if !conn.mismatched {
                return self.finish_response(key);
            }
            conn.response = None;
            conn.mismatched = false;
        }
    }

    /// Handles a complete response; returns false if the connection was closed.
    fn finish_response(&mut self, key: usize) -> bool {
        let now = self.now;
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return false };
        let (Some(in_flight), Some((head, reader))) = (conn.in_flight.take(), conn.response.take())
        else {
            return true;
        };
        let leaf = conn.leaf;
        conn.idle_since = now;
        if let Some(time) = head.idle_time {
            conn.idle_timeout =
                (time - IDLE_MARGIN).max(time.percent(50)).min(DEFAULT_IDLE_TIMEOUT);
        }
        let reusable = !conn.close && conn.inbuf.is_empty();
        if conn.inbuf.capacity() > sock::READ_BYTES {
            conn.inbuf = Vec::new();
        }
        if head.status != 421 {
            self.hear_limit(leaf, &head, in_flight.sent);
        }
        let outcome = self.classify_response(leaf, head, reader);
        self.ended_attempts.push_back(EndedAttempt {
            request: in_flight.request,
            serial: in_flight.serial,
            attempt: in_flight.attempt,
            outcome,
        });
        if reusable && self.routing.leaves.get(leaf).is_some() {
            self.upstreams.idle.entry(leaf).or_default().push(key);
            self.send_queued(leaf);
            return true;
        }
        self.close_conn(key);
        self.send_queued(leaf);
        false
    }

    fn classify_response(
        &mut self,
        leaf: LeafKey,
        head: ResponseHead,
        reader: BodyReader,
    ) -> AttemptOutcome {
        if head.status == 421 {
            // Another leaf uses this address now.
            if let Some(leaf) = self.routing.leaves.get_mut(leaf) {
                leaf.address_reused = true;
                let fields =
                    json!({ "leaf": leaf.registration.id, "address": leaf.registration.address });
                self.journal.record("leaf_address_reused", fields, self.now);
            }
            return AttemptOutcome::NotRun;
        }
        if head.not_run {
            return AttemptOutcome::NotRun;
        }
        if head.encoded || (head.status < 300 && head.stamp.is_none()) {
            return AttemptOutcome::Lost;
        }
        let body = reader.into_body();
        AttemptOutcome::Response(LeafResponse {
            status: head.status,
            stamp: head.stamp,
            headers: head.headers,
            body,
        })
    }

    /// Closes a failed connection and ends the attempt that it carries; `broken` tells whether the
    /// socket reported an error.
    fn fail_conn(&mut self, key: usize, broken: bool) {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
        let leaf = conn.leaf;
        let unsent = !conn.connected || (conn.out.is_untouched() && !conn.out.is_empty());
        let (not_connected, refused) = (!conn.connected, !conn.connected && broken);
        let no_response = conn.response.is_none() && conn.inbuf.is_empty();
        let in_flight = conn.in_flight.take();
        self.close_conn(key);
        if not_connected {
            self.on_connect_failed(leaf);
        }
        match in_flight {
            Some(in_flight) => {
                let outcome = if unsent { AttemptOutcome::Unsent } else { AttemptOutcome::Lost };
                if !unsent && no_response {
                    if self.upstreams.crash_detector.on_connection_broken(
                        in_flight.fingerprint,
                        leaf,
                        self.now,
                    ) {
                        self.suspect_request(in_flight.fingerprint, leaf);
                    }
                } else if refused {
                    self.record_crash_sign(leaf);
                }
                let (request, serial, attempt) =
                    (in_flight.request, in_flight.serial, in_flight.attempt);
                self.ended_attempts.push_back(EndedAttempt { request, serial, attempt, outcome });
            }
            None => self.record_crash_sign(leaf),
        }
    }

    /// Handles that a leaf did not accept a connection. If its service declares a request rate for
    /// cold leaves, the leaf is treated as one that has just started.
    fn on_connect_failed(&mut self, leaf: LeafKey) {
        let service = self.routing.leaves.get(leaf).map(|leaf| &leaf.registration.service);
        let catalog = self.active_catalog.current();
        let spec = service.and_then(|service| catalog?.services.get(service));
        if let Some(spec) = spec.filter(|spec| spec.cold_per_second > 0.0) {
            let cold_for = spec.cold_for;
            self.routing.leaves.on_connect_failed(leaf, cold_for, self.now);
        }
    }

    /// Records a sign that a leaf crashed; requests whose connections to it broke recently become
    /// suspects.
    fn record_crash_sign(&mut self, leaf: LeafKey) {
        for fingerprint in self.upstreams.crash_detector.on_crash_sign(leaf, self.now) {
            self.suspect_request(fingerprint, leaf);
        }
    }

    /// Counts and logs that a request is suspected of crashing a leaf.
    fn suspect_request(&mut self, fingerprint: Fingerprint, leaf: LeafKey) {
        self.poison.record_crash(fingerprint, self.now);
        let id = self.routing.leaves.get(leaf).map(|leaf| leaf.registration.id.clone());
        let refused = self.poison.is_refused(fingerprint, self.now);
        let fields = json!({ "fingerprint": fingerprint, "leaf": id, "refused": refused });
        self.journal.record("request_suspected", fields, self.now);
    }

    fn close_conn(&mut self, key: usize) {
        let Some(mut conn) = self.upstreams.conns.try_remove(key) else { return };
        // Closing the socket removes it from the event queue anyway.
        let _ = self.poll.registry().deregister(&mut conn.sock);
        if let Some(idle) = self.upstreams.idle.get_mut(&conn.leaf) {
            idle.retain(|idle_key| *idle_key != key);
        }
        if let Some(open) = self.upstreams.open.get_mut(&conn.leaf) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                self.upstreams.open.swap_remove(&conn.leaf);
            }
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
                None if now.since(conn.idle_since) >= conn.idle_timeout => expired.push(key),
                _ => {}
            }
        }
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

    /// Closes a connection whose response did not arrive before the deadline.
    fn time_out_conn(&mut self, key: usize) {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
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
