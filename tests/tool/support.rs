//! A host that gives canned answers, and runs of the tool against it.

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

/// What the host does with a request.
#[derive(Clone)]
pub enum Canned {
    /// Answers with a status and a body.
    Answer(u16, String),
    /// Reads the request and closes the connection.
    Lose,
}

/// A host on a port of the system's choice; its thread ends with the test process.
pub struct Host {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Host {
    /// Answers requests whose target starts with one of the paths.
    pub fn start(answers: impl FnOnce(SocketAddr) -> Vec<(&'static str, Canned)>) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let answers = answers(address);
        let requests = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&requests);
        thread::spawn(move || {
            for stream in listener.incoming() {
                serve(stream.unwrap(), &answers, &log);
            }
        });
        Host { address, requests }
    }

    /// Request lines and bodies so far.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

fn serve(stream: TcpStream, answers: &[(&str, Canned)], log: &Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).unwrap();
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
    let target = first.trim().trim_end_matches(" HTTP/1.1");
    let body = String::from_utf8(body).unwrap();
    log.lock().unwrap().push(format!("{target}{credentials} {body}").trim().to_owned());
    let path = target.split(' ').nth(1).unwrap();
    let canned = answers.iter().find(|(prefix, _)| path.starts_with(prefix));
    if let Some((_, Canned::Answer(status, body))) = canned {
        let length = body.len();
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close");
        reader.get_mut().write_all(format!("{head}\r\n\r\n{body}").as_bytes()).unwrap();
    }
}

/// A directory of one test, removed at its end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    /// A new directory.
    pub fn new() -> Scratch {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = env::temp_dir().join(format!("wigeonramp-tool-{}-{n}", process::id()));
        fs::create_dir_all(&dir).unwrap();
        Scratch(dir)
    }

    /// Writes a file.
    pub fn file(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    /// Runs the tool here; returns command line, exit code, stdout and stderr as one text.
    ///
    /// Addresses of hosts are replaced by names, in the order given.
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
        // A leftover directory in the system's temporary directory harms nothing.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An address where nothing listens, kept from other listeners while this value lives.
pub struct Closed {
    pub address: SocketAddr,
    _stream: TcpStream,
}

impl Closed {
    /// Takes the local end of a connection: its port is in use, and connects to it are refused.
    pub fn new() -> Closed {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        Closed { address: stream.local_addr().unwrap(), _stream: stream }
    }
}
