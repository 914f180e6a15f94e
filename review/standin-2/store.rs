//! The platform's store: lists, watches, creation and replacement of objects.

use {
    crate::{http, record::Record},
    std::{
        collections::BTreeMap,
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
    event: String,
    at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Objects by kind and name, with the revision of their last change.
    objects: BTreeMap<(String, String), String>,
    specs: BTreeMap<(String, String), String>,
    history: Vec<Change>,
    /// Highest revision that is no longer in the history.
    dropped: u64,
    down: bool,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

#[derive(Clone)]
pub struct Store(Arc<Shared>);

impl Store {
    pub fn new(record: &Record) -> Self {
        let state = Mutex::new(State { revision: 1, ..State::default() });
        Self(Arc::new(Shared { state, changed: Condvar::new(), record: record.clone() }))
    }

    pub fn listen(&self, ip: &str) -> Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for sock in listener.incoming().flatten() {
                let store = store.clone();
                // An error ends only the connection that it occurred on.
                thread::spawn(move || store.serve(sock).ok());
            }
        });
        Ok(address)
    }

    /// While the store is down it answers each call with 503, which means that nothing was done, and
    /// cuts waiting watches off.
    pub fn set_down(&self, down: bool) {
        self.0.record.say(if down { "store: down" } else { "store: up" });
        self.0.state.lock().unwrap().down = down;
        self.0.changed.notify_all();
    }

    /// Writes an object as an operator or a leaf does; returns the time of the ack, or none while
    /// the store is down.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Option<Instant> {
        let mut state = self.0.state.lock().unwrap();
        if state.down {
            return None;
        }
        let key = (kind.to_owned(), name.to_owned());
        if state.specs.get(&key).is_some_and(|old| old == spec) {
            return Some(Instant::now());
        }
        state.revision += 1;
        let object = format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{spec},\"status\":null}}",
            state.revision
        );
        state.objects.insert(key.clone(), object.clone());
        state.specs.insert(key, spec.to_owned());
        self.publish(&mut state, kind, &object, false);
        Some(Instant::now())
    }

    pub fn delete(&self, kind: &str, name: &str) -> Option<Instant> {
        let mut state = self.0.state.lock().unwrap();
        if state.down {
            return None;
        }
        let key = (kind.to_owned(), name.to_owned());
        state.specs.remove(&key);
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            self.publish(&mut state, kind, &object, true);
        }
        Some(Instant::now())
    }

    fn publish(&self, state: &mut State, kind: &str, object: &str, deleted: bool) {
        let event = format!("{{\"object\":{object},\"deleted\":{deleted}}}");
        let (revision, at) = (state.revision, Instant::now());
        state.history.push(Change { revision, kind: kind.to_owned(), event, at });
        while state.history.first().is_some_and(|change| change.at.elapsed() > HISTORY) {
            state.dropped = state.history.remove(0).revision;
        }
        self.0.changed.notify_all();
    }

    fn serve(&self, mut sock: TcpStream) -> Result<()> {
        sock.set_nodelay(true)?;
        let mut input = BufReader::new(sock.try_clone()?);
        while let Some(request) = http::read(&mut input)? {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let length = body.len();
            write!(
                sock,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n{body}"
            )?;
        }
        Ok(())
    }

    fn answer(&self, request: &http::Message) -> (u16, String) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        if self.0.state.lock().unwrap().down {
            return (503, "{}".to_owned());
        }
        match (request.word(0), name) {
            ("GET", None) => match value("watch").and_then(|text| text.parse().ok()) {
                Some(since) => {
                    let wait = value("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                    self.watch(kind, since, Duration::from_millis(wait))
                }
                None => self.list(kind, &value("after").unwrap_or_default()),
            },
            ("GET", Some(name)) => {
                let key = (kind.to_owned(), name.to_owned());
                let object = self.0.state.lock().unwrap().objects.get(&key).cloned();
                object.map_or((404, "{}".to_owned()), |object| (200, object))
            }
            ("POST", None) => self.create(kind, &String::from_utf8_lossy(&request.body)),
            _ => (400, "{}".to_owned()),
        }
    }

    /// Creates an object of a kind of the system's own.
    fn create(&self, kind: &str, body: &str) -> (u16, String) {
        let name = body.split("\"name\":\"").nth(1).and_then(|rest| rest.split('"').next());
        let spec = body.split("\"spec\":").nth(1).map(|rest| &rest[..rest.len() - 1]);
        let (Some(name), Some(spec)) = (name, spec) else { return (400, "{}".to_owned()) };
        let key = (kind.to_owned(), name.to_owned());
        let known = self.0.state.lock().unwrap().objects.get(&key).cloned();
        if let Some(object) = known {
            return (409, object);
        }
        match self.put(kind, name, spec) {
            Some(_) => (200, self.0.state.lock().unwrap().objects[&key].clone()),
            None => (503, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.0.state.lock().unwrap();
        let later =
            state.objects.iter().filter(|((k, name), _)| k == kind && name.as_str() > after);
        let items: Vec<&str> = later.map(|(_, object)| object.as_str()).collect();
        let has_more = items.len() > PAGE;
        let page = items[..items.len().min(PAGE)].join(",");
        let revision = state.revision;
        let page =
            format!("{{\"items\":[{page}],\"has_more\":{has_more},\"current_rev\":{revision}}}");
        (200, page)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.0.state.lock().unwrap();
        loop {
            if state.down {
                return (503, "{}".to_owned());
            }
            if since < state.dropped {
                return (410, "{}".to_owned());
            }
            let later = state.history.iter().filter(|c| c.kind == kind && c.revision > since);
            let events: Vec<&str> = later.map(|change| change.event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"));
            }
            state = self.0.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
