//! What a caller gets.

use wigeonramp_units::Span;

/// A leaf's complete answer to one request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeafResponse {
    /// Status code.
    pub status: u16,
    /// The leaf's signature of the answer.
    pub stamp: Option<String>,
    /// Header lines that go on to the caller, each with its line end; empty where nobody reads them.
    pub headers: Vec<u8>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl LeafResponse {
    /// Whether it is a success that counts.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.stamp.is_some()
    }

    /// Whether its status claims that the request did not run.
    pub fn claims_not_run(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// Why a request ends without a leaf's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// No leaf of the service may be sent to.
    NoLeaf,
    /// Every leaf that was tried said that it did not run the request, or could not be reached.
    NotRun,
    /// The leaves are overloaded.
    Overload,
    /// Too few shards can answer.
    TooFewShards,
    /// A leaf broke off or answered unusably.
    Broken,
    /// The time was up.
    TimeUp,
    /// The request crashes leaves.
    Poison,
    /// This host knows no configuration yet.
    NoConfig,
    /// The host is stopping.
    Stopping,
    /// The configuration has no route for the request.
    NoRoute,
    /// The request is not sound HTTP.
    Malformed,
    /// The head is over the limit.
    HeadTooLong,
    /// The body is over the limit.
    BodyTooLong,
    /// The head did not arrive in time.
    HeadTooSlow,
}

impl Cause {
    /// Stable name for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Cause::NoLeaf => "no_leaf",
            Cause::NotRun => "not_run",
            Cause::Overload => "overload",
            Cause::TooFewShards => "too_few_shards",
            Cause::Broken => "broken",
            Cause::TimeUp => "time_up",
            Cause::Poison => "poison",
            Cause::NoConfig => "no_config",
            Cause::Stopping => "stopping",
            Cause::NoRoute => "no_route",
            Cause::Malformed => "malformed",
            Cause::HeadTooLong => "head_too_long",
            Cause::BodyTooLong => "body_too_long",
            Cause::HeadTooSlow => "head_too_slow",
        }
    }
}

/// The final answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// A leaf's answer, unchanged.
    Relayed(LeafResponse),
    /// The merged answer of several shards.
    Merged {
        /// Signatures of the parts that are in.
        stamps: Vec<String>,
        /// Shards that are left out.
        missing: usize,
        /// The greatest records of all parts.
        body: Vec<u8>,
    },
    /// The request did not run and never will.
    Refused {
        /// Why.
        cause: Cause,
        /// When to come back.
        retry_after: Span,
    },
    /// The request failed and may have run.
    Failed(Cause),
}
