//! Clients: they ask a host's directory where to connect, and send requests.

use {
    crate::{http, record::Record},
    std::{
        io::{BufReader, Result, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

pub const HOST_NAME: &str = "orders.example";
/// Time that a client allows for a new connection and for a directory.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// One client attempt and its answer.
#[derive(Clone)]
pub struct Answer {
    pub id: String,
    pub target: String,
    pub address: SocketAddr,
    pub sent: Instant,
    /// Status; 0 if there was no complete answer.
    pub status: u16,
}

/// Sends a GET; returns status and body.
pub fn get(address: SocketAddr, target: &str, headers: &str, wait: Duration) -> Result<http::Message> {
    let mut sock = TcpStream::connect_timeout(&address, CONNECT_TIME)?;
    sock.set_nodelay(true)?;
    sock.set_read_timeout(Some(wait))?;
    sock.write_all(format!("GET {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\n{headers}\r\n").as_bytes())?;
    let mut input = BufReader::new(sock);
    http::read(&mut input)?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

pub fn is_ready(address: SocketAddr) -> bool {
    let answer = get(address, "/readiness", "", CONNECT_TIME);
    answer.is_ok_and(|answer| answer.second_word() == "200")
}

/// Asks a directory; returns no addresses if it does not answer with any.
fn resolve(directory: SocketAddr, zone: &str) -> Vec<SocketAddr> {
    let target = format!("/resolve?name={HOST_NAME}&region=gulf&zone={zone}");
    let Ok(answer) = get(directory, &target, "", CONNECT_TIME) else { return Vec::new() };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let list = text.split_once("\"addrs\":[").and_then(|(_, rest)| rest.split_once(']'));
    let Some((list, _)) = list else { return Vec::new() };
    list.split(',').filter_map(|address| address.trim_matches('"').parse().ok()).collect()
}

/// All clients of a run.
#[derive(Clone)]
pub struct Clients {
    directories: Vec<SocketAddr>,
    answers: Arc<Mutex<Vec<Answer>>>,
    number: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
    record: Record,
}

impl Clients {
    pub fn new(directories: Vec<SocketAddr>, record: &Record) -> Self {
        Self {
            directories,
            answers: Arc::default(),
            number: Arc::default(),
            stopped: Arc::default(),
            record: record.clone(),
        }
    }

    pub fn answers(&self) -> Vec<Answer> {
        self.answers.lock().unwrap().clone()
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Sends one client attempt on a new connection and records its answer.
    pub fn send(&self, address: SocketAddr, target: &str, deadline: Duration) -> Answer {
        let number = self.number.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let headers =
            format!("Request-Id: {id}\r\nRequest-Deadline: {}\r\n", deadline.as_millis());
        let sent = Instant::now();
        let status = match get(address, target, &headers, deadline) {
            Ok(answer) => answer.second_word().parse().unwrap_or(0),
            Err(_) => 0,
        };
        self.record.write(&format!("client {id} {target} to {address}: {status}"));
        let answer = Answer { id, target: target.to_owned(), address, sent, status };
        self.answers.lock().unwrap().push(answer.clone());
        answer
    }

    /// Returns addresses for a client in `zone`; it keeps the old ones if no directory answers.
    pub fn addresses(&self, zone: &str, first: usize, known: &mut Vec<SocketAddr>) {
        for n in 0..self.directories.len().min(3) {
            let found = resolve(self.directories[(first + n) % self.directories.len()], zone);
            if !found.is_empty() {
                *known = found;
                return;
            }
        }
    }

    /// Starts a client that sends a request each `pause` to one of the addresses that the directory
    /// names, asks the directory every two seconds, and repeats a request once after a failure that
    /// may be repeated.
    pub fn start(&self, zone: &'static str, first: usize, path: &'static str, pause: Duration, deadline: Duration) {
        let this = self.clone();
        thread::spawn(move || {
            let (mut known, mut asked, mut n) = (Vec::new(), None::<Instant>, first);
            while !this.stopped.load(Ordering::SeqCst) {
                let begin = Instant::now();
                if asked.is_none_or(|at| at.elapsed() >= Duration::from_secs(2)) {
                    this.addresses(zone, first, &mut known);
                    asked = Some(Instant::now());
                }
                if !known.is_empty() {
                    n += 1;
                    let target = format!("{path}{first}-{n}");
                    let answer = this.send(known[n % known.len()], &target, deadline);
                    let is_final = matches!(answer.status, 200..=299 | 400 | 401 | 404 | 413 | 431);
                    if !is_final && known.len() > 1 {
                        this.send(known[(n + 1) % known.len()], &target, deadline);
                    }
                }
                thread::sleep(pause.saturating_sub(begin.elapsed()));
            }
        });
    }
}
