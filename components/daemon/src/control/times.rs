//! The session time in force, while a change of it spreads.
//!
//! A holder must never count on a longer session time than an assigner waits for. After a change
//! holders use the shorter value and assigners the longer one until every host has had time to
//! adopt the new document.

use {
    wigeonramp_control::session::takeover_time,
    wigeonramp_units::{Instant, Span},
};

/// How many takeover times of the longer session time a change is given to spread.
const SPREAD_TAKEOVERS: u64 = 2;

/// The session time of holders and of assigners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SessionTimes {
    longest: Span,
    newest: Span,
    shortest: Span,
    spread: Instant,
}

impl SessionTimes {
    /// `time` holds on both sides.
    pub fn new(time: Span) -> Self {
        Self { longest: time, newest: time, shortest: time, spread: Instant::default() }
    }

    /// A document with session time `time` was adopted.
    pub fn change(&mut self, time: Span, now: Instant) {
        if time == self.newest {
            return;
        }
        let (shortest, longest) = (self.holder(now).min(time), self.assigner(now).max(time));
        let spread = now + takeover_time(longest) * SPREAD_TAKEOVERS;
        *self = Self { longest, newest: time, shortest, spread };
    }

    /// Session time that holders count on.
    pub fn holder(&self, now: Instant) -> Span {
        if now < self.spread { self.shortest } else { self.newest }
    }

    /// Session time that assigners wait for.
    pub fn assigner(&self, now: Instant) -> Span {
        if now < self.spread { self.longest } else { self.newest }
    }
}
