//! A host whose limits are lowered, and what its process takes.

use {
    crate::{
        leaf::{BIG_SERVICE, start_big_leaf},
        support::{Fixture, HOST, request_status},
    },
    rustix::process::{Pid, Resource, Rlimit, prlimit},
    serde_json::{Value, json},
    std::{
        fs,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// Memory of the host in the settings, in megabytes.
pub const MEMORY_MB: u64 = 32;
/// Descriptors of the host in the settings.
pub const FD_LIMIT: usize = 500;
/// Time within which an ordinary request must be answered while the crowd stays connected.
const ANSWER_TIME: Duration = Duration::from_secs(30);
/// Time that ordinary callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which open descriptors are counted, and of the ordinary load.
const INTERVAL: Duration = Duration::from_millis(20);

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A host with lowered limits between a store and leaves.
pub struct LimitedHost {
    pub fixture: Fixture,
    process: u32,
    stopped: Arc<AtomicBool>,
    max_open: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
    /// Keeps other tests from running at the same time.
    _turn: MutexGuard<'static, ()>,
}

fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": 1500, "target_latency_ms": 400, "attempts": 2, "service": service,
    })
}

impl LimitedHost {
    /// Starts a host with lowered limits and waits until it serves.
    pub fn start() -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let mut fixture = Fixture::start("connection_limit", 400);
        let limits = format!("memory_mb = {MEMORY_MB}\nfd_limit = {FD_LIMIT}");
        fixture.hosts[0].add_limits(&limits).expect("settings");
        fixture.restart(0);
        let routes = json!([
            route("read", "safe", "one"),
            route("write", "unsafe", "one"),
            route("big", "safe", BIG_SERVICE)
        ]);
        let service = |name: &str| json!({ "name": name, "connection_limit": 400 });
        let services = json!([service("one"), service(BIG_SERVICE)]);
        let spec = json!({ "version": 2, "routes": routes, "services": services });
        fixture.store.put("config", "main", spec);
        fixture.add_leaf("one", Duration::from_millis(1));
        start_big_leaf(&fixture);
        fixture.wait_until_serving();
        let process = fixture.hosts[0].process_id().expect("a process");
        let max_open = Arc::new(AtomicUsize::new(0));
        let mut host = Self {
            fixture,
            process,
            stopped: Arc::default(),
            max_open: max_open.clone(),
            threads: Vec::new(),
            _turn: turn,
        };
        host.repeat(move || {
            max_open.fetch_max(open_descriptors(process), Ordering::SeqCst);
        });
        host
    }

    /// Repeats `action` until the host is checked.
    fn repeat(&mut self, mut action: impl FnMut() + Send + 'static) {
        let stopped = self.stopped.clone();
        self.threads.push(thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                action();
                thread::sleep(INTERVAL);
            }
        }));
    }

    /// Sends ordinary requests until the host is checked.
    pub fn add_ordinary_load(&mut self) {
        let address = self.callers();
        let mut n = 0;
        self.repeat(move || {
            n += 1;
            let method = if n % 2 == 0 { "GET" } else { "POST" };
            request_status(address, method, &format!("load-{n}"), TIMEOUT);
        });
    }

    /// Lets the system refuse the process more than `more` descriptors beyond those that are open.
    pub fn limit_descriptors(&self, more: usize) {
        let limit = (open_descriptors(self.process) + more) as u64;
        let process = i32::try_from(self.process).ok().and_then(Pid::from_raw);
        let limit = Rlimit { current: Some(limit), maximum: Some(limit) };
        prlimit(process, Resource::Nofile, limit).expect("a limit");
    }

    /// Returns the address to which callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.fixture.caller_address()
    }

    /// Returns the addresses of the ports for readiness, the directory and metrics.
    pub fn endpoints(&self) -> [SocketAddr; 3] {
        let host = &self.fixture.hosts[0];
        let ip: IpAddr = host.ip.parse().expect("an address");
        [host.ports.readiness, host.ports.directory, 9_464].map(|port| SocketAddr::new(ip, port))
    }

    /// Returns the address for streams of other hosts.
    pub fn peers(&self) -> SocketAddr {
        let host = &self.fixture.hosts[0];
        SocketAddr::new(host.ip.parse().expect("an address"), host.ports.peers)
    }

    /// Checks that an ordinary request is answered, that the process still lives, and that its peak
    /// memory and its open descriptors stayed within the limits of the settings.
    pub fn check(&mut self) {
        let is_answered = self.is_answered();
        self.stopped.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            thread.join().expect("a thread");
        }
        let peak_kb = self.peak_memory_kb();
        let open = self.max_open.load(Ordering::SeqCst);
        println!("peak memory {peak_kb:?} kB, open descriptors {open}, answered {is_answered}");
        assert!(!self.fixture.has_ended(), "the process must live");
        let peak_kb = peak_kb.expect("the memory of a process that lives");
        assert!(peak_kb <= MEMORY_MB * 1024, "peak memory {peak_kb} kB of {MEMORY_MB} MB");
        assert!(open <= FD_LIMIT, "{open} open descriptors of {FD_LIMIT}");
        assert!(is_answered, "an ordinary request must be answered");
    }

    /// Returns the peak memory of the process in kilobytes.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        peak_memory_kb(self.process)
    }

    fn is_answered(&self) -> bool {
        let deadline = Instant::now() + ANSWER_TIME;
        let mut n = 0;
        while Instant::now() < deadline {
            n += 1;
            if request_status(self.callers(), "GET", &format!("after-{n}"), TIMEOUT) == 200 {
                return true;
            }
            thread::sleep(INTERVAL);
        }
        false
    }
}

fn open_descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

fn peak_memory_kb(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok()
}
