//! Event log: JSON lines on standard output, bounded in memory and written without blocking.
//!
//! Each kind of event has a limit of lines per second. Lines beyond it are dropped and counted, and
//! the count is reported with the next line of that kind.

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

/// Maximum number of lines per second and kind.
const LINES_PER_SECOND: u32 = 20;
/// Maximum number of buffered bytes; further lines are dropped.
const MAX_BUFFERED: usize = 64 * 1024;
/// Bytes that a pipe which polls as writable accepts without blocking.
const WRITE_BYTES: usize = 4_096;

#[derive(Debug, Default)]
struct KindLimit {
    /// Second on the monotonic clock that `lines` counts.
    second: u64,
    lines: u32,
    dropped: u64,
}

/// The event log of a process.
#[derive(Debug)]
pub(crate) struct Journal {
    host: String,
    kinds: IndexMap<&'static str, KindLimit>,
    buf: Vec<u8>,
    sequence: u64,
}

impl Journal {
    /// Creates the log of the host named `host`.
    pub fn new(host: String) -> Self {
        Self { host, kinds: IndexMap::new(), buf: Vec::new(), sequence: 0 }
    }

    /// Counts a line of this kind against its limit; returns false if the line is to be dropped.
    /// Checked before fields are built that would be costly for a dropped line.
    pub fn admits(&mut self, kind: &'static str, now: Instant) -> bool {
        let second = now.0 / 1_000_000;
        let limit = self.kinds.entry(kind).or_default();
        if limit.second != second {
            limit.second = second;
            limit.lines = 0;
        }
        if limit.lines >= LINES_PER_SECOND || self.buf.len() > MAX_BUFFERED {
            limit.dropped += 1;
            return false;
        }
        limit.lines += 1;
        true
    }

    /// Records an event; `fields` must be a JSON object.
    pub fn record(&mut self, kind: &'static str, mut fields: Value, now: Instant) {
        if !self.admits(kind, now) {
            return;
        }
        self.sequence += 1;
        let dropped =
            self.kinds.get_mut(kind).map_or(0, |limit| std::mem::take(&mut limit.dropped));
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
        self.buf.extend_from_slice(fields.to_string().as_bytes());
        self.buf.push(b'\n');
    }

    /// Writes buffered lines as far as the output accepts them without blocking.
    pub fn flush(&mut self) {
        while !self.buf.is_empty() && is_writable() {
            let bytes = self.buf.len().min(WRITE_BYTES);
            match write(stdout(), &self.buf[..bytes]) {
                Ok(written) => {
                    self.buf.drain(..written);
                }
                // The output is closed or busy; the buffer stays within its limit.
                Err(_) => return,
            }
        }
    }
}

fn is_writable() -> bool {
    let out = stdout();
    let mut fds = [PollFd::new(&out, PollFlags::OUT)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut fds, Some(&no_wait)).is_ok_and(|ready| ready > 0)
        && fds[0].revents().contains(PollFlags::OUT)
}
