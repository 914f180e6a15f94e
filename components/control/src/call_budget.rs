//! Budget of calls to the platform.
//!
//! The platform takes several hundred writes/s and about 2,000 reads/s in total, and grows more
//! slowly than the fleet. Only claims scale with requests; they get a fixed share of the writes.

use {
    crate::{assignment::MAX_ASSIGNERS, session::takeover_time},
    wigeonramp_units::Span,
};

/// Renewals in one session time.
const RENEWALS: f64 = 3.0;
/// Lists of sessions by one assigner in one session time.
const LISTS: f64 = 8.0;
/// Watches of a host: configuration and assignment.
const WATCHES: f64 = 2.0;
/// Time that one watch waits.
pub const WATCH_WAIT: Span = Span::secs(30);
/// Reads of the platform's host list by one assigner in one second.
const HOST_LISTS: f64 = 0.2;
/// Claim writes of all hosts together, in one second.
const CLAIM_WRITES: f64 = 150.0;
/// Most claim writes of one host, in one second.
const CLAIM_WRITES_PER_HOST: f64 = 10.0;
/// Share of claim writes that conflict or have to be read back, by assumption.
const CLAIM_READS: f64 = 0.5;
/// Configuration changes in one day, each with a read, a write and a read back.
const CHANGES_PER_DAY: f64 = 680.0;
const DAY_SECONDS: f64 = 86_400.0;

/// Calls in one second by kind, of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallBudget {
    /// Session renewals (writes).
    pub session_writes: f64,
    /// Lists of all sessions, by assigners (reads).
    pub session_lists: f64,
    /// Reads of the platform's host list, by assigners (reads).
    pub host_lists: f64,
    /// Waiting watches on configuration and assignment (reads).
    pub watches: f64,
    /// Reads of the named assigners' sessions by outsiders; only while no named assigner is heard
    /// by heartbeat (reads).
    pub standby_reads: f64,
    /// Claim writes (writes).
    pub claim_writes: f64,
    /// Reads after conflicts and lost answers of claims (reads).
    pub claim_reads: f64,
    /// Plan and confirm (reads and writes).
    pub plans: f64,
}

impl CallBudget {
    /// The budget of `hosts` hosts.
    pub fn new(hosts: u32, session_time: Span) -> Self {
        let n = f64::from(hosts);
        let session = seconds(session_time);
        let assigners = n.min(MAX_ASSIGNERS as f64);
        let claim_writes = CLAIM_WRITES.min(n * CLAIM_WRITES_PER_HOST);
        Self {
            session_writes: n * RENEWALS / session,
            session_lists: assigners * LISTS / session,
            host_lists: assigners * HOST_LISTS,
            watches: n * WATCHES / seconds(WATCH_WAIT),
            standby_reads: n * assigners / seconds(takeover_time(session_time)),
            claim_writes,
            claim_reads: claim_writes * CLAIM_READS,
            plans: 3.0 * CHANGES_PER_DAY / DAY_SECONDS,
        }
    }

    /// All writes in one second.
    pub fn writes(&self) -> f64 {
        self.session_writes + self.claim_writes + self.plans
    }

    /// All reads in one second, outsiders included.
    pub fn reads(&self) -> f64 {
        let control = self.session_lists + self.host_lists + self.watches + self.standby_reads;
        control + self.claim_reads + self.plans
    }

    /// Shortest time between two claim writes of one host.
    pub fn claim_interval(&self, hosts: u32) -> Span {
        Span((1e6 * f64::from(hosts) / self.claim_writes) as u64)
    }
}

/// Time between two lists of sessions by one assigner.
pub fn list_interval(session_time: Span) -> Span {
    session_time / LISTS as u64
}

fn seconds(span: Span) -> f64 {
    span.to_duration().as_secs_f64()
}
