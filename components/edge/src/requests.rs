//! Requests in progress, from their arrival to the reply and the end of their last attempt.

use {
    crate::{callers::Phase, clock, node::Node, relays::RelayedRequest, timers::Timer},
    serde_json::{Value, json},
    std::sync::Arc,
    wigeonramp_platform::http::{self, RequestHead},
    wigeonramp_routing::{
        accounts::Account,
        catalog::{RepeatPolicy, Route, RouteLookup},
        clients::memory::Charge,
        exchange::{AttemptOutcome, AttemptRef, AttemptSpec, AttemptTrace, Exchange, RequestTimes},
        fair_shares::AccountShare,
        leaf::HealthSignal,
        reply::{Cause, Reply},
        reply_time::Overhead,
    },
    wigeonramp_units::{Fingerprint, Instant, ServiceId, Span},
    xxhash_rust::xxh3::Xxh3,
};

/// Time for which attempts continue after the caller closed its connection.
const CANCEL_DELAY: Span = Span::millis(150);
/// Bytes that a request takes without its head, body and responses, and those of each of its parts.
const REQUEST_BYTES: usize = 1_024;
const PART_BYTES: usize = 512;
/// Maximum number of shards and of attempts listed in a log line.
const MAX_LOGGED: usize = 12;
/// Retry-After time of a host that has no configuration yet.
pub(crate) const RETRY_AFTER_NO_CONFIG: Span = Span::millis(500);
/// Retry-After time for a request that is refused because it crashes leaves.
const RETRY_AFTER_POISON: Span = Span::secs(5);

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Request {
    pub exchange: Exchange,
    pub head: RequestHead,
    /// Account on whose behalf the request runs; none if it needs none.
    pub account: Option<Arc<Account>>,
    pub body: Arc<Vec<u8>>,
    /// Memory charged for the request and the responses of its parts.
    pub charge: Charge,
    /// Key and serial number of the caller's connection, until the reply is sent or the caller
    /// closes it.
    caller: Option<(usize, u64)>,
    /// Distinguishes requests that use the same key one after the other.
    pub serial: u64,
    pub fingerprint: Fingerprint,
    /// Number of attempts that have not ended.
    pending: usize,
    replied: bool,
    arrived: Instant,
    /// Parts of the target latency that are spent outside the wait for leaves.
    overhead: Overhead,
    caller_closed_at: Option<Instant>,
}

/// An attempt that has ended.
#[derive(Debug)]
pub(crate) struct EndedAttempt {
    /// Key of the request.
    pub request: usize,
    /// Serial number of the request.
    pub serial: u64,
    /// The attempt within the request.
    pub attempt: AttemptRef,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
}

fn fingerprint(head: &RequestHead, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(head.host.as_bytes());
    hash.update(head.target.as_bytes());
    hash.update(body);
    Fingerprint(hash.digest())
}

/// A request of a known route that may run on behalf of its account.
#[derive(Debug)]
pub(crate) struct AcceptedRequest {
    /// Key and serial number of the caller's connection.
    pub caller: usize,
    pub caller_serial: u64,
    pub head: RequestHead,
    pub body: Vec<u8>,
    /// Route, with the priority of the account.
    pub route: Arc<Route>,
    pub account: Option<Arc<Account>>,
    pub fingerprint: Fingerprint,
    pub arrived: Instant,
}

impl Request {
    /// Whether the reply was sent, or the caller no longer waits for one.
    pub fn is_replied(&self) -> bool {
        self.replied
    }
}

