//! Following the platform's store, and what its objects change on this host.

use {
    crate::{
        body::BodyReader,
        node::{Node, Source},
        sock::{self, OutBuf, ReadEnd},
    },
    mio::{Interest, net::TcpStream},
    serde::Serialize,
    serde_json::{Value, json},
    std::net::{Ipv4Addr, SocketAddr},
    wigeonramp_platform::{
        http::{self, AnswerHead},
        objects::{self, CONFIG_NAME, Kind, StoredObject},
    },
    wigeonramp_routing::{
        catalog::Adopted,
        feed::{Feed, FeedCall},
        leaves::LeafChange,
    },
    wigeonramp_units::{Instant, LeafId, Span, ZoneId},
};

/// Time for which the store holds a watch open.
const WATCH_WAIT: Span = Span::secs(25);
/// Time for a call besides the wait it asks for.
const CALL_TIME: Span = Span::millis(2_500);
/// Longest answer of the store in bytes; a page is about one megabyte at most.
const MAX_ANSWER: u64 = 8 * 1024 * 1024;
/// Registrations that vanish together in at least this share lapsed; single ones are gone.
const LAPSED_SHARE: f64 = 0.1;
/// Registrations that vanish together at least to count as lapsed.
const LAPSED_COUNT: usize = 4;

/// What a call is for.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Purpose {
    Feed(FeedCall),
    Register,
}

#[derive(Debug)]
struct Call {
    purpose: Purpose,
    deadline: Instant,
}

/// One connection to the store; carries the calls of one kind.
#[derive(Debug)]
struct Line {
    kind: Kind,
    feed: Feed,
    sock: Option<TcpStream>,
    connected: bool,
    out: OutBuf,
    inbuf: Vec<u8>,
    answer: Option<(AnswerHead, BodyReader)>,
    call: Option<Call>,
    listed_once: bool,
}

/// The host's side of the store.
#[derive(Debug)]
pub(crate) struct StoreSide {
    address: SocketAddr,
    lines: Vec<Line>,
    registered: bool,
    lost: bool,
    /// Calls made, by outcome.
    pub calls: u64,
}

/// What a host says of itself in the store.
#[derive(Serialize)]
struct MemberSpec<'a> {
    ip: Ipv4Addr,
    zone: &'a ZoneId,
}

impl StoreSide {
    /// Nothing is known yet.
    pub fn new(address: SocketAddr, now: Instant) -> Self {
        let line = |kind: &Kind| Line {
            kind: *kind,
            feed: Feed::new(now),
            sock: None,
            connected: false,
            out: OutBuf::default(),
            inbuf: Vec::new(),
            answer: None,
            call: None,
            listed_once: false,
        };
        let lines = Kind::ALL.iter().map(line).collect();
        Self { address, lines, registered: false, lost: false, calls: 0 }
    }

    fn line(&self, kind: Kind) -> Option<&Line> {
        self.lines.iter().find(|line| line.kind == kind)
    }

    /// Whether the leaves were listed once.
    pub fn knows_leaves(&self) -> bool {
        self.line(Kind::Leaves).is_some_and(|line| line.listed_once)
    }

    /// When a call is due, or one under way is given up.
    pub fn next_at(&self) -> Option<Instant> {
        let due = self.lines.iter().filter_map(|line| match &line.call {
            Some(call) => Some(call.deadline),
            None if line.kind == Kind::Members && line.listed_once => None,
            None => line.feed.next_at(),
        });
        due.min()
    }
}

impl Node {
    pub(crate) fn drive_store(&mut self) {
        for index in 0..self.store.lines.len() {
            let now = self.now;
            let line = &mut self.store.lines[index];
            if let Some(call) = &line.call {
                if now >= call.deadline {
                    self.store_failed(index, "no answer");
                }
                continue;
            }
            if line.kind == Kind::Members && line.listed_once {
                continue;
            }
            if line.kind == Kind::Members && !self.store.registered {
                if line.feed.next_at().is_some_and(|at| at <= now) {
                    self.register_self(index);
                }
                continue;
            }
            let Some(call) = line.feed.due(now) else { continue };
            let bytes = objects::feed_request(line.kind, &call, WATCH_WAIT, self.store.address);
            let wait = match call {
                FeedCall::Watch { .. } => WATCH_WAIT,
                FeedCall::List { .. } => Span::ZERO,
            };
            self.start_call(index, bytes, Purpose::Feed(call), wait);
        }
    }

