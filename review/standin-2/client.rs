//! Clients: they ask the directory where to connect and send requests at a steady rate.

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

pub const HOST_NAME: &str = "pupu76.example";
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub target: String,
    pub sent: Instant,
    /// Status code; none if no answer came.
    pub status: Option<u16>,
}

struct Shared {
    directories: Vec<SocketAddr>,
    answers: Mutex<Vec<Answer>>,
    stopped: AtomicBool,
    next: AtomicU64,
    record: Record,
}

#[derive(Clone)]
pub struct Clients(Arc<Shared>);

/// A request to send.
#[derive(Clone, Copy)]
pub struct Kind {
    pub method: &'static str,
    pub path: &'static str,
    pub time: Duration,
}

fn connect(address: SocketAddr, time: Duration) -> Result<TcpStream> {
    let sock = TcpStream::connect_timeout(&address, CONNECT_TIME)?;
    sock.set_nodelay(true)?;
    sock.set_read_timeout(Some(time))?;
    Ok(sock)
}

fn get(address: SocketAddr, target: &str) -> Result<Option<http::Message>> {
    let mut sock = connect(address, CONNECT_TIME)?;
    write!(sock, "GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    http::read(&mut BufReader::new(sock))
}

pub fn is_ready(address: SocketAddr) -> bool {
    matches!(get(address, "/readiness"), Ok(Some(answer)) if answer.word(1) == "200")
}

impl Clients {
    pub fn new(directories: Vec<SocketAddr>, record: &Record) -> Self {
        Self(Arc::new(Shared {
            directories,
            answers: Mutex::default(),
            stopped: AtomicBool::new(false),
            next: AtomicU64::new(1),
            record: record.clone(),
        }))
    }

    /// Returns the addresses for a client of the zone, from the first host that answers.
    fn resolve(&self, zone: &str, first: usize) -> Vec<SocketAddr> {
        let target = format!("/resolve?name={HOST_NAME}&region=gulf&zone={zone}");
        let all = &self.0.directories;
        for n in 0..3.min(all.len()) {
            let Ok(Some(answer)) = get(all[(first + n) % all.len()], &target) else { continue };
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let addresses =
                body.split('"').filter_map(|text| text.parse().ok()).collect::<Vec<_>>();
            if answer.word(1) == "200" && !addresses.is_empty() {
                return addresses;
            }
        }
        Vec::new()
    }

    /// A client that sends requests of the kinds in turn, one each `interval`, on kept connections.
    pub fn start(
        &self,
        zone: &'static str,
        first: usize,
        kinds: &'static [Kind],
        interval: Duration,
    ) {
        let clients = self.clone();
        thread::spawn(move || {
            // Clients don't send in step with one another.
            thread::sleep(interval * (first as u32 * 5 % 12) / 12);
            let (mut conn, mut addresses) = (None, Vec::new());
            let (mut resolved, mut turn) = (Instant::now(), first);
            while !clients.0.stopped.load(Ordering::SeqCst) {
                if addresses.is_empty() || resolved.elapsed() > Duration::from_secs(2) {
                    let new = clients.resolve(zone, first);
                    if !new.is_empty() {
                        addresses = new;
                        resolved = Instant::now();
                    }
                }
                let due = Instant::now() + interval;
                turn += 1;
                if let Some(address) = addresses.get(turn % addresses.len().max(1)).copied() {
                    let kind = kinds[turn % kinds.len()];
                    let kept = conn.take().filter(|_| turn % 20 != 0);
                    conn = clients.send(kept, address, kind, "");
                }
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        });
    }

    /// Sends a request; returns the connection if it can be used again.
    pub fn send(
        &self,
        conn: Option<TcpStream>,
        address: SocketAddr,
        kind: Kind,
        target: &str,
    ) -> Option<TcpStream> {
        let number = self.0.next.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:016x}");
        let target = match target {
            // A path with a query is the same in each request.
            "" if kind.path.ends_with('?') => kind.path.trim_end_matches('?').to_owned(),
            "" => format!("{}{number:x}", kind.path),
            target => target.to_owned(),
        };
        let sent = Instant::now();
        self.0.record.write(&format!("client sends {id} {} {target} to {address}", kind.method));
        let result = self.exchange(conn, address, kind, &id, &target);
        let status = result.as_ref().ok().and_then(|(_, status, _)| status.parse().ok());
        self.0.record.write(&format!("client gets {id} {status:?}"));
        self.0.answers.lock().unwrap().push(Answer { id, target, sent, status });
        result.ok().filter(|(_, _, keep)| *keep).map(|(sock, ..)| sock)
    }

    fn exchange(
        &self,
        conn: Option<TcpStream>,
        address: SocketAddr,
        kind: Kind,
        id: &str,
        target: &str,
    ) -> Result<(TcpStream, String, bool)> {
        let mut sock = match conn {
            Some(sock) => sock,
            None => connect(address, kind.time)?,
        };
        let body = if kind.method == "POST" { "order" } else { "" };
        let length = match body {
            "" => String::new(),
            body => format!("Content-Length: {}\r\n", body.len()),
        };
        write!(
            sock,
            "{} {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {id}\r\n\
             Request-Deadline: {}\r\n{length}\r\n{body}",
            kind.method,
            kind.time.as_millis()
        )?;
        let mut input = BufReader::new(sock.try_clone()?);
        let answer = http::read(&mut input)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let keep = !answer.header("Connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        Ok((sock, answer.word(1).to_owned(), keep))
    }

    pub fn stop(&self) {
        self.0.stopped.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(1_500));
    }

    pub fn answers(&self) -> Vec<Answer> {
        self.0.answers.lock().unwrap().clone()
    }
}
