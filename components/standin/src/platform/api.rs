//! The object API and the host list over HTTP.
//!
//! A write needs `If-Match: "<revision>"` or `If-None-Match: *`; without one it gets status 428. A
//! false precondition gets 412 with the current object, or `null` if there is none. A watch
//! reports the latest change of each key, deletions included.

use {
    crate::{
        net::{
            Conn, Dropped, Handler, Outcome, Payload, Port, Query, Refused, bad_request,
            body_within, json, not_found, read_json, status,
        },
        platform::fault::{Faults, OutageMode, PlatformFault},
    },
    http::{
        HeaderMap, Method, Request, Response, StatusCode,
        header::{IF_MATCH, IF_NONE_MATCH},
    },
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    std::{
        future::pending,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch::Sender,
        time::{sleep, timeout_at},
    },
    wigeonramp_store::{
        MAX_VALUE_BYTES, MemoryStore, ObjectStore, PlatformHost, Precondition, ReadOutcome,
        StoreError, WriteOutcome, WriteResponse, is_key,
    },
    wigeonramp_units::{Revision, Span},
};

/// Longest wait of a watch; longer ones are cut to it.
const MAX_WATCH_WAIT: Span = Span::secs(60);
/// Longest body that is read before it is refused. Reading more than the limit on values lets the
/// client see the 413 instead of a reset while it still sends.
const MAX_READ_BYTES: usize = 8 * MAX_VALUE_BYTES;

/// Calls so far, by kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformCounters {
    /// Reads of one object.
    pub get: u64,
    /// Lists of objects.
    pub list: u64,
    /// Writes.
    pub put: u64,
    /// Deletes.
    pub delete: u64,
    /// Watches.
    pub watch: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Writes and deletes whose precondition was false.
    pub conflicts: u64,
    /// Calls that failed by an outage.
    pub failed: u64,
    /// Answers of writes that were lost.
    pub lost: u64,
    /// Connections accepted.
    pub connects: u64,
    /// Connections open now.
    pub open_connections: u64,
}

/// State behind the API's address.
#[derive(Debug)]
pub(crate) struct Api {
    port: Arc<Port>,
    backing_store: MemoryStore,
    changed: Sender<()>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    counters: PlatformCounters,
    hosts: super::hosts::Hosts,
}

