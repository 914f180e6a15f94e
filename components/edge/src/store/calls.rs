//! Starting the calls that are due.

use {
    super::{Call, CallPurpose, StoreConn},
    crate::{
        node::{EventSource, Node},
        sock,
    },
    mio::Interest,
    serde_json::json,
    wigeonramp_platform::{
        objects::{self, ObjectKind},
        rollouts,
    },
    wigeonramp_routing::{
        follow::Origin,
        list_watch::{ListWatch, ListWatchCall},
        releases::status::{StatusResult, StatusWrite},
    },
    wigeonramp_units::Span,
};

/// Time for which the store holds a watch open without changes.
const WATCH_WAIT: Span = Span::secs(25);
/// Timeout of a list or watch. For a watch, the time that the store may hold it open is added.
const CALL_TIMEOUT: Span = Span::millis(2_500);
/// Timeout of a probe and of the registration; a slow store responds within half a second.
const PROBE_TIMEOUT: Span = Span::millis(700);
/// Time after its start until a host without live peers reads the member list in the store.
const ALONE_AFTER: Span = Span::millis(1_000);
/// Interval of attempts to register in the member list. Their failures do not count against the
/// store: it may limit writes only.
const REGISTRATION_INTERVAL: Span = Span::secs(2);
/// Interval of reading the member list.
const MEMBER_LIST_INTERVAL: Span = Span::secs(3);

impl Node {
    /// Starts the calls that are due, and fails those that have timed out.
    pub(crate) fn start_due_calls(&mut self) {
        let watches_store = self.origin_selector.origin() == Origin::Store;
        if self.store.health.set_watches(watches_store, self.now) && !watches_store {
            self.release_watches();
        }
        let known_era = self.replicated.era();
        if known_era > self.store.era {
            self.enter_era(known_era, "host");
        }
        for index in 0..self.store.conns.len() {
            let conn = &self.store.conns[index];
            if let Some(call) = &conn.call {
                if self.now >= call.deadline {
                    self.store_failed(index, "no answer");
                }
            } else if conn.kind == ObjectKind::Members {
                self.start_due_member_call(index, watches_store);
            } else if watches_store {
                self.start_due_list_watch(index);
            }
        }
    }

    fn start_due_list_watch(&mut self, index: usize) {
        let now = self.now;
        self.skip_replicated(index);
        let conn = &mut self.store.conns[index];
        let Some(call) = conn.list_watch.start_due_call(now) else { return };
        let bytes = objects::list_watch_request(conn.kind, &call, WATCH_WAIT, self.store.address);
        let wait = match call {
            ListWatchCall::Watch { since } => {
                let fields = json!({ "kind": conn.kind.name(), "since": since });
                self.journal.record("store_watch", fields, now);
                WATCH_WAIT
            }
            ListWatchCall::List { .. } | ListWatchCall::Poll { .. } => Span::ZERO,
        };
        self.start_call(index, bytes, CallPurpose::ListWatch(call), wait);
    }

    /// Skips the changes that were received from another host.
    fn skip_replicated(&mut self, index: usize) {
        let conn = &mut self.store.conns[index];
        let upto = match conn.kind {
            ObjectKind::Config => self.replicated.config_upto,
            ObjectKind::Leaves => self.replicated.leaves.upto(),
            ObjectKind::Evacuations => self.replicated.evacuations.upto(),
            ObjectKind::Rollouts => self.replicated.orders.upto(),
            ObjectKind::Members => return,
        };
        conn.list_watch.advance_to(upto, self.now);
    }

    /// Gives up the pending lists and watches, as another host watches the store now.
    fn release_watches(&mut self) {
        for index in 0..self.store.conns.len() {
            if self.store.conns[index].kind == ObjectKind::Members {
                continue;
            }
            if self.store.conns[index].call.take().is_some() {
                self.close_store_conn(index);
            }
            self.store.conns[index].list_watch.release(self.now);
        }
    }

    /// Starts the call that is due on the connection for members. A host that watches the store
    /// first registers itself, so that other hosts find it in the member list. It probes the store
    /// at intervals, as does a host that stopped watching because the store failed for it. Any host
    /// without live peers reads the member list.
    fn start_due_member_call(&mut self, index: usize, watches_store: bool) {
        let now = self.now;
        if self.store.conns[index].list_watch.next_at().is_none_or(|at| at > now) {
            return;
        }
        if watches_store && !self.store.registered && now >= self.store.next_registration {
            return self.register_self(index);
        }
        if let Some((watch, call)) = self.due_probe() {
            let kind = self.store.conns[watch].kind;
            let bytes = objects::list_watch_request(kind, &call, Span::ZERO, self.store.address);
            return self.start_call(index, bytes, CallPurpose::Probe { watch }, Span::ZERO);
        }
        let alone = !self.members.has_live_peers(now) && now.since(self.started) >= ALONE_AFTER;
        if !alone || now < self.store.next_member_list {
            return;
        }
        self.store.next_member_list = now + MEMBER_LIST_INTERVAL;
        let call = ListWatchCall::List { after: None };
        let bytes =
            objects::list_watch_request(ObjectKind::Members, &call, Span::ZERO, self.store.address);
        self.start_call(index, bytes, CallPurpose::ListWatch(call), Span::ZERO);
    }

    /// Whether the status of a release can be written now.
    pub(crate) fn can_write_status(&self) -> bool {
        let mut members = self.store.conns.iter().filter(|conn| conn.kind == ObjectKind::Members);
        members.any(|conn| conn.call.is_none())
    }

    /// Starts the write of the status of a release, on the connection for members.
    pub(crate) fn start_status_write(&mut self, write: StatusWrite) {
        let is_members = |conn: &StoreConn| conn.kind == ObjectKind::Members;
        let Some(index) = self.store.conns.iter().position(is_members) else { return };
        match rollouts::status_request(&write, self.store.address) {
            Ok(bytes) => self.start_call(index, bytes, CallPurpose::Status(write), Span::ZERO),
            Err(_) => self.on_status_written(&write, StatusResult::Failed),
        }
    }

    /// Returns the probe that is due and the index of the connection whose watch it confirms.
    fn due_probe(&mut self) -> Option<(usize, ListWatchCall)> {
        if self.store.health.next_probe().is_none_or(|at| self.now < at) {
            return None;
        }
        for index in 0..self.store.conns.len() {
            self.skip_replicated(index);
        }
        let kinds: Vec<&ListWatch> = self.store.conns.iter().map(|conn| &conn.list_watch).collect();
        let watch = self.store.health.start_due_probe(&kinds, self.now)?;
        Some((watch, kinds[watch].probe()?))
    }

    fn register_self(&mut self, index: usize) {
        self.store.next_registration = self.now + REGISTRATION_INTERVAL;
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
        let timeout = match purpose {
            CallPurpose::ListWatch(_) => CALL_TIMEOUT,
            CallPurpose::Probe { .. } | CallPurpose::Register | CallPurpose::Status(_) => {
                PROBE_TIMEOUT
            }
        };
        if matches!(purpose, CallPurpose::Probe { .. }) {
            conn.list_watch.begin_call(now);
        }
        conn.call = Some(Call { purpose, started: now, deadline: now + timeout + wait });
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
}
