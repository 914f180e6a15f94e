//! Releases: the messages about them between hosts, the writes of their statuses, and their log
//! lines.

use {
    crate::{clock::millis, node::Node},
    indexmap::IndexMap,
    serde_json::json,
    std::net::Ipv4Addr,
    wigeonramp_routing::{
        changes::Change,
        position::Position,
        releases::{
            counts::{BUCKETS, Counts},
            evidence::Side,
            messages::{Outgoing, ReleaseMessage, Totals, TotalsRow, Verdict},
            order::{OrderKey, OrderState, Phase, StoredOrder},
            release::ReleaseChange,
            status::{StatusResult, StatusWrite},
        },
    },
    wigeonramp_units::{Instant, Revision, ServiceId, Span, StoreEra},
};

/// Time after the start of a host for which it waits for the list of orders before it serves. A
/// followed host of an earlier version sends none.
const ORDERS_TIMEOUT: Span = Span::secs(3);
/// Maximum number of messages in a datagram, which keeps it below the largest that is read.
const MESSAGES_PER_DATAGRAM: usize = 4;

/// Counts of one route and side.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RowMessage {
    #[prost(fixed32, tag = "1")]
    route: u32,
    /// Number of the candidate's leaf; absent for the baseline.
    #[prost(fixed32, optional, tag = "2")]
    leaf: Option<u32>,
    #[prost(uint32, tag = "3")]
    answered: u32,
    #[prost(uint32, tag = "4")]
    failed: u32,
    #[prost(uint32, tag = "5")]
    broken: u32,
    /// Buckets of latency with responses, and the numbers of these.
    #[prost(uint32, repeated, tag = "6")]
    buckets: Vec<u32>,
    #[prost(uint32, repeated, tag = "7")]
    responses: Vec<u32>,
}

/// Totals of a host.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct TotalsMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    version: String,
    #[prost(uint64, tag = "3")]
    serial: u64,
    /// Milliseconds since the order.
    #[prost(uint32, tag = "4")]
    age: u32,
    #[prost(uint32, tag = "5")]
    phase: u32,
    #[prost(bool, tag = "6")]
    drained: bool,
    #[prost(uint64, tag = "7")]
    requests: u64,
    #[prost(uint64, tag = "8")]
    sent: u64,
    #[prost(message, repeated, tag = "9")]
    rows: Vec<RowMessage>,
}

/// A verdict of the deciding host.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct VerdictMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    version: String,
    /// Milliseconds since the order.
    #[prost(uint32, tag = "3")]
    age: u32,
    #[prost(uint32, tag = "4")]
    phase: u32,
    #[prost(bool, tag = "5")]
    confirm: bool,
    #[prost(uint32, tag = "6")]
    rate: u32,
    /// Number of the state to write, from one; zero for none.
    #[prost(uint32, tag = "7")]
    wish: u32,
}

/// All messages about releases in one datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReleasesMessage {
    #[prost(message, repeated, tag = "1")]
    totals: Vec<TotalsMessage>,
    #[prost(message, repeated, tag = "2")]
    verdicts: Vec<VerdictMessage>,
    /// Position of the last change to an order that the sender has.
    #[prost(uint64, tag = "3")]
    orders: u64,
    #[prost(uint64, tag = "4")]
    orders_era: u64,
}

/// States of a status in the order of their numbers on the wire.
const STATES: [OrderState; 3] =
    [OrderState::Running, OrderState::Completed, OrderState::RolledBack];

fn key(service: &str, version: &str) -> Option<OrderKey> {
    Some(OrderKey { service: service.parse().ok()?, target: version.to_owned().try_into().ok()? })
}

impl From<&TotalsRow> for RowMessage {
    fn from(row: &TotalsRow) -> Self {
        let used = row.counts.latencies.iter().enumerate().filter(|(_, count)| **count > 0);
        let (buckets, responses) = used.map(|(bucket, count)| (bucket as u32, *count)).unzip();
        Self {
            route: row.route,
            leaf: match row.side {
                Side::Baseline => None,
                Side::Candidate(leaf) => Some(leaf),
            },
            answered: row.counts.answered,
            failed: row.counts.failed,
            broken: row.counts.broken,
            buckets,
            responses,
        }
    }
}

