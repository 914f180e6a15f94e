//! The platform's store: lists, watches and creation of objects, with a history of 20 seconds.

use {
    crate::{http, record::Record},
    std::{
        collections::{BTreeMap, BTreeSet},
        io::{BufReader, Result, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const PAGE: usize = 50;
const HISTORY: Duration = Duration::from_secs(20);
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Change {
    revision: u64,
    kind: String,
    /// The event as it stands in the answer to a watch.
    event: Vec<u8>,
    at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Vec<u8>>,
    history: Vec<Change>,
    /// Highest revision that is no longer in the history.
    dropped: u64,
    down: bool,
    /// Doors whose calls get no answers.
    silent: BTreeSet<usize>,
    /// Doors whose calls get 429, other than stale reads, which do not count toward the rate.
    limited: BTreeSet<usize>,
    /// When a watch of leaves was last called or answered through each door, and the number of those
    /// that wait.
    watched: BTreeMap<usize, (Instant, usize)>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        let state = Mutex::new(State { revision: 1, ..State::default() });
        let shared = Shared { state, changed: Condvar::new(), record: record.clone() };
        Self { shared: Arc::new(shared) }
    }

    /// Opens a listener; calls through one `door` can be answered or not.
    pub fn listen(&self, ip: &str, door: usize) -> Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let serving = self.clone();
        thread::spawn(move || {
            for sock in listener.incoming().flatten() {
                let store = serving.clone();
                // An error ends only the connection that it occurred on.
                thread::spawn(move || store.serve(sock, door).ok());
            }
        });
        Ok(address)
    }

    /// Leaves the calls through these doors, also pending ones, without an answer.
    pub fn set_silent(&self, doors: &BTreeSet<usize>) {
        self.shared.record.say(&format!("store: gives no answers to machines {doors:?}"));
        self.shared.state.lock().unwrap().silent = doors.clone();
        self.shared.changed.notify_all();
    }

    /// Answers the calls through these doors with 429, other than stale reads; waiting watches are
    /// cut off.
    pub fn set_limited(&self, doors: &BTreeSet<usize>) {
        self.shared.record.say(&format!("store: answers machines {doors:?} with 429"));
        self.shared.state.lock().unwrap().limited = doors.clone();
        self.shared.changed.notify_all();
    }

    /// Doors through which leaves are being watched, or were within the last second.
    pub fn watched(&self) -> BTreeSet<usize> {
        let state = self.shared.state.lock().unwrap();
        let is_recent = |at: &Instant| at.elapsed() < Duration::from_secs(1);
        let recent = state.watched.iter().filter(|(_, (at, n))| *n > 0 || is_recent(at));
        recent.map(|(door, _)| *door).collect()
    }

    fn count_watch(&self, door: usize, begins: bool) {
        let mut state = self.shared.state.lock().unwrap();
        let (at, waiting) = state.watched.entry(door).or_insert((Instant::now(), 0));
        *at = Instant::now();
        *waiting = if begins { *waiting + 1 } else { *waiting - 1 };
    }

    fn is_silent(&self, door: usize) -> bool {
        self.shared.state.lock().unwrap().silent.contains(&door)
    }

    /// While the store is down, it closes connections without an answer.
    pub fn set_down(&self, down: bool) {
        self.shared.record.say(if down { "store: down" } else { "store: up" });
        self.shared.state.lock().unwrap().down = down;
        self.shared.changed.notify_all();
    }

    /// Creates or replaces an object; returns the time of the ack.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) -> Instant {
        self.change(kind, name, Some(spec))
    }

    /// Removes an object; returns the time of the ack.
    pub fn delete(&self, kind: &str, name: &str) -> Instant {
        self.change(kind, name, None)
    }

    fn change(&self, kind: &str, name: &str, spec: Option<&[u8]>) -> Instant {
        let mut state = self.shared.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if spec.is_none() && !state.objects.contains_key(&key) {
            return Instant::now();
        }
        state.revision += 1;
        let revision = state.revision;
        let object = match spec {
            Some(spec) => {
                let meta = format!(
                    "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
                     \"finalizers\":[],\"deleting\":false}},\"spec\":"
                );
                [meta.as_bytes(), spec, b",\"status\":null}"].concat()
            }
            None => state.objects[&key].clone(),
        };
        let tail = format!(",\"deleted\":{}}}", spec.is_none());
        let event = [b"{\"object\":", object.as_slice(), tail.as_bytes()].concat();
        match spec {
            Some(_) => state.objects.insert(key, object),
            None => state.objects.remove(&key),
        };
        let now = Instant::now();
        state.history.push(Change { revision, kind: kind.to_owned(), event, at: now });
        let old = state.history.iter().take_while(|c| now - c.at > HISTORY).count();
        if old > 0 {
            state.dropped = state.history[old - 1].revision;
            state.history.drain(..old);
        }
        drop(state);
        self.shared.changed.notify_all();
        let what = if spec.is_some() { "put" } else { "delete" };
        self.shared.record.write(&format!("store: {what} {kind}/{name} acknowledged"));
        Instant::now()
    }

    fn serve(&self, mut sock: TcpStream, door: usize) -> Result<()> {
        sock.set_nodelay(true)?;
        let mut input = BufReader::new(sock.try_clone()?);
        while let Some(call) = http::read(&mut input)? {
            thread::sleep(ANSWER_TIME);
            let answer = self.answer(&call, door);
            if self.is_silent(door) {
                // A connection on which an answer is lost returns nothing further.
                while http::read(&mut input)?.is_some() {}
                return Ok(());
            }
            let Some((status, body)) = answer else { return Ok(()) };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            sock.write_all(&[head.as_bytes(), &body].concat())?;
        }
        Ok(())
    }

    /// Returns status and body; `None` if the store is down.
    fn answer(&self, call: &http::Message, door: usize) -> Option<(u16, Vec<u8>)> {
        let state = self.shared.state.lock().unwrap();
        if state.down || state.silent.contains(&door) {
            return None;
        }
        let target = call.second_word();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(kind) = path.strip_prefix("/objects/") else { return Some((404, Vec::new())) };
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        if state.limited.contains(&door) && value("allow_stale").is_none() {
            return Some((429, b"{}".to_vec()));
        }
        let since = value("watch").and_then(|since| since.parse().ok());
        drop(state);
        if call.method() == "POST" {
            return Some(self.create(kind, &call.body));
        }
        match since {
            Some(since) => {
                let wait = value("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                let counts = kind == "servers";
                if counts {
                    self.count_watch(door, true);
                }
                let answer = self.watch(kind, since, Duration::from_millis(wait), door);
                if counts {
                    self.count_watch(door, false);
                }
                answer
            }
            None => Some(self.list(kind, &value("after").unwrap_or_default())),
        }
    }

    /// Hosts create objects only: `{"meta":{"name":NAME},"spec":SPEC}`.
    fn create(&self, kind: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let text = String::from_utf8_lossy(body).into_owned();
        let name = text.split("\"name\":\"").nth(1).and_then(|rest| rest.split('"').next());
        let spec = text.split_once("\"spec\":").and_then(|(_, rest)| rest.strip_suffix('}'));
        let (Some(name), Some(spec)) = (name, spec) else { return (400, Vec::new()) };
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.shared.state.lock().unwrap().objects.get(&key) {
            return (409, object.clone());
        }
        self.put(kind, name, spec.as_bytes());
        (200, self.shared.state.lock().unwrap().objects[&key].clone())
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Vec<u8>) {
        let state = self.shared.state.lock().unwrap();
        let found = state.objects.iter().filter(|((k, name), _)| k == kind && name.as_str() > after);
        let mut items: Vec<&[u8]> = found.map(|(_, object)| object.as_slice()).collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        let tail = format!("],\"has_more\":{more},\"current_rev\":{}}}", state.revision);
        (200, [b"{\"items\":[", items.join(&b","[..]).as_slice(), tail.as_bytes()].concat())
    }

    fn watch(
        &self,
        kind: &str,
        since: u64,
        wait: Duration,
        door: usize,
    ) -> Option<(u16, Vec<u8>)> {
        let end = Instant::now() + wait;
        let mut state = self.shared.state.lock().unwrap();
        loop {
            if state.down || state.silent.contains(&door) || state.limited.contains(&door) {
                return None;
            }
            if since < state.dropped {
                return Some((410, b"{}".to_vec()));
            }
            let later = state.history.iter().filter(|c| c.revision > since && c.kind == kind);
            let events: Vec<&[u8]> = later.map(|change| change.event.as_slice()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let tail = format!("],\"current_rev\":{}}}", state.revision);
                let joined = events.join(&b","[..]);
                return Some((200, [b"{\"events\":[", &joined[..], tail.as_bytes()].concat()));
            }
            state = self.shared.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
