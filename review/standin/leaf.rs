//! A leaf: registers itself in the store, runs requests and records them.

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

/// Requests beyond those being run that a leaf queues.
const QUEUE: u32 = 8;
/// Time without a ping after which the store removes an entry: three intervals.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// Time after a crash at which the leaf is back.
const DOWN_TIME: Duration = Duration::from_millis(4_000);

/// A request that has reached a leaf.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub leaf: String,
    pub id: String,
    pub target: String,
    pub ran: bool,
}

#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: &'static str,
    pub zone: String,
    pub ip: String,
    pub slots: u32,
    pub work: Duration,
}

/// State of one process of the leaf.
struct Boot {
    id: String,
    born: u128,
    stopped: AtomicBool,
    socks: Mutex<Vec<TcpStream>>,
    running: Mutex<u32>,
    freed: Condvar,
    queued: AtomicU32,
}

struct Shared {
    spec: Spec,
    address: SocketAddr,
    boots: AtomicU32,
    boot: Mutex<Arc<Boot>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Part of the target that marks requests that crash the leaf.
    crashes_at: Option<&'static str>,
    store: Store,
    record: Record,
}

#[derive(Clone)]
pub struct Leaf(Arc<Shared>);

fn new_boot(id: String) -> Arc<Boot> {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    Arc::new(Boot {
        id,
        born,
        stopped: AtomicBool::new(false),
        socks: Mutex::default(),
        running: Mutex::new(0),
        freed: Condvar::new(),
        queued: AtomicU32::new(0),
    })
}

impl Leaf {
    pub fn start(
        spec: Spec,
        crashes_at: Option<&'static str>,
        store: &Store,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        record: &Record,
    ) -> Result<Self> {
        let listener = TcpListener::bind((spec.ip.as_str(), 0))?;
        let boot = new_boot(spec.id.clone());
        let leaf = Self(Arc::new(Shared {
            address: listener.local_addr()?,
            spec,
            boots: AtomicU32::new(1),
            boot: Mutex::new(boot.clone()),
            arrivals: arrivals.clone(),
            crashes_at,
            store: store.clone(),
            record: record.clone(),
        }));
        leaf.listen(listener, boot)?;
        leaf.register("ready");
        Ok(leaf)
    }

    pub fn id(&self) -> String {
        self.0.boot.lock().unwrap().id.clone()
    }

    /// Writes the entry in the store; returns the time of the ack.
    pub fn register(&self, state: &str) -> Instant {
        let Shared { spec, address, boot, .. } = &*self.0;
        let boot = boot.lock().unwrap().clone();
        let Spec { service, zone, slots, .. } = spec;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"warmup_left_ms\":0,\
             \"sequence\":1,\"born\":{}}}",
            boot.born
        );
        self.0.store.put("servers", &boot.id, entry.as_bytes())
    }

    /// Removes the entry from the store; returns the time of the ack.
    pub fn unregister(&self) -> Instant {
        self.0.store.delete("servers", &self.id())
    }

    /// Ends the process of the leaf.
    pub fn end(&self) {
        let boot = self.0.boot.lock().unwrap().clone();
        boot.stopped.store(true, Ordering::SeqCst);
        for sock in boot.socks.lock().unwrap().drain(..) {
            // The peer may have closed the connection already.
            let _ = sock.shutdown(Shutdown::Both);
        }
    }

    fn listen(&self, listener: TcpListener, boot: Arc<Boot>) -> Result<()> {
        listener.set_nonblocking(true)?;
        let leaf = self.clone();
        thread::spawn(move || {
            while !boot.stopped.load(Ordering::SeqCst) {
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
            if boot.stopped.load(Ordering::SeqCst) {
                return Ok(());
            }
            let Some(answer) = self.handle(&request, boot) else { return Ok(()) };
            sock.write_all(&answer)?;
        }
        Ok(())
    }

    /// Returns the answer; `None` if the leaf has crashed.
    fn handle(&self, request: &http::Message, boot: &Arc<Boot>) -> Option<Vec<u8>> {
        let target = request.second_word().to_owned();
        let id = request.header("Request-Id").unwrap_or_default().to_owned();
        let rejection = |status: &str| {
            let head = "Not-Executed: 1\r\nContent-Length: 0\r\n";
            format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{head}\r\n").into_bytes()
        };
        if target == "/health" {
            let head = format!("Instance-Id: {}\r\nContent-Length: 0\r\n", boot.id);
            return Some(format!("HTTP/1.1 200 OK\r\n{head}\r\n").into_bytes());
        }
        if request.header("Expected-Instance").is_some_and(|expected| expected != boot.id) {
            self.arrived(boot, &id, &target, false);
            return Some(rejection("421 Misdirected Request"));
        }
        if boot.queued.fetch_add(1, Ordering::SeqCst) >= self.0.spec.slots + QUEUE {
            boot.queued.fetch_sub(1, Ordering::SeqCst);
            self.arrived(boot, &id, &target, false);
            return Some(rejection("503 Full"));
        }
        let mut running = boot.running.lock().unwrap();
        while *running >= self.0.spec.slots {
            running = boot.freed.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        self.arrived(boot, &id, &target, true);
        if self.0.crashes_at.is_some_and(|mark| target.contains(mark)) {
            self.crash(boot);
            return None;
        }
        thread::sleep(self.0.spec.work);
        *boot.running.lock().unwrap() -= 1;
        boot.freed.notify_one();
        boot.queued.fetch_sub(1, Ordering::SeqCst);
        let body = format!("answer of {} to {id} on {target}\n", boot.id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {}.{id}\r\nContent-Length: {}\r\n",
            boot.id,
            body.len()
        );
        Some(format!("{head}\r\n{body}").into_bytes())
    }

    fn arrived(&self, boot: &Boot, id: &str, target: &str, ran: bool) {
        let (at, leaf) = (Instant::now(), boot.id.clone());
        let what = if ran { "runs" } else { "rejects" };
        self.0.record.write(&format!("leaf {leaf} {what} {id} {target}"));
        let arrival = Arrival { at, leaf, id: id.to_owned(), target: target.to_owned(), ran };
        self.0.arrivals.lock().unwrap().push(arrival);
    }

    /// The process ends at once; it is back some seconds later as another instance. The store
    /// removes the old entry after three intervals without a ping.
    fn crash(&self, boot: &Arc<Boot>) {
        if boot.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        self.0.record.say(&format!("leaf {} crashes", boot.id));
        for sock in boot.socks.lock().unwrap().drain(..) {
            // The peer may have closed the connection already.
            let _ = sock.shutdown(Shutdown::Both);
        }
        let (leaf, boot) = (self.clone(), boot.clone());
        thread::spawn(move || {
            thread::sleep(EXPIRY);
            leaf.0.store.delete("servers", &boot.id);
            thread::sleep(DOWN_TIME - EXPIRY);
            let number = leaf.0.boots.fetch_add(1, Ordering::SeqCst) + 1;
            let next = new_boot(format!("{}-{number}", leaf.0.spec.id));
            match TcpListener::bind(leaf.0.address) {
                Ok(listener) => {
                    *leaf.0.boot.lock().unwrap() = next.clone();
                    if leaf.listen(listener, next).is_ok() {
                        leaf.register("ready");
                    }
                }
                Err(err) => leaf.0.record.say(&format!("leaf is not back: {err}")),
            }
        });
    }
}