impl RowMessage {
    fn row(&self) -> TotalsRow {
        let mut latencies = [0; BUCKETS];
        for (bucket, count) in self.buckets.iter().zip(&self.responses) {
            if let Some(known) = latencies.get_mut(*bucket as usize) {
                *known = *count;
            }
        }
        let Self { answered, failed, broken, .. } = *self;
        TotalsRow {
            route: self.route,
            side: self.leaf.map_or(Side::Baseline, Side::Candidate),
            counts: Counts { answered, failed, broken, latencies },
        }
    }
}

impl From<&Totals> for TotalsMessage {
    fn from(totals: &Totals) -> Self {
        Self {
            service: totals.key.service.to_string(),
            version: totals.key.target.to_string(),
            serial: totals.serial,
            age: millis(totals.age),
            phase: totals.phase.number(),
            drained: totals.drained,
            requests: totals.requests,
            sent: totals.sent,
            rows: totals.rows.iter().map(RowMessage::from).collect(),
        }
    }
}

impl TotalsMessage {
    /// Converts the message; returns `None` if a field is invalid.
    fn totals(&self) -> Option<Totals> {
        Some(Totals {
            key: key(&self.service, &self.version)?,
            serial: self.serial,
            age: Span::millis(self.age.into()),
            phase: Phase::from_number(self.phase)?,
            drained: self.drained,
            requests: self.requests,
            sent: self.sent,
            rows: self.rows.iter().map(RowMessage::row).collect(),
        })
    }
}

impl From<&Verdict> for VerdictMessage {
    fn from(verdict: &Verdict) -> Self {
        let requested = verdict.requested_state;
        let number = requested.and_then(|requested| STATES.iter().position(|s| *s == requested));
        Self {
            service: verdict.key.service.to_string(),
            version: verdict.key.target.to_string(),
            age: millis(verdict.age),
            phase: verdict.phase.number(),
            confirm: verdict.confirm,
            rate: verdict.rate,
            wish: number.map_or(0, |number| number as u32 + 1),
        }
    }
}

impl VerdictMessage {
    /// Converts the message; returns `None` if a field is invalid.
    fn verdict(&self) -> Option<Verdict> {
        let requested = (self.wish as usize).checked_sub(1);
        Some(Verdict {
            key: key(&self.service, &self.version)?,
            age: Span::millis(self.age.into()),
            phase: Phase::from_number(self.phase)?,
            confirm: self.confirm,
            rate: self.rate,
            requested_state: requested.and_then(|number| STATES.get(number).copied()),
        })
    }
}

impl ReleasesMessage {
    fn add(&mut self, message: &ReleaseMessage) {
        match message {
            ReleaseMessage::Totals(totals) => self.totals.push(totals.into()),
            ReleaseMessage::Verdict(verdict) => self.verdicts.push(verdict.into()),
        }
    }

    /// Returns the valid messages.
    fn messages(&self) -> impl Iterator<Item = ReleaseMessage> {
        let totals = self.totals.iter().filter_map(TotalsMessage::totals);
        let verdicts = self.verdicts.iter().filter_map(VerdictMessage::verdict);
        totals.map(ReleaseMessage::Totals).chain(verdicts.map(ReleaseMessage::Verdict))
    }

    /// Whether it only tells the position of the last change.
    pub fn is_position_only(&self) -> bool {
        self.totals.is_empty() && self.verdicts.is_empty()
    }

    /// Returns the position of the last change to an order that the sender has.
    pub fn last_change(&self) -> Position {
        Position::new(StoreEra(self.orders_era), Revision(self.orders))
    }

    /// Adds the position of the last change to an order.
    pub fn with_last_change(mut self, changed: Position) -> Self {
        (self.orders, self.orders_era) = (changed.revision().0, changed.era().0);
        self
    }
}

impl Node {
    /// Returns the position of the last change to an order, which every datagram tells; none where
    /// releases are not in use.
    pub(crate) fn order_position_message(&self) -> Option<ReleasesMessage> {
        let changed = self.replicated.orders.changed();
        let is_known = self.routing.releases.is_enabled() && changed.is_known();
        is_known.then(|| ReleasesMessage::default().with_last_change(changed))
    }

    /// Applies an order that was written, or its deletion.
    pub(crate) fn apply_order(&mut self, change: &Change) {
        let is_first_list = !self.replicated.orders.upto().is_known();
        match change {
            Change::Order(order) => {
                self.routing.releases.on_order(order.clone(), is_first_list, self.now);
            }
            Change::OrderGone { service } => self.routing.releases.withdraw(service, self.now),
            _ => return,
        }
        self.routing.sync_releases(self.now);
    }

