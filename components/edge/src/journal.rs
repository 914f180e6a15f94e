//! Log lines of the event loop: JSON to standard output, bounded, never waited for.
//!
//! A kind of line has a budget a second; what goes beyond is counted and reported with the next
//! line of that kind. Lines are written only when the output takes them without blocking.

use {
    crate::clock,
    indexmap::IndexMap,
    rustix::{
        event::{PollFd, PollFlags, Timespec, poll},
        io::write,
        stdio::stdout,
    },
    serde_json::{Value, json},
    wigeonramp_units::Instant,
};

/// Lines of one kind a second.
const LINES_PER_SECOND: u32 = 20;
/// Bytes that wait for the output at most; further lines are dropped.
const MAX_WAITING: usize = 64 * 1024;
/// A pipe that is ready takes this many bytes without blocking.
const PIPE_BYTES: usize = 4_096;

#[derive(Debug, Default)]
struct Kind {
    second: u64,
    lines: u32,
    dropped: u64,
}

/// The log of one process.
#[derive(Debug)]
pub(crate) struct Journal {
    host: String,
    kinds: IndexMap<&'static str, Kind>,
    waiting: Vec<u8>,
    sequence: u64,
}

impl Journal {
    /// The log of the host with this name.
    pub fn new(host: String) -> Self {
        Self { host, kinds: IndexMap::new(), waiting: Vec::new(), sequence: 0 }
    }

    /// Whether a line of this kind would be kept; saves the work for lines that are not.
    pub fn admits(&mut self, kind: &'static str, now: Instant) -> bool {
        let second = now.0 / 1_000_000;
        let entry = self.kinds.entry(kind).or_default();
        if entry.second != second {
            entry.second = second;
            entry.lines = 0;
        }
        if entry.lines >= LINES_PER_SECOND || self.waiting.len() > MAX_WAITING {
            entry.dropped += 1;
            return false;
        }
        entry.lines += 1;
        true
    }

    /// Adds a line; `fields` is an object.
    pub fn line(&mut self, kind: &'static str, mut fields: Value, now: Instant) {
        if !self.admits(kind, now) {
            return;
        }
        self.sequence += 1;
        let dropped =
            self.kinds.get_mut(kind).map_or(0, |entry| std::mem::take(&mut entry.dropped));
        if let Value::Object(map) = &mut fields {
            map.insert("event".to_owned(), json!(kind));
            map.insert("host".to_owned(), json!(self.host));
            map.insert("steady_us".to_owned(), json!(now.0));
            map.insert("time_ms".to_owned(), json!(clock::wall().0));
            map.insert("seq".to_owned(), json!(self.sequence));
            if dropped > 0 {
                map.insert("dropped_before".to_owned(), json!(dropped));
            }
        }
        self.waiting.extend_from_slice(fields.to_string().as_bytes());
        self.waiting.push(b'\n');
    }

    /// Writes waiting lines as far as the output takes them.
    pub fn flush(&mut self) {
        while !self.waiting.is_empty() && is_writable() {
            let bytes = self.waiting.len().min(PIPE_BYTES);
            match write(stdout(), &self.waiting[..bytes]) {
                Ok(written) => {
                    self.waiting.drain(..written);
                }
                // Nobody reads the output any more, or it is busy; the lines stay within their bound.
                Err(_) => return,
            }
        }
    }
}

fn is_writable() -> bool {
    let out = stdout();
    let mut fds = [PollFd::new(&out, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut fds, Some(&at_once)).is_ok_and(|ready| ready > 0)
        && fds[0].revents().contains(PollFlags::OUT)
}
