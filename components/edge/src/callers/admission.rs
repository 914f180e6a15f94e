//! Carrying out the limits on clients: who is accepted, whose body waits, and who is timed out,
//! refused or closed. `wigeonramp_routing::clients` decides.

use {
    super::{CallerConn, Phase},
    crate::node::{ListenerPurpose, Node},
    rustix::process::{Resource, Rlimit, getrlimit, setrlimit},
    serde_json::json,
    std::{collections::VecDeque, io::Error},
    wigeonramp_platform::settings::NodeSettings,
    wigeonramp_routing::{
        clients::{
            STALL_TIME,
            connections::ConnectionLimits,
            memory::{MemoryBudget, MemoryLevel},
            relief::{Client, ClientPhase, RELIEF_INTERVAL, Relief, for_connections, for_memory},
        },
        reply::Cause,
    },
    wigeonramp_units::{Instant, Span},
};

/// Number of listeners for callers and endpoints.
pub(crate) const LISTENERS: usize = 4;
/// Names of the listeners in logs and metrics, in the order in which they are opened.
pub(crate) const LISTENER_NAMES: [&str; LISTENERS] =
    ["callers", "directory", "readiness", "metrics"];
/// Longest time for which a body waits for memory.
const MAX_BODY_WAIT: Span = STALL_TIME;
/// From this fraction of the callers' limit on, the kernel's buffers of new connections are
/// limited.
const CROWDED_DIVISOR: usize = 4;

/// Limits on clients and what is used of them.
#[derive(Debug)]
pub(crate) struct ClientLimits {
    pub memory: MemoryBudget,
    pub connections: ConnectionLimits,
    /// Number of open connections by listener.
    pub open: [usize; LISTENERS],
    /// Whether connections wait to be accepted, by listener.
    awaits_accept: [bool; LISTENERS],
    /// Whether the system last refused to accept a connection, by listener.
    accept_fails: [bool; LISTENERS],
    /// Whether the limit of the listener was reached since the last sweep, and whether that is
    /// logged.
    was_full: [bool; LISTENERS],
    logged_full: [bool; LISTENERS],
    /// Keys and serial numbers of connections whose bodies wait for memory, the oldest first.
    held: VecDeque<(usize, u64)>,
    next_memory_relief: Instant,
    next_connection_relief: [Instant; LISTENERS],
    next_accept: Instant,
    /// Level of the memory that was last logged.
    logged_level: MemoryLevel,
}

impl ClientLimits {
    /// Creates the limits of a host.
    pub fn new(settings: &NodeSettings, now: Instant) -> Self {
        let fd_limit = raise_fd_limit(settings.fd_limit);
        Self {
            memory: MemoryBudget::new(settings.memory_mb),
            connections: ConnectionLimits::new(fd_limit),
            open: [0; LISTENERS],
            awaits_accept: [false; LISTENERS],
            accept_fails: [false; LISTENERS],
            was_full: [false; LISTENERS],
            logged_full: [false; LISTENERS],
            held: VecDeque::new(),
            next_memory_relief: now,
            next_connection_relief: [now; LISTENERS],
            next_accept: now,
            logged_level: MemoryLevel::Calm,
        }
    }

    /// Returns the maximum number of connections of a listener.
    pub fn limit(&self, listener: usize) -> usize {
        if listener == 0 { self.connections.callers } else { self.connections.endpoint }
    }

    /// Whether the kernel's buffers of new connections are to be limited.
    pub fn is_crowded(&self, listener: usize) -> bool {
        self.open[listener] >= self.limit(listener) / CROWDED_DIVISOR
    }

    /// Has the connections of a listener accepted later.
    pub fn await_accept(&mut self, listener: usize) {
        self.awaits_accept[listener] = true;
    }

    /// Has further connections of a listener accepted after other events.
    pub fn continue_accept(&mut self, listener: usize, now: Instant) {
        self.await_accept(listener);
        self.next_accept = now;
    }

    /// Returns the time at which connections are accepted that wait; none if none wait.
    pub fn next_at(&self) -> Option<Instant> {
        self.awaits_accept.contains(&true).then_some(self.next_accept)
    }
}