#[derive(Clone, Copy)]
enum Call<'a> {
    Get(&'a str),
    List,
    Put(&'a str),
    Delete(&'a str),
    Watch,
    Hosts,
    SetHosts,
}

impl<'a> Call<'a> {
    fn of(method: &Method, path: &'a str) -> Option<Self> {
        let path = path.strip_prefix("/v1/")?;
        match (method, path) {
            (&Method::GET, "objects") => return Some(Self::List),
            (&Method::GET, "watch") => return Some(Self::Watch),
            (&Method::GET, "hosts") => return Some(Self::Hosts),
            (&Method::POST, "hosts") => return Some(Self::SetHosts),
            _ => {}
        }
        let key = path.strip_prefix("objects/")?;
        match *method {
            Method::GET => Some(Self::Get(key)),
            Method::PUT => Some(Self::Put(key)),
            Method::DELETE => Some(Self::Delete(key)),
            _ => None,
        }
    }
}

impl Api {
    pub(crate) fn new(port: Arc<Port>, hosts_lag: Span) -> Self {
        let hosts = super::hosts::Hosts::new(hosts_lag.to_duration());
        let (faults, counters) = Default::default();
        let state = Mutex::new(State { faults, counters, hosts });
        Self { port, backing_store: MemoryStore::new(), changed: Sender::new(()), state }
    }

    pub(crate) fn backing_store(&self) -> &MemoryStore {
        &self.backing_store
    }

    pub(crate) fn set_hosts(&self, hosts: Vec<PlatformHost>) {
        self.lock().hosts.set(hosts, Instant::now());
    }

    pub(crate) fn counters(&self) -> PlatformCounters {
        let open_connections = self.port.open_connections() as u64;
        PlatformCounters { open_connections, ..self.lock().counters }
    }

    pub(crate) async fn inject_fault(&self, fault: &PlatformFault) {
        match *fault {
            PlatformFault::Clear {} => {
                self.lock().faults = Faults::default();
                self.backing_store.set_stale_reads(false);
                self.port.set_open(true).await;
            }
            PlatformFault::Outage { mode } => {
                self.lock().faults.outage = Some(mode);
                self.port.set_open(mode != OutageMode::Refuse).await;
                if mode == OutageMode::Refuse {
                    self.port.reset_all().await;
                }
            }
            PlatformFault::Slow { by } => self.lock().faults.slow = by,
            PlatformFault::LostAnswers { writes } => self.lock().faults.lost_answers = writes,
            PlatformFault::StaleReads { on } => self.backing_store.set_stale_reads(on),
            PlatformFault::SilentWatch { on } => self.lock().faults.silent_watch = on,
            PlatformFault::SilentConnections {} => self.port.silence_all(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, call: Call<'_>) -> Faults {
        let mut state = self.lock();
        let counters = &mut state.counters;
        let counter = match call {
            Call::Get(_) => &mut counters.get,
            Call::List => &mut counters.list,
            Call::Put(_) => &mut counters.put,
            Call::Delete(_) => &mut counters.delete,
            Call::Watch => &mut counters.watch,
            Call::Hosts => &mut counters.hosts,
            Call::SetHosts => return state.faults,
        };
        *counter += 1;
        if state.faults.outage.is_some() {
            state.counters.failed += 1;
        }
        state.faults
    }

    async fn answer(&self, req: Request<Incoming>) -> Outcome {
        let (parts, body) = req.into_parts();
        let Some(call) = Call::of(&parts.method, parts.uri.path()) else {
            return Ok(not_found("no such path"));
        };
        let faults = self.count(call);
        match faults.outage {
            Some(OutageMode::Refuse) => return Err(Dropped),
            Some(OutageMode::Hang) => pending().await,
            Some(OutageMode::Unavailable) => {
                return Ok(status(StatusCode::SERVICE_UNAVAILABLE, "outage"));
            }
            None => {}
        }
        let query = Query::of(&parts.uri);
        let answer = match call {
            Call::Get(key) => found(self.backing_store.get(key)),
            Call::List => listed(self.backing_store.list(query.text("prefix"))),
            Call::Put(key) => self.put(key, &parts.headers, body).await?,
            Call::Delete(key) => self.delete(key, &parts.headers)?,
            Call::Watch => self.watch(&query).await,
            Call::Hosts => json(StatusCode::OK, &self.lock().hosts.visible(Instant::now())),
            Call::SetHosts => match read_json(body).await {
                Ok(hosts) => {
                    self.set_hosts(hosts);
                    status(StatusCode::NO_CONTENT, "")
                }
                Err(refused) => refused.answer(),
            },
        };
        sleep(faults.slow.to_duration()).await;
        Ok(answer)
    }

    async fn put(&self, key: &str, headers: &HeaderMap, body: Incoming) -> Outcome {
        let bytes = match body_within(body, MAX_READ_BYTES).await {
            Ok(bytes) => bytes,
            Err(refused) => return Ok(refused.answer()),
        };
        if bytes.len() > MAX_VALUE_BYTES {
            return Ok(status(StatusCode::PAYLOAD_TOO_LARGE, "value over 1 MiB"));
        }
        let Ok(text) = std::str::from_utf8(&bytes) else {
            return Ok(bad_request("value is not UTF-8"));
        };
        match precondition(headers) {
            Ok(_) if !is_key(key) => Ok(bad_request("not a key")),
            Ok(precondition) => self.written(self.backing_store.put(key, text, precondition)),
            Err(refused) => Ok(refused.answer()),
        }
    }

    fn delete(&self, key: &str, headers: &HeaderMap) -> Outcome {
        match precondition(headers) {
            Ok(Precondition::Revision(revision)) => {
                match self.backing_store.delete(key, revision) {
                    Ok(WriteOutcome::Conflict(None)) => Ok(not_found("no such object")),
                    put => self.written(put),
                }
            }
            Ok(Precondition::Create) => Ok(bad_request("a delete needs If-Match")),
            Err(refused) => Ok(refused.answer()),
        }
    }

    fn written(&self, put: Result<WriteOutcome, StoreError>) -> Outcome {
        match put {
            Ok(WriteOutcome::Written(revision)) => {
                self.changed.send_replace(());
                let mut state = self.lock();
                if state.faults.lost_answers > 0 {
                    state.faults.lost_answers -= 1;
                    state.counters.lost += 1;
                    return Err(Dropped);
                }
                Ok(json(StatusCode::OK, &WriteResponse { revision }))
            }
            Ok(WriteOutcome::Conflict(current)) => {
                self.lock().counters.conflicts += 1;
                Ok(json(StatusCode::PRECONDITION_FAILED, &current))
            }
            Err(err) => Ok(bad_request(err)),
        }
    }

    async fn watch(&self, query: &Query) -> Response<Payload> {
        let (after, wait_ms) = match (query.parse::<Revision>("after"), query.parse("wait_ms")) {
            (Ok(after), Ok(wait_ms)) => (after, wait_ms),
            (Err(refused), _) | (_, Err(refused)) => return refused.answer(),
        };
        let wait = Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT.to_duration());
        let until = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            let changes = self.backing_store.watch(query.text("prefix"), after, Span::ZERO);
            if self.lock().faults.silent_watch {
                pending::<()>().await;
            }
            if !matches!(&changes, Ok(changes) if changes.is_empty()) {
                return listed(changes);
            }
            if timeout_at(until, changed.changed()).await.is_err() {
                return listed(changes);
            }
        }
    }
}

impl Handler for Api {
    async fn connected(&self, _: usize) -> bool {
        self.lock().counters.connects += 1;
        true
    }

    async fn handle(self: Arc<Self>, conn: Arc<Conn>, req: Request<Incoming>) -> Outcome {
        conn.unless_silent().await;
        let answer = self.answer(req).await;
        conn.unless_silent().await;
        answer
    }
}

fn found(fetched: Result<ReadOutcome, StoreError>) -> Response<Payload> {
    match fetched {
        Ok(ReadOutcome::Found(object)) => json(StatusCode::OK, &object),
        Ok(ReadOutcome::Missing) => not_found("no such object"),
        Err(err) => bad_request(err),
    }
}

fn listed<T: Serialize>(values: Result<Vec<T>, StoreError>) -> Response<Payload> {
    match values {
        Ok(values) => json(StatusCode::OK, &values),
        Err(err) => bad_request(err),
    }
}

fn precondition(headers: &HeaderMap) -> Result<Precondition, Refused> {
    let text = |name| headers.get(name).map(|value| value.to_str().unwrap_or_default());
    match (text(IF_MATCH), text(IF_NONE_MATCH)) {
        (None, Some("*")) => Ok(Precondition::Create),
        (Some(tag), None) => {
            let digits = tag.strip_prefix('"').and_then(|tag| tag.strip_suffix('"'));
            let revision = digits.and_then(|digits| digits.parse().ok());
            revision
                .map(Precondition::Revision)
                .ok_or_else(|| Refused::malformed("If-Match: expected \"<revision>\""))
        }
        (None, None) => Err(Refused::new(
            StatusCode::PRECONDITION_REQUIRED,
            "expected If-Match or If-None-Match",
        )),
        _ => Err(Refused::malformed("expected either If-Match or If-None-Match: *")),
    }
}
