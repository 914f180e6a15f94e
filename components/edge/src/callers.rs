//! Connections of callers, and connections to the endpoints of the host itself.

use {
    crate::{
        body::{BodyError, BodyReader},
        node::{EventSource, ListenerPurpose, Node},
        requests::RETRY_AFTER_NO_CONFIG,
        sock::{self, OutBuf, ReadEnd},
        tcp_info,
    },
    mio::{Interest, net::TcpStream},
    serde_json::json,
    std::{io::ErrorKind, net::Shutdown},
    wigeonramp_platform::{
        endpoints::{self, EndpointRequest},
        http::{self, CONTINUE_RESPONSE, HeadError, RequestHead},
    },
    wigeonramp_routing::{
        entry::{ADDRESS_TTL_S, EntryQuery, select_entry_hosts},
        reply::{Cause, Reply},
        reply_time::CallerPath,
    },
    wigeonramp_units::{Instant, Span},
};

/// Maximum number of bytes buffered for pipelined requests, which a caller sends before it has the
/// response to its current one.
const MAX_PIPELINED: usize = 64 * 1024;
/// Time to wait for the caller to close its side after the last response. Closing the socket
/// earlier could reset the connection and lose that response in transit.
const LINGER: Span = Span::secs(1);

/// State of a connection.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Between requests.
    Idle,
    /// Reading a head.
    Head,
    /// Reading a body.
    Body(Box<RequestHead>, BodyReader),
    /// The request with this key is in progress.
    Waiting(usize),
    /// The last response is being sent, and the connection closes after it.
    Lingering,
}

/// A connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConn {
    sock: TcpStream,
    purpose: ListenerPurpose,
    inbuf: Vec<u8>,
    out: OutBuf,
    pub phase: Phase,
    /// Time at which the connection opened, the current request began or the last response was
    /// sent.
    pub since: Instant,
    /// Distinguishes connections that use the same key one after the other.
    pub serial: u64,
    /// Number of responses sent.
    pub served: u32,
    /// Whether the caller closed its side or the connection failed.
    closed: bool,
}

impl CallerConn {
    /// Returns what is known of the way to the caller of a request that announced `time_left`.
    pub fn path(&self, time_left: Option<Span>) -> CallerPath {
        let round_trip = tcp_info::round_trip(&self.sock);
        CallerPath { round_trip, is_first: self.served == 0, time_left }
    }
}

impl Node {
    pub(crate) fn accept(&mut self, index: usize) {
        loop {
            let Some((listener, purpose)) = self.listeners.get(index) else { return };
            let purpose = *purpose;
            match listener.accept() {
                Ok((sock, _)) => self.add_caller(sock, purpose),
                Err(err) if err.kind() == ErrorKind::WouldBlock => return,
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => {
                    let fields = json!({ "error": err.to_string() });
                    self.journal.record("accept_failed", fields, self.now);
                    return;
                }
            }
        }
    }

    fn add_caller(&mut self, mut sock: TcpStream, purpose: ListenerPurpose) {
        // Without the option responses can be delayed until the caller acknowledges earlier bytes,
        // but the connection works.
        let _ = sock.set_nodelay(true);
        self.serial += 1;
        let entry = self.callers.vacant_entry();
        let token = EventSource::Caller(entry.key()).token();
        if self.poll.registry().register(&mut sock, token, Interest::READABLE).is_err() {
            return;
        }
        entry.insert(CallerConn {
            sock,
            purpose,
            inbuf: Vec::new(),
            out: OutBuf::default(),
            phase: Phase::Idle,
            since: self.now,
            serial: self.serial,
            served: 0,
            closed: false,
        });
    }

    pub(crate) fn on_caller(&mut self, key: usize, writable: bool) {
        if !self.callers.contains(key) {
            return;
        }
        if writable && !self.flush_caller(key) {
            return;
        }
        self.read_caller(key);
    }