impl Node {
    pub(crate) fn begin_request(&mut self, caller: usize, mut head: RequestHead, body: Vec<u8>) {
        if !self.routing.links.is_lost() {
            self.metrics.count_request(self.now);
        }
        let Some(conn) = self.callers.get(caller) else { return };
        let (arrived, caller_serial) = (conn.since, conn.serial);
        let fingerprint = fingerprint(&head, &body);
        let url_path = head.target.split('?').next().unwrap_or_default();
        let route = match self.active_catalog.find_route(&head.host, url_path) {
            RouteLookup::NoConfig => Err((Cause::NoConfig, RETRY_AFTER_NO_CONFIG)),
            _ if !self.replicated.is_complete() => Err((Cause::NoConfig, RETRY_AFTER_NO_CONFIG)),
            // The route may have been added since, and callers do not repeat a request after 404.
            RouteLookup::NoRoute if self.origin_selector.is_outdated() => {
                Err((Cause::ConfigOutdated, RETRY_AFTER_NO_CONFIG))
            }
            RouteLookup::NoRoute => Err((Cause::NoRoute, Span::ZERO)),
            RouteLookup::Found(route) => Ok(route.clone()),
        };
        let route = route
            .and_then(|route| self.authorize(&route, head.key).map(|account| (route, account)));
        let time_left = head.time_left;
        let route = route.and_then(|(route, account)| {
            if self.poison.is_refused(fingerprint, self.now) {
                return Err((Cause::Poison, RETRY_AFTER_POISON));
            }
            let deadline = arrived + time_left.unwrap_or(route.timeout);
            self.refusal_by_stop(&route, deadline).map_or(Ok((route, account)), Err)
        });
        let (route, account) = match route {
            Ok((route, None)) => (route, None),
            Ok((route, Some(account))) => {
                (self.active_catalog.route_for(&route, &account), Some(account))
            }
            Err((cause, retry_after)) => {
                let reply = Reply::Refused { cause, retry_after };
                return self.refuse_request(caller, &head, &reply, None, None, arrived);
            }
        };
        if self.passes_on(&head) {
            let (caller, body) = (Some((caller, caller_serial)), Arc::new(body));
            return self.pass_on(RelayedRequest {
                caller,
                head,
                body,
                route,
                arrived,
                tried: Vec::new(),
                may_have_run: false,
            });
        }
        head.settle_account_lines(self.active_catalog.has_accounts());
        self.admit_to_quota(AcceptedRequest {
            caller,
            caller_serial,
            head,
            body,
            route,
            account,
            fingerprint,
            arrived,
        });
    }

    /// Starts the attempts of a request.
    pub(crate) fn start_request(&mut self, request: AcceptedRequest) {
        let AcceptedRequest { caller, caller_serial, head, body, route, account, .. } = request;
        let (arrived, fingerprint) = (request.arrived, request.fingerprint);
        let Some(conn) = self.callers.get(caller) else { return };
        let path = conn.path(head.time_left);
        let time_left = head.time_left.unwrap_or(route.timeout);
        let overhead = self.routing.reply_timing.overhead(&route.name, route.target_latency, &path);
        let deadline = arrived + time_left;
        let times = RequestTimes { arrived, deadline, caller_overhead: overhead.total() };
        let mut attempts = Vec::new();
        let share = account.as_deref().and_then(AccountShare::new);
        let (exchange, reply) =
            Exchange::begin_for(route, share, times, &mut self.routing, self.now, &mut attempts);
        self.serial += 1;
        let serial = self.serial;
        let parts = exchange.coverage().1;
        let bytes = REQUEST_BYTES + parts * PART_BYTES + head.held_bytes() + body.capacity();
        let mut charge = Charge::default();
        self.clients.memory.set(&mut charge, bytes);
        let key = self.requests.insert(Request {
            exchange,
            head,
            account,
            body: Arc::new(body),
            charge,
            caller: Some((caller, caller_serial)),
            serial,
            fingerprint,
            pending: 0,
            replied: false,
            arrived,
            overhead,
            caller_closed_at: None,
        });
        if let Some(conn) = self.callers.get_mut(caller) {
            conn.phase = Phase::Waiting(key);
        }
        self.note_permit_wait(key);
        match self.start_unless_replied(key, &attempts, reply) {
            // The connection that delivered this request reads the next one itself, so no resume is
            // needed.
            Some(reply) => {
                self.finish(key, reply);
            }
            None => self.set_timer(key),
        }
    }

    fn note_permit_wait(&mut self, key: usize) {
        let Some(req) = self.requests.get(key) else { return };
        if req.exchange.awaits_permits() {
            self.awaiting_permits.push((key, req.serial));
        }
    }

