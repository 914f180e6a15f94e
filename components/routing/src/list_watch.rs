//! Following one kind of object in the platform's store.
//!
//! A kind is listed page by page and then watched from the list's revision. The feed decides what
//! call is due; the caller makes it and reports how it ended.

use {
    indexmap::IndexSet,
    rand::{Rng, RngExt},
    wigeonramp_units::{Instant, Revision, Span},
};

/// Time after changes until the next watch starts, so that changes in quick succession cost one
/// call.
const SETTLE: Span = Span::millis(300);
/// First pause after a failed call; doubles with each further one.
const FIRST_PAUSE: Span = Span::millis(150);
/// Longest pause after failed calls.
const MAX_PAUSE: Span = Span::millis(1_200);
/// Doublings of the pause.
const MAX_DOUBLINGS: u32 = 3;
/// Time after the store's return within which registrations that lapsed meanwhile come back.
const LAPSE_GRACE: Span = Span::millis(2_000);

/// The call that is due.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ListWatchCall {
    /// The next page of the list, after this name.
    List {
        /// Last name of the page before.
        after: Option<String>,
    },
    /// Changes since this revision.
    Watch {
        /// The revision up to which everything is known.
        since: Revision,
    },
}

/// One kind of object.
#[derive(Clone, Debug)]
pub struct ListWatch {
    since: Option<Revision>,
    listing: Option<Listing>,
    next_at: Instant,
    calling: bool,
    failures: u32,
    returned_at: Option<Instant>,
    /// Newest revision from which the store could not tell the changes.
    gone: Revision,
}

#[derive(Clone, Debug, Default)]
struct Listing {
    after: Option<String>,
    revision: Option<Revision>,
    names: IndexSet<String>,
}

impl ListWatch {
    /// A feed whose first call is due at `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            since: None,
            listing: None,
            next_at: start,
            calling: false,
            failures: 0,
            returned_at: None,
            gone: Revision(0),
        }
    }

    /// The call that is due now, if any.
    pub fn due(&mut self, now: Instant) -> Option<ListWatchCall> {
        if self.calling || now < self.next_at {
            return None;
        }
        self.calling = true;
        Some(match self.since {
            Some(since) => ListWatchCall::Watch { since },
            None => {
                let listing = self.listing.get_or_insert_default();
                ListWatchCall::List { after: listing.after.clone() }
            }
        })
    }

    /// When a call is due next; none while one is under way.
    pub fn next_at(&self) -> Option<Instant> {
        (!self.calling).then_some(self.next_at)
    }

    /// A page has arrived. Returns all names of the kind once the list is complete.
    pub fn on_page(
        &mut self,
        names: impl Iterator<Item = String>,
        more: bool,
        revision: Revision,
        now: Instant,
    ) -> Option<IndexSet<String>> {
        self.succeeded(now);
        let listing = self.listing.get_or_insert_default();
        // Changes between the pages are seen again by a watch from the first page's revision.
        let first = *listing.revision.get_or_insert(revision);
        let before = listing.names.len();
        listing.names.extend(names);
        if more && listing.names.len() > before {
            listing.after = listing.names.last().cloned();
            return None;
        }
        self.since = Some(first);
        self.listing.take().map(|listing| listing.names)
    }

    /// Changes up to `revision` have arrived, or none within the wait.
    pub fn on_changes(&mut self, changed: bool, revision: Revision, now: Instant) {
        self.succeeded(now);
        self.since = Some(revision.max(self.since.unwrap_or(revision)));
        if changed {
            self.next_at = now + SETTLE;
        }
    }

    /// The store no longer has the changes since our revision: list again.
    pub fn on_history_gone(&mut self, now: Instant, rng: &mut impl Rng) {
        self.succeeded(now);
        self.gone = self.since.unwrap_or_default().max(self.gone);
        self.since = None;
        self.listing = None;
        self.next_at = now + Span(rng.random_range(0..SETTLE.0));
    }

    /// The call failed or got no answer.
    pub fn on_error(&mut self, now: Instant, rng: &mut impl Rng) {
        self.calling = false;
        let pause = FIRST_PAUSE * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        let pause = pause.min(MAX_PAUSE);
        self.next_at = now + pause + Span(rng.random_range(0..pause.0));
    }

    /// The store is back after a loss that the call under way may not have shown: its answer may have
    /// been lost while its connection stayed open. The call is made again, and registrations that
    /// vanished meanwhile may come back.
    pub fn make_again(&mut self, now: Instant) {
        self.calling = false;
        self.failures = 0;
        self.next_at = now;
        self.returned_at = Some(now);
    }

    fn succeeded(&mut self, now: Instant) {
        self.calling = false;
        if self.failures > 0 {
            self.returned_at = Some(now);
        }
        self.failures = 0;
        self.next_at = now;
    }

    /// Everything up to `revision` is known from elsewhere; the next watch starts there.
    pub fn resume(&mut self, revision: Revision, now: Instant) {
        if revision > self.gone && self.since.is_none_or(|since| since < revision) {
            self.since = Some(revision);
            self.listing = None;
            self.next_at = self.next_at.min(now);
        }
    }

    /// The revision up to which everything is known.
    pub fn revision(&self) -> Option<Revision> {
        self.since
    }

    /// Until when a missing registration may come back, shortly after the store's return.
    pub fn lapse_until(&self, now: Instant) -> Option<Instant> {
        let until = self.returned_at? + LAPSE_GRACE;
        (now < until).then_some(until)
    }

    /// Time for which a registration that vanishes among many others is kept.
    pub const fn lapse_grace() -> Span {
        LAPSE_GRACE
    }
}
