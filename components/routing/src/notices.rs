//! What the processes of leaves say of themselves in their responses, beside what the store says.
//!
//! A process that is leaving stays so until it ends: a response without the notice, or a registration
//! that does not mention it, changes nothing. A process that asks for a pause gets nothing until the
//! pause is over, and a few requests first after it. Its successor under the same id is another process.
//! So a notice is kept by process, also while the leaf is not registered.

use {
    crate::leaf::LeafInstance,
    indexmap::IndexMap,
    rand::{Rng, RngExt},
    wigeonramp_units::{Instant, Span},
};

/// Time for which the notices of a process are remembered after its last registration.
const MEMORY: Span = Span::secs(600);
/// Maximum number of processes that are remembered; the latest ones are the likeliest to be registered
/// again.
const MAX_REMEMBERED: usize = 1_024;

/// Longest pause; a leaf that asks for a longer one gets this.
const MAX_PAUSE: Span = Span::secs(24 * 3_600);
/// Longest random time that is added to a pause, so that hosts do not all come back at once.
const MAX_JITTER: Span = Span::millis(150);
/// Number of requests at the same time after a pause; one more for each that is answered.
const FIRST_REQUESTS: u32 = 1;
/// Number of requests at the same time from which a leaf is used as before.
const ALL_REQUESTS: u32 = 16;
/// Time after which a leaf that has all requests that it gets for the moment may take another.
const REOPENING_WAIT: Span = Span::millis(100);

/// What a process has said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it is leaving.
    leaving: bool,
    /// The last pause, until the leaf is used as before.
    pause: Option<Pause>,
}

/// A pause that a process has asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Pause {
    until: Instant,
    /// Number of requests at the same time that it gets after the pause.
    requests: u32,
}

impl Notice {
    /// Whether the process gets no new requests any more.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Records that a response said that the process is leaving; returns whether that is new.
    pub fn on_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Records that a response which turned a request away asked for a pause, which counts from now. A
    /// later response does not shorten an earlier pause. Returns whether the process was not pausing.
    pub fn on_pause(&mut self, time: Span, now: Instant, rng: &mut impl Rng) -> bool {
        let until = now + time.min(MAX_PAUSE) + Span(rng.random_range(0..MAX_JITTER.0));
        let is_new = !self.is_pausing(now);
        let before = self.pause.map_or(until, |pause| pause.until);
        self.pause = Some(Pause { until: until.max(before), requests: FIRST_REQUESTS });
        is_new
    }

    /// Whether the process pauses.
    pub fn is_pausing(&self, now: Instant) -> bool {
        self.pause.is_some_and(|pause| now < pause.until)
    }

    /// Records that the process has answered a request.
    pub fn on_answered(&mut self, now: Instant) {
        let Some(pause) = self.pause.as_mut().filter(|pause| pause.until <= now) else { return };
        pause.requests += 1;
        if pause.requests >= ALL_REQUESTS {
            self.pause = None;
        }
    }

    /// Returns the time until the process, which has `pending` requests, can be sent one; none if it
    /// is leaving.
    pub fn wait(&self, pending: usize, now: Instant) -> Option<Span> {
        if self.leaving {
            return None;
        }
        Some(match self.pause {
            Some(pause) if now < pause.until => pause.until.since(now),
            Some(pause) if pending >= pause.requests as usize => REOPENING_WAIT,
            Some(_) | None => Span::ZERO,
        })
    }

    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Notices of processes that are not registered at the moment.
#[derive(Clone, Debug, Default)]
pub struct RememberedNotices {
    notices: IndexMap<LeafInstance, (Notice, Instant)>,
}

impl RememberedNotices {
    /// Remembers the notice of a process whose registration has vanished. Without a known start, a later
    /// process cannot be told from it.
    pub fn remember(&mut self, leaf: LeafInstance, notice: Notice, now: Instant) {
        self.notices.retain(|_, (_, since)| now.since(*since) < MEMORY);
        if notice.is_empty() || leaf.born.is_none() {
            return;
        }
        if self.notices.len() >= MAX_REMEMBERED {
            self.notices.shift_remove_index(0);
        }
        self.notices.insert(leaf, (notice, now));
    }

    /// Returns the notice of a process that is registered again.
    pub fn take(&mut self, leaf: &LeafInstance) -> Notice {
        self.notices.shift_remove(leaf).map(|(notice, _)| notice).unwrap_or_default()
    }
}
