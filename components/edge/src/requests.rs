//! Requests under way, and what follows when their sends end.

use {
    crate::{callers::Phase, node::Node, timers::Timer},
    serde_json::{Value, json},
    wigeonramp_platform::http::{self, RequestHead},
    wigeonramp_routing::{
        catalog::RepeatPolicy,
        exchange::{AttemptOutcome, AttemptRef, AttemptSpec, AttemptTrace, Exchange, RequestTimes},
        leaf::HealthSignal,
        reply::{Cause, Reply},
    },
    wigeonramp_units::{Fingerprint, Instant, ServiceId, Span},
    xxhash_rust::xxh3::Xxh3,
};

/// Part of the target latency spent on the way to and from a caller over an open connection, and on
/// this host's own work at the end.
const OUTSIDE: Span = Span::millis(6);
/// The same for the first request of a connection, whose opening takes another round trip.
const OUTSIDE_FIRST: Span = Span::millis(8);
/// Time for which sends go on after their caller has left.
const AFTER_CALLER: Span = Span::millis(150);
/// Shards and sends named in a log line.
const MAX_LOGGED: usize = 12;
/// When to come back to a host that knows no configuration.
const RETRY_NO_CONFIG: Span = Span::millis(500);
/// When to come back after a request was refused because it crashes leaves.
const RETRY_POISON: Span = Span::secs(5);

/// One request.
#[derive(Debug)]
pub(crate) struct Request {
    pub exchange: Exchange,
    pub head: RequestHead,
    pub body: Vec<u8>,
    /// The caller's connection and its serial number, until it has its answer or leaves.
    caller: Option<(usize, u64)>,
    /// Tells requests with the same index apart.
    pub serial: u64,
    pub fingerprint: Fingerprint,
    /// Sends that have not ended.
    pending: usize,
    replied: bool,
    arrived: Instant,
    left_at: Option<Instant>,
}

/// A send that has ended.
#[derive(Debug)]
pub(crate) struct Ended {
    /// Index of the request.
    pub key: usize,
    /// Serial number of the request.
    pub serial: u64,
    /// Which send.
    pub at: AttemptRef,
    /// How it ended.
    pub end: AttemptOutcome,
}

fn fingerprint(head: &RequestHead, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(head.host.as_bytes());
    hash.update(head.target.as_bytes());
    hash.update(body);
    Fingerprint(hash.digest())
}

impl Request {
    /// Whether the caller has its answer.
    pub fn is_replied(&self) -> bool {
        self.replied
    }
}

impl Node {
    pub(crate) fn begin_request(&mut self, caller: usize, head: RequestHead, body: Vec<u8>) {
        self.metrics.took_request(self.now);
        let Some(conn) = self.callers.get(caller) else { return };
        let (arrived, caller_serial) = (conn.since, conn.serial);
        let outside = if conn.served == 0 { OUTSIDE_FIRST } else { OUTSIDE };
        let print = fingerprint(&head, &body);
        let path = head.target.split('?').next().unwrap_or_default();
        let route = match self.adoption.route(&head.host, path) {
            Some(_) if self.poison.refuses(print, self.now) => Err((Cause::Poison, RETRY_POISON)),
            _ if !self.is_ready() && self.stopping.is_none() => {
                Err((Cause::NoConfig, RETRY_NO_CONFIG))
            }
            Some(route) => Ok(route.clone()),
            None => Err((Cause::NoRoute, Span::ZERO)),
        };
        let route = match route {
            Ok(route) => route,
            Err((cause, retry_after)) => {
                let reply = Reply::Refused { cause, retry_after };
                return self.answer_caller(caller, &head, &reply, None, arrived);
            }
        };
        let time_left = head.time_left.unwrap_or(route.timeout);
        let times = RequestTimes { arrived, deadline: arrived + time_left, outside };
        let mut sends = Vec::new();
        let (exchange, reply) =
            Exchange::begin(route, times, &mut self.traffic, self.now, &mut sends);
        self.serial += 1;
        let serial = self.serial;
        let key = self.requests.insert(Request {
            exchange,
            head,
            body,
            caller: Some((caller, caller_serial)),
            serial,
            fingerprint: print,
            pending: 0,
            replied: false,
            arrived,
            left_at: None,
        });
        if let Some(conn) = self.callers.get_mut(caller) {
            conn.phase = Phase::Waiting(key);
        }
        self.make_sends(key, &sends);
        match reply {
            // The caller's connection goes on with its next request by itself.
            Some(reply) => {
                self.finish(key, reply);
            }
            None => self.set_timer(key),
        }
    }

