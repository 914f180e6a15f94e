//! Hosts that give canned responses, and runs of the tool against them.

use std::{
    env, fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{self, Command},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

/// Reaction of the host to a request.
#[derive(Clone)]
pub enum Canned {
    /// Responds with a status and a body.
    Response(u16, String),
    /// Reads the request and closes the connection without a response.
    Disconnect,
}

/// A host on an ephemeral port; its thread ends with the test process.
pub struct Host {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Host {
    /// Starts a host. Of the entries whose path is a prefix of a request's path, the first one
    /// determines the response.
    pub fn start(responses: impl FnOnce(SocketAddr) -> Vec<(&'static str, Canned)>) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let responses = responses(address);
        let requests = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&requests);
        thread::spawn(move || {
            for stream in listener.incoming() {
                serve(stream.unwrap(), &responses, &log);
            }
        });
        Host { address, requests }
    }

    /// Returns the methods, targets, credentials and bodies of the requests so far.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

fn serve(stream: TcpStream, responses: &[(&str, Canned)], log: &Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream);
    let mut request_line = String::new();
    reader.read_line(&mut request_line).unwrap();
    let (mut length, mut credentials) = (0, String::new());
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        let lower = line.trim().to_ascii_lowercase();
        if lower.is_empty() {
            break;
        }
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if lower.starts_with("authorization:") || lower.starts_with("x-caller:") {
            credentials.push_str(&format!(" [{lower}]"));
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let target = request_line.trim().trim_end_matches(" HTTP/1.1");
    let body = String::from_utf8(body).unwrap();
    log.lock().unwrap().push(format!("{target}{credentials} {body}").trim().to_owned());
    let path = target.split(' ').nth(1).unwrap();
    let canned = responses.iter().find(|(prefix, _)| path.starts_with(prefix));
    if let Some((_, Canned::Response(status, body))) = canned {
        let length = body.len();
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close");
        reader.get_mut().write_all(format!("{head}\r\n\r\n{body}").as_bytes()).unwrap();
    }
}

/// Temporary directory of one test, removed when dropped.
pub struct Scratch(pub PathBuf);

impl Scratch {
    /// Creates the directory.
    pub fn new() -> Scratch {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = env::temp_dir().join(format!("wigeonramp-tool-{}-{n}", process::id()));
        fs::create_dir_all(&dir).unwrap();
        Scratch(dir)
    }

    /// Writes a file in the directory.
    pub fn file(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    /// Runs the tool in the directory. Returns command line, stdout, stderr and exit code as one
    /// text.
    ///
    /// Replaces the addresses of `hosts` by HOST0, HOST1 and so on.
    pub fn run(&self, args: &[&str], hosts: &[SocketAddr]) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_wigeonramp"))
            .args(args)
            .current_dir(&self.0)
            .env_remove("WIGEONRAMP_HOST")
            .output()
            .unwrap();
        let mut text = format!(
            "$ wigeonramp {}\n{}{}exit {}\n\n",
            args.join(" "),
            String::from_utf8(output.stdout).unwrap(),
            String::from_utf8(output.stderr).unwrap(),
            output.status.code().unwrap()
        );
        for (i, host) in hosts.iter().enumerate() {
            text = text.replace(&host.to_string(), &format!("HOST{i}"));
        }
        text
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // A directory that cannot be removed stays in the system's temporary directory.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An address on which nothing listens; its port stays reserved while this value lives.
pub struct Closed {
    pub address: SocketAddr,
    _stream: TcpStream,
}

impl Closed {
    /// Uses the local end of a connection: its port is in use, and connections to it are refused.
    pub fn new() -> Closed {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        Closed { address: stream.local_addr().unwrap(), _stream: stream }
    }
}
