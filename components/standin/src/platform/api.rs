//! HTTP API of the object store and the host list.
//!
//! Writes require `If-Match: "<revision>"` or `If-None-Match: *`, otherwise they get status 428. A
//! failed precondition gets 412 with the current object, or `null` if there is none. A watch
//! reports the latest change of each key, including deletions.

use {
    crate::{
        net::{
            Connection, ConnectionDropped, Handler, HandlerResult, Listener, QueryParams,
            Rejection, ResponseBody, bad_request, json_response, not_found, read_body, read_json,
            text_response,
        },
        platform::fault::{ActiveFaults, OutageMode, PlatformFault},
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

/// Maximum wait of a watch; longer requested waits are reduced to it.
const MAX_WATCH_WAIT: Span = Span::secs(60);
/// Maximum body length in bytes that is read before the request is rejected. It exceeds the limit
/// on values so that a client that sends too much gets the 413 instead of a reset while sending.
const MAX_READ_BYTES: usize = 8 * MAX_VALUE_BYTES;

/// Number of calls by kind.
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
    /// Writes and deletes whose precondition failed.
    pub conflicts: u64,
    /// Calls that failed because of an outage.
    pub failed: u64,
    /// Responses to writes and deletes that the `lost_answers` fault dropped.
    pub lost: u64,
    /// Connections accepted.
    pub connects: u64,
    /// Connections open now.
    pub open_connections: u64,
}

/// Handler of the API's address.
#[derive(Debug)]
pub(crate) struct Api {
    listener: Arc<Listener>,
    backing_store: MemoryStore,
    /// Notified after each write or delete that took effect.
    store_changed: Sender<()>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: ActiveFaults,
    counters: PlatformCounters,
    hosts: super::hosts::DelayedHostList,
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
    fn from_request(method: &Method, path: &'a str) -> Option<Self> {
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
    pub(crate) fn new(listener: Arc<Listener>, hosts_lag: Span) -> Self {
        let hosts = super::hosts::DelayedHostList::new(hosts_lag.to_duration());
        let (faults, counters) = Default::default();
        let state = Mutex::new(State { faults, counters, hosts });
        Self { listener, backing_store: MemoryStore::new(), store_changed: Sender::new(()), state }
    }

    pub(crate) fn backing_store(&self) -> &MemoryStore {
        &self.backing_store
    }

    pub(crate) fn set_hosts(&self, hosts: Vec<PlatformHost>) {
        self.lock().hosts.set(hosts, Instant::now());
    }

    pub(crate) fn counters(&self) -> PlatformCounters {
        let open_connections = self.listener.open_connections() as u64;
        PlatformCounters { open_connections, ..self.lock().counters }
    }

    pub(crate) async fn inject_fault(&self, fault: &PlatformFault) {
        match *fault {
            PlatformFault::Clear {} => {
                self.lock().faults = ActiveFaults::default();
                self.backing_store.set_stale_reads(false);
                self.listener.set_open(true).await;
            }
            PlatformFault::Outage { mode } => {
                self.lock().faults.outage = Some(mode);
                self.listener.set_open(mode != OutageMode::Refuse).await;
                if mode == OutageMode::Refuse {
                    self.listener.reset_connections().await;
                }
            }
            PlatformFault::Slow { by } => self.lock().faults.slow = by,
            PlatformFault::LostAnswers { writes } => self.lock().faults.lost_answers = writes,
            PlatformFault::StaleReads { on } => self.backing_store.set_stale_reads(on),
            PlatformFault::SilentWatch { on } => self.lock().faults.silent_watch = on,
            PlatformFault::SilentConnections {} => self.listener.silence_connections(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and returns the active faults.
    fn count_call(&self, call: Call<'_>) -> ActiveFaults {
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

    async fn dispatch(&self, req: Request<Incoming>) -> HandlerResult {
        let (parts, body) = req.into_parts();
        let Some(call) = Call::from_request(&parts.method, parts.uri.path()) else {
            return Ok(not_found("no such path"));
        };
        let faults = self.count_call(call);
        match faults.outage {
            Some(OutageMode::Refuse) => return Err(ConnectionDropped),
            Some(OutageMode::Hang) => pending().await,
            Some(OutageMode::Unavailable) => {
                return Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, "outage"));
            }
            None => {}
        }
        let query = QueryParams::from_uri(&parts.uri);
        let response = match call {
            Call::Get(key) => read_response(self.backing_store.get(key)),
            Call::List => list_response(self.backing_store.list(query.get("prefix"))),
            Call::Put(key) => self.put(key, &parts.headers, body).await?,
            Call::Delete(key) => self.delete(key, &parts.headers)?,
            Call::Watch => self.watch(&query).await,
            Call::Hosts => {
                json_response(StatusCode::OK, &self.lock().hosts.visible(Instant::now()))
            }
            Call::SetHosts => match read_json(body).await {
                Ok(hosts) => {
                    self.set_hosts(hosts);
                    text_response(StatusCode::NO_CONTENT, "")
                }
                Err(rejection) => rejection.to_response(),
            },
        };
        sleep(faults.slow.to_duration()).await;
        Ok(response)
    }

    async fn put(&self, key: &str, headers: &HeaderMap, body: Incoming) -> HandlerResult {
        let bytes = match read_body(body, MAX_READ_BYTES).await {
            Ok(bytes) => bytes,
            Err(rejection) => return Ok(rejection.to_response()),
        };
        if bytes.len() > MAX_VALUE_BYTES {
            return Ok(text_response(StatusCode::PAYLOAD_TOO_LARGE, "value over 1 MiB"));
        }
        let Ok(text) = std::str::from_utf8(&bytes) else {
            return Ok(bad_request("value is not UTF-8"));
        };
        match parse_precondition(headers) {
            Ok(_) if !is_key(key) => Ok(bad_request("not a key")),
            Ok(precondition) => {
                self.write_response(self.backing_store.put(key, text, precondition))
            }
            Err(rejection) => Ok(rejection.to_response()),
        }
    }

    fn delete(&self, key: &str, headers: &HeaderMap) -> HandlerResult {
        match parse_precondition(headers) {
            Ok(Precondition::Revision(revision)) => {
                match self.backing_store.delete(key, revision) {
                    Ok(WriteOutcome::Conflict(None)) => Ok(not_found("no such object")),
                    outcome => self.write_response(outcome),
                }
            }
            Ok(Precondition::Create) => Ok(bad_request("a delete needs If-Match")),
            Err(rejection) => Ok(rejection.to_response()),
        }
    }

    /// Builds the response to a write or delete, and wakes the watches if it took effect.
    fn write_response(&self, result: Result<WriteOutcome, StoreError>) -> HandlerResult {
        match result {
            Ok(WriteOutcome::Written(revision)) => {
                self.store_changed.send_replace(());
                let mut state = self.lock();
                if state.faults.lost_answers > 0 {
                    state.faults.lost_answers -= 1;
                    state.counters.lost += 1;
                    return Err(ConnectionDropped);
                }
                Ok(json_response(StatusCode::OK, &WriteResponse { revision }))
            }
            Ok(WriteOutcome::Conflict(current)) => {
                self.lock().counters.conflicts += 1;
                Ok(json_response(StatusCode::PRECONDITION_FAILED, &current))
            }
            Err(err) => Ok(bad_request(err)),
        }
    }

    async fn watch(&self, query: &QueryParams) -> Response<ResponseBody> {
        let (after, wait_ms) = match (query.parse::<Revision>("after"), query.parse("wait_ms")) {
            (Ok(after), Ok(wait_ms)) => (after, wait_ms),
            (Err(rejection), _) | (_, Err(rejection)) => return rejection.to_response(),
        };
        let wait = Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT.to_duration());
        let deadline = tokio::time::Instant::now() + wait;
        let mut changed = self.store_changed.subscribe();
        loop {
            changed.mark_unchanged();
            let changes = self.backing_store.watch(query.get("prefix"), after, Span::ZERO);
            if self.lock().faults.silent_watch {
                pending::<()>().await;
            }
            if !matches!(&changes, Ok(changes) if changes.is_empty()) {
                return list_response(changes);
            }
            if timeout_at(deadline, changed.changed()).await.is_err() {
                return list_response(changes);
            }
        }
    }
}

impl Handler for Api {
    async fn on_connect(&self, _: usize) -> bool {
        self.lock().counters.connects += 1;
        true
    }

    async fn handle(
        self: Arc<Self>,
        conn: Arc<Connection>,
        req: Request<Incoming>,
    ) -> HandlerResult {
        conn.block_if_silent().await;
        let response = self.dispatch(req).await;
        conn.block_if_silent().await;
        response
    }
}

fn read_response(result: Result<ReadOutcome, StoreError>) -> Response<ResponseBody> {
    match result {
        Ok(ReadOutcome::Found(object)) => json_response(StatusCode::OK, &object),
        Ok(ReadOutcome::Missing) => not_found("no such object"),
        Err(err) => bad_request(err),
    }
}

fn list_response<T: Serialize>(values: Result<Vec<T>, StoreError>) -> Response<ResponseBody> {
    match values {
        Ok(values) => json_response(StatusCode::OK, &values),
        Err(err) => bad_request(err),
    }
}

fn parse_precondition(headers: &HeaderMap) -> Result<Precondition, Rejection> {
    let text = |name| headers.get(name).map(|value| value.to_str().unwrap_or_default());
    match (text(IF_MATCH), text(IF_NONE_MATCH)) {
        (None, Some("*")) => Ok(Precondition::Create),
        (Some(tag), None) => {
            let digits = tag.strip_prefix('"').and_then(|tag| tag.strip_suffix('"'));
            let revision = digits.and_then(|digits| digits.parse().ok());
            revision
                .map(Precondition::Revision)
                .ok_or_else(|| Rejection::bad_request("If-Match: expected \"<revision>\""))
        }
        (None, None) => Err(Rejection::new(
            StatusCode::PRECONDITION_REQUIRED,
            "expected If-Match or If-None-Match",
        )),
        _ => Err(Rejection::bad_request("expected either If-Match or If-None-Match: *")),
    }
}
