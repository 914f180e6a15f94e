//! Callers that send all the while and keep what they were told.

use {
    crate::world::HOST,
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

/// Time that callers keep addresses.
const ADDRESSES_KEPT: Duration = Duration::from_secs(2);
/// Time that a caller waits for an answer.
const WAIT: Duration = Duration::from_millis(1_200);
/// Longest pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 12;

/// What a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Gather,
    Read,
    Write,
    Extra,
}

/// A request and what came of it.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub id: String,
    pub kind: Kind,
    pub at: Instant,
    pub ended: Instant,
    /// None when the connection ended or nothing came.
    pub told: Option<CallerResponse>,
}

impl Sent {
    pub fn is_success(&self) -> bool {
        self.told.as_ref().is_some_and(|told| told.status == 200)
    }
}

/// All callers of a run.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent: Arc<Mutex<Vec<Sent>>>,
    stopped: AtomicBool,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether a host names addresses.
pub(crate) fn is_ready(directory: SocketAddr) -> bool {
    resolve(directory, "a").is_ok_and(|named| !named.is_empty())
}

impl Traffic {
    pub fn add(&self, thread: JoinHandle<()>) {
        lock(&self.threads).push(thread);
    }

    /// Ends all callers; returns what they sent.
    pub fn stop(&self) -> Vec<Sent> {
        self.stopped.store(true, Ordering::SeqCst);
        for thread in lock(&self.threads).drain(..) {
            // A caller that failed has kept what it sent before.
            let _ = thread.join();
        }
        std::mem::take(&mut *lock(&self.sent))
    }

    /// Share of the requests since `from` that were served.
    pub fn share_served_since(&self, from: Instant) -> f64 {
        let sent = lock(&self.sent);
        let late: Vec<&Sent> =
            sent.iter().filter(|sent| sent.at >= from && sent.kind != Kind::Extra).collect();
        late.iter().filter(|sent| sent.is_success()).count() as f64 / late.len().max(1) as f64
    }

    /// Sends until the end of the run.
    pub fn send(&self, directories: &[SocketAddr], seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut open: IndexMap<SocketAddr, Caller> = IndexMap::new();
        let mut named: Vec<SocketAddr> = Vec::new();
        let mut asked = Instant::now();
        let mut n = 0;
        while !self.stopped.load(Ordering::SeqCst) {
            if named.is_empty() || asked.elapsed() >= ADDRESSES_KEPT {
                let zone = ["a", "b", "c"].choose(&mut rng).copied().unwrap_or("a");
                let directory = directories.choose(&mut rng);
                if let Some(Ok(found)) = directory.map(|at| resolve(*at, zone)) {
                    named = found;
                    asked = Instant::now();
                }
            }
            thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
            let Some(host) = named.choose(&mut rng).copied() else { continue };
            n += 1;
            let kind = match rng.random_range(0..10) {
                0..4 => Kind::Gather,
                4..6 => Kind::Read,
                6..9 => Kind::Write,
                _ => Kind::Extra,
            };
            let sent = self.send_one(host, kind, format!("{seed:016x}{n:08x}"), &mut open);
            if sent.told.is_none() {
                named.retain(|known| *known != host);
            }
            lock(&self.sent).push(sent);
        }
    }

    fn send_one(
        &self,
        host: SocketAddr,
        kind: Kind,
        id: String,
        open: &mut IndexMap<SocketAddr, Caller>,
    ) -> Sent {
        let (method, path) = match kind {
            Kind::Gather => ("GET", "/gather/x"),
            Kind::Read => ("GET", "/read/x"),
            Kind::Write => ("POST", "/write/x"),
            Kind::Extra => ("GET", "/extra/x"),
        };
        // Every request has a path of its own, as different questions have.
        let path = format!("{path}/{id}");
        let at = Instant::now();
        let caller = match open.swap_remove(&host) {
            Some(caller) => Ok(caller),
            None => Caller::connect(host),
        };
        let told = caller.and_then(|mut caller| {
            let asked = CallerRequest { method, host: HOST, path: &path, id: &id, wait: WAIT };
            let told = caller.send(&asked)?;
            if !told.close {
                open.insert(host, caller);
            }
            Ok(told)
        });
        let told = match told {
            Ok(told) => Some(told),
            Err(err) => {
                // An answer that is no HTTP is a finding; everything else is a lost connection.
                let garbled = err.kind() == ErrorKind::InvalidData;
                garbled.then(|| CallerResponse {
                    status: 0,
                    stamp: None,
                    parts: Vec::new(),
                    missing: 0,
                    close: true,
                    body: Vec::new(),
                })
            }
        };
        Sent { id, kind, at, ended: Instant::now(), told }
    }
}
