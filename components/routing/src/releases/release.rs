//! One order as one host sees it.
//!
//! Load: hosts hear of the order, of the phase and of the final status in any order and with
//! losses, and the deciding host may be lost at any time. Phases only advance; a final status in
//! the store overrides them.

mod deciding;

use {
    super::{
        counting::Counting,
        counts::Counts,
        decider::{Decider, Reason},
        exposure::Credit,
        order::{OrderState, Phase, ReleaseBounds, StoredOrder, Version},
        status::{StatusResult, StatusWrite, StatusWriter},
    },
    crate::{leaves::Focus, limits::LimitHosts},
    indexmap::IndexMap,
    rand::Rng,
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, ServiceId, Span},
};

/// Time for which the same leaves of the candidate get its share. Leaves differ in speed, so one
/// after the other is used.
const CANARY_TURN: Span = Span::secs(2);
/// Interval of the totals.
const REPORT_INTERVAL: Span = Span::millis(500);
/// Interval of the totals in the short phases after the canary phase.
const FAST_REPORT_INTERVAL: Span = Span::millis(200);
/// Shortest interval of the totals, used after bad responses of the candidate.
const MIN_REPORT_INTERVAL: Span = Span::millis(60);
/// Interval of decisions.
const DECISION_INTERVAL: Span = Span::millis(100);
/// Time without a reply to totals after which the next host in order is asked.
const SILENT_AFTER: Span = Span::millis(900);
/// Time for which a silent host is passed over.
const SILENT_RETENTION: Span = Span::secs(5);
/// Interval in which hosts that have not confirmed are told again.
const REPEAT_INTERVAL: Span = Span::millis(400);
/// Difference of ages from which a message is about an earlier order for the same version.
const MAX_AGE_DIFFERENCE: Span = Span::secs(2);

/// Number of hosts that write the status if the deciding host cannot, itself included; calls to the
/// store are limited.
const WRITERS: usize = 3;

/// Facts about the leaves of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LeafFacts {
    /// Whether a leaf of the candidate can be used.
    pub has_candidate: bool,
    /// Whether requests are in flight at baseline leaves.
    pub baseline_in_flight: bool,
}

/// Change of a release for the log, with the figures behind it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleaseChange {
    /// The service.
    pub service: ServiceId,
    /// The candidate.
    pub version: Version,
    /// New phase or final state.
    pub state: &'static str,
    /// Reason for a rollback.
    pub reason: Option<Reason>,
    /// Age of the order.
    pub age: Span,
    /// Requests for the service and attempts at the candidate, as far as this host knows.
    pub exposure: (u64, u64),
    /// Ended attempts at the candidate.
    pub candidate: Counts,
    /// Ended attempts at baseline leaves.
    pub baseline: Counts,
    /// Slow ones among them, of the candidate and of the baseline.
    pub slow: (u32, u32),
    /// Sums of the tests for failures and slowness.
    pub sums: (f64, f64),
}

/// One order on one host.
#[derive(Clone, Debug)]
pub struct Release {
    own: Ipv4Addr,
    bounds: ReleaseBounds,
    order: StoredOrder,
    began: Instant,
    saw_appear: bool,
    /// Whether an earlier order for the same version was withdrawn.
    reopened: bool,
    phase: Phase,
    /// Final state that the store has confirmed.
    settled: Option<OrderState>,
    credit: Option<Credit>,
    counting: Counting,
    decider: Option<Decider>,
    next_report: Instant,
    next_decision: Instant,
    last_report: Instant,
    asked: Option<(Ipv4Addr, Instant)>,
    silent: IndexMap<Ipv4Addr, Instant>,
    /// Deciding host that waits for the confirmation that nothing goes to the baseline any more.
    confirm_to: Option<Ipv4Addr>,
    next_repeat: Instant,
    /// Whether all hosts have moved, so that the order can be completed.
    is_complete: bool,
    /// State that the deciding host asks others to write.
    requested_state: Option<OrderState>,
    writer: StatusWriter,
    changes: Vec<ReleaseChange>,
}

