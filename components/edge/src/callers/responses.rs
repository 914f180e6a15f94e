//! Sending responses to callers.

use {
    super::Phase,
    crate::{
        node::{EventSource, Node},
        requests::RETRY_AFTER_NO_CONFIG,
    },
    mio::Interest,
    serde_json::json,
    std::net::Shutdown,
    wigeonramp_platform::http,
    wigeonramp_routing::{
        clients::STALL_TIME,
        reply::{Cause, Reply},
    },
    wigeonramp_units::Span,
};

impl Node {
    /// Responds to a request that cannot be read, and closes the connection.
    pub(super) fn refuse_caller(&mut self, key: usize, cause: Cause) {
        let exceeds_limit = matches!(cause, Cause::HeadTooLong | Cause::BodyTooLong);
        let has_config = self.active_catalog.current().is_some();
        let reply = if exceeds_limit && !has_config {
            // The configuration may allow more than the default limits.
            Reply::Refused { cause: Cause::NoConfig, retry_after: RETRY_AFTER_NO_CONFIG }
        } else if cause == Cause::MemoryShort {
            // Requests without progress are timed out within that time.
            Reply::Refused { cause, retry_after: STALL_TIME }
        } else {
            Reply::Refused { cause, retry_after: Span::ZERO }
        };
        self.metrics.count_reply(None, http::reply_status(&reply), cause.name());
        self.journal.record("unreadable_request", json!({ "cause": cause.name() }), self.now);
        let bytes = http::encode_reply(&reply, false, true);
        if let Some(conn) = self.callers.get_mut(key) {
            conn.inbuf = Vec::new();
        }
        self.send_caller(key, bytes, true);
    }

    /// Sends a response; if `last`, the connection closes after it.
    pub(crate) fn send_caller(&mut self, key: usize, bytes: Vec<u8>, last: bool) {
        let now = self.now;
        let Some(conn) = self.callers.get_mut(key) else { return };
        conn.out.push(bytes);
        conn.served += 1;
        conn.since = now;
        conn.progress = now;
        conn.held_since = None;
        conn.phase = if last { Phase::Lingering } else { Phase::Idle };
        if conn.inbuf.is_empty() {
            conn.inbuf = Vec::new();
        }
        self.flush_caller(key);
        self.charge_caller(key);
    }

    /// Writes buffered bytes; returns false if the connection was closed.
    pub(super) fn flush_caller(&mut self, key: usize) -> bool {
        let now = self.now;
        let Some(conn) = self.callers.get_mut(key) else { return false };
        let before = conn.out.unwritten();
        if conn.out.flush(&mut conn.sock).is_err() {
            self.drop_caller(key);
            return false;
        }
        if !conn.out.is_empty() {
            if conn.out.unwritten() < before {
                conn.progress = now;
            }
            let both = Interest::READABLE | Interest::WRITABLE;
            let token = EventSource::Caller(key).token();
            if self.poll.registry().reregister(&mut conn.sock, token, both).is_err() {
                self.drop_caller(key);
                return false;
            }
            return true;
        }
        if matches!(conn.phase, Phase::Lingering) {
            // The caller may have closed the connection already.
            let _ = conn.sock.shutdown(Shutdown::Write);
            if conn.closed {
                self.drop_caller(key);
                return false;
            }
        }
        true
    }
}