    /// Continues the requests for which permits have arrived.
    pub(crate) fn resume_awaiting_permits(&mut self) {
        for (key, serial) in std::mem::take(&mut self.awaiting_permits) {
            let Some(req) = self.requests.get_mut(key) else { continue };
            if req.serial != serial || req.replied || !req.exchange.awaits_permits() {
                continue;
            }
            let mut attempts = Vec::new();
            let reply = req.exchange.on_permits(&mut self.routing, self.now, &mut attempts);
            match self.start_unless_replied(key, &attempts, reply) {
                Some(reply) => self.finish_and_resume(key, reply),
                None if attempts.is_empty() => self.note_permit_wait(key),
                None => {
                    self.note_permit_wait(key);
                    self.set_timer(key);
                }
            }
        }
    }

    fn set_timer(&mut self, key: usize) {
        let Some(req) = self.requests.get(key) else { return };
        let at = req.exchange.next_timer_at(self.now);
        self.timers.add(Timer { at, key, serial: req.serial });
    }

    pub(crate) fn on_timer(&mut self, timer: Timer) {
        let Some(req) = self.requests.get_mut(timer.key) else { return };
        if req.serial != timer.serial || req.replied {
            return;
        }
        let delay = clock::now().since(timer.at);
        self.routing.reply_timing.record_timer_delay(delay);
        let mut attempts = Vec::new();
        let reply = req.exchange.on_timer(&mut self.routing, self.now, &mut attempts);
        match self.start_unless_replied(timer.key, &attempts, reply) {
            Some(reply) => self.finish_and_resume(timer.key, reply),
            None => self.set_timer(timer.key),
        }
    }

    /// Starts the attempts, unless the reply is decided: it may say that the request never runs.
    fn start_unless_replied(
        &mut self,
        key: usize,
        attempts: &[AttemptSpec],
        reply: Option<Reply>,
    ) -> Option<Reply> {
        match &reply {
            Some(_) => self.discard_attempts(key, attempts),
            None => self.start_attempts(key, attempts),
        }
        reply
    }

    fn discard_attempts(&mut self, key: usize, attempts: &[AttemptSpec]) {
        let Some(req) = self.requests.get_mut(key) else { return };
        for spec in attempts {
            let (signal, cx) = (HealthSignal::Abandoned, &mut self.routing);
            req.exchange.on_discarded_outcome(spec.attempt, signal, cx, self.now);
        }
    }

    fn start_attempts(&mut self, key: usize, attempts: &[AttemptSpec]) {
        for attempt in attempts {
            if let Some(req) = self.requests.get_mut(key) {
                req.pending += 1;
                self.start_attempt(key, attempt);
            }
        }
    }

    pub(crate) fn on_attempt_ended(&mut self, ended: EndedAttempt) {
        let Some(req) = self.requests.get_mut(ended.request) else { return };
        if req.serial != ended.serial {
            return;
        }
        req.pending -= 1;
        if req.replied {
            let signal = ended.outcome.health();
            req.exchange.on_discarded_outcome(ended.attempt, signal, &mut self.routing, self.now);
            return self.remove_if_done(ended.request);
        }
        if let AttemptOutcome::Response(response) = &ended.outcome {
            let bytes = req.charge.bytes() + response.body.capacity() + response.headers.capacity();
            self.clients.memory.set(&mut req.charge, bytes);
            self.poison.clear(req.fingerprint);
        }
        let may_retry =
            req.caller_closed_at.is_none() && !self.poison.is_refused(req.fingerprint, self.now);
        let mut attempts = Vec::new();
        let reply = req.exchange.on_outcome(
            ended.attempt,
            ended.outcome,
            may_retry,
            &mut self.routing,
            self.now,
            &mut attempts,
        );
        if let Some(reply) = self.start_unless_replied(ended.request, &attempts, reply) {
            self.finish_and_resume(ended.request, reply);
        }
    }

    /// Ends an attempt whose result nobody waits for; `signal` counts for the leaf's health.
    pub(crate) fn abandon_attempt(
        &mut self,
        key: usize,
        serial: u64,
        attempt: AttemptRef,
        signal: HealthSignal,
    ) {
        let Some(req) = self.requests.get_mut(key).filter(|req| req.serial == serial) else {
            return;
        };
        req.pending -= 1;
        req.exchange.on_discarded_outcome(attempt, signal, &mut self.routing, self.now);
        self.remove_if_done(key);
    }