    /// Returns the deletions of the orders known that `is_listed` does not name.
    pub(crate) fn order_removals(&self, is_listed: impl Fn(&ServiceId) -> bool) -> Vec<Change> {
        let services = self.routing.releases.orders().map(|order| &order.key.service);
        let gone = services.filter(|service| !is_listed(service));
        gone.map(|service| Change::OrderGone { service: service.clone() }).collect()
    }

    /// Returns all orders, for a host that follows this one.
    pub(crate) fn orders(&self) -> impl Iterator<Item = &StoredOrder> {
        self.routing.releases.orders()
    }

    /// Handles the messages about releases in a datagram of the host `from`.
    pub(crate) fn on_release_messages(&mut self, from: Ipv4Addr, messages: &ReleasesMessage) {
        if !self.routing.releases.is_enabled() {
            return;
        }
        let replies: Vec<Outgoing> = messages
            .messages()
            .filter_map(|message| self.routing.releases.on_message(from, message, self.now))
            .collect();
        self.send_release_messages(replies);
    }

    fn send_release_messages(&mut self, messages: Vec<Outgoing>) {
        let mut by_host: IndexMap<Ipv4Addr, Vec<ReleaseMessage>> = IndexMap::new();
        for Outgoing { to, message } in messages {
            by_host.entry(to).or_default().push(message);
        }
        for (to, messages) in by_host {
            for chunk in messages.chunks(MESSAGES_PER_DATAGRAM) {
                let mut datagram = ReleasesMessage::default();
                chunk.iter().for_each(|message| datagram.add(message));
                self.send_releases(to, datagram);
            }
        }
    }

    /// Returns the time at which releases have work; `None` without open orders.
    pub(crate) fn next_release_work(&self) -> Option<Instant> {
        self.routing.releases.next_at()
    }

    /// Sends the messages about releases that are due, starts writes of statuses and logs changes.
    pub(crate) fn advance_releases(&mut self) {
        if self.next_release_work().is_some_and(|at| at <= self.now) {
            let hosts = self.members.limit_hosts(self.now);
            let messages = self.routing.poll_releases(&hosts, self.now);
            self.send_release_messages(messages);
            if self.can_write_status()
                && let Some(write) = self.routing.releases.due_write(&hosts, self.now)
            {
                self.start_status_write(write);
            }
        }
        for change in self.routing.releases.take_changes() {
            self.record_release_change(&change);
        }
    }

    /// Ends the hold of new versions, and the wait for the list of orders.
    pub(crate) fn sweep_releases(&mut self) {
        if self.now.since(self.started) >= ORDERS_TIMEOUT {
            self.replicated.waits_for_orders = false;
        }
        self.routing.sync_releases(self.now);
    }

    /// Handles the end of the write of a status.
    pub(crate) fn on_status_written(&mut self, write: &StatusWrite, result: StatusResult) {
        let outcome = match &result {
            StatusResult::Written(_) => "written",
            StatusResult::Conflict { .. } => "conflict",
            StatusResult::Missing => "missing",
            StatusResult::Failed => "failed",
        };
        self.metrics.count_status_write(outcome);
        let fields = json!({
            "service": write.key.service, "version": write.key.target, "state": write.state.name(),
            "revision": write.revision, "outcome": outcome,
        });
        self.journal.record("release_status", fields, self.now);
        self.routing.releases.on_written(write, result, self.now);
        self.routing.sync_releases(self.now);
    }

    fn record_release_change(&mut self, change: &ReleaseChange) {
        self.metrics.count_release(change.state);
        let (candidate, baseline) = (&change.candidate, &change.baseline);
        let fields = json!({
            "service": change.service, "version": change.version, "state": change.state,
            "reason": change.reason.map(|reason| reason.name()), "age_us": change.age.0,
            "requests": change.exposure.0, "sent": change.exposure.1,
            "candidate": {
                "answered": candidate.answered, "failed": candidate.failed,
                "slow": change.slow.0, "broken": candidate.broken,
            },
            "baseline": {
                "answered": baseline.answered, "failed": baseline.failed,
                "slow": change.slow.1, "broken": baseline.broken,
            },
            "failure_sum": change.sums.0, "slowness_sum": change.sums.1,
        });
        self.journal.record("release", fields, self.now);
    }
}