    fn read_caller(&mut self, key: usize) {
        let limits = self.active_catalog.limits();
        let Some(conn) = self.callers.get_mut(key) else { return };
        let limit = match conn.phase {
            Phase::Waiting(_) => MAX_PIPELINED,
            _ => limits.head_bytes + limits.body_bytes + MAX_PIPELINED,
        };
        let end = sock::read(&mut conn.sock, &mut conn.inbuf, &mut self.scratch, limit);
        if end != ReadEnd::Drained {
            conn.closed = true;
        }
        match conn.phase {
            Phase::Lingering => {
                conn.inbuf.clear();
                if end != ReadEnd::Drained && conn.out.is_empty() {
                    self.drop_caller(key);
                }
            }
            _ if end != ReadEnd::Drained => self.drop_caller(key),
            _ => self.advance_caller(key),
        }
    }

    /// Decodes the received bytes, one request at a time.
    fn advance_caller(&mut self, key: usize) {
        let limits = self.active_catalog.limits();
        loop {
            let now = self.now;
            let Some(conn) = self.callers.get_mut(key) else { return };
            match &mut conn.phase {
                Phase::Idle if conn.inbuf.is_empty() => return,
                Phase::Idle => {
                    conn.phase = Phase::Head;
                    conn.since = now;
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
                Phase::Body(_, reader) => {
                    match reader.push(&conn.inbuf) {
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
                Phase::Waiting(_) | Phase::Lingering => return,
            }
        }
    }

    /// Prepares to read the body after `head`; returns false if the request was refused or the
    /// connection was closed.
    fn begin_body(&mut self, key: usize, head: RequestHead, max: u64) -> bool {
        let Some(conn) = self.callers.get_mut(key) else { return false };
        conn.inbuf.drain(..head.length);
        let reader = match BodyReader::new(head.framing, max) {
            Ok(reader) => reader,
            Err(_) => {
                self.refuse_caller(key, Cause::BodyTooLong);
                return false;
            }
        };
        let send_continue = head.expects_continue && !reader.is_done() && conn.inbuf.is_empty();
        conn.phase = Phase::Body(Box::new(head), reader);
        if send_continue {
            conn.out.push(CONTINUE_RESPONSE.to_vec());
            return self.flush_caller(key);
        }
        true
    }

    fn dispatch_request(&mut self, key: usize) {
        let Some(conn) = self.callers.get_mut(key) else { return };
        let Phase::Body(head, reader) = std::mem::replace(&mut conn.phase, Phase::Idle) else {
            return;
        };
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

    fn answer_endpoint(&mut self, key: usize, head: &RequestHead) {
        let close = !head.keep_alive;
        let bytes = match endpoints::parse_request(&head.target) {
            Some(EndpointRequest::Readiness) => {
                let status = if self.is_ready() { 200 } else { 503 };
                http::host_response(status, None, b"", close)
            }
            Some(EndpointRequest::Resolve { name, region, zone }) => {
                self.resolve(&name, &region, &zone, close)
            }
            None => http::host_response(404, None, b"", close),
        };
        self.send_caller(key, bytes, close);
    }

    fn resolve(&mut self, name: &str, region: &str, zone: &str, close: bool) -> Vec<u8> {
        let catalog = self.active_catalog.current();
        // Without a configuration the homes of the routes are unknown: hosts of the caller's region
        // may take its requests in any case.
        let homes = self.active_catalog.home_regions(name);
        let mut regions = homes.or_else(|| catalog.is_none().then(Vec::new));
        if let (Some(regions), Ok(region)) = (&mut regions, region.parse()) {
            regions.push(region);
        }
        let query = EntryQuery { zone, regions: regions.as_deref().unwrap_or_default() };
        let catalog = catalog.map(AsRef::as_ref);
        let hosts =
            select_entry_hosts(&self.members, catalog, &self.routing.leaves, query, self.now);
        if hosts.is_empty() {
            return http::host_response(503, None, b"", close);
        }
        let body =
            endpoints::resolve_body(&hosts, self.settings.caller_address.port(), ADDRESS_TTL_S);
        http::host_response(200, Some("application/json"), &body, close)
    }

    /// Responds to a request that cannot be read, and closes the connection.
    fn refuse_caller(&mut self, key: usize, cause: Cause) {
        let exceeds_limit = matches!(cause, Cause::HeadTooLong | Cause::BodyTooLong);
        let has_config = self.active_catalog.current().is_some();
        let reply = if exceeds_limit && !has_config {
            // The configuration may allow more than the default limits.
            Reply::Refused { cause: Cause::NoConfig, retry_after: RETRY_AFTER_NO_CONFIG }
        } else {
            Reply::Refused { cause, retry_after: Span::ZERO }
        };
        self.metrics.count_reply(None, http::reply_status(&reply), cause.name());
        self.journal.record("unreadable_request", json!({ "cause": cause.name() }), self.now);
        let bytes = http::encode_reply(&reply, false, true);
        self.send_caller(key, bytes, true);
    }

    /// Sends a response; if `last`, the connection closes after it.
    pub(crate) fn send_caller(&mut self, key: usize, bytes: Vec<u8>, last: bool) {
        let now = self.now;
        let Some(conn) = self.callers.get_mut(key) else { return };
        conn.out.push(bytes);
        conn.served += 1;
        conn.since = now;
        conn.phase = if last { Phase::Lingering } else { Phase::Idle };
        if conn.inbuf.is_empty() {
            conn.inbuf = Vec::new();
        }
        self.flush_caller(key);
    }

    /// Continues with the bytes that a caller sent while its request was in progress.
    pub(crate) fn resume_caller(&mut self, key: usize) {
        if self.callers.get(key).is_some_and(|conn| !conn.inbuf.is_empty()) {
            self.read_caller(key);
        }
    }

    /// Writes buffered bytes; returns false if the connection was closed.
    fn flush_caller(&mut self, key: usize) -> bool {
        let Some(conn) = self.callers.get_mut(key) else { return false };
        if conn.out.flush(&mut conn.sock).is_err() {
            self.drop_caller(key);
            return false;
        }
        if !conn.out.is_empty() {
            let both = Interest::READABLE | Interest::WRITABLE;
            let token = EventSource::Caller(key).token();
            if self.poll.registry().reregister(&mut conn.sock, token, both).is_err() {
                self.drop_caller(key);
                return false;
            }
            return true;
        }
        if matches!(conn.phase, Phase::Lingering) {
            // The caller may have closed the connection already.
            let _ = conn.sock.shutdown(Shutdown::Write);
            if conn.closed {
                self.drop_caller(key);
                return false;
            }
        }
        true
    }

    fn drop_caller(&mut self, key: usize) {
        let Some(mut conn) = self.callers.try_remove(key) else { return };
        // Closing the socket removes it from the event queue anyway.
        let _ = self.poll.registry().deregister(&mut conn.sock);
        if let Phase::Waiting(request) = conn.phase {
            self.on_caller_closed(request);
        }
    }

    pub(crate) fn sweep_callers(&mut self) {
        let limits = self.active_catalog.limits();
        let now = self.now;
        let mut slow = Vec::new();
        let mut expired = Vec::new();
        for (key, conn) in &self.callers {
            let age = now.since(conn.since);
            match conn.phase {
                Phase::Idle if age > limits.idle_time => expired.push(key),
                Phase::Head if age > limits.head_time => slow.push(key),
                Phase::Body(..) if age > limits.idle_time => slow.push(key),
                Phase::Lingering if age > LINGER && conn.out.is_empty() => expired.push(key),
                Phase::Lingering if age > limits.idle_time => expired.push(key),
                _ => {}
            }
        }
        for key in slow {
            self.refuse_caller(key, Cause::HeadTooSlow);
        }
        for key in expired {
            self.drop_caller(key);
        }
    }

    /// Refuses the requests that are still being read, because the process ends.
    pub(crate) fn refuse_unread_requests(&mut self) {
        let is_reading = |conn: &CallerConn| matches!(conn.phase, Phase::Head | Phase::Body(..));
        let reading = self.callers.iter().filter(|(_, conn)| is_reading(conn));
        let reading: Vec<usize> = reading.map(|(key, _)| key).collect();
        for key in reading {
            self.refuse_caller(key, Cause::Stopping);
        }
    }

    /// Closes all connections that are idle between requests.
    pub(crate) fn close_idle_callers(&mut self) {
        let idle =
            |(key, conn): (usize, &CallerConn)| matches!(conn.phase, Phase::Idle).then_some(key);
        let idle: Vec<usize> = self.callers.iter().filter_map(idle).collect();
        for key in idle {
            let now = self.now;
            if let Some(conn) = self.callers.get_mut(key) {
                conn.phase = Phase::Lingering;
                conn.since = now;
            }
            self.flush_caller(key);
        }
    }
}