    /// Sends the reply and continues with the caller's next request.
    fn finish_and_resume(&mut self, key: usize, reply: Reply) {
        if let Some(caller) = self.finish(key, reply) {
            self.resume_caller(caller);
        }
    }

    /// Sends the reply to the caller; returns the key of its connection.
    fn finish(&mut self, key: usize, reply: Reply) -> Option<usize> {
        let decided = clock::now();
        let req = self.requests.get_mut(key)?;
        req.replied = true;
        let caller = req.caller.take();
        self.record_reply(key, &reply);
        self.settle_quota(key, &reply);
        if let Some((caller, serial)) = caller
            && self.callers.get(caller).is_some_and(|conn| conn.serial == serial)
            && let Some(req) = self.requests.get(key)
        {
            let close = self.stopping.is_some() || !req.head.keep_alive;
            let bytes = http::encode_reply(&reply, req.head.is_head, close);
            self.send_caller(caller, bytes, close);
            let delay = clock::now().since(decided);
            self.routing.reply_timing.record_write_delay(delay);
        }
        self.withdraw_unwritten(key);
        self.remove_if_done(key);
        caller.map(|(caller, _)| caller)
    }

    /// Refuses a request before any attempt is made.
    pub(crate) fn refuse_request(
        &mut self,
        caller: usize,
        head: &RequestHead,
        reply: &Reply,
        route: Option<&str>,
        account: Option<&Account>,
        arrived: Instant,
    ) {
        let status = http::reply_status(reply);
        if let Reply::Refused { cause, retry_after } = reply {
            self.metrics.count_reply(route, status, cause.name());
            if self.journal.admits("refused", self.now) {
                let fields = json!({
                    "request": head.id, "target": head.target, "status": status,
                    "cause": cause.name(), "account": account.map(|account| &account.name),
                    "quota": account.and_then(|account| account.quota),
                    "retry_after_us": retry_after.0,
                    "config": self.active_catalog.version().map(|v| v.0),
                    "took_us": self.now.since(arrived).0,
                });
                self.journal.record("refused", fields, self.now);
            }
        }
        let close = self.stopping.is_some() || !head.keep_alive;
        let bytes = http::encode_reply(reply, head.is_head, close);
        self.send_caller(caller, bytes, close);
    }

    /// Takes a request away from this host to pass it on: one that waits for leaves, was not passed
    /// on before, and has not run or may run twice.
    pub(crate) fn take_for_relay(&mut self, key: usize) -> Option<RelayedRequest> {
        let req = self.requests.get_mut(key)?;
        let route = req.exchange.route().clone();
        let may_repeat = route.repeat == RepeatPolicy::Idempotent;
        let may_have_run = req.exchange.may_have_run();
        let is_movable = may_repeat || !may_have_run;
        if req.replied || req.head.is_relayed || !is_movable {
            return None;
        }
        let caller = Some(req.caller.take()?);
        req.replied = true;
        let (head, body, arrived) = (req.head.clone(), req.body.clone(), req.arrived);
        self.withdraw_unwritten(key);
        self.remove_if_done(key);
        let tried = Vec::new();
        Some(RelayedRequest { caller, head, body, route, arrived, tried, may_have_run })
    }

