//! Reading requests. A connection is read only while its next request can begin: responses that
//! wait unread, and requests in progress, leave requests that were sent ahead in the kernel.

use {
    super::{CallerConn, Phase},
    crate::{
        body::{BodyError, BodyReader},
        node::{EventSource, ListenerPurpose, Node},
        sock::{self, READ_BYTES, ReadStep},
    },
    mio::Interest,
    wigeonramp_platform::http::{self, CONTINUE_RESPONSE, HeadError, RequestHead},
    wigeonramp_routing::{
        clients::{PROGRESS_BYTES, memory::MemoryLevel},
        reply::Cause,
    },
    wigeonramp_units::Instant,
};

/// Maximum number of reads of a connection before other events.
const READS_PER_TURN: usize = 16;
/// Size of a read while memory is short.
const SHORT_READ_BYTES: usize = 4 * 1024;
/// Largest body of a request to the host's own endpoints, none of which takes one.
const ENDPOINT_BODY_BYTES: u64 = 1_024;

impl CallerConn {
    /// Whether the connection can be read: nothing waits for its caller or for memory, and no
    /// request is in progress.
    fn is_wanted(&self) -> bool {
        match self.phase {
            Phase::AwaitingQuota(_) | Phase::Waiting(_) | Phase::Relayed(_) => false,
            Phase::Lingering => true,
            _ => self.held_since.is_none() && self.out.is_empty(),
        }
    }

    fn take(&mut self, bytes: &[u8], now: Instant) {
        if matches!(self.phase, Phase::Lingering) {
            return;
        }
        self.received += bytes.len() as u64;
        if self.received >= PROGRESS_BYTES {
            self.received = 0;
            self.progress = now;
        }
        self.inbuf.reserve_exact(bytes.len());
        self.inbuf.extend_from_slice(bytes);
    }
}

impl Node {
    /// Reads and decodes requests until the connection has no more bytes or is not to be read.
    pub(super) fn read_caller(&mut self, key: usize) {
        let is_short = self.clients.memory.level() >= MemoryLevel::Short;
        let step = if is_short { SHORT_READ_BYTES } else { READ_BYTES };
        for _ in 0..READS_PER_TURN {
            self.advance_caller(key);
            let Some(conn) = self.callers.get_mut(key) else { return };
            if !conn.readable || !conn.is_wanted() {
                return;
            }
            match sock::read_step(&mut conn.sock, &mut self.scratch[..step]) {
                ReadStep::Bytes(n) => {
                    conn.readable = n == step;
                    conn.take(&self.scratch[..n], self.now);
                }
                ReadStep::Empty => conn.readable = false,
                ReadStep::Ended => {
                    conn.readable = false;
                    conn.closed = true;
                    if !matches!(conn.phase, Phase::Lingering) || conn.out.is_empty() {
                        return self.drop_caller(key);
                    }
                }
            }
        }
        self.continue_caller(key);
    }

    /// Has the event queue report the connection again, so that others come first.
    fn continue_caller(&mut self, key: usize) {
        let Some(conn) = self.callers.get_mut(key) else { return };
        let token = EventSource::Caller(key).token();
        let both = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().reregister(&mut conn.sock, token, both).is_err() {
            self.drop_caller(key);
        }
    }

