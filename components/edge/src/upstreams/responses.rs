//! Reading responses of leaves.

use {
    super::DEFAULT_IDLE_TIMEOUT,
    crate::{
        body::BodyReader,
        node::{EventSource, Node},
        requests::EndedAttempt,
        response_head::{HeadEnd, MAX_RESPONSE_HEAD, take_head},
        sock::{self, ReadEnd},
    },
    mio::Interest,
    serde_json::json,
    std::io::ErrorKind,
    wigeonramp_platform::http::ResponseHead,
    wigeonramp_routing::{exchange::AttemptOutcome, leaves::LeafKey, reply::LeafResponse},
    wigeonramp_units::Span,
};

/// Number of bytes that are read before they are decoded. It exceeds the maximum length of a head,
/// so that a full buffer always holds a complete head or one that is too long.
pub(crate) const READ_AHEAD: usize = MAX_RESPONSE_HEAD + sock::READ_BYTES;
/// Maximum number of times that a connection's bytes are decoded before other events.
const ROUNDS_PER_TURN: usize = 2;

/// What a response says of its leaf.
#[derive(Clone, Copy, Debug, Default)]
struct Notices {
    leaving: bool,
    /// Time for which the leaf wants no requests.
    pause: Option<Span>,
}

impl Notices {
    /// Returns what a response says of the leaf of its connection: nothing if it is the response of
    /// another leaf. A response to another request is one of this leaf too.
    fn of(head: &ResponseHead) -> Self {
        if head.status == 421 {
            return Self::default();
        }
        let turns_away = matches!(head.status, 429 | 503);
        Self { leaving: head.leaving, pause: head.retry_after.filter(|_| turns_away) }
    }
}

/// Time before the leaf's idle timeout at which an idle connection is no longer used.
const IDLE_MARGIN: Span = Span::millis(500);

impl Node {
    pub(crate) fn on_leaf(&mut self, key: usize) {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
        if !conn.connected {
            match sock::is_connected(&conn.sock) {
                Ok(true) => {
                    conn.connected = true;
                    self.on_link_opened();
                }
                Ok(false) => return,
                Err(err) => {
                    // A reset, unlike a refusal, ends a connection that the leaf had accepted.
                    conn.connected = err.kind() == ErrorKind::ConnectionReset;
                    return self.fail_conn(key, true);
                }
            }
            let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
            // A leaf that closed the connection at once gets nothing on it.
            if !sock::is_open(&conn.sock) {
                return self.fail_conn(key, true);
            }
        }
        if self.release_withdrawn(key) || !self.flush_conn(key) {
            return;
        }
        for _ in 0..ROUNDS_PER_TURN {
            let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
            let end = sock::read(&mut conn.sock, &mut conn.inbuf, &mut self.scratch, READ_AHEAD);
            if !conn.inbuf.is_empty() {
                conn.last_received = self.now;
                self.routing.links.on_heard(self.now);
            }
            if !self.read_responses(key) || !self.is_response_admitted(key) {
                return;
            }
            match end {
                ReadEnd::Full => {}
                ReadEnd::Drained => return,
                ReadEnd::Closed | ReadEnd::Broken => return self.on_leaf_closed(key, end),
            }
        }
        self.continue_leaf(key);
    }

    /// Has the event queue report the connection again, so that others come first.
    fn continue_leaf(&mut self, key: usize) {
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return };
        let both = Interest::READABLE | Interest::WRITABLE;
        let token = EventSource::Leaf(key).token();
        if self.poll.registry().reregister(&mut conn.sock, token, both).is_err() {
            self.fail_conn(key, true);
        }
    }

    /// Charges what a connection takes; returns false if it was closed because of its large
    /// response while the memory for callers is exceeded.
    fn is_response_admitted(&mut self, key: usize) -> bool {
        self.charge_leaf(key);
        let Some(conn) = self.upstreams.conns.get(key) else { return false };
        if self.clients.memory.admits_response(conn.charge.bytes()) {
            return true;
        }
        self.metrics.clients.count("memory", "response_failed");
        self.fail_conn(key, false);
        false
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
            if conn.in_flight.is_none() {
                if conn.inbuf.is_empty() {
                    return true;
                }
                self.close_conn(key);
                return false;
            }
            if conn.response.is_none() {
                match self.read_head(key) {
                    HeadEnd::Incomplete => return true,
                    HeadEnd::Interim => continue,
                    HeadEnd::Final => {}
                    HeadEnd::Unusable => {
                        self.fail_conn(key, false);
                        return false;
                    }
                }
            }
            let Some(conn) = self.upstreams.conns.get_mut(key) else { return false };
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

    /// Decodes the head of a response and heeds its notices, also if the rest cannot be used.
    fn read_head(&mut self, key: usize) -> HeadEnd {
        let max_response = self.clients.memory.max_response() as u64;
        let Some(conn) = self.upstreams.conns.get_mut(key) else { return HeadEnd::Unusable };
        let Some(in_flight) = &conn.in_flight else { return HeadEnd::Unusable };
        let (keep_headers, no_body) = (in_flight.keep_headers, in_flight.no_body);
        let (inbuf, interim_bytes) = (&mut conn.inbuf, &mut conn.interim_bytes);
        let (mut end, head) = take_head(inbuf, interim_bytes, keep_headers, no_body);
        let Some(head) = head else { return end };
        let notices = Notices::of(&head);
        if end == HeadEnd::Final {
            conn.mismatched = head.id.is_some() && head.id != in_flight.id;
            conn.close |= conn.mismatched || head.close || !conn.out.is_empty();
            let reader = BodyReader::new(head.framing, max_response);
            conn.response = reader.ok().map(|reader| (head, reader));
            if conn.response.is_none() {
                end = HeadEnd::Unusable;
            }
        }
        self.hear_notices(key, notices);
        end
    }

    /// Handles what a leaf says of itself in a response. If it wants no requests, those that wait
    /// for a connection to it go to other leaves.
    fn hear_notices(&mut self, key: usize, notices: Notices) {
        let Some(conn) = self.upstreams.conns.get(key) else { return };
        let (leaf, process) = (conn.leaf, conn.process.clone());
        let leaves = &mut self.routing.leaves;
        if notices.leaving && leaves.on_leaving(leaf, &process) {
            let fields = json!({ "leaf": process.id, "state": "leaving", "from": "response" });
            self.journal.record("leaf", fields, self.now);
            self.close_idle_conns(leaf);
            self.send_queued(leaf);
        }
        let Some(pause) = notices.pause else { return };
        if self.routing.leaves.on_pause(leaf, &process, pause, self.now, &mut self.rng) {
            let fields = json!({ "leaf": process.id, "state": "paused", "for_us": pause.0 });
            self.journal.record("leaf", fields, self.now);
        }
        self.send_queued(leaf);
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
        conn.interim_bytes = 0;
        let is_first = !std::mem::replace(&mut conn.answered, true);
        if let Some(leaf) = self.routing.leaves.get_mut(leaf) {
            leaf.room.on_answered(is_first);
        }
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
        if reusable && self.is_wanted(leaf) {
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
}