    /// Counts a reply, and logs it unless it is complete, successful and within the target latency.
    fn record_reply(&mut self, key: usize, reply: &Reply) {
        let Some(req) = self.requests.get(key) else { return };
        let route = req.exchange.route();
        let latency = self.now.since(req.arrived);
        let status = http::reply_status(reply);
        let (answered, parts) = req.exchange.coverage();
        let late = latency > route.target_latency;
        let late_at_caller = req.overhead.at_caller(latency) > route.target_latency;
        let cause = match reply {
            Reply::Relayed(_) | Reply::Merged { .. } if late => "late",
            Reply::Relayed(_) | Reply::Merged { .. } if late_at_caller => "late_at_caller",
            Reply::Relayed(response) if !response.is_success() => "leaf_failed",
            Reply::Merged { missing, .. } if *missing > 0 => "parts_missing",
            Reply::Relayed(_) | Reply::Merged { .. } => "ok",
            Reply::Refused { cause, .. } | Reply::Failed(cause) => cause.name(),
        };
        self.metrics.count_reply(Some(&route.name), status, cause);
        let left = route.target_latency - latency;
        self.metrics.observe_latency(&route.name, latency, left);
        if cause == "ok" || !self.journal.admits("reply", self.now) {
            return;
        }
        let missing: Vec<&ServiceId> = req.exchange.missing().take(MAX_LOGGED).collect();
        let attempts: Vec<Value> = req
            .exchange
            .attempt_traces()
            .take(MAX_LOGGED)
            .map(|t| self.attempt_fields(&t))
            .collect();
        let fields = json!({
            "request": req.head.id, "target": req.head.target, "route": route.name,
            "account": req.account.as_ref().map(|account| &account.name),
            "status": status, "cause": cause, "took_us": latency.0,
            "target_us": route.target_latency.0, "timeout_us": route.timeout.0,
            "before_us": req.overhead.before.0, "way_us": req.overhead.way.0,
            "own_us": req.overhead.own.0, "reserve_us": req.overhead.reserve.0,
            "may_repeat": route.repeat == RepeatPolicy::Idempotent,
            "answered": answered, "parts": parts, "missing": missing, "tries": attempts,
            "config": self.active_catalog.version().map(|v| v.0),
            "share": self.routing.traffic_share, "taken": self.routing.min_admitted_share(),
            "leaves_upto": self.replicated.leaves.upto().revision(),
            "era": self.replicated.leaves.upto().era(),
            "caller_left": req.caller_closed_at.is_some(),
        });
        self.journal.record("reply", fields, self.now);
    }

    /// Returns the log fields of an attempt: its shard, leaf, outcome, duration and the time since
    /// it was sent.
    fn attempt_fields(&self, t: &AttemptTrace<'_>) -> Value {
        let leaf = self.routing.leaves.get(t.leaf).map(|leaf| &leaf.registration);
        let (ended, outcome) = t.ended.unwrap_or((self.now, "no_answer"));
        let mut fields = json!({
            "service": t.service, "leaf": leaf.map(|leaf| &leaf.id), "end": outcome,
            "took_us": ended.since(t.sent).0, "ago_us": self.now.since(t.sent).0,
        });
        // Versions are known only where releases are in use.
        if let Some(version) = leaf.and_then(|leaf| leaf.version.as_ref()) {
            fields["version"] = json!(version);
        }
        fields
    }

    fn remove_if_done(&mut self, key: usize) {
        if self.requests.get(key).is_some_and(|req| req.replied && req.pending == 0) {
            let mut req = self.requests.remove(key);
            self.clients.memory.release(&mut req.charge);
        }
    }

    /// Handles that the caller closed its connection before the reply. An idempotent request starts
    /// no further attempts, and the open ones are canceled after `CANCEL_DELAY`; other requests
    /// continue.
    pub(crate) fn on_caller_closed(&mut self, key: usize) {
        let now = self.now;
        let Some(req) = self.requests.get_mut(key) else { return };
        req.caller = None;
        req.caller_closed_at = Some(now);
        if req.exchange.route().repeat == RepeatPolicy::Idempotent {
            req.replied = true;
            self.withdraw_unwritten(key);
            self.remove_if_done(key);
        }
    }

    /// Cancels the attempts of requests whose caller closed its connection some time ago.
    pub(crate) fn sweep_requests(&mut self) {
        let now = self.now;
        let is_due = |req: &Request| {
            req.replied
                && req
                    .caller_closed_at
                    .is_some_and(|closed_at| now.since(closed_at) >= CANCEL_DELAY)
        };
        let due: Vec<_> = self.requests.iter().filter(|(_, req)| is_due(req)).collect();
        let due: Vec<_> = due.into_iter().map(|(key, req)| (key, req.serial)).collect();
        for (key, serial) in due {
            self.cancel_attempts(key, serial);
        }
    }

    /// Fails all requests without a reply, because the process stops.
    pub(crate) fn fail_open_requests(&mut self) {
        let open: Vec<usize> =
            self.requests.iter().filter(|(_, req)| !req.replied).map(|(key, _)| key).collect();
        for key in open {
            let reply = self.requests[key].exchange.stop();
            self.finish_and_resume(key, reply);
        }
        self.fail_open_relays();
    }
}
