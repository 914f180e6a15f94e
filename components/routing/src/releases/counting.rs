//! What one host counts for an order: its requests, and the ends of its attempts.
//!
//! Load: a host sees a few requests per second of a service, too few for a typical latency of its
//! own. It therefore counts latencies in buckets, and the deciding host compares the sums of all
//! hosts.

use {
    super::{
        counts::Counts,
        evidence::{Evidence, Finding, RouteHash, Side},
        messages::TotalsRow,
    },
    indexmap::IndexMap,
    wigeonramp_units::{Instant, Span},
};

/// Maximum number of rows in the totals, which keeps a message below the usual packet size.
const MAX_ROWS: usize = 40;

/// End of an attempt as it counts for a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// A successful response.
    Answered,
    /// A response with a failure status.
    Failed,
    /// No response in time.
    Silent,
    /// The connection broke, the leaf could not be reached, or it declined the request.
    Broken,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedSend {
    /// Route of the request.
    pub route: RouteHash,
    /// Side of the leaf.
    pub side: Side,
    /// How it ended.
    pub end: AttemptEnd,
    /// Time since it was sent.
    pub latency: Span,
}

/// Counts of one host since the order.
#[derive(Clone, Debug)]
pub struct Counting {
    /// First attempts for the service.
    pub requests: u64,
    /// Attempts at leaves of the candidate.
    pub sent: u64,
    rows: IndexMap<(RouteHash, Side), Counts>,
    evidence: Evidence,
}

impl Counting {
    /// Creates empty counts.
    pub fn new(now: Instant) -> Self {
        Self { requests: 0, sent: 0, rows: IndexMap::new(), evidence: Evidence::new(now) }
    }

    /// Counts an ended attempt. Returns whether its response was bad and from the candidate.
    pub fn on_ended(&mut self, ended: &EndedSend, now: Instant) -> bool {
        let counts = match ended.end {
            AttemptEnd::Answered => Counts::of_response(ended.latency),
            AttemptEnd::Failed => Counts { answered: 1, failed: 1, ..Counts::default() },
            AttemptEnd::Silent => Counts::of_silence(),
            AttemptEnd::Broken => Counts { broken: 1, ..Counts::default() },
        };
        self.rows.entry((ended.route, ended.side)).or_default().add(&counts);
        self.evidence.add(ended.route, ended.side, &counts, Span::ZERO, now);
        ended.side != Side::Baseline && self.evidence.is_bad(ended.route, &counts)
    }

    /// Returns what the tests find in this host's counts alone.
    pub fn finding(&mut self, now: Instant) -> Option<Finding> {
        self.evidence.finding(now)
    }

    /// Returns the evidence of this host alone.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Returns the counts for a message; those of the candidate first.
    pub fn rows(&self) -> Vec<TotalsRow> {
        let row = |((route, side), counts): (&(RouteHash, Side), &Counts)| TotalsRow {
            route: *route,
            side: *side,
            counts: *counts,
        };
        let (baseline, candidate): (Vec<_>, Vec<_>) =
            self.rows.iter().map(row).partition(|row| row.side == Side::Baseline);
        candidate.into_iter().chain(baseline).take(MAX_ROWS).collect()
    }
}
