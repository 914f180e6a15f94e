//! Requests that this host passes on to another one, because it has lost its links to all leaves.
//!
//! The other host handles them like those of any caller: it checks keys, quotas and limits, and sends
//! to leaves. A request is passed on once. It goes to a second host if the first one surely has not
//! got it, or if it may run twice. Each relay has a connection of its own.

use {
    crate::{
        body::BodyReader,
        callers::Phase,
        node::{EventSource, Node},
        response_head::{HeadEnd, take_head},
        sock::{self, OutBuf, ReadEnd},
        upstreams::{CONNECT_TIMEOUT, READ_AHEAD},
    },
    mio::{Interest, net::TcpStream},
    serde_json::json,
    std::{net::Ipv4Addr, sync::Arc},
    wigeonramp_platform::http::{self, RequestHead, ResponseHead},
    wigeonramp_routing::{
        catalog::{RepeatPolicy, Route},
        clients::memory::Charge,
        entry::{EntryQuery, select_relay_host},
        leaf_links::LinkState,
        reply::{Cause, LeafResponse, Reply},
    },
    wigeonramp_units::{Instant, Span},
};

/// Maximum number of hosts that a request is passed on to.
const MAX_HOSTS: usize = 2;
/// Time that the other host has less than this one, for the way there and back.
const WAY_MARGIN: Span = Span::millis(20);
/// Time reserved for the reply to reach the caller when a request is given up.
const REPLY_MARGIN: Span = Span::millis(5);
/// Retry-After time of a refused request if another host has its links, and if none has: links are
/// probed more often than that.
const RETRY_AFTER: [Span; 2] = [Span::ZERO, Span::millis(500)];
/// Time without bytes from leaves after which requests in progress are passed on as well.
const QUIET_TIME: Span = Span::millis(200);
/// Bytes that a relay takes without its buffers.
const RELAY_BYTES: usize = 1_024;

/// A request to pass on.
#[derive(Debug)]
pub(crate) struct RelayedRequest {
    /// Key and serial number of the caller's connection; none once the caller has closed it.
    pub caller: Option<(usize, u64)>,
    pub head: RequestHead,
    pub body: Arc<Vec<u8>>,
    pub route: Arc<Route>,
    pub arrived: Instant,
    /// Hosts that it was passed on to.
    pub tried: Vec<Ipv4Addr>,
    /// Whether a leaf may have run it, or another host may have sent it to one.
    pub may_have_run: bool,
}

impl RelayedRequest {
    /// Returns the time at which the caller or the route gives it up.
    fn deadline(&self) -> Instant {
        let time = self.head.time_left.unwrap_or(self.route.timeout).min(self.route.timeout);
        self.arrived + time
    }

    fn may_repeat(&self) -> bool {
        self.route.repeat == RepeatPolicy::Idempotent
    }
}

/// A request that is passed on over a connection to another host.
#[derive(Debug)]
pub(crate) struct Relay {
    sock: TcpStream,
    started: Instant,
    connected: bool,
    /// Whether bytes of the request were written.
    written: bool,
    out: OutBuf,
    inbuf: Vec<u8>,
    response: Option<(ResponseHead, BodyReader)>,
    /// Bytes of interim responses.
    interim_bytes: usize,
    request: RelayedRequest,
    charge: Charge,
}

impl Node {
    /// Whether a request is not for this host's own leaves: the links to these are lost, or were lost
    /// until a moment ago and another host can be asked.
    pub(crate) fn passes_on(&self, head: &RequestHead) -> bool {
        match self.routing.links.state() {
            LinkState::Up | LinkState::Suspect => false,
            LinkState::Down => true,
            LinkState::Returning => !head.is_relayed && self.members.is_other_linked(self.now),
        }
    }

    /// Passes a request on, unless another host has passed it on or none has its links.
    pub(crate) fn pass_on(&mut self, req: RelayedRequest) {
        if req.head.is_relayed {
            self.refuse_relayed(&req);
        } else {
            self.relay(req);
        }
    }

    /// Passes a request on to a host that was not tried, or refuses it.
    fn relay(&mut self, mut req: RelayedRequest) {
        let is_late = self.now + WAY_MARGIN >= req.deadline();
        let open = self.relays.len() + self.upstreams.conn_count();
        let has_room = open < self.clients.connections.leaves;
        let may_try = has_room && !is_late && req.tried.len() < MAX_HOSTS;
        let host = may_try.then(|| self.relay_host(&req)).flatten();
        let Some(host) = host else { return self.refuse_relayed(&req) };
        req.tried.push(host);
        let address = (host, self.settings.caller_address.port()).into();
        match sock::connect(address) {
            Ok(sock) => self.add_relay(sock, req),
            // Without a descriptor or a port of its own, the host reaches no other one either.
            Err(_) => self.refuse_relayed(&req),
        }
    }