/// Raises the process's own limit of descriptors to `wanted`, as far as the system allows it.
/// Returns the number of descriptors that can be used.
fn raise_fd_limit(wanted: usize) -> usize {
    let own = getrlimit(Resource::Nofile);
    let wanted_fds = wanted as u64;
    if own.current.is_none_or(|current| current >= wanted_fds) {
        return wanted;
    }
    let raised = own.maximum.map_or(wanted_fds, |maximum| maximum.min(wanted_fds));
    // If this fails, the former limit is in force, which is read below.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: Some(raised), maximum: own.maximum });
    let current = getrlimit(Resource::Nofile).current.unwrap_or(wanted_fds);
    wanted.min(usize::try_from(current).unwrap_or(wanted))
}

impl CallerConn {
    fn as_client(&self, key: usize) -> Client {
        let phase = match self.phase {
            Phase::AwaitingQuota(_) | Phase::Waiting(_) | Phase::Relayed(_) => {
                ClientPhase::InProgress
            }
            _ if self.held_since.is_some() => ClientPhase::InProgress,
            _ if !self.out.is_empty() => ClientPhase::Unread,
            Phase::Head | Phase::Body(..) => ClientPhase::Sending,
            Phase::Idle if self.served > 0 => ClientPhase::Kept,
            Phase::Idle | Phase::Lingering => ClientPhase::Silent,
        };
        Client { key, phase, progress: self.progress, bytes: self.charge.bytes() }
    }
}

impl Node {
    /// Returns whether a listener may accept a connection. At its limit, connections without
    /// progress are closed; if there are none, new ones wait in the kernel.
    pub(super) fn make_room_for_client(&mut self, listener: usize) -> bool {
        let limit = self.clients.limit(listener);
        if self.clients.open[listener] < limit {
            return true;
        }
        self.clients.was_full[listener] = true;
        if self.now >= self.clients.next_connection_relief[listener] {
            self.clients.next_connection_relief[listener] = self.now + RELIEF_INTERVAL;
            let conns = self.callers.iter().filter(|(_, conn)| conn.listener == listener);
            let clients: Vec<Client> = conns.map(|(key, conn)| conn.as_client(key)).collect();
            let chosen = for_connections(&clients, self.now);
            self.relieve("connections", &chosen, true);
        }
        let has_room = self.clients.open[listener] < limit;
        if !has_room {
            self.clients.await_accept(listener);
        }
        has_room
    }

    /// Handles that the system does not accept a connection, for want of descriptors or memory. It
    /// is tried again after a while.
    pub(super) fn accept_failed(&mut self, listener: usize, err: &Error) {
        if !std::mem::replace(&mut self.clients.accept_fails[listener], true) {
            let fields = json!({ "error": err.to_string(), "port": LISTENER_NAMES[listener] });
            self.journal.record("accept_failed", fields, self.now);
        }
        self.clients.await_accept(listener);
    }

    /// Handles that the system accepts connections again.
    pub(super) fn accept_succeeded(&mut self, listener: usize) {
        if std::mem::take(&mut self.clients.accept_fails[listener]) {
            let fields = json!({ "port": LISTENER_NAMES[listener] });
            self.journal.record("accept_resumed", fields, self.now);
        }
    }

    /// Has the body of a connection wait for memory.
    pub(super) fn hold_body(&mut self, key: usize) {
        let Some(conn) = self.callers.get_mut(key) else { return };
        conn.held_since = Some(self.now);
        conn.inbuf.shrink_to_fit();
        self.clients.held.push_back((key, conn.serial));
        self.metrics.clients.count("memory", "waited");
        self.relieve_memory();
    }