    fn set_timer(&mut self, key: usize) {
        let Some(req) = self.requests.get(key) else { return };
        let at = req.exchange.next_time(self.now);
        self.timers.add(Timer { at, key, serial: req.serial });
    }

    pub(crate) fn on_timer(&mut self, timer: Timer) {
        let Some(req) = self.requests.get_mut(timer.key) else { return };
        if req.serial != timer.serial || req.replied {
            return;
        }
        let mut sends = Vec::new();
        let reply = req.exchange.on_time(&mut self.traffic, self.now, &mut sends);
        self.make_sends(timer.key, &sends);
        match reply {
            Some(reply) => self.finish_and_resume(timer.key, reply),
            None => self.set_timer(timer.key),
        }
    }

    fn make_sends(&mut self, key: usize, sends: &[AttemptSpec]) {
        for send in sends {
            if let Some(req) = self.requests.get_mut(key) {
                req.pending += 1;
                self.send_to_leaf(key, send);
            }
        }
    }

    pub(crate) fn on_ended(&mut self, ended: Ended) {
        let Some(req) = self.requests.get_mut(ended.key) else { return };
        if req.serial != ended.serial {
            return;
        }
        req.pending -= 1;
        if req.replied {
            let end = match ended.end {
                AttemptOutcome::Response(answer) if answer.status < 500 => HealthSignal::Answered,
                AttemptOutcome::Response(_) | AttemptOutcome::NotRun => HealthSignal::Failed,
                AttemptOutcome::Lost | AttemptOutcome::Unsent => HealthSignal::Broken,
            };
            req.exchange.on_late_end(ended.at, end, &mut self.traffic, self.now);
            return self.forget_if_over(ended.key);
        }
        if matches!(ended.end, AttemptOutcome::Response(_)) {
            self.poison.answered(req.fingerprint);
        }
        let may_repeat = req.left_at.is_none() && !self.poison.refuses(req.fingerprint, self.now);
        let mut sends = Vec::new();
        let reply = req.exchange.on_end(
            ended.at,
            ended.end,
            may_repeat,
            &mut self.traffic,
            self.now,
            &mut sends,
        );
        self.make_sends(ended.key, &sends);
        if let Some(reply) = reply {
            self.finish_and_resume(ended.key, reply);
        }
    }

    /// A send is given up without an answer; the leaf is judged by `end`.
    pub(crate) fn abandon(&mut self, key: usize, serial: u64, at: AttemptRef, end: HealthSignal) {
        let Some(req) = self.requests.get_mut(key).filter(|req| req.serial == serial) else {
            return;
        };
        req.pending -= 1;
        req.exchange.on_late_end(at, end, &mut self.traffic, self.now);
        self.forget_if_over(key);
    }

    fn finish_and_resume(&mut self, key: usize, reply: Reply) {
        if let Some(caller) = self.finish(key, reply) {
            self.resume_caller(caller);
        }
    }

    /// Gives the caller its answer; returns the caller's connection.
    fn finish(&mut self, key: usize, reply: Reply) -> Option<usize> {
        let req = self.requests.get_mut(key)?;
        req.replied = true;
        let caller = req.caller.take();
        self.note_reply(key, &reply);
        if let Some((caller, serial)) = caller
            && self.callers.get(caller).is_some_and(|conn| conn.serial == serial)
            && let Some(req) = self.requests.get(key)
        {
            let close = self.stopping.is_some() || !req.head.keep_alive;
            let bytes = http::encode_reply(&reply, req.head.is_head, close);
            self.send_caller(caller, bytes, close);
        }
        self.forget_if_over(key);
        caller.map(|(caller, _)| caller)
    }

    /// Answers a request that was not taken on.
    fn answer_caller(
        &mut self,
        caller: usize,
        head: &RequestHead,
        reply: &Reply,
        route: Option<&str>,
        arrived: Instant,
    ) {
        let status = http::reply_status(reply);
        if let Reply::Refused { cause, .. } = reply {
            self.metrics.replied(route, status, cause.name());
            if self.journal.admits("refused", self.now) {
                let fields = json!({
                    "request": head.id, "target": head.target, "status": status,
                    "cause": cause.name(), "config": self.adoption.version().map(|v| v.0),
                    "took_us": self.now.since(arrived).0,
                });
                self.journal.line("refused", fields, self.now);
            }
        }
        let close = self.stopping.is_some() || !head.keep_alive;
        let bytes = http::encode_reply(reply, head.is_head, close);
        self.send_caller(caller, bytes, close);
    }

