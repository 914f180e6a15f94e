//! Stopping without cutting a request.

use {
    crate::{node::Node, sock},
    serde_json::json,
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, Span},
};

/// Time kept at the end of the grace in which open requests get a last answer and the process ends;
/// the signal is noticed up to a sweep late, and the end is reached a sweep late.
const LAST_ANSWERS: Span = Span::millis(900);
/// Time kept at the end of the grace in which no new connection is taken.
const CLOSED: Span = Span::millis(1_900);

/// A stop under way.
#[derive(Debug)]
pub(crate) struct Stopping {
    since: Instant,
    closed: bool,
    announced: u32,
    over: bool,
}

/// Times that a stop is announced to all hosts; datagrams may be lost.
const ANNOUNCEMENTS: u32 = 3;

impl Node {
    pub(crate) fn begin_stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        let stop = Stopping { since: self.now, closed: false, announced: 0, over: false };
        self.stopping = Some(stop);
        self.journal.line("stopping", json!({ "open_requests": self.requests.len() }), self.now);
        self.refresh_shares();
        self.announce_stop();
    }

    fn announce_stop(&mut self) {
        let all: Vec<Ipv4Addr> = self.members.all().collect();
        self.send_beat(&all);
        if let Some(stop) = &mut self.stopping {
            stop.announced += 1;
        }
    }

    pub(crate) fn drive_stop(&mut self) {
        let Some(stop) = &self.stopping else { return };
        let age = self.now.since(stop.since);
        let grace = self.settings.stop_grace;
        if stop.announced < ANNOUNCEMENTS {
            self.announce_stop();
        }
        let Some(stop) = &mut self.stopping else { return };
        if !stop.closed && age + CLOSED >= grace {
            stop.closed = true;
            for (mut listener, _) in self.listeners.drain(..) {
                // The process ends soon; the listener closes in any case.
                let _ = sock::stop_listening(&mut listener, &self.poll);
            }
        }
        if stop.closed {
            self.close_idle_callers();
        }
        let Some(stop) = &mut self.stopping else { return };
        if stop.closed && self.callers.is_empty() {
            stop.over = true;
        }
        if age + LAST_ANSWERS >= grace && !stop.over {
            stop.over = true;
            self.fail_open_requests();
        }
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopping.as_ref().is_some_and(|stop| stop.over)
    }
}
