//! Calls to the platform's store.

use {
    crate::{
        body::BodyReader,
        node::{EventSource, Node},
        sock::{self, OutBuf, ReadEnd},
    },
    mio::{Interest, net::TcpStream},
    serde_json::json,
    std::net::SocketAddr,
    wigeonramp_platform::{
        http::{self, ResponseHead},
        objects::{self, CONFIG_OBJECT, ObjectKind, StoredObject},
    },
    wigeonramp_routing::{
        changes::Change,
        follow::Origin,
        list_watch::{ListWatch, ListWatchCall},
    },
    wigeonramp_units::{Instant, LeafId, Revision, Span, ZoneId},
};

/// Time for which the store holds a watch open.
const WATCH_WAIT: Span = Span::secs(25);
/// Time for a call besides the wait it asks for.
const CALL_TIME: Span = Span::millis(2_500);
/// Time between checks that the store answers. A watch shows nothing while it waits, and its answer
/// can be lost while its connection stays open.
const CHECK_EVERY: Span = Span::millis(1_000);
/// Time for the answer to a check; a slow store answers within half a second.
const CHECK_TIME: Span = Span::millis(1_200);
/// Longest answer of the store in bytes; a page is about one megabyte at most.
const MAX_ANSWER: u64 = 8 * 1024 * 1024;
/// Registrations that vanish together in at least this share lapsed; single ones are gone.
const LAPSED_SHARE: f64 = 0.1;
/// Registrations that vanish together at least to count as lapsed.
const LAPSED_COUNT: usize = 4;

/// Time for which calls fail until other hosts watch in this one's place.
const BLIND_AFTER: Span = Span::millis(1_000);
/// Time without word from any host after which the roster is read.
const ALONE_AFTER: Span = Span::millis(1_000);
/// Time between readings of the roster.
const ROSTER_EVERY: Span = Span::secs(3);

/// What a call is for.
#[derive(Clone, Debug, Eq, PartialEq)]
enum CallPurpose {
    Feed(ListWatchCall),
    Register,
    Check,
}

#[derive(Debug)]
struct Call {
    purpose: CallPurpose,
    deadline: Instant,
}

/// One connection to the store; carries the calls of one kind.
#[derive(Debug)]
struct Line {
    kind: ObjectKind,
    feed: ListWatch,
    sock: Option<TcpStream>,
    connected: bool,
    out: OutBuf,
    inbuf: Vec<u8>,
    answer: Option<(ResponseHead, BodyReader)>,
    call: Option<Call>,
    /// Newest change among the objects listed.
    newest: Revision,
}

/// The host's side of the store.
#[derive(Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    lines: Vec<Line>,
    registered: bool,
    next_roster: Instant,
    next_check: Instant,
    lost_since: Option<Instant>,
}

impl StoreClient {
    /// Nothing is known yet.
    pub fn new(address: SocketAddr, now: Instant) -> Self {
        let line = |kind: &ObjectKind| Line {
            kind: *kind,
            feed: ListWatch::new(now),
            sock: None,
            connected: false,
            out: OutBuf::default(),
            inbuf: Vec::new(),
            answer: None,
            call: None,
            newest: Revision(0),
        };
        let lines = ObjectKind::ALL.iter().map(line).collect();
        Self {
            address,
            lines,
            registered: false,
            next_roster: now,
            next_check: now + CHECK_EVERY,
            lost_since: None,
        }
    }

    /// Whether calls have failed for so long that other hosts should watch in this one's place.
    pub fn is_blind(&self, now: Instant) -> bool {
        self.lost_since.is_some_and(|since| now.since(since) >= BLIND_AFTER)
    }

    /// When a call is due, or one under way is given up.
    pub fn next_at(&self, watches: bool) -> Option<Instant> {
        let due = self.lines.iter().filter_map(|line| match &line.call {
            Some(call) => Some(call.deadline),
            None if !watches => None,
            None if line.kind == ObjectKind::Members => {
                line.feed.next_at().map(|at| at.max(self.next_check))
            }
            None => line.feed.next_at(),
        });
        due.min()
    }
}