    /// Decodes the received bytes, one request at a time.
    fn advance_caller(&mut self, key: usize) {
        let limits = self.active_catalog.limits();
        loop {
            let now = self.now;
            let Some(conn) = self.callers.get_mut(key) else { return };
            match &mut conn.phase {
                Phase::Idle if conn.inbuf.is_empty() || !conn.out.is_empty() => return,
                Phase::Idle => {
                    conn.phase = Phase::Head;
                    conn.since = now;
                    conn.progress = now;
                    conn.received = 0;
                }
                Phase::Head => match http::parse_request_head(&conn.inbuf, limits.head_bytes) {
                    Ok(None) => return,
                    Ok(Some(head)) => {
                        if !self.begin_body(key, head, limits.body_bytes as u64) {
                            return;
                        }
                    }
                    Err(HeadError::TooLong) => return self.refuse_caller(key, Cause::HeadTooLong),
                    Err(HeadError::Malformed(_)) => {
                        return self.refuse_caller(key, Cause::Malformed);
                    }
                },
                Phase::Body(..) if conn.held_since.is_some() => return,
                Phase::Body(_, reader) => {
                    match reader.push(&conn.inbuf) {
                        Ok(used) if used == conn.inbuf.len() => conn.inbuf = Vec::new(),
                        Ok(used) => {
                            conn.inbuf.drain(..used);
                        }
                        Err(BodyError::TooLong) => {
                            return self.refuse_caller(key, Cause::BodyTooLong);
                        }
                        Err(BodyError::Malformed) => {
                            return self.refuse_caller(key, Cause::Malformed);
                        }
                    }
                    if !reader.is_done() {
                        return;
                    }
                    self.dispatch_request(key);
                }
                Phase::AwaitingQuota(_)
                | Phase::Waiting(_)
                | Phase::Relayed(_)
                | Phase::Lingering => return,
            }
        }
    }

    /// Prepares to read the body after `head`; returns false if the request was refused or waits
    /// for memory, or the connection was closed.
    fn begin_body(&mut self, key: usize, head: RequestHead, max: u64) -> bool {
        let Some(conn) = self.callers.get_mut(key) else { return false };
        conn.inbuf.drain(..head.length);
        let is_request = conn.purpose == ListenerPurpose::Requests;
        let max = if is_request { max } else { ENDPOINT_BODY_BYTES };
        let Ok(reader) = BodyReader::new(head.framing, max) else {
            self.refuse_caller(key, Cause::BodyTooLong);
            return false;
        };
        let bytes = reader.max_bytes();
        let is_done = reader.is_done();
        conn.phase = Phase::Body(Box::new(head), reader);
        if is_request && !is_done && !self.clients.memory.admits_body(bytes) {
            self.hold_body(key);
            return false;
        }
        self.charge_caller(key);
        self.send_continue(key)
    }

    /// Tells a caller that waits for it to send the body; returns false if the connection was
    /// closed.
    pub(super) fn send_continue(&mut self, key: usize) -> bool {
        let Some(conn) = self.callers.get_mut(key) else { return false };
        let Phase::Body(head, reader) = &conn.phase else { return true };
        if head.expects_continue && !reader.is_done() && conn.inbuf.is_empty() {
            conn.out.push(CONTINUE_RESPONSE.to_vec());
            return self.flush_caller(key);
        }
        true
    }

    fn dispatch_request(&mut self, key: usize) {
        let Some(conn) = self.callers.get_mut(key) else { return };
        let is_request = conn.purpose == ListenerPurpose::Requests;
        if is_request && !self.clients.memory.admits_request() {
            self.metrics.clients.count("memory", "refused");
            return self.refuse_caller(key, Cause::MemoryShort);
        }
        let Phase::Body(head, reader) = std::mem::replace(&mut conn.phase, Phase::Idle) else {
            return;
        };
        // The body now belongs to the request.
        self.charge_caller(key);
        let Some(conn) = self.callers.get(key) else { return };
        match conn.purpose {
            ListenerPurpose::Requests => self.begin_request(key, *head, reader.into_body()),
            ListenerPurpose::Endpoints => self.answer_endpoint(key, &head),
            ListenerPurpose::Metrics => {
                let text = self.metrics_text();
                let bytes = http::host_response(200, Some("text/plain"), text.as_bytes(), true);
                self.send_caller(key, bytes, true);
            }
        }
    }

    /// Continues with the bytes that a caller sent while its request was in progress.
    pub(crate) fn resume_caller(&mut self, key: usize) {
        let is_due = |conn: &CallerConn| !conn.inbuf.is_empty() || conn.readable;
        if self.callers.get(key).is_some_and(is_due) {
            self.read_caller(key);
            self.charge_caller(key);
        }
    }
}
