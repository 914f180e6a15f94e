//! What the processes of leaves say of themselves in their responses, beside what the store says.
//!
//! A process that is leaving stays so until it ends: a response without the notice, or a registration
//! that does not mention it, changes nothing. Its successor under the same id is another process. So a
//! notice is kept by process, also while the leaf is not registered.

use {
    crate::leaf::LeafInstance,
    indexmap::IndexMap,
    wigeonramp_units::{Instant, Span},
};

/// Time for which the notices of a process are remembered after its last registration.
const MEMORY: Span = Span::secs(600);
/// Maximum number of processes that are remembered.
const MAX_REMEMBERED: usize = 1_024;

/// What a process has said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it is leaving.
    leaving: bool,
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
        if notice.is_empty() || leaf.born.is_none() || self.notices.len() >= MAX_REMEMBERED {
            return;
        }
        self.notices.insert(leaf, (notice, now));
    }

    /// Returns the notice of a process that is registered again.
    pub fn take(&mut self, leaf: &LeafInstance) -> Notice {
        self.notices.swap_remove(leaf).map(|(notice, _)| notice).unwrap_or_default()
    }
}
