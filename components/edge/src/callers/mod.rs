//! Connections of callers, and connections to the endpoints of the host itself.

mod admission;
mod endpoints;
mod reading;
mod responses;

pub(crate) use admission::{ClientLimits, LISTENER_NAMES};

use {
    crate::{
        body::BodyReader,
        node::{EventSource, ListenerPurpose, Node},
        sock::{self, OutBuf},
        tcp_info,
    },
    mio::{Interest, event::Event, net::TcpStream},
    std::io::ErrorKind,
    wigeonramp_platform::http::RequestHead,
    wigeonramp_routing::{clients::memory::Charge, reply::Cause, reply_time::CallerPath},
    wigeonramp_units::{Instant, Span},
};

/// Time to wait for the caller to close its side after the last response. Closing the socket
/// earlier could reset the connection and lose that response in transit.
const LINGER: Span = Span::secs(1);
/// Maximum number of connections that are accepted from one listener before other events.
const ACCEPTS_PER_TURN: usize = 64;
/// Bytes that a connection takes without its buffers.
const CONN_BYTES: usize = 1_024;

/// State of a connection.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Between requests.
    Idle,
    /// Reading a head.
    Head,
    /// Reading a body.
    Body(Box<RequestHead>, BodyReader),
    /// The request, which takes these bytes, waits for a permit of its account.
    AwaitingQuota(usize),
    /// The request with this key is in progress.
    Waiting(usize),
    /// The request is passed on to another host as the relay with this key.
    Relayed(usize),
    /// The last response is being sent, and the connection closes after it.
    Lingering,
}

/// A connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConn {
    sock: TcpStream,
    /// Index of the listener that accepted the connection.
    listener: usize,
    purpose: ListenerPurpose,
    inbuf: Vec<u8>,
    out: OutBuf,
    pub phase: Phase,
    opened: Instant,
    /// Time at which the connection opened, the current request began or the last response was
    /// sent.
    pub since: Instant,
    /// Time of the last progress in the current phase.
    progress: Instant,
    /// Bytes received since then.
    received: u64,
    /// Time since which a body waits for memory; it is not read meanwhile.
    held_since: Option<Instant>,
    /// Whether there may be bytes to read.
    readable: bool,
    /// Distinguishes connections that use the same key one after the other.
    pub serial: u64,
    /// Number of responses sent.
    pub served: u32,
    /// Whether the caller closed its side or the connection failed.
    closed: bool,
    charge: Charge,
}

impl CallerConn {
    /// Returns what is known of the way to the caller of a request that announced `time_left`.
    pub fn path(&self, time_left: Option<Span>) -> CallerPath {
        let round_trip = tcp_info::round_trip(&self.sock);
        CallerPath { round_trip, is_first: self.served == 0, time_left }
    }

    /// Returns the number of bytes that the connection takes, and those that its body may take
    /// until it is complete.
    fn held_bytes(&self) -> usize {
        let body = match &self.phase {
            Phase::Body(head, reader) if self.held_since.is_some() => {
                head.held_bytes() + reader.held_bytes()
            }
            Phase::Body(head, reader) => head.held_bytes() + reader.max_bytes(),
            Phase::AwaitingQuota(bytes) => *bytes,
            _ => 0,
        };
        CONN_BYTES + self.inbuf.capacity() + self.out.held_bytes() + body
    }
}

impl Node {
    /// Accepts connections as far as the limits allow; the others wait in the kernel.
    pub(crate) fn accept(&mut self, index: usize) {
        for _ in 0..ACCEPTS_PER_TURN {
            if index >= self.listeners.len() || !self.make_room_for_client(index) {
                return;
            }
            let (listener, purpose) = &self.listeners[index];
            let purpose = *purpose;
            match listener.accept() {
                Ok((sock, _)) => {
                    self.accept_succeeded(index);
                    self.add_caller(sock, index, purpose);
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => return,
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => return self.accept_failed(index, &err),
            }
        }
        self.clients.continue_accept(index, self.now);
    }

    fn add_caller(&mut self, mut sock: TcpStream, listener: usize, purpose: ListenerPurpose) {
        // Without the option responses can be delayed until the caller acknowledges earlier bytes,
        // but the connection works.
        let _ = sock.set_nodelay(true);
        if self.clients.is_crowded(listener) {
            sock::limit_kernel_buffers(&sock);
        }
        self.serial += 1;
        let entry = self.callers.vacant_entry();
        let key = entry.key();
        let token = EventSource::Caller(key).token();
        if self.poll.registry().register(&mut sock, token, Interest::READABLE).is_err() {
            return;
        }
        entry.insert(CallerConn {
            sock,
            listener,
            purpose,
            inbuf: Vec::new(),
            out: OutBuf::default(),
            phase: Phase::Idle,
            opened: self.now,
            since: self.now,
            progress: self.now,
            received: 0,
            held_since: None,
            readable: false,
            serial: self.serial,
            served: 0,
            closed: false,
            charge: Charge::default(),
        });
        self.clients.open[listener] += 1;
        self.charge_caller(key);
    }

    pub(crate) fn on_caller(&mut self, key: usize, event: &Event) {
        let Some(conn) = self.callers.get_mut(key) else { return };
        conn.readable = true;
        // The event may be of an earlier connection with the same key, which was closed while the
        // events of this turn were handled.
        let is_new = conn.opened == self.now;
        if event.is_read_closed() && !is_new && !matches!(conn.phase, Phase::Lingering) {
            return self.drop_caller(key);
        }
        if event.is_writable() && !self.flush_caller(key) {
            return;
        }
        self.read_caller(key);
        self.charge_caller(key);
    }

    /// Charges what a connection takes now.
    pub(crate) fn charge_caller(&mut self, key: usize) {
        let Some(conn) = self.callers.get_mut(key) else { return };
        let bytes = conn.held_bytes();
        self.clients.memory.set(&mut conn.charge, bytes);
    }

    fn drop_caller(&mut self, key: usize) {
        let Some(mut conn) = self.callers.try_remove(key) else { return };
        self.clients.memory.release(&mut conn.charge);
        self.clients.open[conn.listener] -= 1;
        // Closing the socket removes it from the event queue anyway.
        let _ = self.poll.registry().deregister(&mut conn.sock);
        match conn.phase {
            Phase::Waiting(request) => self.on_caller_closed(request),
            Phase::Relayed(relay) => self.on_relay_caller_closed(relay),
            _ => {}
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
        self.sweep_client_limits();
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
