//! What a leaf said last about its request limit.
//!
//! Responses overtake each other: a response that arrives late may have been written before one
//! that arrived earlier. A statement is known to be newer than another only if its request was sent
//! after the other had arrived. Between statements whose order is not known, the lower limit counts.

use wigeonramp_units::{Instant, RequestRate};

/// Request limit as one response names it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum NamedLimit {
    /// The response names no limit.
    #[default]
    None,
    /// Requests that the leaf takes from all hosts together.
    Rate(RequestRate),
    /// The response names a limit that is not a valid rate.
    Unreadable,
}

/// Change of a leaf's request limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// The leaf has named a limit.
    Named(RequestRate),
    /// The leaf has named another limit.
    Changed {
        /// The limit named before.
        before: RequestRate,
        /// The limit named now.
        now: RequestRate,
    },
    /// The leaf no longer names a limit.
    Ended(RequestRate),
}

impl LimitChange {
    /// Returns the change between two limits, if any.
    pub fn between(before: Option<RequestRate>, now: Option<RequestRate>) -> Option<Self> {
        match (before, now) {
            (None, Some(now)) => Some(LimitChange::Named(now)),
            (Some(before), Some(now)) if before != now => {
                Some(LimitChange::Changed { before, now })
            }
            (Some(before), None) => Some(LimitChange::Ended(before)),
            _ => None,
        }
    }
}

/// The limit that is in force for a leaf, and when the leaf can have said so.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitStatement {
    /// The limit; none if the leaf named none.
    pub rate: Option<RequestRate>,
    /// Earliest time at which the leaf can have said so: the request was sent then.
    pub asked: Instant,
    /// Latest time at which the leaf can have said so: the response arrived then.
    pub heard: Instant,
}

impl LimitStatement {
    /// Whether this was said after the other statement had arrived.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.asked >= other.heard
    }

    /// Whether this replaces the other statement.
    pub fn replaces(&self, other: &Self) -> bool {
        if self.is_newer_than(other) || other.is_newer_than(self) {
            return self.is_newer_than(other);
        }
        match (self.rate, other.rate) {
            (Some(rate), Some(other)) => rate < other,
            (rate, other) => rate.is_some() && other.is_none(),
        }
    }
}
