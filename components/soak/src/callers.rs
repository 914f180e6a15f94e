//! Callers that send requests throughout a run and record the responses.

use {
    crate::fleet::HOST,
    indexmap::IndexMap,
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        io::ErrorKind,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::caller::{Caller, CallerRequest, CallerResponse, resolve},
};

/// Time for which callers use the addresses that a host named.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(2);
/// Time that a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Longest pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 12;
/// Header line with which callers name an account beside their key. Only hosts may name it.
const FORGED_ACCOUNT: &str = "Tenant: steady\r\n";

/// Route that a request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    /// Reads all shards and merges their records.
    Gather,
    /// Reads from one leaf.
    Read,
    /// Runs a non-idempotent request on one leaf.
    Write,
    /// Reads from one leaf through a route that only some versions of the configuration have.
    Extra,
}

/// A request and its response.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub id: String,
    /// Address of the host that it was sent to.
    pub host: SocketAddr,
    pub kind: RequestKind,
    /// API key that it presented.
    pub key: Option<String>,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// `None` if the connection broke or the response timed out; status 0 if the bytes received
    /// were not an HTTP response.
    pub response: Option<CallerResponse>,
}

impl RequestRecord {
    pub fn is_success(&self) -> bool {
        self.response.as_ref().is_some_and(|response| response.status == 200)
    }
}

/// All callers of a run.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    requests: Arc<Mutex<Vec<RequestRecord>>>,
    /// Keys of which each request presents one; empty if there are no accounts.
    keys: Mutex<Vec<Option<String>>>,
    stopped: AtomicBool,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether the host whose address lookup listens at `directory` names addresses.
pub(crate) fn is_ready(directory: SocketAddr) -> bool {
    resolve(directory, "a").is_ok_and(|addresses| !addresses.is_empty())
}

impl Callers {
    pub fn add_thread(&self, thread: JoinHandle<()>) {
        lock(&self.threads).push(thread);
    }

    /// Sets the keys of which each request presents one.
    pub fn set_keys(&self, keys: Vec<Option<String>>) {
        *lock(&self.keys) = keys;
    }

    /// Stops all callers and returns their requests.
    pub fn stop(&self) -> Vec<RequestRecord> {
        self.stopped.store(true, Ordering::SeqCst);
        for thread in lock(&self.threads).drain(..) {
            // The requests that a panicked caller sent before are recorded.
            let _ = thread.join();
        }
        std::mem::take(&mut *lock(&self.requests))
    }

    /// Returns the share of requests sent since `start` that succeeded, without the extra route.
    pub fn success_share_since(&self, start: Instant) -> f64 {
        let requests = lock(&self.requests);
        let is_counted =
            |req: &&RequestRecord| req.sent_at >= start && req.kind != RequestKind::Extra;
        let counted: Vec<&RequestRecord> = requests.iter().filter(is_counted).collect();
        let successes = counted.iter().filter(|req| req.is_success()).count();
        successes as f64 / counted.len().max(1) as f64
    }

    /// Sends requests as one caller until the callers are stopped.
    pub fn run_caller(&self, directories: &[SocketAddr], seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut connections: IndexMap<SocketAddr, Caller> = IndexMap::new();
        let mut addresses: Vec<SocketAddr> = Vec::new();
        let mut resolved_at = Instant::now();
        let mut n = 0;
        while !self.stopped.load(Ordering::SeqCst) {
            if addresses.is_empty() || resolved_at.elapsed() >= ADDRESS_LIFETIME {
                let zone = ["a", "b", "c"].choose(&mut rng).copied().unwrap_or("a");
                let directory = directories.choose(&mut rng);
                if let Some(Ok(found)) = directory.map(|at| resolve(*at, zone)) {
                    addresses = found;
                    resolved_at = Instant::now();
                }
            }
            thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
            let Some(host) = addresses.choose(&mut rng).copied() else { continue };
            n += 1;
            let kind = match rng.random_range(0..10) {
                0..4 => RequestKind::Gather,
                4..6 => RequestKind::Read,
                6..9 => RequestKind::Write,
                _ => RequestKind::Extra,
            };
            let id = format!("{seed:016x}{n:08x}");
            let key = lock(&self.keys).choose(&mut rng).cloned().flatten();
            let req = self.send_request(host, kind, id, key, &mut connections);
            if req.response.is_none() {
                addresses.retain(|known| *known != host);
            }
            lock(&self.requests).push(req);
        }
    }

    fn send_request(
        &self,
        host: SocketAddr,
        kind: RequestKind,
        id: String,
        key: Option<String>,
        connections: &mut IndexMap<SocketAddr, Caller>,
    ) -> RequestRecord {
        let (method, path) = match kind {
            RequestKind::Gather => ("GET", "/gather/x"),
            RequestKind::Read => ("GET", "/read/x"),
            RequestKind::Write => ("POST", "/write/x"),
            RequestKind::Extra => ("GET", "/extra/x"),
        };
        // Each request has its own path, because requests of real callers differ, too.
        let path = format!("{path}/{id}");
        let sent_at = Instant::now();
        let caller = match connections.swap_remove(&host) {
            Some(caller) => Ok(caller),
            None => Caller::connect(host),
        };
        let result = caller.and_then(|mut caller| {
            let req =
                CallerRequest { method, host: HOST, path: &path, id: &id, wait: RESPONSE_TIMEOUT };
            if let Some(key) = &key {
                caller.set_lines(&format!("X-Api-Key: {key}\r\n{FORGED_ACCOUNT}"));
            } else {
                caller.set_lines("");
            }
            let response = caller.send(&req)?;
            if !response.close {
                connections.insert(host, caller);
            }
            Ok(response)
        });
        let response = match result {
            Ok(response) => Some(response),
            Err(err) => {
                // Bytes that are not an HTTP response violate an invariant; any other error is a
                // broken connection or a timeout.
                let is_malformed = err.kind() == ErrorKind::InvalidData;
                is_malformed.then(|| CallerResponse {
                    status: 0,
                    stamp: None,
                    part_stamps: Vec::new(),
                    missing: 0,
                    close: true,
                    retry_after: None,
                    body: Vec::new(),
                })
            }
        };
        RequestRecord { id, host, kind, key, sent_at, ended_at: Instant::now(), response }
    }
}