    /// Counts a reply, and writes a line for one that is not a whole success in time.
    fn note_reply(&mut self, key: usize, reply: &Reply) {
        let Some(req) = self.requests.get(key) else { return };
        let route = req.exchange.route();
        let took = self.now.since(req.arrived);
        let status = http::reply_status(reply);
        let (answered, parts) = req.exchange.coverage();
        let late = took > route.target_latency;
        let cause = match reply {
            Reply::Relayed(_) | Reply::Merged { .. } if late => "late",
            Reply::Relayed(answer) if !answer.is_success() => "leaf_failed",
            Reply::Merged { missing, .. } if *missing > 0 => "parts_missing",
            Reply::Relayed(_) | Reply::Merged { .. } => "ok",
            Reply::Refused { cause, .. } | Reply::Failed(cause) => cause.name(),
        };
        self.metrics.replied(Some(&route.name), status, cause);
        self.metrics.took(&route.name, took);
        if cause == "ok" || !self.journal.admits("reply", self.now) {
            return;
        }
        let missing: Vec<&ServiceId> = req.exchange.missing().take(MAX_LOGGED).collect();
        let tries: Vec<Value> =
            req.exchange.open_tries().take(MAX_LOGGED).map(|t| self.try_fields(&t)).collect();
        let fields = json!({
            "request": req.head.id, "target": req.head.target, "route": route.name,
            "status": status, "cause": cause, "took_us": took.0,
            "target_us": route.target_latency.0, "timeout_us": route.timeout.0,
            "may_repeat": route.repeat == RepeatPolicy::Idempotent,
            "answered": answered, "parts": parts, "missing": missing, "tries": tries,
            "config": self.adoption.version().map(|v| v.0), "share": self.traffic.share,
            "taken": self.traffic.least_taken(),
            "leaves_upto": self.known.leaves.upto().0, "caller_left": req.left_at.is_some(),
        });
        self.journal.line("reply", fields, self.now);
    }

    /// One send for a log line: shard, leaf, time of the send, end and time until the end.
    fn try_fields(&self, t: &AttemptTrace<'_>) -> Value {
        let leaf = self.traffic.leaves.get(t.leaf).map(|leaf| &leaf.entry.id);
        let (ended, how) = t.ended.unwrap_or((self.now, "no_answer"));
        json!({
            "service": t.service, "leaf": leaf, "end": how, "took_us": ended.since(t.sent).0,
            "ago_us": self.now.since(t.sent).0,
        })
    }

    fn forget_if_over(&mut self, key: usize) {
        if self.requests.get(key).is_some_and(|req| req.replied && req.pending == 0) {
            self.requests.remove(key);
        }
    }

    /// The caller has closed its connection before the answer.
    pub(crate) fn caller_left(&mut self, key: usize) {
        let now = self.now;
        let Some(req) = self.requests.get_mut(key) else { return };
        req.caller = None;
        req.left_at = Some(now);
        if req.exchange.route().repeat == RepeatPolicy::Idempotent {
            req.replied = true;
            self.forget_if_over(key);
        }
    }

    /// Ends the sends whose caller has left.
    pub(crate) fn sweep_requests(&mut self) {
        let now = self.now;
        let over = |req: &Request| {
            req.replied && req.left_at.is_some_and(|left| now.since(left) >= AFTER_CALLER)
        };
        let over: Vec<_> = self.requests.iter().filter(|(_, req)| over(req)).collect();
        let over: Vec<_> = over.into_iter().map(|(key, req)| (key, req.serial)).collect();
        for (key, serial) in over {
            self.cancel_sends(key, serial);
        }
    }

    /// Ends all requests that have no answer yet; the process stops.
    pub(crate) fn fail_open_requests(&mut self) {
        let open: Vec<usize> =
            self.requests.iter().filter(|(_, req)| !req.replied).map(|(key, _)| key).collect();
        for key in open {
            self.finish_and_resume(key, Reply::Failed(Cause::Stopping));
        }
    }
}