    fn register_self(&mut self, index: usize) {
        let spec = MemberSpec { ip: self.settings.ip, zone: &self.settings.zone };
        let name = self.settings.host.as_str();
        match objects::create_request(Kind::Members, name, &spec, self.store.address) {
            Ok(bytes) => self.start_call(index, bytes, Purpose::Register, Span::ZERO),
            Err(err) => {
                self.store.registered = true;
                self.journal.line("register_failed", json!({ "error": err.to_string() }), self.now);
            }
        }
    }

    fn start_call(&mut self, index: usize, bytes: Vec<u8>, purpose: Purpose, wait: Span) {
        let now = self.now;
        self.store.calls += 1;
        self.metrics.called_store();
        let address = self.store.address;
        let line = &mut self.store.lines[index];
        line.call = Some(Call { purpose, deadline: now + CALL_TIME + wait });
        line.out.push(bytes);
        if line.sock.is_none() {
            let opened = sock::connect(address).and_then(|mut sock| {
                let both = Interest::READABLE | Interest::WRITABLE;
                let token = Source::Store(index).token();
                self.poll.registry().register(&mut sock, token, both)?;
                sock::detect_silence(&sock)?;
                Ok(sock)
            });
            match opened {
                Ok(sock) => {
                    line.sock = Some(sock);
                    line.connected = false;
                }
                Err(err) => self.store_failed(index, &err.to_string()),
            }
            return;
        }
        if line.connected
            && let Some(sock) = &mut line.sock
            && line.out.flush(sock).is_err()
        {
            self.store_failed(index, "connection broke");
        }
    }

    pub(crate) fn on_store(&mut self, index: usize) {
        let Some(line) = self.store.lines.get_mut(index) else { return };
        let Some(sock) = &mut line.sock else { return };
        if !line.connected {
            match sock.peer_addr() {
                Ok(_) => line.connected = true,
                Err(_) => match sock.take_error() {
                    Ok(None) => return,
                    Ok(Some(_)) | Err(_) => return self.store_failed(index, "cannot connect"),
                },
            }
        }
        if line.out.flush(sock).is_err() {
            return self.store_failed(index, "connection broke");
        }
        let limit = MAX_ANSWER as usize;
        let end = sock::read(sock, &mut line.inbuf, &mut self.scratch, limit);
        match read_answer(line, end) {
            Ok(Some((head, body))) => {
                if end != ReadEnd::Drained || head.close {
                    self.close_line(index);
                }
                self.on_store_answer(index, head.status, &body);
            }
            Ok(None) if end == ReadEnd::Drained => {}
            Ok(None) => self.store_failed(index, "connection broke"),
            Err(()) => self.store_failed(index, "answer malformed"),
        }
    }

    fn close_line(&mut self, index: usize) {
        let line = &mut self.store.lines[index];
        if let Some(mut sock) = line.sock.take() {
            // A closed socket leaves the queue by itself.
            let _ = self.poll.registry().deregister(&mut sock);
        }
        line.connected = false;
        line.out = OutBuf::default();
        line.inbuf = Vec::new();
        line.answer = None;
    }

    fn store_failed(&mut self, index: usize, reason: &str) {
        self.close_line(index);
        let line = &mut self.store.lines[index];
        if line.call.take().is_none() {
            return;
        }
        line.feed.on_error(self.now, &mut self.rng);
        self.metrics.store_failed();
        if !self.store.lost {
            self.store.lost = true;
            let kind = self.store.lines[index].kind.name();
            self.journal.line("store_lost", json!({ "kind": kind, "reason": reason }), self.now);
        }
    }

    fn on_store_answer(&mut self, index: usize, status: u16, body: &[u8]) {
        let line = &mut self.store.lines[index];
        let Some(call) = line.call.take() else { return };
        match (&call.purpose, status) {
            (Purpose::Register, 200..=299 | 409) => {
                self.store.registered = true;
                self.note_store_back();
            }
            (Purpose::Feed(FeedCall::List { .. }), 200) => self.on_page(index, body),
            (Purpose::Feed(FeedCall::List { .. }), 404) => {
                let page = b"{\"items\":[],\"current_rev\":0}";
                self.on_page(index, page);
            }
            (Purpose::Feed(FeedCall::Watch { .. }), 200) => self.on_changes(index, body),
            (Purpose::Feed(FeedCall::Watch { .. }), 410) => {
                line.feed.on_history_gone(self.now, &mut self.rng);
                let fields = json!({ "kind": line.kind.name() });
                self.journal.line("store_history_gone", fields, self.now);
            }
            _ => {
                line.call = Some(call);
                self.store_failed(index, &format!("status {status}"));
            }
        }
    }

