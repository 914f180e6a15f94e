//! Graceful stop, which lets open requests finish.

use {
    crate::{node::Node, sock},
    serde_json::json,
    std::net::Ipv4Addr,
    wigeonramp_routing::{
        catalog::Route,
        reply::Cause,
        stop::{LateRequest, StopPlan},
    },
    wigeonramp_units::{Instant, Span},
};

/// Number of times that a stop is announced to all hosts, because datagrams may be lost.
const ANNOUNCEMENTS: u32 = 3;
/// Retry-After time of a refused request if another host serves, and if none is known.
const RETRY_AFTER: [Span; 2] = [Span::ZERO, Span::millis(500)];

/// State of a stop in progress.
#[derive(Debug)]
pub(crate) struct Stopping {
    plan: StopPlan,
    /// Whether the listeners are closed.
    closed: bool,
    /// Number of announcements sent.
    announced: u32,
    /// Whether the open requests have got their final replies.
    failed: bool,
    finished: bool,
}

impl Node {
    pub(crate) fn start_stopping(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        let plan = StopPlan::new(self.settings.stop_grace, self.now);
        let stop = Stopping { plan, closed: false, announced: 0, failed: false, finished: false };
        self.stopping = Some(stop);
        self.journal.record("stopping", json!({ "open_requests": self.requests.len() }), self.now);
        self.routing.limits.stop_allocating();
        self.quota_state.quotas.stop_allocating();
        self.refresh_shares();
        self.announce_stop();
    }

    /// Returns why a request is refused because the host is stopping, if it is: the cause and the
    /// time after which the caller may come back.
    pub(crate) fn refusal_by_stop(
        &mut self,
        route: &Route,
        deadline: Instant,
    ) -> Option<(Cause, Span)> {
        let plan = self.stopping.as_ref()?.plan;
        let others_serve = self.members.serving(self.now).next().is_some();
        let req = LateRequest {
            latest_end: deadline.min(self.now + route.timeout),
            usual_time: self.routing.usual_time(route, self.now),
        };
        if plan.takes(&req, others_serve, self.now) {
            return None;
        }
        Some((Cause::Stopping, RETRY_AFTER[usize::from(!others_serve)]))
    }

    fn announce_stop(&mut self) {
        let all: Vec<Ipv4Addr> = self.members.other_addresses().collect();
        self.send_heartbeat(&all);
        if let Some(stop) = &mut self.stopping {
            stop.announced += 1;
        }
    }

    pub(crate) fn advance_stop(&mut self) {
        let now = self.now;
        let Some(stop) = &self.stopping else { return };
        let (plan, announced) = (stop.plan, stop.announced);
        if announced < ANNOUNCEMENTS {
            self.announce_stop();
        }
        if plan.is_closed(now) {
            self.close_listeners();
            self.close_idle_callers();
        }
        if now >= plan.fails_at() {
            self.fail_open_work();
        }
        let Some(stop) = &mut self.stopping else { return };
        stop.finished |= plan.is_over(now) || (stop.closed && self.callers.is_empty());
    }

    fn close_listeners(&mut self) {
        let Some(stop) = &mut self.stopping else { return };
        if std::mem::replace(&mut stop.closed, true) {
            return;
        }
        for (mut listener, _) in self.listeners.drain(..) {
            // The listener is closed when it is dropped, even if this fails.
            let _ = sock::deregister_listener(&mut listener, &self.poll);
        }
    }

    /// Gives a final reply to requests that are in progress, and refuses those that are still being
    /// read.
    fn fail_open_work(&mut self) {
        let Some(stop) = &mut self.stopping else { return };
        if std::mem::replace(&mut stop.failed, true) {
            return;
        }
        self.fail_open_requests();
        self.refuse_unread_requests();
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopping.as_ref().is_some_and(|stop| stop.finished)
    }
}