impl Node {
    pub(crate) fn drive_store(&mut self) {
        let watches = self.origin_selector.origin() == Origin::Store;
        for index in 0..self.store.lines.len() {
            let now = self.now;
            let line = &mut self.store.lines[index];
            if let Some(call) = &line.call {
                if now >= call.deadline {
                    self.store_failed(index, "no answer");
                }
                continue;
            }
            if line.kind == ObjectKind::Members {
                self.drive_roster(index, watches);
                continue;
            }
            if !watches {
                continue;
            }
            let known = match line.kind {
                ObjectKind::Config => self.replicated.config_upto,
                ObjectKind::Leaves => self.replicated.leaves.upto(),
                ObjectKind::Evacuations => self.replicated.evacuations.upto(),
                ObjectKind::Members => Revision(0),
            };
            line.feed.resume(known, now);
            let Some(call) = line.feed.due(now) else { continue };
            let bytes =
                objects::list_watch_request(line.kind, &call, WATCH_WAIT, self.store.address);
            let wait = match call {
                ListWatchCall::Watch { .. } => WATCH_WAIT,
                ListWatchCall::List { .. } => Span::ZERO,
            };
            self.start_call(index, bytes, CallPurpose::Feed(call), wait);
        }
    }

    /// A host that watches the store enters itself in the roster once, so that others find somebody
    /// there; a host that hears nobody looks the others up.
    fn drive_roster(&mut self, index: usize, watches: bool) {
        let now = self.now;
        let alone = !self.members.hears_others(now) && now.since(self.started) >= ALONE_AFTER;
        let line = &mut self.store.lines[index];
        if line.feed.next_at().is_none_or(|at| at > now) {
            return;
        }
        if watches && !self.store.registered {
            return self.register_self(index);
        }
        if watches && now >= self.store.next_check {
            self.store.next_check = now + CHECK_EVERY;
            let bytes = objects::probe_request(self.store.address);
            return self.start_call(index, bytes, CallPurpose::Check, Span::ZERO);
        }
        if !alone || now < self.store.next_roster {
            return;
        }
        self.store.next_roster = now + ROSTER_EVERY;
        let call = ListWatchCall::List { after: None };
        let bytes =
            objects::list_watch_request(ObjectKind::Members, &call, WATCH_WAIT, self.store.address);
        self.start_call(index, bytes, CallPurpose::Feed(call), Span::ZERO);
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
                self.store.registered = true;
                self.journal.record(
                    "register_failed",
                    json!({ "error": err.to_string() }),
                    self.now,
                );
            }
        }
    }

    fn start_call(&mut self, index: usize, bytes: Vec<u8>, purpose: CallPurpose, wait: Span) {
        let now = self.now;
        let address = self.store.address;
        let line = &mut self.store.lines[index];
        self.metrics.count_store_call(line.kind.name());
        let time = if purpose == CallPurpose::Check { CHECK_TIME } else { CALL_TIME };
        line.call = Some(Call { purpose, deadline: now + time + wait });
        line.out.push(bytes);
        if line.sock.is_none() {
            let opened = sock::connect(address).and_then(|mut sock| {
                let both = Interest::READABLE | Interest::WRITABLE;
                let token = EventSource::Store(index).token();
                self.poll.registry().register(&mut sock, token, both)?;
                sock::enable_keep_alive(&sock)?;
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
            match sock::is_connected(sock) {
                Ok(true) => line.connected = true,
                Ok(false) => return,
                Err(_) => return self.store_failed(index, "cannot connect"),
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
        self.metrics.count_store_failure(line.kind.name());
        if self.store.lost_since.is_none() {
            self.store.lost_since = Some(self.now);
            let kind = self.store.lines[index].kind.name();
            self.journal.record("store_lost", json!({ "kind": kind, "reason": reason }), self.now);
        }
    }

    fn on_store_answer(&mut self, index: usize, status: u16, body: &[u8]) {
        let line = &mut self.store.lines[index];
        let Some(call) = line.call.take() else { return };
        match (&call.purpose, status) {
            (CallPurpose::Register, 200..=299 | 409) => {
                self.store.registered = true;
                self.on_store_available();
            }
            (CallPurpose::Check, 200 | 404) => self.on_store_available(),
            (CallPurpose::Feed(ListWatchCall::List { .. }), 200) => self.on_page(index, body),
            (CallPurpose::Feed(ListWatchCall::List { .. }), 404) => {
                let page = b"{\"items\":[],\"current_rev\":0}";
                self.on_page(index, page);
            }
            (CallPurpose::Feed(ListWatchCall::Watch { .. }), 200) => self.on_changes(index, body),
            (CallPurpose::Feed(ListWatchCall::Watch { .. }), 410) => {
                line.feed.on_history_gone(self.now, &mut self.rng);
                let fields = json!({ "kind": line.kind.name() });
                self.journal.record("store_history_gone", fields, self.now);
            }
            _ => {
                line.call = Some(call);
                self.store_failed(index, &format!("status {status}"));
            }
        }
    }

    fn on_store_available(&mut self) {
        if self.store.lost_since.take().is_none() {
            return;
        }
        let mut again = Vec::new();
        for index in 0..self.store.lines.len() {
            let line = &mut self.store.lines[index];
            if line.call.as_ref().is_some_and(|call| matches!(call.purpose, CallPurpose::Feed(_))) {
                line.call = None;
                line.feed.make_again(self.now);
                again.push(line.kind.name());
                self.close_line(index);
            }
        }
        self.journal.record("store_regained", json!({ "made_again": again }), self.now);
    }

    fn on_page(&mut self, index: usize, body: &[u8]) {
        let page = match objects::parse_page(body) {
            Ok(page) => page,
            Err(err) => return self.unreadable(index, &err),
        };
        self.on_store_available();
        let kind = self.store.lines[index].kind;
        self.log_unreadable(kind, page.unreadable);
        let newest = page.items.iter().map(|object| object.revision).max();
        for object in &page.items {
            if let Some(change) = self.read_object(kind, object) {
                self.apply(&change);
            }
        }
        let names = page.items.iter().map(|object| object.name.clone());
        let line = &mut self.store.lines[index];
        let all = line.feed.on_page(names, page.has_more, page.revision, self.now);
        line.newest = line.newest.max(newest.unwrap_or_default());
        let (Some(all), newest) = (all, line.newest) else { return };
        // Revisions start above zero, which stands for nothing known.
        let upto = line.feed.revision().unwrap_or_default().max(Revision(1));
        match kind {
            ObjectKind::Leaves => {
                let missing = |id: &&LeafId| !all.contains(id.as_str());
                let missing: Vec<_> = self.routing.leaves.ids().filter(missing).cloned().collect();
                for change in self.leaves_gone(index, missing) {
                    self.apply(&change);
                }
                self.replicated.leaves.restart(upto, newest);
            }
            ObjectKind::Evacuations => {
                let back = |zone: &&ZoneId| !all.contains(zone.as_str());
                let back: Vec<_> = self.routing.leaves.evacuated().filter(back).cloned().collect();
                for zone in back {
                    self.apply(&Change::Evacuation { zone, out: false });
                }
                self.replicated.evacuations.restart(upto, newest);
            }
            ObjectKind::Config => {
                self.replicated.config_upto = self.replicated.config_upto.max(upto);
                self.replicated.config_changed = self.replicated.config_changed.max(newest);
            }
            ObjectKind::Members => {}
        }
        self.replicated.unsent_changes = true;
    }

    fn unreadable(&mut self, index: usize, err: &str) {
        let line = &mut self.store.lines[index];
        line.feed.on_error(self.now, &mut self.rng);
        let fields = json!({ "kind": line.kind.name(), "error": err });
        self.journal.record("store_answer_unreadable", fields, self.now);
    }

    fn on_changes(&mut self, index: usize, body: &[u8]) {
        let batch = match objects::parse_changes(body) {
            Ok(batch) => batch,
            Err(err) => return self.unreadable(index, &err),
        };
        self.on_store_available();
        let kind = self.store.lines[index].kind;
        self.log_unreadable(kind, batch.unreadable);
        let line = &mut self.store.lines[index];
        line.feed.on_changes(!batch.changes.is_empty(), batch.revision, self.now);
        let mut changes = Vec::new();
        let mut gone: Vec<LeafId> = Vec::new();
        for change in &batch.changes {
            let name = &change.object.name;
            if !change.deleted {
                gone.retain(|id| id.as_str() != name);
                changes.extend(self.read_object(kind, &change.object));
                continue;
            }
            match (kind, name.parse::<LeafId>(), name.parse::<ZoneId>()) {
                (ObjectKind::Leaves, Ok(id), _) => {
                    // What was registered before the end in the same batch no longer counts.
                    changes.retain(|known| !matches!(known, Change::Leaf(e) if e.id == id));
                    gone.push(id);
                }
                (ObjectKind::Evacuations, _, Ok(zone)) => {
                    changes.push(Change::Evacuation { zone, out: false });
                }
                _ => {}
            }
        }
        let mut all = self.leaves_gone(index, gone);
        all.extend(changes);
        let fresh = match kind {
            ObjectKind::Leaves => self.replicated.leaves.extend(batch.revision, &all),
            ObjectKind::Evacuations => self.replicated.evacuations.extend(batch.revision, &all),
            ObjectKind::Config => {
                self.replicated.config_upto = self.replicated.config_upto.max(batch.revision);
                if !batch.changes.is_empty() {
                    self.replicated.config_changed =
                        self.replicated.config_changed.max(batch.revision);
                }
                true
            }
            ObjectKind::Members => false,
        };
        if fresh {
            for change in &all {
                self.apply(change);
            }
        }
        self.replicated.unsent_changes |= !batch.changes.is_empty();
    }

    /// What an object changes; a configuration or a host is taken in at once.
    fn read_object(&mut self, kind: ObjectKind, object: &StoredObject) -> Option<Change> {
        match kind {
            ObjectKind::Config if object.name == CONFIG_OBJECT => {
                match objects::parse_catalog(object) {
                    Ok(catalog) => self.adopt(catalog, "store"),
                    Err(err) => self.ignore_object(kind, object, &err),
                }
            }
            ObjectKind::Config => {}
            ObjectKind::Leaves => return self.read_leaf(object),
            ObjectKind::Evacuations => match object.name.parse() {
                Ok(zone) => return Some(Change::Evacuation { zone, out: true }),
                Err(_) => self.ignore_object(kind, object, "not the name of a zone"),
            },
            ObjectKind::Members => match objects::parse_member(object) {
                Ok((ip, zone)) => self.members.listed(ip, zone),
                Err(err) => self.ignore_object(kind, object, &err),
            },
        }
        None
    }

    fn log_unreadable(&mut self, kind: ObjectKind, count: usize) {
        if count > 0 {
            let fields =
                json!({ "kind": kind.name(), "count": count, "reason": "no readable name" });
            self.journal.record("object_ignored", fields, self.now);
        }
    }

    fn ignore_object(&mut self, kind: ObjectKind, object: &StoredObject, reason: &str) {
        let fields = json!({
            "kind": kind.name(), "name": object.name, "revision": object.revision.0,
            "reason": reason,
        });
        self.journal.record("object_ignored", fields, self.now);
    }

    /// A registration that cannot be read names no leaf to use.
    fn read_leaf(&mut self, object: &StoredObject) -> Option<Change> {
        match objects::parse_leaf(object) {
            Ok(entry) => Some(Change::Leaf(entry)),
            Err(err) => {
                self.ignore_object(ObjectKind::Leaves, object, &err);
                let id = object.name.parse().ok()?;
                Some(Change::LeafGone { id, grace: Span::ZERO })
            }
        }
    }

    /// Registrations are gone: at once, or after a grace when the store was away and they may
    /// merely have lapsed.
    fn leaves_gone(&self, index: usize, ids: Vec<LeafId>) -> Vec<Change> {
        let many = (self.routing.leaves.len() as f64 * LAPSED_SHARE) as usize;
        let lapsed = ids.len() >= many.max(LAPSED_COUNT);
        let back = self.store.lines[index].feed.lapse_until(self.now);
        let grace = match back {
            Some(until) => until.since(self.now),
            None if lapsed => ListWatch::lapse_grace(),
            None => Span::ZERO,
        };
        ids.into_iter().map(|id| Change::LeafGone { id, grace }).collect()
    }
}

/// Reads the answer to the call under way; none while it is not whole.
fn read_answer(line: &mut Line, end: ReadEnd) -> Result<Option<(ResponseHead, Vec<u8>)>, ()> {
    if line.call.is_none() {
        return if line.inbuf.is_empty() { Ok(None) } else { Err(()) };
    }
    if line.answer.is_none() {
        let Some(head) = http::parse_response_head(&line.inbuf, false, false).map_err(|_| ())?
        else {
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
