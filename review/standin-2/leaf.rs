//! Leaves: they register, run requests in slots, may turn cold, and may crash.

use {
    crate::{http, record::Record, store::Store},
    std::{
        io::{BufReader, ErrorKind, Result, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Interval of writes to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Requests that wait for a slot at most.
const QUEUE: u32 = 12;
/// Time from a crash until the leaf is back.
const DOWN_TIME: Duration = Duration::from_millis(4_500);

/// A request that reached a leaf.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub leaf: String,
    pub id: String,
    pub target: String,
    /// Whether the leaf ran it.
    pub ran: bool,
    /// Whether the leaf was cold.
    pub cold: bool,
}

#[derive(Clone)]
pub struct Spec {
    pub name: String,
    pub service: &'static str,
    pub zone: String,
    pub ip: String,
    pub slots: u32,
    pub work: Duration,
    /// Targets that contain this crash the leaf.
    pub crashes_at: Option<&'static str>,
}

/// One process of a leaf.
struct Boot {
    id: String,
    born: u128,
    ended: AtomicBool,
    running: Mutex<u32>,
    freed: Condvar,
    queued: AtomicU32,
    cold_until: Mutex<Option<Instant>>,
    recent: Mutex<Vec<Instant>>,
    socks: Mutex<Vec<TcpStream>>,
}

struct Shared {
    spec: Spec,
    address: SocketAddr,
    boot: Mutex<Arc<Boot>>,
    boots: AtomicU32,
    crashes: Mutex<Vec<Instant>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    store: Store,
    record: Record,
    /// Requests in one second at which the leaf crashes while it is cold, and the time from the
    /// beginning of which on.
    cold_crash: Mutex<Option<(usize, Instant)>>,
}

#[derive(Clone)]
pub struct Leaf(Arc<Shared>);

fn new_boot(id: String) -> Arc<Boot> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Arc::new(Boot {
        id,
        born: now.as_millis(),
        ended: AtomicBool::new(false),
        running: Mutex::new(0),
        freed: Condvar::new(),
        queued: AtomicU32::new(0),
        cold_until: Mutex::new(None),
        recent: Mutex::new(Vec::new()),
        socks: Mutex::new(Vec::new()),
    })
}

impl Boot {
    fn cold_left(&self) -> Option<Duration> {
        let until = (*self.cold_until.lock().unwrap())?;
        Some(until.saturating_duration_since(Instant::now())).filter(|left| !left.is_zero())
    }
}

impl Leaf {
    pub fn start(
        spec: Spec,
        store: &Store,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        record: &Record,
    ) -> Result<Self> {
        let listener = TcpListener::bind((spec.ip.as_str(), 0))?;
        let boot = new_boot(format!("{}-1", spec.name));
        let leaf = Self(Arc::new(Shared {
            address: listener.local_addr()?,
            spec,
            boot: Mutex::new(boot.clone()),
            boots: AtomicU32::new(1),
            crashes: Mutex::default(),
            arrivals: arrivals.clone(),
            store: store.clone(),
            record: record.clone(),
            cold_crash: Mutex::new(None),
        }));
        leaf.listen(listener, boot)?;
        leaf.write_entry();
        let beating = leaf.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !beating.boot().ended.load(Ordering::SeqCst) {
                    beating.write_entry();
                }
            }
        });
        Ok(leaf)
    }

    fn boot(&self) -> Arc<Boot> {
        self.0.boot.lock().unwrap().clone()
    }

    pub fn id(&self) -> String {
        self.boot().id.clone()
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.0.crashes.lock().unwrap().clone()
    }

    /// Writes the entry in the store, as at each heartbeat; nothing happens while the store is down.
    fn write_entry(&self) -> bool {
        let (Shared { spec, address, store, .. }, boot) = (&*self.0, self.boot());
        let cold_left = boot.cold_left().map_or(0, |left| left.as_millis());
        let Spec { service, zone, slots, .. } = spec;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\
             \"warmup_left_ms\":{cold_left},\"sequence\":1,\"born\":{}}}",
            boot.born
        );
        store.put("servers", &boot.id, &entry).is_some()
    }

    /// The leaf becomes cold for `time`. It says so in its health responses and, as soon as the store
    /// takes it, in its entry. From `crash_from` on it crashes at this many requests in a second.
    pub fn turn_cold(&self, time: Duration, crash_at: usize, crash_from: Duration) -> Instant {
        let now = Instant::now();
        *self.boot().cold_until.lock().unwrap() = Some(now + time);
        *self.0.cold_crash.lock().unwrap() = Some((crash_at, now + crash_from));
        let written = self.write_entry();
        let entry = if written { "its entry says so" } else { "the store does not take its entry" };
        self.0.record.say(&format!("leaf {} is cold for {time:?}; {entry}", self.id()));
        now
    }

    fn listen(&self, listener: TcpListener, boot: Arc<Boot>) -> Result<()> {
        listener.set_nonblocking(true)?;
        let leaf = self.clone();
        thread::spawn(move || {
            while !boot.ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((sock, _)) => {
                        let (leaf, boot) = (leaf.clone(), boot.clone());
                        // An error ends only the connection that it occurred on.
                        thread::spawn(move || leaf.serve(sock, &boot).ok());
                    }
                    Err(err) if err.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => return,
                }
            }
        });
        Ok(())
    }

    fn serve(&self, mut sock: TcpStream, boot: &Arc<Boot>) -> Result<()> {
        sock.set_nonblocking(false)?;
        sock.set_nodelay(true)?;
        boot.socks.lock().unwrap().push(sock.try_clone()?);
        let mut input = BufReader::new(sock.try_clone()?);
        while let Some(request) = http::read(&mut input)? {
            if boot.ended.load(Ordering::SeqCst) {
                return Ok(());
            }
            let Some(answer) = self.handle(&request, boot) else { return Ok(()) };
            sock.write_all(&answer)?;
        }
        Ok(())
    }

    /// Returns the answer; none if the leaf has crashed.
    fn handle(&self, request: &http::Message, boot: &Arc<Boot>) -> Option<Vec<u8>> {
        let target = request.word(1).to_owned();
        let id = request.header("Request-Id").unwrap_or_default().to_owned();
        let rejection = |status: &str| {
            let head = "Not-Executed: 1\r\nContent-Length: 0\r\n";
            Some(format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{head}\r\n").into_bytes())
        };
        if target == "/health" {
            let cold = boot.cold_left().map_or(String::new(), |left| {
                format!("Warmup-Remaining: {}\r\n", left.as_millis())
            });
            let head = format!("Instance-Id: {}\r\n{cold}Content-Length: 0\r\n", boot.id);
            return Some(format!("HTTP/1.1 200 OK\r\n{head}\r\n").into_bytes());
        }
        if request.header("Expected-Instance").is_some_and(|expected| expected != boot.id) {
            self.arrived(boot, &id, &target, false);
            return rejection("421 Misdirected Request");
        }
        if boot.queued.fetch_add(1, Ordering::SeqCst) >= self.0.spec.slots + QUEUE {
            boot.queued.fetch_sub(1, Ordering::SeqCst);
            self.arrived(boot, &id, &target, false);
            return rejection("503 Full");
        }
        let mut running = boot.running.lock().unwrap();
        while *running >= self.0.spec.slots {
            running = boot.freed.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        self.arrived(boot, &id, &target, true);
        if self.0.spec.crashes_at.is_some_and(|mark| target.contains(mark)) {
            self.crash(boot, &format!("as it runs {target}"));
            return None;
        }
        if let Some(count) = self.bears_too_much(boot) {
            self.crash(boot, &format!("cold, with {count} requests in a second"));
            return None;
        }
        thread::sleep(self.0.spec.work);
        *boot.running.lock().unwrap() -= 1;
        boot.freed.notify_one();
        boot.queued.fetch_sub(1, Ordering::SeqCst);
        if boot.ended.load(Ordering::SeqCst) {
            return None;
        }
        let body = format!("answer of {} to {id} on {target}\n", boot.id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {}.{id}\r\n\
             Content-Length: {}\r\n",
            boot.id,
            body.len()
        );
        Some(format!("{head}\r\n{body}").into_bytes())
    }

    /// Returns the requests of the last second if a cold leaf crashes at that many.
    fn bears_too_much(&self, boot: &Boot) -> Option<usize> {
        let now = Instant::now();
        let mut recent = boot.recent.lock().unwrap();
        recent.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        recent.push(now);
        boot.cold_left()?;
        let (crash_at, from) = (*self.0.cold_crash.lock().unwrap())?;
        (now >= from && recent.len() >= crash_at).then_some(recent.len())
    }

    fn arrived(&self, boot: &Boot, id: &str, target: &str, ran: bool) {
        let (at, leaf, cold) = (Instant::now(), boot.id.clone(), boot.cold_left().is_some());
        let what = if ran { "runs" } else { "rejects" };
        let state = if cold { " (cold)" } else { "" };
        self.0.record.write(&format!("leaf {leaf}{state} {what} {id} {target}"));
        let (id, target) = (id.to_owned(), target.to_owned());
        self.0.arrivals.lock().unwrap().push(Arrival { at, leaf, id, target, ran, cold });
    }

    /// The process ends at once, for a reason of its own.
    pub fn end(&self) {
        self.crash(&self.boot(), "of itself");
    }

    /// The process ends at once and is back some seconds later under a new id. The store removes the
    /// old entry after three intervals of silence.
    fn crash(&self, boot: &Arc<Boot>, why: &str) {
        if boot.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        self.0.record.say(&format!("leaf {} crashes {why}", boot.id));
        self.0.crashes.lock().unwrap().push(Instant::now());
        for sock in boot.socks.lock().unwrap().drain(..) {
            // The peer may have closed the connection already.
            let _ = sock.shutdown(Shutdown::Both);
        }
        let (leaf, boot) = (self.clone(), boot.clone());
        thread::spawn(move || {
            let expiry = HEARTBEAT * 3;
            thread::sleep(expiry);
            leaf.0.store.delete("servers", &boot.id);
            thread::sleep(DOWN_TIME - expiry);
            let number = leaf.0.boots.fetch_add(1, Ordering::SeqCst) + 1;
            let next = new_boot(format!("{}-{number}", leaf.0.spec.name));
            match TcpListener::bind(leaf.0.address) {
                Ok(listener) => {
                    *leaf.0.boot.lock().unwrap() = next.clone();
                    if leaf.listen(listener, next).is_ok() {
                        leaf.write_entry();
                    }
                }
                Err(err) => leaf.0.record.say(&format!("leaf is not back: {err}")),
            }
        });
    }
}