impl Release {
    /// Creates the state of an order that this host has just learnt.
    pub fn new(
        own: Ipv4Addr,
        bounds: ReleaseBounds,
        order: StoredOrder,
        saw_appear: bool,
        reopened: bool,
        now: Instant,
    ) -> Self {
        let mut this = Self {
            own,
            bounds,
            began: now,
            saw_appear,
            reopened,
            phase: Phase::Canary,
            settled: None,
            credit: None,
            counting: Counting::new(now),
            decider: None,
            next_report: now + MIN_REPORT_INTERVAL,
            next_decision: now,
            last_report: now,
            asked: None,
            silent: IndexMap::new(),
            confirm_to: None,
            next_repeat: now,
            is_complete: false,
            requested_state: None,
            writer: StatusWriter::new(now),
            changes: Vec::new(),
            order,
        };
        this.record_change(Phase::Canary.name(), None, now);
        this.on_stored_state(this.order.state, now);
        this
    }

    /// Returns the order.
    pub fn order(&self) -> &StoredOrder {
        &self.order
    }

    /// Returns the phase on this host.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the final state that the store has confirmed.
    pub fn settled(&self) -> Option<OrderState> {
        self.settled
    }

    /// Whether the order is neither completed nor rolled back.
    pub fn is_open(&self) -> bool {
        self.settled.is_none()
    }

    /// Whether the candidate gets requests by its share of first attempts only.
    pub fn is_shared(&self) -> bool {
        self.is_open() && self.phase < Phase::Draining
    }

    /// Whether the candidate gets no request.
    pub fn is_rolled_back(&self) -> bool {
        match self.settled {
            Some(state) => state == OrderState::RolledBack,
            None => self.phase == Phase::RolledBack,
        }
    }

    /// Returns what this host has counted.
    pub fn counting(&self) -> &Counting {
        &self.counting
    }

    /// Returns what this host has counted, for additions.
    pub fn counting_mut(&mut self) -> &mut Counting {
        &mut self.counting
    }

