//! Budget for calls to the platform.
//!
//! The platform handles several hundred writes/s and about 2,000 reads/s in total, and its capacity
//! grows more slowly than the fleet. Only claims scale with the request rate, so they get a fixed
//! share of the writes.

use {
    crate::{assignment::MAX_ASSIGNERS, session::takeover_time},
    wigeonramp_units::Span,
};

/// Session renewals per session time and host.
const RENEWALS_PER_SESSION_TIME: f64 = 3.0;
/// Session lists per session time and assigner.
const LISTS_PER_SESSION_TIME: f64 = 8.0;
/// Watches per host: configuration and assignment.
const WATCHES_PER_HOST: f64 = 2.0;
/// How long one watch call waits for a change.
pub const WATCH_WAIT: Span = Span::secs(30);
/// Reads of the platform's host list per second and assigner.
const HOST_LISTS_PER_SECOND: f64 = 0.2;
/// Claim writes per second, all hosts together.
const CLAIM_WRITES_PER_SECOND: f64 = 150.0;
/// Largest number of claim writes per second and host.
const MAX_CLAIM_WRITES_PER_HOST: f64 = 10.0;
/// Assumed share of claim writes that conflict or have to be read back.
const CLAIM_READ_SHARE: f64 = 0.5;
/// Configuration changes per day; each takes a read, a write and a read-back.
const CHANGES_PER_DAY: f64 = 680.0;
const DAY_SECONDS: f64 = 86_400.0;

/// Calls per second by kind, all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallBudget {
    /// Session renewals (writes).
    pub session_writes: f64,
    /// Lists of all sessions by assigners (reads).
    pub session_lists: f64,
    /// Reads of the platform's host list by assigners (reads).
    pub host_lists: f64,
    /// Watches on the configuration and the assignment (reads).
    pub watches: f64,
    /// Reads of the assigners' sessions by standby instances, only while they get no heartbeat of
    /// any assigner (reads).
    pub standby_reads: f64,
    /// Claim writes (writes).
    pub claim_writes: f64,
    /// Claim reads after conflicts and lost responses (reads).
    pub claim_reads: f64,
    /// Plans and confirmations (reads and writes).
    pub plans: f64,
}

impl CallBudget {
    /// Computes the budget for a fleet of `hosts` hosts.
    pub fn new(hosts: u32, session_time: Span) -> Self {
        let n = f64::from(hosts);
        let session = seconds(session_time);
        let assigners = n.min(MAX_ASSIGNERS as f64);
        let claim_writes = CLAIM_WRITES_PER_SECOND.min(n * MAX_CLAIM_WRITES_PER_HOST);
        Self {
            session_writes: n * RENEWALS_PER_SESSION_TIME / session,
            session_lists: assigners * LISTS_PER_SESSION_TIME / session,
            host_lists: assigners * HOST_LISTS_PER_SECOND,
            watches: n * WATCHES_PER_HOST / seconds(WATCH_WAIT),
            standby_reads: n * assigners / seconds(takeover_time(session_time)),
            claim_writes,
            claim_reads: claim_writes * CLAIM_READ_SHARE,
            plans: 3.0 * CHANGES_PER_DAY / DAY_SECONDS,
        }
    }

    /// Returns all writes per second.
    pub fn writes(&self) -> f64 {
        self.session_writes + self.claim_writes + self.plans
    }

    /// Returns all reads per second, including those of standby instances.
    pub fn reads(&self) -> f64 {
        let control = self.session_lists + self.host_lists + self.watches + self.standby_reads;
        control + self.claim_reads + self.plans
    }

    /// Returns the shortest time between two claim writes of one host.
    pub fn claim_interval(&self, hosts: u32) -> Span {
        Span((1e6 * f64::from(hosts) / self.claim_writes) as u64)
    }
}

/// Returns the time between two session lists of one assigner.
pub fn list_interval(session_time: Span) -> Span {
    session_time / LISTS_PER_SESSION_TIME as u64
}

fn seconds(span: Span) -> f64 {
    span.to_duration().as_secs_f64()
}
