//! One order as one host sees it.
//!
//! Load: hosts hear of the order, of the phase and of the final status in any order and with losses,
//! and the deciding host may be lost at any time. Phases only advance; a final status in the store
//! overrides them.

use {
    super::{
        counting::Counting,
        counts::Counts,
        decider::{Circumstances, Decider, Decision, Reason},
        exposure::Credit,
        messages::{Outgoing, ReleaseMessage, Totals, Verdict},
        order::{OrderState, Phase, ReleaseBounds, StoredOrder, Version},
        status::{StatusResult, StatusWrite, StatusWriter},
    },
    crate::limits::LimitHosts,
    indexmap::{IndexMap, IndexSet},
    rand::Rng,
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, ServiceId, Span},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Interval of the totals.
const REPORT_INTERVAL: Span = Span::millis(400);
/// Interval of the totals in the short phases after the canary phase.
const FAST_REPORT_INTERVAL: Span = Span::millis(200);
/// Shortest interval of the totals, used after bad responses of the candidate.
const MIN_REPORT_INTERVAL: Span = Span::millis(60);
/// Interval of decisions.
const DECISION_INTERVAL: Span = Span::millis(100);
/// Time without a reply to totals after which the next host in order is asked.
const SILENT_AFTER: Span = Span::millis(900);
/// Time for which a silent host is passed over.
const SILENT_RETENTION: Span = Span::secs(2);
/// Interval in which hosts that have not confirmed are told again.
const REPEAT_INTERVAL: Span = Span::millis(400);
/// Difference of ages from which a message is about an earlier order for the same version.
const MAX_AGE_DIFFERENCE: Span = Span::secs(2);

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
    wish: Option<OrderState>,
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
            wish: None,
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
            None => (
                self.counting.evidence(),
                (self.counting.requests, self.counting.sent),
            ),
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

    /// Returns the credit of a first attempt that found no leaf of the candidate.
    pub fn give_back(&mut self) {
        if let Some(credit) = &mut self.credit {
            credit.give_back();
        }
    }

    /// Handles a bad response of the candidate: the deciding host is told at once, and this host rolls
    /// back by itself if the candidate plainly fails.
    pub fn on_bad_response(&mut self, now: Instant) {
        self.next_report = self.next_report.min((self.last_report + MIN_REPORT_INTERVAL).max(now));
        if let Some(finding) = self.counting.finding(now) {
            self.enter(Phase::RolledBack, Some(Reason::Found(finding)), now);
        }
    }

    /// Returns the hosts that may decide, in their order, without those that do not respond.
    fn deciders(&self, hosts: &LimitHosts, now: Instant) -> Vec<Ipv4Addr> {
        let is_silent = |ip: &Ipv4Addr| self.silent.get(ip).is_some_and(|until| now < *until);
        let service = self.order.key.service.as_str().as_bytes();
        let rank = |ip: &Ipv4Addr| {
            xxh3_64_with_seed(service, u64::from(ip.to_bits()))
        };
        let mut all: Vec<Ipv4Addr> =
            hosts.candidates.iter().copied().filter(|ip| !is_silent(ip)).collect();
        all.sort_by_key(|ip| std::cmp::Reverse(rank(ip)));
        all
    }

    /// Returns the time at which `poll` is to be called next; none if the order is settled in the store.
    pub fn next_at(&self) -> Option<Instant> {
        let is_written = self.settled.is_some() && self.order.state == self.settled;
        let decision = Some(self.next_decision).filter(|_| self.decider.is_some());
        (!is_written).then(|| decision.into_iter().fold(self.next_report, Instant::min))
    }

    /// Sends the totals and decides, as far as that is due.
    pub fn poll(
        &mut self,
        facts: LeafFacts,
        hosts: &LimitHosts,
        serial: &mut u64,
        now: Instant,
    ) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.silent.retain(|_, until| now < *until);
        if let Some((host, _)) = self.asked.filter(|(_, at)| now.since(*at) >= SILENT_AFTER) {
            self.silent.insert(host, now + SILENT_RETENTION);
            self.asked = None;
        }
        let deciders = self.deciders(hosts, now);
        let Some(first) = deciders.first().copied() else {
            self.next_report = now + REPORT_INTERVAL;
            self.next_decision = now + REPORT_INTERVAL;
            return out;
        };
        if now >= self.next_report {
            self.report(first, facts, hosts, serial, now, &mut out);
        }
        if now >= self.next_decision {
            self.next_decision = now + DECISION_INTERVAL;
            self.decide(first == self.own, facts, hosts, now, &mut out);
        }
        out
    }

    fn report(
        &mut self,
        decider: Ipv4Addr,
        facts: LeafFacts,
        hosts: &LimitHosts,
        serial: &mut u64,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        let is_fast = self.phase > Phase::Canary;
        let interval = if is_fast { FAST_REPORT_INTERVAL } else { REPORT_INTERVAL };
        (self.last_report, self.next_report) = (now, now + interval);
        let is_involved = hosts.candidates.contains(&self.own)
            || self.counting.requests > 0;
        let drained = self.phase == Phase::Draining && !facts.baseline_in_flight;
        let confirm_to = self.confirm_to.take_if(|_| drained);
        if !self.is_open() || !(is_involved || confirm_to.is_some()) {
            return;
        }
        *serial += 1;
        let totals = Totals {
            key: self.order.key.clone(),
            serial: *serial,
            age: self.age(now),
            phase: self.phase,
            drained,
            requests: self.counting.requests,
            sent: self.counting.sent,
            rows: self.counting.rows(),
        };
        if let Some(to) = confirm_to.filter(|to| *to != decider || !is_involved) {
            let message = ReleaseMessage::Totals(totals.clone());
            out.push(Outgoing { to, message });
        }
        if !is_involved {
            return;
        }
        if decider == self.own {
            let decider = self.decider.get_or_insert_with(|| Decider::new(self.phase, now));
            return decider.on_totals(self.own, &totals, now);
        }
        self.asked.get_or_insert((decider, now));
        out.push(Outgoing { to: decider, message: ReleaseMessage::Totals(totals) });
    }

    fn decide(
        &mut self,
        is_first: bool,
        facts: LeafFacts,
        hosts: &LimitHosts,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        if !self.is_open() {
            return;
        }
        let mut all = hosts.alive.clone();
        all.push(self.own);
        let cx = Circumstances {
            phase: self.phase,
            age: self.age(now),
            duration: self.order.duration,
            bounds: &self.bounds,
            has_candidate: facts.has_candidate,
            hosts: &all,
        };
        let Some(decider) = &mut self.decider else { return };
        let decision = decider.decide(&cx, now);
        if let Some(credit) = &mut self.credit {
            credit.set_rate(decider.rate());
        }
        match decision {
            Decision::RollBack(reason) if is_first || reason != Reason::Late => {
                if self.enter(Phase::RolledBack, Some(reason), now) {
                    self.announce(hosts, now, out);
                }
            }
            Decision::Advance(phase) if is_first => {
                if self.enter(phase, None, now) {
                    self.announce(hosts, now, out);
                }
            }
            Decision::Complete if is_first => self.is_complete = true,
            _ => self.repeat_draining(is_first, hosts, now, out),
        }
    }

    /// Tells the hosts of the phase in force: all of them if requests may no longer go to one side,
    /// otherwise those that have sent totals.
    fn announce(&self, hosts: &LimitHosts, now: Instant, out: &mut Vec<Outgoing>) {
        let Some(decider) = &self.decider else { return };
        let verdict = self.verdict(self.phase == Phase::Draining, now);
        let to: IndexSet<Ipv4Addr> = if self.phase >= Phase::Draining {
            hosts.alive.iter().copied().collect()
        } else {
            decider.reporters().collect()
        };
        let to = to.into_iter().filter(|ip| *ip != self.own);
        out.extend(to.map(|to| Outgoing { to, message: verdict.clone() }));
    }

    /// Tells hosts again that have not confirmed that they send nothing to the baseline.
    fn repeat_draining(
        &mut self,
        is_first: bool,
        hosts: &LimitHosts,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(decider) = &self.decider else { return };
        if !is_first || self.phase != Phase::Draining || now < self.next_repeat {
            return;
        }
        self.next_repeat = now + REPEAT_INTERVAL;
        let verdict = self.verdict(true, now);
        let unconfirmed = hosts.alive.iter().filter(|ip| **ip != self.own && !decider.has_drained(**ip));
        out.extend(unconfirmed.map(|to| Outgoing { to: *to, message: verdict.clone() }));
    }

    fn verdict(&self, confirm: bool, now: Instant) -> ReleaseMessage {
        let wish = self.wanted_state().filter(|_| self.writer.is_failing());
        ReleaseMessage::Verdict(Verdict {
            key: self.order.key.clone(),
            age: self.age(now),
            phase: self.phase,
            confirm,
            rate: self.decider.as_ref().map_or(0, Decider::rate),
            wish,
        })
    }

    /// Handles a message about the order.
    pub fn on_message(
        &mut self,
        from: Ipv4Addr,
        message: ReleaseMessage,
        now: Instant,
    ) -> Option<Outgoing> {
        let age = match &message {
            ReleaseMessage::Totals(totals) => totals.age,
            ReleaseMessage::Verdict(verdict) => verdict.age,
        };
        if self.reopened && age > self.age(now) + MAX_AGE_DIFFERENCE {
            return None;
        }
        // A host that learnt of the order late has the age that others know.
        self.began = self.began.min(now - age);
        match message {
            ReleaseMessage::Totals(totals) => {
                if totals.phase == Phase::RolledBack
                    && self.enter(Phase::RolledBack, Some(Reason::OtherHost), now)
                {
                    self.wish = None;
                }
                self.enter(totals.phase, None, now);
                let decider = self.decider.get_or_insert_with(|| Decider::new(self.phase, now));
                decider.on_totals(from, &totals, now);
                self.next_decision = now;
                Some(Outgoing { to: from, message: self.verdict(false, now) })
            }
            ReleaseMessage::Verdict(verdict) => {
                self.asked.take_if(|(host, _)| *host == from);
                let is_rollback = verdict.phase == Phase::RolledBack;
                self.enter(verdict.phase, is_rollback.then_some(Reason::OtherHost), now);
                self.wish = verdict.wish;
                if let Some(credit) = &mut self.credit {
                    credit.set_rate(verdict.rate);
                }
                if verdict.confirm {
                    self.confirm_to = Some(from);
                    self.next_report = self.next_report.min(now);
                }
                None
            }
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

    /// Returns the write of the status that is due on this host. The deciding host writes; if it cannot,
    /// the hosts that it asks do.
    pub fn due_write(&mut self, hosts: &LimitHosts, now: Instant) -> Option<StatusWrite> {
        if !self.writer.is_ready(now) {
            return None;
        }
        let first = self.deciders(hosts, now).first().copied();
        let state = if first == Some(self.own) { self.wanted_state() } else { None };
        let wish = self.wish.filter(|wish| self.order.state != Some(*wish));
        let state = state.or(wish)?;
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
            self.wish = None;
        }
    }
}
