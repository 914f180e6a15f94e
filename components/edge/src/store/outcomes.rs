//! What follows from the end of a call: its response, a failure, or another era of the store.

use {
    super::{Call, CallPurpose},
    crate::node::Node,
    serde_json::json,
    wigeonramp_platform::{http::ResponseHead, objects, rollouts},
    wigeonramp_routing::{
        follow::Origin,
        list_watch::ListWatchCall,
        position::{FIRST_ERA, Position},
        releases::status::StatusResult,
    },
    wigeonramp_units::StoreEra,
};

impl Node {
    /// Closes the connection and fails its pending call, if any. The first failure begins an
    /// outage.
    pub(super) fn store_failed(&mut self, index: usize, reason: &str) {
        self.close_store_conn(index);
        let conn = &mut self.store.conns[index];
        let Some(call) = conn.call.take() else { return };
        self.metrics.count_store_failure(conn.kind.name());
        if call.purpose == CallPurpose::Register {
            let fields = json!({ "error": reason });
            return self.journal.record("register_failed", fields, self.now);
        }
        // A store that refuses writes may still answer the other calls.
        if let CallPurpose::Status(write) = &call.purpose {
            return self.on_status_written(write, StatusResult::Failed);
        }
        conn.list_watch.on_error(self.now, &mut self.rng);
        if self.store.unavailable_since.is_none() {
            self.store.unavailable_since = Some(self.now);
            let kind = self.store.conns[index].kind.name();
            self.journal.record("store_lost", json!({ "kind": kind, "reason": reason }), self.now);
        }
    }

    /// Handles that the store is in a later era, as a response or another host has shown: it has
    /// come back from a copy. Lists and watches that began before are given up and made anew at
    /// once.
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
        use ListWatchCall::{List, Poll, Watch};
        let Some(call) = self.store.conns[index].call.take() else { return };
        let era = head.era.unwrap_or(FIRST_ERA);
        if era < self.store.era {
            return self.call_failed(index, call, "response of an earlier era");
        }
        if era > self.store.era {
            self.enter_era(era, "store");
            if call.purpose.continues_earlier_call() {
                self.store.conns[index].list_watch.on_answered(self.now);
                return self.on_store_answered();
            }
        }
        match (&call.purpose, head.status) {
            // Conflict: this host is already registered.
            (CallPurpose::Register, 200..=299 | 409) => {
                self.store.registered = true;
            }
            (CallPurpose::Status(write), status) => {
                let result = rollouts::parse_status_response(write, status, body);
                self.on_status_written(write, result);
            }
            (CallPurpose::Probe { watch }, 200) => self.on_probe(index, *watch, call, body),
            // Gone: the store has discarded the changes that the watch waits for.
            (CallPurpose::Probe { watch }, 410) => {
                self.store.conns[index].list_watch.on_answered(self.now);
                self.drop_store_call(*watch);
                self.on_history_gone(*watch);
            }
            (CallPurpose::ListWatch(List { .. }), 200) => self.on_page(index, call, body),
            // Not found: there are no objects of this kind.
            (CallPurpose::ListWatch(List { .. }), 404) => {
                let page = b"{\"items\":[],\"current_rev\":0}";
                self.on_page(index, call, page);
            }
            (CallPurpose::ListWatch(Poll { .. } | Watch { .. }), 200) => {
                self.on_changes(index, call, body)
            }
            // Gone: the store has discarded the changes since the watched revision.
            (CallPurpose::ListWatch(Poll { .. } | Watch { .. }), 410) => {
                self.on_history_gone(index)
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

    fn on_history_gone(&mut self, index: usize) {
        let conn = &mut self.store.conns[index];
        conn.list_watch.on_history_gone(self.now, &mut self.rng);
        let fields = json!({ "kind": conn.kind.name() });
        self.journal.record("store_history_gone", fields, self.now);
        self.on_store_answered();
    }

    /// Closes the connection of a pending call whose response is no longer wanted.
    pub(super) fn drop_store_call(&mut self, index: usize) {
        if self.store.conns[index].call.take().is_some() {
            self.close_store_conn(index);
        }
    }

    /// Handles the response to a probe. Changes that the watch has missed are applied, and it is
    /// made again.
    fn on_probe(&mut self, index: usize, watch: usize, call: Call, body: &[u8]) {
        let batch = match objects::parse_changes(body) {
            Ok(batch) => batch,
            Err(err) => return self.call_failed(index, call, &err),
        };
        self.store.conns[index].list_watch.on_answered(self.now);
        let known_until = self.origin_selector.current_until();
        let position = Position::new(self.store.era, batch.revision);
        let watched = &mut self.store.conns[watch].list_watch;
        let has_missed = watched.on_probe(!batch.changes.is_empty(), position, call.started);
        self.on_store_answered();
        if !has_missed {
            return;
        }
        let kind = self.store.conns[watch].kind.name();
        let fields = json!({ "kind": kind, "changes": batch.changes.len(), "upto": position });
        self.journal.record("store_watch_behind", fields, self.now);
        self.drop_store_call(watch);
        self.store.conns[watch].list_watch.repeat(self.now);
        self.apply_batch(watch, &batch, position, known_until);
    }

    /// Handles that the store has answered a call. It serves this host again once no call is lost.
    pub(super) fn on_store_answered(&mut self) {
        if self.store.conns.iter().any(|conn| conn.list_watch.is_lost()) {
            return;
        }
        if let Some(until) = self.store.current_until() {
            self.on_news_current(until);
        }
        if self.store.health.on_proof() {
            self.journal.record("store_serves", json!({}), self.now);
            self.announce_store_health();
        }
        if self.store.unavailable_since.take().is_some() {
            self.repeat_after_outage();
        }
    }

    /// Repeats the pending lists and watches, whose responses may have been lost in the outage that
    /// has ended.
    fn repeat_after_outage(&mut self) {
        let mut repeated = Vec::new();
        for index in 0..self.store.conns.len() {
            let conn = &mut self.store.conns[index];
            let is_list_watch = |call: &Call| matches!(call.purpose, CallPurpose::ListWatch(_));
            if !conn.call.as_ref().is_some_and(is_list_watch) {
                continue;
            }
            conn.list_watch.retry_after_outage(self.now);
            repeated.push(conn.kind.name());
            self.drop_store_call(index);
        }
        self.journal.record("store_regained", json!({ "made_again": repeated }), self.now);
    }

    /// Checks whether the store has begun to fail for this host, and has other hosts watch it in
    /// that case.
    pub(crate) fn check_store_health(&mut self) {
        let calls = self.store.conns.iter().map(|conn| &conn.list_watch);
        if self.store.health.check(calls, self.now) {
            self.journal.record("store_failing", json!({}), self.now);
            self.announce_store_health();
        }
    }

    /// Tells all hosts at once whether the store serves this one, on which depends who watches.
    fn announce_store_health(&mut self) {
        self.refresh_shares();
        if self.origin_selector.origin() == Origin::Store {
            self.announce_state();
        }
    }
}
