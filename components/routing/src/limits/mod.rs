//! Request limits that leaves name.
//!
//! A leaf that cannot take its load names in its responses how many requests per second it takes
//! from all hosts together.

pub mod statement;

use {
    crate::leaves::LeafKey,
    indexmap::IndexMap,
    statement::{LimitChange, LimitStatement, NamedLimit},
    wigeonramp_units::{Instant, RequestRate},
};

/// Requests that this host sent to a limited leaf.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitedSends {
    /// First attempts.
    pub first: u64,
    /// Hedges and retries.
    pub extra: u64,
}

/// Limits of all leaves as one host has heard them.
#[derive(Clone, Debug, Default)]
pub struct LeafLimits {
    leaves: IndexMap<LeafKey, LimitedLeaf>,
}

#[derive(Clone, Copy, Debug)]
struct LimitedLeaf {
    said: LimitStatement,
    sends: LimitedSends,
}

impl LeafLimits {
    /// Records the limit that a leaf named in a response, or that it named none. The request was
    /// sent at `asked`. Returns the change of the limit, if any.
    pub fn on_response(
        &mut self,
        leaf: LeafKey,
        named: NamedLimit,
        asked: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let rate = match named {
            NamedLimit::None => None,
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::Unreadable => return None,
        };
        let said = LimitStatement { rate, asked, heard: now };
        let Some(known) = self.leaves.get_mut(&leaf) else {
            let rate = rate?;
            self.leaves.insert(leaf, LimitedLeaf { said, sends: LimitedSends::default() });
            return Some(LimitChange::Named(rate));
        };
        if !said.replaces(&known.said) {
            return None;
        }
        let before = std::mem::replace(&mut known.said, said);
        match (before.rate, rate) {
            (None, Some(now)) => Some(LimitChange::Named(now)),
            (Some(before), Some(now)) if before != now => {
                Some(LimitChange::Changed { before, now })
            }
            (Some(before), None) => Some(LimitChange::Ended(before)),
            _ => None,
        }
    }

    /// Forgets what a leaf said, because it has restarted or is no longer registered.
    pub fn forget(&mut self, leaf: LeafKey) {
        self.leaves.swap_remove(&leaf);
    }

    /// Returns the limit of a leaf; none if it named none.
    pub fn rate(&self, leaf: LeafKey) -> Option<RequestRate> {
        self.leaves.get(&leaf).and_then(|known| known.said.rate)
    }

    /// Counts a request that is sent to a leaf.
    pub fn count_send(&mut self, leaf: LeafKey, is_extra: bool) {
        let known = self.leaves.get_mut(&leaf).filter(|known| known.said.rate.is_some());
        let Some(known) = known else { return };
        known.sends.first += u64::from(!is_extra);
        known.sends.extra += u64::from(is_extra);
    }

    /// Returns the limited leaves that requests were sent to since the last call, each with its
    /// limit and the number of requests.
    pub fn take_sends(&mut self) -> Vec<(LeafKey, RequestRate, LimitedSends)> {
        let taken = self.leaves.iter_mut().filter_map(|(leaf, known)| {
            let sends = std::mem::take(&mut known.sends);
            let rate = known.said.rate.filter(|_| sends != LimitedSends::default())?;
            Some((*leaf, rate, sends))
        });
        taken.collect()
    }

    /// Returns the number of leaves with a limit.
    pub fn len(&self) -> usize {
        self.leaves.values().filter(|known| known.said.rate.is_some()).count()
    }

    /// Whether no leaf has a limit.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
