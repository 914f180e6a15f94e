//! Graceful stop, which lets open requests finish.

use {
    crate::{node::Node, sock},
    serde_json::json,
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, Span},
};

/// Time before the end of the grace period at which requests that are still open get a final reply
/// and the process ends. It allows for a delay of up to one sweep in noticing the signal and of
/// another one in reaching the end.
const FAIL_BEFORE_END: Span = Span::millis(900);
/// Time before the end of the grace period at which the host stops accepting connections.
const CLOSE_BEFORE_END: Span = Span::millis(1_900);

/// State of a stop in progress.
#[derive(Debug)]
pub(crate) struct Stopping {
    since: Instant,
    /// Whether the listeners are closed.
    closed: bool,
    /// Number of announcements sent.
    announced: u32,
    finished: bool,
}

/// Number of times that a stop is announced to all hosts, because datagrams may be lost.
const ANNOUNCEMENTS: u32 = 3;

impl Node {
    pub(crate) fn start_stopping(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        let stop = Stopping { since: self.now, closed: false, announced: 0, finished: false };
        self.stopping = Some(stop);
        self.journal.record("stopping", json!({ "open_requests": self.requests.len() }), self.now);
        self.routing.limits.stop_allocating();
        self.refresh_shares();
        self.announce_stop();
    }

    fn announce_stop(&mut self) {
        let all: Vec<Ipv4Addr> = self.members.other_addresses().collect();
        self.send_heartbeat(&all);
        if let Some(stop) = &mut self.stopping {
            stop.announced += 1;
        }
    }

    pub(crate) fn advance_stop(&mut self) {
        let Some(stop) = &self.stopping else { return };
        let age = self.now.since(stop.since);
        let grace = self.settings.stop_grace;
        if stop.announced < ANNOUNCEMENTS {
            self.announce_stop();
        }
        let Some(stop) = &mut self.stopping else { return };
        if !stop.closed && age + CLOSE_BEFORE_END >= grace {
            stop.closed = true;
            for (mut listener, _) in self.listeners.drain(..) {
                // The listener is closed when it is dropped, even if this fails.
                let _ = sock::deregister_listener(&mut listener, &self.poll);
            }
        }
        if stop.closed {
            self.close_idle_callers();
        }
        let Some(stop) = &mut self.stopping else { return };
        if stop.closed && self.callers.is_empty() {
            stop.finished = true;
        }
        if age + FAIL_BEFORE_END >= grace && !stop.finished {
            stop.finished = true;
            self.fail_open_requests();
        }
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopping.as_ref().is_some_and(|stop| stop.finished)
    }
}
