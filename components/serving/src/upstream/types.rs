//! Types that an upstream exchanges with the daemon, and the constants of its rules.

use {
    serde::{Deserialize, Serialize},
    std::fmt::{Display, Formatter, Result as FmtResult},
    wigeonramp_config::Priority,
    wigeonramp_units::{BootId, ByteSize, Fingerprint, Instant, PerSecond, Slots, Span},
};

/// Minimum time between two steps of the warm-up ramp.
pub(super) const MIN_STEP_TIME: Span = Span::secs(1);
/// Maximum number of successes that one step of the ramp requires, so that a leaf with little
/// traffic warms up.
pub(super) const MAX_STEP_SUCCESSES: u32 = 32;
/// Time without a response after which a leaf is assumed to have lost its caches and connections.
pub(super) const IDLE_TIMEOUT: Span = Span::secs(60);
/// A response is overdue after this many recent service times; stragglers take about 10.
pub(super) const OVERDUE_FACTOR: u64 = 16;
/// Minimum time after which a response is overdue.
pub(super) const MIN_OVERDUE: Span = Span::millis(250);
/// Queue capacity per slot; more jobs could not be served within usual deadlines.
pub(super) const QUEUE_PER_SLOT: usize = 16;
/// Ordinary jobs get at least one in this many sends: a floor of 10% of the capacity.
pub(super) const ORDINARY_INTERVAL: u32 = 10;
/// Backoff after the first failed connect; doubles with each further one.
pub(super) const CONNECT_BACKOFF: Span = Span::millis(100);
/// Maximum backoff after failed connects.
pub(super) const MAX_CONNECT_BACKOFF: Span = Span::secs(2);
/// Interval of the probes that detect the return of a leaf that announced its leaving.
pub(super) const RETURN_PROBE_INTERVAL: Span = Span::secs(5);

/// Id of a job, unique within its holder.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct JobId(pub u64);

/// Id of a connection to a leaf, unique within the leaf's holder.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ConnectionId(pub u64);

/// Properties of a job: one attempt that an entry host has sent to the holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobMeta {
    /// Id of the job.
    pub id: JobId,
    /// Priority of the caller.
    pub priority: Priority,
    /// When the response must have arrived.
    pub deadline: Instant,
    /// Whether it is a hedge: another replica may already be running the request.
    pub hedge: bool,
    /// Whether it must be the only request running at the leaf.
    pub alone: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Fingerprint of the request; resubmissions have the same one.
    pub fingerprint: Fingerprint,
    /// Size of the request body.
    pub size: ByteSize,
}

/// Result of [`Upstream::offer`](super::Upstream::offer).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferResult {
    /// The job is queued; `next_action` sends or drops it later.
    Queued,
    /// The job is refused and no byte of it is sent.
    Refused(Refusal),
}

/// Reason why a job was not sent. No byte of it has reached the leaf.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// This host does not hold the leaf, or its right to send to it has expired.
    NotHolder,
    /// The leaf is being handed over to another holder.
    Moving,
    /// The leaf is not warm, and either its allowance is exhausted or the job is a hedge.
    Cold,
    /// The queue is full or too long to serve the job before its deadline.
    Overload,
    /// The deadline has passed, or cannot be met any more after the wait in the queue.
    Deadline,
    /// The leaf accepts no new requests.
    Leaving,
    /// The last connect failed.
    Unreachable,
    /// The session of the holder has expired, and the leaf has no connection or is not warm.
    InDoubt,
    /// The configuration of the holder is stale.
    StaleConfig,
    /// The request is suspected of crashing leaves.
    Quarantined,
}

impl Refusal {
    /// Returns the name on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Refusal::NotHolder => "not_holder",
            Refusal::Moving => "moving",
            Refusal::Cold => "cold",
            Refusal::Overload => "overload",
            Refusal::Deadline => "deadline",
            Refusal::Leaving => "leaving",
            Refusal::Unreachable => "unreachable",
            Refusal::InDoubt => "in_doubt",
            Refusal::StaleConfig => "stale_config",
            Refusal::Quarantined => "quarantined",
        }
    }
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.write_str(self.as_str())
    }
}