    /// Reads the bodies for which there is memory again, and accepts connections that wait.
    pub(crate) fn resume_clients(&mut self) {
        while let Some((key, serial)) = self.clients.held.front().copied() {
            let conn = self.callers.get_mut(key).filter(|conn| conn.serial == serial);
            let Some(conn) = conn.filter(|conn| conn.held_since.is_some()) else {
                self.clients.held.pop_front();
                continue;
            };
            let Phase::Body(_, reader) = &conn.phase else {
                self.clients.held.pop_front();
                continue;
            };
            if !self.clients.memory.admits_body(reader.max_bytes()) {
                break;
            }
            conn.held_since = None;
            conn.progress = self.now;
            conn.readable = true;
            self.clients.held.pop_front();
            self.charge_caller(key);
            if self.send_continue(key) {
                self.resume_caller(key);
            }
        }
        if self.clients.next_at().is_some_and(|at| at <= self.now) {
            self.clients.next_accept = self.now + RELIEF_INTERVAL;
            for listener in 0..LISTENERS {
                if std::mem::take(&mut self.clients.awaits_accept[listener]) {
                    self.accept(listener);
                }
            }
        }
    }

    /// Times out, refuses or closes connections so that bodies that wait can be read.
    fn relieve_memory(&mut self) {
        let level = self.clients.memory.level();
        let is_due = self.now >= self.clients.next_memory_relief;
        if !is_due || (level == MemoryLevel::Calm && self.clients.held.is_empty()) {
            return;
        }
        self.clients.next_memory_relief = self.now + RELIEF_INTERVAL;
        let is_request = |conn: &CallerConn| conn.purpose == ListenerPurpose::Requests;
        let conns = self.callers.iter().filter(|(_, conn)| is_request(conn));
        let clients: Vec<Client> = conns.map(|(key, conn)| conn.as_client(key)).collect();
        let is_exceeded = level == MemoryLevel::Exceeded;
        let excess = self.clients.memory.excess();
        let chosen = for_memory(&clients, excess, is_exceeded, self.now);
        self.relieve("memory", &chosen, false);
    }

    /// Carries out a choice; `at_once` closes the chosen connections without waiting for their
    /// callers.
    fn relieve(&mut self, limit: &'static str, chosen: &[(usize, Relief)], at_once: bool) {
        for (key, relief) in chosen {
            let (action, cause) = match relief {
                Relief::Close => ("closed", None),
                Relief::TimeOut => ("timed_out", Some(Cause::HeadTooSlow)),
                Relief::Refuse => ("refused", Some(Cause::MemoryShort)),
            };
            self.metrics.clients.count(limit, action);
            match cause {
                Some(cause) => self.refuse_caller(*key, cause),
                None => self.drop_caller(*key),
            }
            if at_once {
                self.drop_caller(*key);
            }
        }
    }

    /// Refuses bodies that have waited too long for memory, relieves it, and logs changes of the
    /// limits.
    pub(super) fn sweep_client_limits(&mut self) {
        let now = self.now;
        while let Some((key, serial)) = self.clients.held.front().copied() {
            let conn = self.callers.get(key).filter(|conn| conn.serial == serial);
            let held_since = conn.and_then(|conn| conn.held_since);
            if held_since.is_some_and(|since| now.since(since) < MAX_BODY_WAIT) {
                break;
            }
            self.clients.held.pop_front();
            if held_since.is_some() {
                self.metrics.clients.count("memory", "refused");
                self.refuse_caller(key, Cause::MemoryShort);
            }
        }
        self.relieve_memory();
        self.log_client_limits();
    }

    fn log_client_limits(&mut self) {
        let (level, before) = (self.clients.memory.level(), self.clients.logged_level);
        if level != before {
            self.clients.logged_level = level;
            let fields = json!({
                "limit": "memory", "state": level.name(), "before": before.name(),
                "used": self.clients.memory.used(), "of": self.clients.memory.limit(),
            });
            self.journal.record("client_limit", fields, self.now);
        }
        for (listener, name) in LISTENER_NAMES.iter().enumerate() {
            let full = std::mem::take(&mut self.clients.was_full[listener]);
            let logged = std::mem::replace(&mut self.clients.logged_full[listener], full);
            if full != logged {
                let fields = json!({
                    "limit": "connections", "state": if full { "full" } else { "open" },
                    "port": name, "used": self.clients.open[listener],
                    "of": self.clients.limit(listener),
                });
                self.journal.record("client_limit", fields, self.now);
            }
        }
    }
}
