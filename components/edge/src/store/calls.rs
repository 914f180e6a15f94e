//! Starting the calls that are due.

use {
    super::{Call, CallPurpose},
    crate::{
        node::{EventSource, Node},
        sock,
    },
    mio::Interest,
    serde_json::json,
    wigeonramp_platform::objects::{self, ObjectKind},
    wigeonramp_routing::{follow::Origin, list_watch::ListWatchCall, position::Position},
    wigeonramp_units::Span,
};

/// Time for which the store holds a watch open without changes.
const WATCH_WAIT: Span = Span::secs(25);
/// Timeout of a call other than a probe. For a watch, the time that the store may hold it open is
/// added.
const CALL_TIMEOUT: Span = Span::millis(2_500);
/// Interval of probes of the store. A pending watch does not show whether the store works, and its
/// response can be lost while its connection stays open.
pub(super) const PROBE_INTERVAL: Span = Span::millis(1_000);
/// Timeout of a probe; a slow store responds within half a second.
const PROBE_TIMEOUT: Span = Span::millis(1_200);
/// Time after its start until a host without live peers reads the member list in the store.
const ALONE_AFTER: Span = Span::millis(1_000);
/// Interval of reading the member list.
const MEMBER_LIST_INTERVAL: Span = Span::secs(3);

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
}