    fn relay_host(&mut self, req: &RelayedRequest) -> Option<Ipv4Addr> {
        let zone = self.settings.zone.as_str();
        let query = EntryQuery { zone, regions: &req.route.homes };
        let catalog = self.active_catalog.current().map(AsRef::as_ref);
        let leaves = &self.routing.leaves;
        let (now, rng) = (self.now, &mut self.rng);
        select_relay_host(&self.members, catalog, leaves, query, &req.tried, now, rng)
    }

    fn add_relay(&mut self, mut sock: TcpStream, req: RelayedRequest) {
        let entry = self.relays.vacant_entry();
        let key = entry.key();
        let both = Interest::READABLE | Interest::WRITABLE;
        let token = EventSource::Relay(key).token();
        if self.poll.registry().register(&mut sock, token, both).is_err() {
            return self.refuse_relayed(&req);
        }
        let time_left = req.deadline().since(self.now) - WAY_MARGIN;
        let mut out = OutBuf::default();
        out.push(http::encode_relayed_request(&req.head, &req.body, time_left));
        let conn = req.caller.and_then(|(caller, _)| self.callers.get_mut(caller));
        if let Some(conn) = conn {
            conn.phase = Phase::Relayed(key);
        }
        entry.insert(Relay {
            sock,
            started: self.now,
            connected: false,
            written: false,
            out,
            inbuf: Vec::new(),
            response: None,
            interim_bytes: 0,
            request: req,
            charge: Charge::default(),
        });
        self.metrics.count_relay("sent");
        self.charge_relay(key);
    }

    /// Charges what a relay takes now; returns whether its response is admitted.
    fn charge_relay(&mut self, key: usize) -> bool {
        let Some(relay) = self.relays.get_mut(key) else { return false };
        let response = relay.response.as_ref();
        let response =
            response.map_or(0, |(head, reader)| head.headers.capacity() + reader.held_bytes());
        let req = &relay.request;
        let request = req.head.held_bytes() + req.body.capacity();
        let bytes = RELAY_BYTES + request + relay.out.held_bytes() + relay.inbuf.capacity();
        self.clients.memory.set(&mut relay.charge, bytes + response);
        self.clients.memory.admits_response(response)
    }

    pub(crate) fn on_relay(&mut self, key: usize) {
        let Some(relay) = self.relays.get_mut(key) else { return };
        if !relay.connected {
            match sock::is_connected(&relay.sock) {
                Ok(true) => relay.connected = true,
                Ok(false) => return,
                Err(_) => return self.fail_relay(key),
            }
        }
        let flushed = relay.out.flush(&mut relay.sock);
        relay.written |= relay.out.is_empty() || !relay.out.is_untouched();
        if flushed.is_err() {
            return self.fail_relay(key);
        }
        loop {
            let Some(relay) = self.relays.get_mut(key) else { return };
            let (sock, inbuf) = (&mut relay.sock, &mut relay.inbuf);
            let end = sock::read(sock, inbuf, &mut self.scratch, READ_AHEAD);
            let is_valid = self.read_relayed_response(key);
            let Some(relay) = self.relays.get_mut(key) else { return };
            let is_closed = matches!(end, ReadEnd::Closed | ReadEnd::Broken);
            let response = relay.response.as_mut();
            let is_done = response.is_some_and(|(_, reader)| match end {
                ReadEnd::Closed => reader.end(),
                _ => reader.is_done(),
            });
            if is_done {
                return self.finish_relay(key);
            }
            if !is_valid || is_closed || !self.charge_relay(key) {
                return self.fail_relay(key);
            }
            if end == ReadEnd::Drained {
                return;
            }
        }
    }

    /// Decodes the received bytes; returns false if they are no response.
    fn read_relayed_response(&mut self, key: usize) -> bool {
        let max = self.clients.memory.max_response() as u64;
        let Some(relay) = self.relays.get_mut(key) else { return false };
        while relay.response.is_none() {
            let is_head = relay.request.head.is_head;
            let (inbuf, interim_bytes) = (&mut relay.inbuf, &mut relay.interim_bytes);
            let head = match take_head(inbuf, interim_bytes, true, is_head) {
                (HeadEnd::Final, Some(head)) => head,
                (HeadEnd::Interim, _) => continue,
                (HeadEnd::Incomplete, _) => return true,
                _ => return false,
            };
            let Ok(reader) = BodyReader::new(head.framing, max) else { return false };
            relay.response = Some((head, reader));
        }
        let Some((_, reader)) = &mut relay.response else { return true };
        let Ok(used) = reader.push(&relay.inbuf) else { return false };
        relay.inbuf.drain(..used);
        true
    }

    fn finish_relay(&mut self, key: usize) {
        let Some(relay) = self.remove_relay(key) else { return };
        let Some((head, reader)) = relay.response else { return };
        let (status, stamp, headers) = (head.status, head.stamp, head.headers);
        let response = LeafResponse { status, stamp, headers, body: reader.into_body() };
        self.metrics.count_relay("answered");
        // That this host has not run it says nothing of an earlier one.
        let reply = match relay.request.may_have_run && response.implies_not_run() {
            true => Reply::Failed(Cause::Broken),
            false => Reply::Relayed(response),
        };
        self.reply_to_relayed(&relay.request, &reply);
    }