/// Requests that the holder may send to the leaf, as decided by the control plane.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rights {
    /// All requests that the leaf can handle.
    Full,
    /// One request at a time, to a warm leaf and on an existing connection.
    WarmOnly,
    /// No requests.
    None,
}

/// What the daemon has to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextAction {
    /// Send the job's bytes on the connection now.
    Send {
        /// The job.
        job: JobId,
        /// An open, idle connection.
        connection: ConnectionId,
    },
    /// Open a connection, then report `connected` or `connect_failed`.
    Connect {
        /// Id of the new connection.
        connection: ConnectionId,
        /// Whether the leaf must answer a health check on it before it is reported as connected.
        probe: bool,
    },
    /// Report the job as not sent.
    Drop(JobId, Refusal),
    /// Wait for an event, or until the given time.
    Wait(Option<Instant>),
}

/// Result of a job that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The leaf answered.
    Answered {
        /// Boot id in the response, if there is one.
        boot: Option<BootId>,
        /// Time from sending to the complete response.
        latency: Span,
        /// Whether the leaf reports that it is near its limit.
        busy: bool,
    },
    /// The leaf refused because of load.
    Rejected,
    /// The leaf answered that it is leaving.
    Leaving,
    /// The connection was reset.
    Reset,
    /// No response arrived before the deadline.
    TimedOut,
    /// The job was cancelled at the leaf.
    Cancelled {
        /// Whether the leaf confirmed the cancellation on the job's connection, so that the
        /// connection can carry another job.
        reusable: bool,
    },
}

/// Result of [`Upstream::cancel`](super::Upstream::cancel).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelResult {
    /// The job was queued and has been removed; no byte was sent.
    Removed,
    /// The job was sent on this connection. The daemon cancels it at the leaf, then calls
    /// [`Upstream::complete`](super::Upstream::complete).
    Running(ConnectionId),
    /// There is no such job.
    Unknown,
}

/// Side effect of an event, carried out by the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The request ran when the leaf reset, so it may have crashed the leaf.
    Suspect {
        /// The request.
        fingerprint: Fingerprint,
        /// Whether it was the only request running at the leaf.
        alone: bool,
    },
    /// A request that was suspected of crashing the leaf has succeeded.
    Cleared(Fingerprint),
    /// Close the connection.
    Close {
        /// The connection.
        connection: ConnectionId,
        /// Job that is abandoned with it: bytes were sent and no response will arrive.
        job: Option<JobId>,
    },
    /// The state of the leaf has changed.
    State(LeafState),
}

/// State of a leaf as seen by its holder.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LeafState {
    /// Can handle only the cold allowance.
    Cold,
    /// Between cold and warm.
    Ramping,
    /// Can use all its slots.
    Warm,
    /// A response is overdue; a probe determines whether the connection or the leaf is silent.
    Suspect,
    /// Accepts no new requests; the requests in flight are completed.
    Leaving,
    /// Has left, with no requests in flight.
    Gone,
}

impl LeafState {
    /// Returns the name on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            LeafState::Cold => "cold",
            LeafState::Ramping => "ramping",
            LeafState::Warm => "warm",
            LeafState::Suspect => "suspect",
            LeafState::Leaving => "leaving",
            LeafState::Gone => "gone",
        }
    }
}

impl Display for LeafState {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.write_str(self.as_str())
    }
}

/// Load that a leaf can handle at present.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Allowance {
    /// Maximum number of concurrent requests.
    pub in_flight: Slots,
    /// Maximum number of requests and new connections per second; `None` when only the slots limit
    /// them.
    pub per_second: Option<PerSecond>,
}

/// Response of a leaf's health endpoint. It can only lower the allowance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthReport {
    /// Number of concurrent requests that the leaf reports it can run.
    pub slots: Option<Slots>,
    /// Whether the leaf reports that it is overloaded.
    pub overloaded: bool,
}
