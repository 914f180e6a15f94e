//! What follows from the end of a call: its response, a failure, or another era of the store.

use {
    super::{Call, CallPurpose},
    crate::node::Node,
    serde_json::json,
    wigeonramp_platform::{http::ResponseHead, objects},
    wigeonramp_routing::{
        list_watch::ListWatchCall,
        position::{FIRST_ERA, Position},
    },
    wigeonramp_units::StoreEra,
};

impl Node {
    /// Closes the connection and fails its pending call, if any. The first failure begins an outage.
    pub(super) fn store_failed(&mut self, index: usize, reason: &str) {
        self.close_store_conn(index);
        let conn = &mut self.store.conns[index];
        if conn.call.take().is_none() {
            return;
        }
        conn.list_watch.on_error(self.now, &mut self.rng);
        self.metrics.count_store_failure(conn.kind.name());
        if self.store.unavailable_since.is_none() {
            self.store.unavailable_since = Some(self.now);
            let kind = self.store.conns[index].kind.name();
            self.journal.record("store_lost", json!({ "kind": kind, "reason": reason }), self.now);
        }
    }

    /// Handles that the store is in a later era, as a response or another host has shown: it has come
    /// back from a copy. Lists and watches that began before are given up and made anew at once.
    pub(super) fn enter_era(&mut self, era: StoreEra, from: &str) {
        let before = std::mem::replace(&mut self.store.era, era);
        self.reconciler.enter_era(era, self.now);
        // The copy may be older than this host's registration.
        self.store.registered = false;
        let mut repeated = Vec::new();
        for index in 0..self.store.conns.len() {
            let conn = &mut self.store.conns[index];
            if !conn.list_watch.enter_era(era) {
                continue;
            }
            repeated.push(conn.kind.name());
            conn.list_watch.repeat(self.now);
            if conn.call.take().is_some() {
                self.close_store_conn(index);
            }
        }
        let fields = json!({ "from": from, "era": era, "before": before, "made_again": repeated });
        self.journal.record("store_era", fields, self.now);
    }

    pub(super) fn on_store_response(&mut self, index: usize, head: &ResponseHead, body: &[u8]) {
        let Some(call) = self.store.conns[index].call.take() else { return };
        let era = head.era.unwrap_or(FIRST_ERA);
        if era < self.store.era {
            // A probe may be answered with data that is seconds old.
            return match call.purpose {
                CallPurpose::Probe => self.on_store_available(),
                _ => self.call_failed(index, call, "response of an earlier era"),
            };
        }
        if era > self.store.era {
            self.enter_era(era, "store");
            if call.purpose.continues_earlier_call() {
                return self.on_store_available();
            }
        }
        let conn = &mut self.store.conns[index];
        match (&call.purpose, head.status) {
            // Conflict: this host is already registered.
            (CallPurpose::Register, 200..=299 | 409) => {
                self.store.registered = true;
                self.on_store_available();
            }
            (CallPurpose::Probe, 200) => self.on_probe(index, call, body),
            // Not found: the store works, but has no objects of the probed kind.
            (CallPurpose::Probe, 404) => self.on_store_available(),
            (CallPurpose::ListWatch(ListWatchCall::List { .. }), 200) => {
                self.on_page(index, call, body)
            }
            // Not found: there are no objects of this kind.
            (CallPurpose::ListWatch(ListWatchCall::List { .. }), 404) => {
                let page = b"{\"items\":[],\"current_rev\":0}";
                self.on_page(index, call, page);
            }
            (CallPurpose::ListWatch(ListWatchCall::Watch { .. }), 200) => {
                self.on_changes(index, call, body)
            }
            // Gone: the store has discarded the changes since the watched revision.
            (CallPurpose::ListWatch(ListWatchCall::Watch { .. }), 410) => {
                conn.list_watch.on_history_gone(self.now, &mut self.rng);
                let fields = json!({ "kind": conn.kind.name() });
                self.journal.record("store_history_gone", fields, self.now);
            }
            (_, status) => self.call_failed(index, call, &format!("status {status}")),
        }
    }

    /// Fails a call whose response cannot be used.
    pub(super) fn call_failed(&mut self, index: usize, call: Call, reason: &str) {
        // `store_failed` only counts a failure if a call is pending.
        self.store.conns[index].call = Some(call);
        self.store_failed(index, reason);
    }

    /// Handles the response to a probe: makes the watches again that may have missed a change.
    fn on_probe(&mut self, index: usize, call: Call, body: &[u8]) {
        let position = match objects::parse_probe(body) {
            Ok(revision) => Position::new(self.store.era, revision),
            Err(err) => return self.call_failed(index, call, &err),
        };
        self.on_store_available();
        let now = self.now;
        for index in 0..self.store.conns.len() {
            let conn = &mut self.store.conns[index];
            if conn.call.is_none() || !conn.list_watch.is_doubtful(position, now) {
                continue;
            }
            conn.call = None;
            conn.list_watch.repeat(now);
            self.close_store_conn(index);
        }
    }

    /// Ends the current outage, if any. Repeats the pending lists and watches, whose responses may
    /// have been lost.
    pub(super) fn on_store_available(&mut self) {
        if self.store.unavailable_since.take().is_none() {
            return;
        }
        let mut repeated = Vec::new();
        for index in 0..self.store.conns.len() {
            let conn = &mut self.store.conns[index];
            if conn
                .call
                .as_ref()
                .is_some_and(|call| matches!(call.purpose, CallPurpose::ListWatch(_)))
            {
                conn.call = None;
                conn.list_watch.retry_after_outage(self.now);
                repeated.push(conn.kind.name());
                self.close_store_conn(index);
            }
        }
        self.journal.record("store_regained", json!({ "made_again": repeated }), self.now);
    }
}