    fn remove_relay(&mut self, key: usize) -> Option<Relay> {
        let mut relay = self.relays.try_remove(key)?;
        self.clients.memory.release(&mut relay.charge);
        // Closing the socket removes it from the event queue anyway.
        let _ = self.poll.registry().deregister(&mut relay.sock);
        Some(relay)
    }

    /// Handles that the other host could not be asked or did not answer.
    fn fail_relay(&mut self, key: usize) {
        let Some(mut relay) = self.remove_relay(key) else { return };
        relay.request.may_have_run |= relay.written;
        self.metrics.count_relay("failed");
        if self.journal.admits("relay_failed", self.now) {
            let fields = json!({
                "request": relay.request.head.id, "host": relay.request.tried.last(),
                "written": relay.written, "took_us": self.now.since(relay.started).0,
            });
            self.journal.record("relay_failed", fields, self.now);
        }
        let can_retry = !relay.request.may_have_run || relay.request.may_repeat();
        let is_over = self.now + WAY_MARGIN >= relay.request.deadline();
        if can_retry && !is_over {
            return self.relay(relay.request);
        }
        if is_over && relay.request.may_have_run {
            let reply = Reply::Failed(Cause::TimeUp);
            return self.reply_to_relayed(&relay.request, &reply);
        }
        self.refuse_relayed(&relay.request);
    }

    /// Refuses a request that this host cannot serve, as one that has not run if that is certain.
    fn refuse_relayed(&mut self, req: &RelayedRequest) {
        if req.may_have_run {
            return self.reply_to_relayed(req, &Reply::Failed(Cause::Broken));
        }
        let is_other_linked = self.members.is_other_linked(self.now);
        let retry_after = RETRY_AFTER[usize::from(!is_other_linked)];
        self.reply_to_relayed(req, &Reply::Refused { cause: Cause::LinksLost, retry_after });
    }

    fn reply_to_relayed(&mut self, req: &RelayedRequest, reply: &Reply) {
        let Some((caller, serial)) = req.caller else { return };
        if self.callers.get(caller).is_none_or(|conn| conn.serial != serial) {
            return;
        }
        let cause = match reply {
            Reply::Refused { cause, .. } | Reply::Failed(cause) => cause.name(),
            Reply::Relayed(_) | Reply::Merged { .. } => "relayed",
        };
        let status = http::reply_status(reply);
        self.metrics.count_reply(Some(&req.route.name), status, cause);
        if status >= 400 && self.journal.admits("relayed", self.now) {
            let fields = json!({
                "request": req.head.id, "route": req.route.name, "status": status,
                "cause": cause, "hosts": req.tried, "took_us": self.now.since(req.arrived).0,
            });
            self.journal.record("relayed", fields, self.now);
        }
        let close = self.stopping.is_some() || !req.head.keep_alive;
        let bytes = http::encode_reply(reply, req.head.is_head, close);
        self.send_caller(caller, bytes, close);
        self.resume_caller(caller);
    }

    /// Gives a final reply to the requests that are passed on, because the process stops.
    pub(crate) fn fail_open_relays(&mut self) {
        let open: Vec<usize> = self.relays.iter().map(|(key, _)| key).collect();
        for relay in open.into_iter().filter_map(|key| self.remove_relay(key)).collect::<Vec<_>>() {
            let cause = Cause::Stopping;
            let reply = match relay.written || relay.request.may_have_run {
                true => Reply::Failed(cause),
                false => Reply::Refused { cause, retry_after: Span::ZERO },
            };
            self.reply_to_relayed(&relay.request, &reply);
        }
    }

    /// Handles that a caller closed its connection: a request that may run twice is given up.
    pub(crate) fn on_relay_caller_closed(&mut self, key: usize) {
        let Some(relay) = self.relays.get_mut(key) else { return };
        relay.request.caller = None;
        if relay.request.may_repeat() {
            self.remove_relay(key);
        }
    }

    /// Ends the relays whose connections are not established or whose requests are given up.
    pub(crate) fn sweep_relays(&mut self) {
        let now = self.now;
        let is_due = |relay: &Relay| {
            let is_unopened = !relay.connected && now.since(relay.started) > CONNECT_TIMEOUT;
            is_unopened || now + REPLY_MARGIN >= relay.request.deadline()
        };
        let due = self.relays.iter().filter(|(_, relay)| is_due(relay));
        let due: Vec<usize> = due.map(|(key, _)| key).collect();
        for key in due {
            self.fail_relay(key);
        }
    }

    /// Passes on the requests in progress that no leaf can run or that may run twice. If leaves
    /// still respond on open connections, these requests stay.
    pub(crate) fn relay_open_requests(&mut self) {
        let is_quiet = self.routing.links.quiet_for(self.now) >= QUIET_TIME;
        if !is_quiet || !self.members.is_other_linked(self.now) {
            return;
        }
        let keys: Vec<usize> = self.requests.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(req) = self.take_for_relay(key) {
                self.relay(req);
            }
        }
    }
}