    fn note_store_back(&mut self) {
        if std::mem::take(&mut self.store.lost) {
            self.journal.line("store_regained", json!({}), self.now);
        }
    }

    fn on_page(&mut self, index: usize, body: &[u8]) {
        let page = match objects::page(body) {
            Ok(page) => page,
            Err(err) => return self.unreadable(index, &err),
        };
        self.note_store_back();
        let kind = self.store.lines[index].kind;
        for object in &page.items {
            self.take_object(kind, object);
        }
        let names = page.items.iter().map(|object| object.name.clone());
        let line = &mut self.store.lines[index];
        let all = line.feed.on_page(names, page.more, page.revision, self.now);
        let Some(all) = all else { return };
        line.listed_once = true;
        match kind {
            Kind::Leaves => {
                let missing = |id: &&LeafId| !all.contains(id.as_str());
                let missing: Vec<_> = self.traffic.leaves.ids().filter(missing).cloned().collect();
                self.leaves_gone(index, &missing);
            }
            Kind::Evacuations => {
                let back = |zone: &&ZoneId| !all.contains(zone.as_str());
                let back: Vec<_> = self.traffic.leaves.evacuated().filter(back).cloned().collect();
                for zone in back {
                    self.set_evacuated(&zone, false);
                }
            }
            Kind::Config | Kind::Members => {}
        }
    }

    fn unreadable(&mut self, index: usize, err: &str) {
        let line = &mut self.store.lines[index];
        line.feed.on_error(self.now, &mut self.rng);
        let fields = json!({ "kind": line.kind.name(), "error": err });
        self.journal.line("store_answer_unreadable", fields, self.now);
    }

    fn on_changes(&mut self, index: usize, body: &[u8]) {
        let changes = match objects::changes(body) {
            Ok(changes) => changes,
            Err(err) => return self.unreadable(index, &err),
        };
        self.note_store_back();
        let line = &mut self.store.lines[index];
        let kind = line.kind;
        line.feed.on_changes(!changes.changes.is_empty(), changes.revision, self.now);
        let mut gone = Vec::new();
        for change in &changes.changes {
            if !change.deleted {
                if let Ok(id) = change.object.name.parse::<LeafId>() {
                    gone.retain(|known| *known != id);
                }
                self.take_object(kind, &change.object);
                continue;
            }
            match (kind, change.object.name.parse::<LeafId>(), change.object.name.parse()) {
                (Kind::Leaves, Ok(id), _) => gone.push(id),
                (Kind::Evacuations, _, Ok(zone)) => self.set_evacuated(&zone, false),
                _ => {}
            }
        }
        self.leaves_gone(index, &gone);
    }

    fn take_object(&mut self, kind: Kind, object: &StoredObject) {
        match kind {
            Kind::Config if object.name == CONFIG_NAME => self.take_config(object),
            Kind::Config => {}
            Kind::Leaves => self.take_leaf(object),
            Kind::Evacuations => match object.name.parse() {
                Ok(zone) => self.set_evacuated(&zone, true),
                Err(_) => self.ignore_object(kind, object, "not the name of a zone"),
            },
            Kind::Members => self.take_member(object),
        }
    }

    fn ignore_object(&mut self, kind: Kind, object: &StoredObject, reason: &str) {
        let fields = json!({
            "kind": kind.name(), "name": object.name, "revision": object.revision.0,
            "reason": reason,
        });
        self.journal.line("object_ignored", fields, self.now);
    }

    fn take_config(&mut self, object: &StoredObject) {
        let catalog = match objects::catalog(object) {
            Ok(catalog) => catalog,
            Err(err) => return self.ignore_object(Kind::Config, object, &err),
        };
        let version = catalog.version;
        if self.adoption.offer(catalog) != Adopted::Newer {
            return;
        }
        let Some(catalog) = self.adoption.current().cloned() else { return };
        let rate = |(id, spec): (_, &wigeonramp_routing::catalog::ServiceSpec)| {
            let id: &wigeonramp_units::ServiceId = id;
            (id.clone(), spec.cold_per_second)
        };
        self.traffic.cold_rates = catalog.services.iter().map(rate).collect();
        self.traffic.keep(
            |service| catalog.services.contains_key(service),
            |name| catalog.routes.iter().any(|route| route.name == name),
        );
        let fields = json!({
            "version": version.0, "revision": object.revision.0, "routes": catalog.routes.len(),
            "services": catalog.services.len(),
        });
        self.journal.line("config_adopted", fields, self.now);
    }