    /// Returns the number of hosts whose totals this host has.
    pub fn reporter_count(&self) -> usize {
        self.decider.as_ref().map_or(0, |decider| decider.reporters().count())
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<ReleaseChange> {
        std::mem::take(&mut self.changes)
    }

    fn age(&self, now: Instant) -> Span {
        now.since(self.began)
    }

    /// Applies a later state of the same order in the store.
    pub fn on_stored(&mut self, order: StoredOrder, now: Instant) {
        // This host may have written the status since.
        if order.written < self.order.written {
            return;
        }
        let state = order.state;
        self.order = order;
        self.on_stored_state(state, now);
    }

    fn on_stored_state(&mut self, state: Option<OrderState>, now: Instant) {
        // A final state stays, also if the store comes back from a copy that is older.
        let Some(state) = state.filter(|state| state.is_final()) else { return };
        if self.settled.is_some() {
            return;
        }
        self.settled = Some(state);
        let reason = (state == OrderState::RolledBack).then_some(Reason::Stored);
        let is_known = self.phase == Phase::RolledBack && state == OrderState::RolledBack;
        if state == OrderState::RolledBack {
            self.phase = Phase::RolledBack;
        }
        if !is_known || self.decider.is_some() {
            self.record_change(state.name(), reason, now);
        }
    }

    /// Records that the order was deleted or replaced.
    pub fn on_withdrawn(&mut self, now: Instant) {
        self.record_change("withdrawn", Some(Reason::Withdrawn), now);
    }

    fn record_change(&mut self, state: &'static str, reason: Option<Reason>, now: Instant) {
        let (evidence, exposure) = match &self.decider {
            Some(decider) => (decider.evidence(), decider.exposure()),
            None => (self.counting.evidence(), (self.counting.requests, self.counting.sent)),
        };
        let change = ReleaseChange {
            service: self.order.key.service.clone(),
            version: self.order.key.target.clone(),
            state,
            reason,
            age: self.age(now),
            exposure,
            candidate: evidence.candidate(),
            baseline: evidence.baseline(),
            slow: evidence.slow_counts(),
            sums: evidence.sums(),
        };
        self.changes.push(change);
    }

    /// Enters a phase if it is later than the one in force. Returns whether it is.
    fn enter(&mut self, phase: Phase, reason: Option<Reason>, now: Instant) -> bool {
        if phase <= self.phase || !self.is_open() {
            return false;
        }
        self.phase = phase;
        self.next_report = now;
        self.next_decision = now;
        self.record_change(phase.name(), reason, now);
        true
    }

    /// Whether the next first attempt goes to the candidate.
    pub fn take_canary(&mut self, traffic_share: f64, now: Instant, rng: &mut impl Rng) -> bool {
        if !self.is_shared() {
            return false;
        }
        let (bounds, duration, saw_appear) = (self.bounds, self.order.duration, self.saw_appear);
        let credit = self.credit.get_or_insert_with(|| {
            Credit::new(&bounds, duration, traffic_share, saw_appear, now, rng)
        });
        credit.take(self.phase, &bounds, now, rng)
    }

    /// Returns which leaves of the candidate its share of first attempts goes to.
    pub fn focus(&self, now: Instant) -> Option<Focus> {
        let share = self.phase.share().unwrap_or(self.bounds.exposure_share);
        let focus = Focus { turn: self.age(now).0 / CANARY_TURN.0, share };
        self.is_shared().then_some(focus)
    }

    /// Returns the credit of a first attempt that found no leaf of the candidate.
    pub fn give_back(&mut self) {
        if let Some(credit) = &mut self.credit {
            credit.give_back();
        }
    }

    /// Handles a bad response of the candidate: the deciding host is told at once, and this host
    /// rolls back by itself if the candidate plainly fails.
    pub fn on_bad_response(&mut self, now: Instant) {
        self.next_report = self.next_report.min((self.last_report + MIN_REPORT_INTERVAL).max(now));
        if let Some(finding) = self.counting.finding(now) {
            self.enter(Phase::RolledBack, Some(Reason::Found(finding)), now);
        }
    }

    /// Returns the state that the status in the store is to have; none if it has it.
    fn wanted_state(&self) -> Option<OrderState> {
        let wanted = match self.settled {
            Some(state) => state,
            None if self.phase == Phase::RolledBack => OrderState::RolledBack,
            None if self.is_complete => OrderState::Completed,
            None => OrderState::Running,
        };
        (self.order.state != Some(wanted)).then_some(wanted)
    }

    /// Returns the write of the status that is due on this host. The deciding host writes; if it
    /// cannot, the hosts that it asks do.
    pub fn due_write(&mut self, hosts: &LimitHosts, now: Instant) -> Option<StatusWrite> {
        if !self.writer.is_ready(now) {
            return None;
        }
        let rank = self.deciders(hosts, now).iter().position(|host| *host == self.own);
        let state = if rank == Some(0) { self.wanted_state() } else { None };
        let may_help = rank.is_some_and(|rank| rank < WRITERS);
        let is_missing = |state: &OrderState| self.order.state != Some(*state);
        let requested = self.requested_state.filter(|state| may_help && is_missing(state));
        let state = state.or(requested)?;
        self.writer.on_started(now);
        let revision = self.order.written.revision();
        Some(StatusWrite { key: self.order.key.clone(), state, revision })
    }

    /// Handles the result of a write of this state.
    pub fn on_written(&mut self, state: OrderState, result: StatusResult, now: Instant) {
        let known = self.order.written;
        match result {
            StatusResult::Written(revision) => {
                self.writer.on_answered(now);
                let revision = revision.unwrap_or(known.revision());
                self.order.written = known.with_revision(revision);
                self.order.state = Some(state);
                self.on_stored_state(Some(state), now);
            }
            StatusResult::Conflict { revision, state } => {
                self.writer.on_answered(now);
                self.order.written = known.with_revision(revision);
                self.order.state = state;
                self.on_stored_state(state, now);
            }
            StatusResult::Missing | StatusResult::Failed => self.writer.on_failed(now),
        }
        if self.settled.is_some() {
            self.requested_state = None;
        }
    }
}
