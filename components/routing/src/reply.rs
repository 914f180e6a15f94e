//! Responses of leaves and the replies that callers get.

use wigeonramp_units::Span;

/// A leaf's complete response to one request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeafResponse {
    /// HTTP status code.
    pub status: u16,
    /// The leaf's signature of the response.
    pub stamp: Option<String>,
    /// Header lines to relay to the caller, each with its line end; empty when they are not needed.
    pub headers: Vec<u8>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl LeafResponse {
    /// Whether the response is a success: a 2xx status with the leaf's signature.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.stamp.is_some()
    }

    /// Whether the status implies that the request did not run.
    pub fn implies_not_run(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// Cause for which a request ends without a leaf's response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The service has no eligible leaf.
    NoLeaf,
    /// Every leaf that was tried reported that it did not run the request, or was unreachable.
    NotRun,
    /// The leaves are overloaded.
    Overload,
    /// Leaves name request limits, and there are no permits for enough of them.
    Limited,
    /// The leaves have asked for a pause.
    Paused,
    /// The leaves have started recently, and this host may not send them more for the moment.
    Cold,
    /// Too few shards can respond.
    TooFewShards,
    /// A leaf broke the connection or sent an invalid response.
    Broken,
    /// The timeout of the route or the deadline of the caller has passed.
    TimeUp,
    /// The request crashes leaves.
    Poison,
    /// This host has no configuration yet.
    NoConfig,
    /// The configuration has no route for the request, but may be out of date.
    ConfigOutdated,
    /// The host is stopping.
    Stopping,
    /// The host's news of the store is too old to accept API keys.
    KeysOutdated,
    /// The request presents no API key that an account holds.
    Unauthorized,
    /// The account has used up its quota.
    OverQuota,
    /// This host has lost its links to all leaves, and no other host can be asked.
    LinksLost,
    /// The configuration has no route for the request.
    NoRoute,
    /// The request is not valid HTTP.
    Malformed,
    /// The request head exceeds the size limit.
    HeadTooLong,
    /// The request body exceeds the size limit.
    BodyTooLong,
    /// The head or the body of the request did not arrive in time.
    HeadTooSlow,
    /// This host has no memory left for the request.
    MemoryShort,
}

impl Cause {
    /// Returns the stable name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Cause::NoLeaf => "no_leaf",
            Cause::NotRun => "not_run",
            Cause::Overload => "overload",
            Cause::Limited => "limited",
            Cause::Paused => "paused",
            Cause::Cold => "cold",
            Cause::TooFewShards => "too_few_shards",
            Cause::Broken => "broken",
            Cause::TimeUp => "time_up",
            Cause::Poison => "poison",
            Cause::NoConfig => "no_config",
            Cause::ConfigOutdated => "config_outdated",
            Cause::KeysOutdated => "keys_outdated",
            Cause::Unauthorized => "unauthorized",
            Cause::OverQuota => "over_quota",
            Cause::Stopping => "stopping",
            Cause::LinksLost => "links_lost",
            Cause::NoRoute => "no_route",
            Cause::Malformed => "malformed",
            Cause::HeadTooLong => "head_too_long",
            Cause::BodyTooLong => "body_too_long",
            Cause::HeadTooSlow => "head_too_slow",
            Cause::MemoryShort => "memory_short",
        }
    }
}

/// The final reply to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// A leaf's response, unchanged.
    Relayed(LeafResponse),
    /// The merged response of several shards.
    Merged {
        /// Signatures of the merged responses.
        stamps: Vec<String>,
        /// Number of shards that are left out.
        missing: usize,
        /// The greatest records of all merged responses.
        body: Vec<u8>,
    },
    /// The request did not run and will not run.
    Refused {
        /// Cause of the refusal.
        cause: Cause,
        /// Delay after which the caller may retry.
        retry_after: Span,
    },
    /// The request failed and may have run.
    Failed(Cause),
}