    fn take_leaf(&mut self, object: &StoredObject) {
        let entry = match objects::leaf(object) {
            Ok(entry) => entry,
            Err(err) => {
                self.ignore_object(Kind::Leaves, object, &err);
                if let Ok(id) = object.name.parse::<LeafId>() {
                    self.remove_leaf(&id, "unreadable");
                }
                return;
            }
        };
        let (id, draining) = (entry.id.clone(), entry.draining);
        let cold_left = entry.cold_left;
        let change = self.traffic.leaves.register(entry, self.now);
        let what = match change {
            LeafChange::Kept | LeafChange::Removed(_) => return,
            LeafChange::Added(_) => "added",
            LeafChange::Updated(_) if draining => "draining",
            LeafChange::Updated(_) => "updated",
            LeafChange::Restarted(key) => {
                self.close_idle_to(key);
                "restarted"
            }
        };
        if what == "added" && !self.store.knows_leaves() {
            return;
        }
        let fields = json!({
            "leaf": id, "state": what, "cold_left_us": cold_left.0, "revision": object.revision.0,
        });
        self.journal.line("leaf", fields, self.now);
    }

    /// Registrations are gone: at once, or after a grace when the store was away and they may
    /// merely have lapsed.
    fn leaves_gone(&mut self, index: usize, ids: &[LeafId]) {
        let many = (self.traffic.leaves.len() as f64 * LAPSED_SHARE) as usize;
        let lapsed = ids.len() >= many.max(LAPSED_COUNT);
        let back = self.store.lines[index].feed.lapse_until(self.now);
        let until = back.or(lapsed.then_some(self.now + Feed::lapse_grace()));
        for id in ids {
            match until {
                Some(until) => self.traffic.leaves.lapse(id, until),
                None => self.remove_leaf(id, "unregistered"),
            }
        }
    }

    fn remove_leaf(&mut self, id: &LeafId, reason: &str) {
        if let LeafChange::Removed(key) = self.traffic.leaves.remove(id) {
            self.close_idle_to(key);
            self.journal.line("leaf", json!({ "leaf": id, "state": reason }), self.now);
        }
    }

    pub(crate) fn sweep_leaves(&mut self) {
        for (id, key) in self.traffic.leaves.drop_lapsed(self.now) {
            self.close_idle_to(key);
            self.journal.line("leaf", json!({ "leaf": id, "state": "lapsed" }), self.now);
        }
    }

    fn set_evacuated(&mut self, zone: &ZoneId, out: bool) {
        self.traffic.leaves.evacuate(zone.clone(), out);
        self.journal.line("evacuation", json!({ "zone": zone, "out": out }), self.now);
    }

    fn take_member(&mut self, object: &StoredObject) {
        let ip = object.spec.get("ip").and_then(Value::as_str).map(str::parse::<Ipv4Addr>);
        let zone = object.spec.get("zone").and_then(Value::as_str).map(str::parse::<ZoneId>);
        match (ip, zone) {
            (Some(Ok(ip)), Some(Ok(zone))) => self.members.listed(ip, zone),
            _ => self.ignore_object(Kind::Members, object, "ip or zone missing"),
        }
    }
}

/// Reads the answer to the call under way; none while it is not whole.
fn read_answer(line: &mut Line, end: ReadEnd) -> Result<Option<(AnswerHead, Vec<u8>)>, ()> {
    if line.call.is_none() {
        return if line.inbuf.is_empty() { Ok(None) } else { Err(()) };
    }
    if line.answer.is_none() {
        let Some(head) = http::answer_head(&line.inbuf, false, false).map_err(|_| ())? else {
            return Ok(None);
        };
        line.inbuf.drain(..head.length);
        let reader = BodyReader::new(head.framing, MAX_ANSWER).map_err(|_| ())?;
        line.answer = Some((head, reader));
    }
    let Some((_, reader)) = &mut line.answer else { return Ok(None) };
    let used = reader.push(&line.inbuf).map_err(|_| ())?;
    line.inbuf.drain(..used);
    let whole = reader.is_done() || (end == ReadEnd::Closed && reader.end());
    if !whole {
        return Ok(None);
    }
    Ok(line.answer.take().map(|(head, reader)| (head, reader.into_body())))
}
