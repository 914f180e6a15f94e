//! Values that pass between an upstream and its shell, and the constants of its rules.

use {
    serde::{Deserialize, Serialize},
    std::fmt::{Display, Formatter, Result as FmtResult},
    wigeonramp_config::Priority,
    wigeonramp_units::{BootId, ByteSize, Fingerprint, Instant, PerSecond, Slots, Span},
};

/// Shortest time between two steps of the ramp.
pub(super) const RAMP_STEP: Span = Span::secs(1);
/// Most successes that one step of the ramp asks for, so that a leaf with little traffic warms up.
pub(super) const STEP_SUCCESSES: u32 = 32;
/// Time without an answer after which caches and connections of a leaf count as lost.
pub(super) const IDLE_COLD: Span = Span::secs(60);
/// An answer is overdue after this many recent service times; stragglers take about 10.
pub(super) const OVERDUE_FACTOR: u64 = 16;
/// Shortest time after which an answer is overdue.
pub(super) const OVERDUE_MIN: Span = Span::millis(250);
/// Queued jobs per slot; more could not be served within usual deadlines.
pub(super) const QUEUE_PER_SLOT: usize = 16;
/// Every this many sends, ordinary work goes first: a floor of 10% of the capacity.
pub(super) const ORDINARY_EVERY: u32 = 10;
/// First and longest pause after failed connects.
pub(super) const CONNECT_PAUSE: Span = Span::millis(100);
/// Longest pause after failed connects.
pub(super) const CONNECT_PAUSE_MAX: Span = Span::secs(2);
/// Pause between probes of a leaf that announced its leaving.
pub(super) const GONE_PROBE: Span = Span::secs(5);

/// A job, unique within its holder.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct JobId(pub u64);

/// A connection to a leaf, unique within the leaf's holder.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ConnectionId(pub u64);

/// What an upstream knows of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobMeta {
    /// Unique within the holder.
    pub id: JobId,
    /// Priority of the caller.
    pub priority: Priority,
    /// When the answer must be there.
    pub deadline: Instant,
    /// Whether another replica already works on it.
    pub hedge: bool,
    /// Whether it must run with no other request at the leaf.
    pub alone: bool,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Equal for repetitions of the request.
    pub fingerprint: Fingerprint,
    /// Bytes of the request.
    pub size: ByteSize,
}

/// Answer to an offered job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferResult {
    /// `next` will send or drop it.
    Queued,
    /// No byte is sent.
    Refused(Refusal),
}

/// Why a job was not sent. No byte of it reached the leaf.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// This host does not hold the leaf, or its right to send has lapsed.
    NotHolder,
    /// The leaf is moving between holders.
    Moving,
    /// The leaf is not warm and its allowance is used up.
    Cold,
    /// The queue is full or cannot be served before the deadline.
    Overload,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// The leaf takes no new work.
    Leaving,
    /// The last connect failed.
    Unreachable,
    /// The holder is in doubt and the leaf has no connection or is not warm.
    InDoubt,
    /// The holder's configuration is stale.
    StaleConfig,
    /// The request is suspected of crashing leaves.
    Quarantined,
}

impl Refusal {
    /// The name on the wire.
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

/// What the holder may send, decided by the control plane.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rights {
    /// Everything that the leaf bears.
    Full,
    /// One request at a time to a warm leaf, on connections that exist.
    WarmOnly,
    /// Nothing.
    None,
}

/// The next thing for the shell to do.
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
        /// The id of the new connection.
        connection: ConnectionId,
        /// Whether the leaf must answer on it before it counts as connected.
        probe: bool,
    },
    /// Report the job as not sent.
    Drop(JobId, Refusal),
    /// Nothing to do until an event, or until the given time.
    Wait(Option<Instant>),
}

/// How a sent job ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The leaf answered.
    Answered {
        /// Boot id in the answer, if it has one.
        boot: Option<BootId>,
        /// Time from sending to the whole answer.
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
    /// No answer until the deadline.
    TimedOut,
    /// The job was cancelled at the leaf.
    Cancelled {
        /// Whether the leaf confirmed on the job's connection, so that it can carry another job.
        reusable: bool,
    },
}

/// What became of a cancelled job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelResult {
    /// It was queued and is gone; no byte was sent.
    Removed,
    /// It was sent; the shell cancels it at the leaf and reports `done`.
    Running(ConnectionId),
    /// No such job.
    Unknown,
}

/// A consequence of an event, for the shell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The request ran when the leaf reset.
    Suspect {
        /// The request.
        fingerprint: Fingerprint,
        /// Whether it was the only request at the leaf.
        alone: bool,
    },
    /// A suspect succeeded.
    Cleared(Fingerprint),
    /// Close the connection.
    Close {
        /// The connection.
        connection: ConnectionId,
        /// A job given up with it: bytes were sent and no answer will come.
        job: Option<JobId>,
    },
    /// The upstream has entered another state.
    State(LeafState),
}

/// Condition of a leaf as its holder sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LeafState {
    /// Bears the cold allowance.
    Cold,
    /// Between cold and warm.
    Ramping,
    /// Bears all slots.
    Warm,
    /// An answer is overdue; a probe finds out whether connection or leaf is silent.
    Suspect,
    /// Takes no new work; work in flight ends.
    Leaving,
    /// Left.
    Gone,
}

impl LeafState {
    /// The name on the wire.
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

/// What a leaf bears at present.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Allowance {
    /// Requests at the same time.
    pub in_flight: Slots,
    /// Requests and new connections a second; `None` when only the slots limit them.
    pub per_second: Option<PerSecond>,
}

/// What a leaf's health endpoint says. It can only lower the allowance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthReport {
    /// Requests that the leaf says it can run at the same time.
    pub slots: Option<Slots>,
    /// Whether the leaf says that it has too much load.
    pub overloaded: bool,
}
