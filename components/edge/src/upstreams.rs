//! Connections to leaves.
//!
//! A connection carries one request at a time. Whatever arrives on a connection without a request,
//! or behind a whole answer, ends it. An answer to another request is read and dropped; the
//! connection is not used again after it.

use {
    crate::{
        body::BodyReader,
        node::{Node, Source},
        requests::Ended,
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

/// Time to open a connection.
const CONNECT_TIME: Span = Span::millis(300);
/// Time for an answer on top of what the leaf was given; the leaf itself stops at that.
const ANSWER_SLACK: Span = Span::millis(100);
/// Idle connections are not used this long before the leaf closes them.
const IDLE_MARGIN: Span = Span::millis(500);
/// Idle time for which a connection is used when the leaf does not say when it closes it.
const IDLE_TIME: Span = Span::secs(20);
/// A request that must not run twice uses a connection that was idle for less than this, or a new
/// one: a connection that the leaf has dropped loses the request.
const IDLE_AT_MOST_ONCE: Span = Span::millis(800);
/// A connection whose answer is overdue for this long casts doubt on the others to that leaf that
/// have carried nothing since.
const SILENT_AFTER: Span = Span::millis(400);
/// Longest answer of a leaf in bytes.
const MAX_ANSWER: u64 = 8 * 1024 * 1024;
/// Longest head of an answer in bytes.
const MAX_ANSWER_HEAD: usize = 64 * 1024;
/// Part of a leaf's connections that all hosts together use.
const CONNECTIONS_PART: f64 = 0.8;
/// Connections to a leaf that a host may always open: one to use and one for a second request.
const MIN_CONNECTIONS: usize = 2;
/// Connections to a leaf without a declared bound.
const DEFAULT_CONNECTIONS: u32 = 50;
/// Time for which a send waits for a connection; the leaf may hold all of them without answering,
/// and another leaf may be free.
const QUEUE_TIME: Span = Span::millis(200);

/// The request that a connection carries.
#[derive(Debug)]
struct Work {
    key: usize,
    serial: u64,
    at: AttemptRef,
    id: Option<String>,
    sent: Instant,
    give_up: Instant,
    no_body: bool,
    keep_headers: bool,
    fingerprint: Fingerprint,
}

#[derive(Debug)]
pub(crate) struct LeafConn {
    sock: TcpStream,
    leaf: LeafKey,
    connected: bool,
    opened: Instant,
    heard: Instant,
    idle_since: Instant,
    idle_time: Span,
    out: OutBuf,
    inbuf: Vec<u8>,
    work: Option<Work>,
    answer: Option<(ResponseHead, BodyReader)>,
    /// The answer being read belongs to another request.
    foreign: bool,
    /// The connection is not used again.
    last: bool,
}

/// A send that waits for a connection.
#[derive(Debug)]
struct Waiting {
    key: usize,
    serial: u64,
    send: AttemptSpec,
    since: Instant,
}

/// All connections to leaves.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    waiting: HashMap<LeafKey, VecDeque<Waiting>>,
    conns: Slab<LeafConn>,
    idle: HashMap<LeafKey, Vec<usize>>,
    open: IndexMap<LeafKey, usize>,
    crash_signs: CrashDetector,
}

impl Node {
    /// Sends one part of a request; a failure is reported as an ended send. When the leaf takes no
    /// further connection of this host, the send waits for one.
    pub(crate) fn send_to_leaf(&mut self, key: usize, send: &AttemptSpec) {
        let Some(req) = self.requests.get(key) else { return };
        let serial = req.serial;
        let at_most_once = req.exchange.route().repeat == RepeatPolicy::AtMostOnce;
        let known = self.traffic.leaves.get(send.leaf);
        let known = known.map(|leaf| (leaf.entry.address, leaf.entry.service.clone()));
        let Some((address, service)) = known else { return self.end_unsent(key, serial, send) };
        if let Some(conn) = self.take_idle(send.leaf, at_most_once) {
            return self.send_on(conn, key, send);
        }
        let open = self.upstreams.open.get(&send.leaf).copied().unwrap_or(0);
        if open >= self.connection_bound(&service) {
            let wait = Waiting { key, serial, send: *send, since: self.now };
            return self.upstreams.waiting.entry(send.leaf).or_default().push_back(wait);
        }
        match self.open_conn(send.leaf, address) {
            Some(conn) => self.send_on(conn, key, send),
            None => self.end_unsent(key, serial, send),
        }
    }

    fn end_unsent(&mut self, key: usize, serial: u64, send: &AttemptSpec) {
        let end = AttemptOutcome::Unsent;
        self.ended.push_back(Ended { key, serial, at: send.at, end });
    }

    /// Puts a request on a connection.
    fn send_on(&mut self, conn_key: usize, key: usize, send: &AttemptSpec) {
        let id = self.traffic.leaves.get(send.leaf).map(|leaf| leaf.entry.id.clone());
        let (Some(id), Some(req), Some(conn)) =
            (id, self.requests.get(key), self.upstreams.conns.get_mut(conn_key))
        else {
            return;
        };
        conn.out.push(http::encode_leaf_request(&req.head, &req.body, id.as_str(), send.left));
        conn.work = Some(Work {
            key,
            serial: req.serial,
            at: send.at,
            id: req.head.id.clone(),
            sent: self.now,
            give_up: self.now + send.left + ANSWER_SLACK,
            no_body: req.head.is_head,
            keep_headers: req.exchange.coverage().1 == 1,
            fingerprint: req.fingerprint,
        });
        self.metrics.sent(self.now);
        if conn.connected && conn.out.flush(&mut conn.sock).is_err() {
            self.fail_conn(conn_key, true);
        }
    }

    /// Makes the sends that wait for a connection to the leaf, as far as there is one now.
    fn send_waiting(&mut self, leaf: LeafKey) {
        while let Some(next) = self.next_waiting(leaf) {
            let left = next.send.left - self.now.since(next.since);
            let open = self.requests.get(next.key).filter(|req| req.serial == next.serial);
            if open.is_none_or(crate::requests::Request::is_replied) {
                self.abandon(next.key, next.serial, next.send.at, HealthSignal::Abandoned);
                continue;
            }
            if left == Span::ZERO || self.now.since(next.since) >= QUEUE_TIME {
                self.end_unsent(next.key, next.serial, &next.send);
                continue;
            }
            let before = self.waiting_for(leaf);
            self.send_to_leaf(next.key, &AttemptSpec { left, ..next.send });
            if self.waiting_for(leaf) > before {
                return;
            }
        }
    }

    fn next_waiting(&mut self, leaf: LeafKey) -> Option<Waiting> {
        let queue = self.upstreams.waiting.get_mut(&leaf)?;
        let next = queue.pop_front();
        if queue.is_empty() {
            self.upstreams.waiting.remove(&leaf);
        }
        next
    }

    fn waiting_for(&self, leaf: LeafKey) -> usize {
        self.upstreams.waiting.get(&leaf).map_or(0, VecDeque::len)
    }

    fn take_idle(&mut self, leaf: LeafKey, at_most_once: bool) -> Option<usize> {
        let now = self.now;
        loop {
            let key = self.upstreams.idle.get_mut(&leaf)?.pop()?;
            let conn = self.upstreams.conns.get(key)?;
            let idle = now.since(conn.idle_since);
            if idle >= conn.idle_time {
                self.close_conn(key);
                continue;
            }
            if at_most_once && idle >= IDLE_AT_MOST_ONCE {
                // The most recently used one comes first, so the others are older still.
                self.upstreams.idle.entry(leaf).or_default().push(key);
                return None;
            }
            return Some(key);
        }
    }

    fn connection_bound(&self, service: &wigeonramp_units::ServiceId) -> usize {
        let catalog = self.adoption.current();
        let spec = catalog.and_then(|catalog| catalog.services.get(service));
        let declared = spec.map_or(DEFAULT_CONNECTIONS, |spec| spec.connections);
        let hosts = self.members.active(self.now).max(1);
        let own = f64::from(declared) * CONNECTIONS_PART / hosts as f64;
        (own as usize).max(MIN_CONNECTIONS)
    }

    fn open_conn(&mut self, leaf: LeafKey, address: std::net::SocketAddr) -> Option<usize> {
        let mut sock = match sock::connect(address) {
            Ok(sock) => sock,
            Err(err) => {
                let fields = json!({ "address": address, "error": err.to_string() });
                self.journal.line("connect_failed", fields, self.now);
                return None;
            }
        };
        let entry = self.upstreams.conns.vacant_entry();
        let token = Source::Leaf(entry.key()).token();
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut sock, token, both).ok()?;
        let key = entry.key();
        entry.insert(LeafConn {
            sock,
            leaf,
            connected: false,
            opened: self.now,
            heard: self.now,
            idle_since: self.now,
            idle_time: IDLE_TIME,
            out: OutBuf::default(),
            inbuf: Vec::new(),
            work: None,
            answer: None,
            foreign: false,
            last: false,
        });
        *self.upstreams.open.entry(leaf).or_default() += 1;
        self.metrics.connected();
        Some(key)
    }

    pub(crate) fn on_leaf(&mut self, key: usize) {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
        if !conn.connected {
            match sock::is_open(&conn.sock) {
                Ok(true) => conn.connected = true,
                Ok(false) => return,
                Err(_) => return self.fail_conn(key, true),
            }
        }
        if conn.out.flush(&mut conn.sock).is_err() {
            return self.fail_conn(key, true);
        }
        let limit = MAX_ANSWER as usize;
        let end = sock::read(&mut conn.sock, &mut conn.inbuf, &mut self.scratch, limit);
        if !conn.inbuf.is_empty() {
            conn.heard = self.now;
        }
        if self.read_answer(key) && end != ReadEnd::Drained {
            self.on_leaf_closed(key, end);
        }
    }

    fn on_leaf_closed(&mut self, key: usize, end: ReadEnd) {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
        let whole =
            end == ReadEnd::Closed && conn.answer.as_mut().is_some_and(|(_, reader)| reader.end());
        if whole && !conn.foreign {
            conn.last = true;
            self.complete(key);
            return;
        }
        self.fail_conn(key, end == ReadEnd::Broken);
    }

    /// Reads answers from the bytes that are in; false when the connection is gone.
    fn read_answer(&mut self, key: usize) -> bool {
        loop {
            let Some(conn) = self.upstreams.conns.get_mut(key) else { return false };
            let Some(work) = &conn.work else {
                if conn.inbuf.is_empty() {
                    return true;
                }
                self.close_conn(key);
                return false;
            };
            if conn.answer.is_none() {
                match http::parse_response_head(&conn.inbuf, work.keep_headers, work.no_body) {
                    Ok(None) if conn.inbuf.len() <= MAX_ANSWER_HEAD => return true,
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
                        conn.foreign = head.id.is_some() && head.id != work.id;
                        conn.last |= conn.foreign || head.close || !conn.out.is_empty();
                        match BodyReader::new(head.framing, MAX_ANSWER) {
                            Ok(reader) => conn.answer = Some((head, reader)),
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
            let Some((_, reader)) = &mut conn.answer else { return true };
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
            if !conn.foreign {
                return self.complete(key);
            }
            conn.answer = None;
            conn.foreign = false;
        }
    }

    /// A whole answer is in; false when the connection is gone.
    fn complete(&mut self, key: usize) -> bool {
        let now = self.now;
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return false };
        let (Some(work), Some((head, reader))) = (conn.work.take(), conn.answer.take()) else {
            return true;
        };
        let leaf = conn.leaf;
        conn.idle_since = now;
        if let Some(time) = head.idle_time {
            conn.idle_time = (time - IDLE_MARGIN).max(time.percent(50)).min(IDLE_TIME);
        }
        let reusable = !conn.last && conn.inbuf.is_empty();
        if conn.inbuf.capacity() > sock::READ_BYTES {
            conn.inbuf = Vec::new();
        }
        let end = self.judge(leaf, head, reader);
        self.ended.push_back(Ended { key: work.key, serial: work.serial, at: work.at, end });
        if reusable && self.traffic.leaves.get(leaf).is_some() {
            self.upstreams.idle.entry(leaf).or_default().push(key);
            self.send_waiting(leaf);
            return true;
        }
        self.close_conn(key);
        self.send_waiting(leaf);
        false
    }

    fn judge(&mut self, leaf: LeafKey, head: ResponseHead, reader: BodyReader) -> AttemptOutcome {
        if head.status == 421 {
            // Another leaf has this address now.
            if let Some(leaf) = self.traffic.leaves.get_mut(leaf) {
                leaf.misdirected = true;
                let fields = json!({ "leaf": leaf.entry.id, "address": leaf.entry.address });
                self.journal.line("leaf_address_reused", fields, self.now);
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

    /// The connection is of no use any more; a request on it has failed.
    fn fail_conn(&mut self, key: usize, broken: bool) {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
        let leaf = conn.leaf;
        let unsent = !conn.connected || (conn.out.is_untouched() && !conn.out.is_empty());
        let (unopened, refused) = (!conn.connected, !conn.connected && broken);
        let unanswered = conn.answer.is_none() && conn.inbuf.is_empty();
        let work = conn.work.take();
        self.close_conn(key);
        if unopened {
            self.leaf_was_down(leaf);
        }
        match work {
            Some(work) => {
                let end = if unsent { AttemptOutcome::Unsent } else { AttemptOutcome::Lost };
                if !unsent && unanswered {
                    if self.upstreams.crash_signs.broke(work.fingerprint, leaf, self.now) {
                        self.blame(work.fingerprint, leaf);
                    }
                } else if refused {
                    self.note_crash_sign(leaf);
                }
                let (key, serial, at) = (work.key, work.serial, work.at);
                self.ended.push_back(Ended { key, serial, at, end });
            }
            None => self.note_crash_sign(leaf),
        }
    }

    /// The leaf took no connection. Where its service declares what a cold leaf bears, it is treated
    /// as one that starts.
    fn leaf_was_down(&mut self, leaf: LeafKey) {
        let service = self.traffic.leaves.get(leaf).map(|leaf| &leaf.entry.service);
        let catalog = self.adoption.current();
        let spec = service.and_then(|service| catalog?.services.get(service));
        if let Some(spec) = spec.filter(|spec| spec.cold_per_second > 0.0) {
            let cold_for = spec.cold_for;
            self.traffic.leaves.was_down(leaf, cold_for, self.now);
        }
    }

    fn note_crash_sign(&mut self, leaf: LeafKey) {
        for fingerprint in self.upstreams.crash_signs.sign(leaf, self.now) {
            self.blame(fingerprint, leaf);
        }
    }

    fn blame(&mut self, fingerprint: Fingerprint, leaf: LeafKey) {
        self.poison.broke(fingerprint, self.now);
        let id = self.traffic.leaves.get(leaf).map(|leaf| leaf.entry.id.clone());
        let refused = self.poison.refuses(fingerprint, self.now);
        let fields = json!({ "fingerprint": fingerprint, "leaf": id, "refused": refused });
        self.journal.line("request_suspected", fields, self.now);
    }

    fn close_conn(&mut self, key: usize) {
        let Some(mut conn) = self.upstreams.conns.try_remove(key) else { return };
        // A closed socket leaves the queue by itself.
        let _ = self.poll.registry().deregister(&mut conn.sock);
        if let Some(idle) = self.upstreams.idle.get_mut(&conn.leaf) {
            idle.retain(|known| *known != key);
        }
        if let Some(open) = self.upstreams.open.get_mut(&conn.leaf) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                self.upstreams.open.swap_remove(&conn.leaf);
            }
        }
    }

    /// Ends the connections to a leaf that carry nothing.
    pub(crate) fn close_idle_to(&mut self, leaf: LeafKey) {
        for key in self.upstreams.idle.remove(&leaf).unwrap_or_default() {
            self.close_conn(key);
        }
    }

    /// Ends the sends of a request whose caller has left.
    pub(crate) fn cancel_sends(&mut self, request: usize, serial: u64) {
        let of = |conn: &LeafConn| {
            conn.work.as_ref().is_some_and(|work| work.key == request && work.serial == serial)
        };
        let keys: Vec<usize> =
            self.upstreams.conns.iter().filter(|(_, c)| of(c)).map(|(key, _)| key).collect();
        for key in keys {
            self.abandon_conn(key, HealthSignal::Abandoned);
        }
    }

    fn abandon_conn(&mut self, key: usize, end: HealthSignal) {
        let work = self.upstreams.conns.get_mut(key).and_then(|conn| conn.work.take());
        self.close_conn(key);
        if let Some(work) = work {
            self.abandon(work.key, work.serial, work.at, end);
        }
    }

    pub(crate) fn sweep_upstreams(&mut self) {
        let now = self.now;
        let mut unopened = Vec::new();
        let mut silent = Vec::new();
        let mut over = Vec::new();
        let mut doubtful = Vec::new();
        for (key, conn) in &self.upstreams.conns {
            match &conn.work {
                _ if !conn.connected && now.since(conn.opened) > CONNECT_TIME => unopened.push(key),
                Some(work) if now > work.give_up => silent.push(key),
                Some(work) if now.since(work.sent.max(conn.heard)) > SILENT_AFTER => {
                    doubtful.push((conn.leaf, work.sent));
                }
                None if now.since(conn.idle_since) >= conn.idle_time => over.push(key),
                _ => {}
            }
        }
        for key in unopened {
            self.fail_conn(key, false);
        }
        for key in silent {
            self.give_up_conn(key);
        }
        for key in over {
            self.close_conn(key);
        }
        for (leaf, sent) in doubtful {
            self.close_unheard(leaf, sent);
        }
        let waited_for: Vec<LeafKey> = self.upstreams.waiting.keys().copied().collect();
        for leaf in waited_for {
            self.send_waiting(leaf);
        }
    }

    /// No answer came in time.
    fn give_up_conn(&mut self, key: usize) {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
        let Some(work) = conn.work.take() else { return };
        let open = self.requests.get(work.key).filter(|req| req.serial == work.serial);
        let open = open.is_some_and(|req| !req.is_replied());
        self.close_conn(key);
        if open {
            let end = AttemptOutcome::Lost;
            self.ended.push_back(Ended { key: work.key, serial: work.serial, at: work.at, end });
        } else {
            self.abandon(work.key, work.serial, work.at, HealthSignal::Silent);
        }
    }

    /// Ends idle connections to a leaf on which nothing arrived since `sent`.
    fn close_unheard(&mut self, leaf: LeafKey, sent: Instant) {
        let idle = self.upstreams.idle.get(&leaf).cloned().unwrap_or_default();
        for key in idle {
            if self.upstreams.conns.get(key).is_some_and(|conn| conn.heard < sent) {
                self.close_conn(key);
            }
        }
    }
}
