//! Decision on an order from the totals of all hosts.
//!
//! Load: an order of about 12 s at a service with 1 to 400 requests per second, sent by about 18
//! hosts. The canary phase takes most of the time, because versions may turn bad late. The steps
//! after it are short, as a version that turns bad in one of them must stay within the bound on the
//! exposure.

use {
    super::{
        counts::Counts,
        evidence::{Evidence, Finding},
        exposure::CANARY_PERCENT,
        messages::Totals,
        order::{Phase, ReleaseBounds},
    },
    indexmap::IndexMap,
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, Span},
};

/// Length of the first step after the canary phase, in percent of the order's duration. Its
/// requests go to a quarter of the leaves, at least one, which shows a version that is bad under
/// load.
const FIRST_STEP_PERCENT: u64 = 8;
/// Length of the second step.
const STEP_PERCENT: u64 = 4;
/// Shortest step: the hosts' totals arrive every 200 ms.
const MIN_STEP: Span = Span::millis(250);
/// Length of the last step, in percent of the order's duration: two windows of the test for
/// slowness, as a version that is bad only under load shows it here.
const LAST_STEP_PERCENT: u64 = 8;
/// Part of what is left of the bound on the exposure that the last step spends at most.
const LAST_STEP_SPENDS: f64 = 0.95;
/// The same part for the steps before it.
const STEP_SPENDS: f64 = 0.5;
/// Time of the last step that must be affordable after a step with half of the requests; otherwise
/// that step is left out.
const RESERVED_LAST_STEP: Span = Span::millis(750);
/// Part of the order's duration after which hosts that have not confirmed for `UNCONFIRMED_AFTER`
/// are passed over, in percent. A lost host counts as live for 4 s.
const PASS_OVER_PERCENT: u64 = 90;
/// Time since the beginning of the last step after which a host is passed over.
const UNCONFIRMED_AFTER: Span = Span::millis(1_000);
/// Shortest time with all requests at the candidate before the completion.
const MIN_LAST_STEP: Span = Span::millis(600);
/// Part of the order's duration after which steps no longer wait for a number of responses, in
/// percent.
const NEAR_DEADLINE_PERCENT: u64 = 80;
/// Part of the order's duration after which a release that is not in its last phase is rolled back,
/// in percent. The rest is for messages and the write of the status.
const GIVE_UP_PERCENT: u64 = 90;
/// Responses of the candidate that a step needs, unless few requests arrive.
const STEP_RESPONSES: f64 = 6.0;
/// Part of the expected responses that a step needs if few requests arrive.
const STEP_RESPONSE_FRACTION: f64 = 0.4;
/// Part of a test's threshold that its sum may reach for a step.
const MAX_SUM_PART: f64 = 0.5;
/// The same near the deadline, since a release that is not completed in time has failed as well.
const NEAR_DEADLINE_MAX_SUM_PART: f64 = 0.6;
/// Share of slow responses beyond the expected one with which a step does not end. Two of three
/// leaves that pause delay it only.
const DOUBTFUL_SLOW_SHARE: f64 = 0.22;
/// Share of slow responses beyond the expected one that rolls back after `SLOW_STEP_TIME` of a step
/// that uses at least half of the leaves. Where one leaf is used, a single pause looks the same.
const PLAIN_SLOW_SHARE: f64 = 0.35;
/// Time from which the share of a step counts; pauses of leaves are shorter.
const SLOW_STEP_TIME: Span = Span::millis(500);
/// Responses from which the share of a step counts for a rollback.
const MIN_SLOW_STEP_RESPONSES: u32 = 24;
/// Responses from which the share of a step counts for a delay.
const MIN_DOUBTFUL_RESPONSES: u32 = 12;
/// Share of slow responses beyond the expected one that rolls back once a step has spent what was
/// left of the bound on the exposure.
const SPENT_SLOW_SHARE: f64 = 0.3;
/// Part of a test's threshold whose sum rolls back in the same situation.
const SPENT_SUM_PART: f64 = 0.75;
/// Age of an order up to which a host that begins to decide on it is the first one.
const EARLY: Span = Span::secs(2);
/// Time for which a later deciding host collects totals before it decides: the first hosts' totals
/// since the order are not those of the fleet. Each host rolls back by itself meanwhile.
const COLLECTION_TIME: Span = Span::millis(600);
/// Half-life of the measured request rate.
const RATE_HALF_LIFE: Span = Span::secs(1);

/// Reason for a rollback.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// A test found the candidate bad.
    Found(Finding),
    /// Another host rolled back.
    OtherHost,
    /// The release could not be completed in time.
    Late,
    /// A step spent what was left of the bound on the exposure while its responses were doubtful.
    Doubtful,
    /// The order was deleted or replaced while it was open.
    Withdrawn,
    /// The status in the store says so.
    Stored,
}

impl Reason {
    /// Returns the name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Reason::Found(finding) => finding.name(),
            Reason::OtherHost => "other_host",
            Reason::Late => "late",
            Reason::Doubtful => "doubtful",
            Reason::Withdrawn => "withdrawn",
            Reason::Stored => "stored",
        }
    }
}

/// Circumstances of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Circumstances<'a> {
    /// Phase in force.
    pub phase: Phase,
    /// Age of the order.
    pub age: Span,
    /// Time within which the requests are to move.
    pub duration: Span,
    /// Bounds of the settings.
    pub bounds: &'a ReleaseBounds,
    /// Whether the candidate has a leaf that can be used.
    pub has_candidate: bool,
    /// All hosts that are neither lost nor stopping, including this one.
    pub hosts: &'a [Ipv4Addr],
}

/// A decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The phase stays.
    Keep,
    /// The next phase begins.
    Advance(Phase),
    /// The candidate gets no more requests.
    RollBack(Reason),
    /// All hosts have moved, so the order is complete.
    Complete,
}

/// Figures at the beginning of a phase.
#[derive(Clone, Copy, Debug, Default)]
struct Snapshot {
    answered: u32,
    broken: u32,
    judged: u32,
    slow: u32,
}

/// State of the deciding host for one order.
#[derive(Clone, Debug)]
pub struct Decider {
    began: Instant,
    /// Time until the totals of all hosts are there.
    collects_for: Span,
    /// Last totals of each host.
    reports: IndexMap<Ipv4Addr, Totals>,
    evidence: Evidence,
    requests: u64,
    sent: u64,
    phase: Phase,
    phase_began: Instant,
    before_phase: Snapshot,
    rate: f64,
    rate_at: Instant,
    rate_requests: u64,
}

impl Decider {
    /// Creates the state without any totals.
    /// `age` is the age of the order.
    pub fn new(phase: Phase, age: Span, now: Instant) -> Self {
        let is_successor = age > EARLY;
        Self {
            began: now,
            collects_for: if is_successor { COLLECTION_TIME } else { Span::ZERO },
            reports: IndexMap::new(),
            evidence: Evidence::new(now),
            requests: 0,
            sent: 0,
            phase,
            phase_began: now,
            before_phase: Snapshot::default(),
            rate: 0.0,
            rate_at: now,
            rate_requests: 0,
        }
    }

    /// Adds what a host has counted since its last totals.
    pub fn on_totals(&mut self, from: Ipv4Addr, totals: &Totals, now: Instant) {
        let before = self.reports.get(&from);
        if before.is_some_and(|before| totals.serial <= before.serial) {
            return;
        }
        for row in &totals.rows {
            let rows = before.map_or(&[][..], |before| &before.rows);
            let same = rows.iter().find(|old| (old.route, old.side) == (row.route, row.side));
            let new = row.counts.since(&same.map_or_else(Counts::default, |old| old.counts));
            if !new.is_empty() {
                let span = before.map_or(totals.age, |before| totals.age - before.age);
                self.evidence.add(row.route, row.side, &new, span, now);
            }
        }
        // A host that has restarted counts from zero again.
        let increase = |before: u64, now: u64| if now < before { now } else { now - before };
        let (requests, sent) = before.map_or((0, 0), |before| (before.requests, before.sent));
        self.requests += increase(requests, totals.requests);
        self.sent += increase(sent, totals.sent);
        self.reports.insert(from, totals.clone());
    }

    /// Returns the hosts that have sent totals.
    pub fn reporters(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.reports.keys().copied()
    }

    /// Whether a host has confirmed that it sends nothing to baseline leaves.
    pub fn has_drained(&self, host: Ipv4Addr) -> bool {
        let report = self.reports.get(&host);
        report.is_some_and(|report| report.phase == Phase::Draining && report.drained)
    }

    /// Returns the requests per second for the service; zero if not known.
    pub fn rate(&self) -> u32 {
        self.rate.round() as u32
    }

    /// Returns the evidence.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Returns the number of requests for the service and that of attempts at the candidate.
    pub fn exposure(&self) -> (u64, u64) {
        (self.requests, self.sent)
    }

    /// Decides whether the next phase begins.
    pub fn decide(&mut self, cx: &Circumstances<'_>, now: Instant) -> Decision {
        self.measure_rate(now);
        if cx.phase != self.phase {
            self.enter(cx.phase, now);
        }
        if now.since(self.began) < self.collects_for {
            return Decision::Keep;
        }
        if cx.phase == Phase::RolledBack {
            return Decision::Keep;
        }
        if let Some(finding) = self.evidence.finding(now) {
            return Decision::RollBack(Reason::Found(finding));
        }
        if self.is_slow_step(cx, now) {
            return Decision::RollBack(Reason::Found(Finding::Slow));
        }
        let is_late = cx.age >= cx.duration.percent(GIVE_UP_PERCENT);
        let has_lost_candidate = !cx.has_candidate && cx.age >= cx.duration;
        if (is_late && cx.phase < Phase::Draining) || has_lost_candidate {
            return Decision::RollBack(Reason::Late);
        }
        if self.is_bound_spent_in_doubt(cx) {
            return Decision::RollBack(Reason::Doubtful);
        }
        if cx.phase == Phase::Draining {
            let held = now.since(self.phase_began) >= self.step_time(cx);
            let is_ready =
                held && cx.has_candidate && self.looks_healthy(cx) && self.is_drained(cx, now);
            return if is_ready { Decision::Complete } else { Decision::Keep };
        }
        match self.next_phase(cx) {
            Some(next) if self.may_advance(cx, now) => {
                self.enter(next, now);
                Decision::Advance(next)
            }
            _ => Decision::Keep,
        }
    }

    fn enter(&mut self, phase: Phase, now: Instant) {
        self.phase = phase;
        self.phase_began = now;
        let counts = self.evidence.candidate();
        self.before_phase = Snapshot {
            answered: counts.answered,
            broken: counts.broken,
            judged: counts.judged(),
            slow: self.evidence.slow_counts().0,
        };
    }

    fn measure_rate(&mut self, now: Instant) {
        let passed = now.since(self.rate_at);
        if passed < MIN_STEP {
            return;
        }
        let current = (self.requests - self.rate_requests) as f64 / (passed.0 as f64 / 1e6);
        let kept = 0.5_f64.powf(passed.0 as f64 / RATE_HALF_LIFE.0 as f64);
        self.rate = self.rate * kept + current * (1.0 - kept);
        (self.rate_at, self.rate_requests) = (now, self.requests);
    }

    /// Returns the number of requests that the candidate may still get within the bound.
    fn left(&self, cx: &Circumstances<'_>) -> f64 {
        let bound = cx.bounds.exposure_share * self.requests as f64 + cx.bounds.exposure_slack;
        (bound - self.sent as f64).max(0.0)
    }

    /// Returns the time that the phase in force takes. A step spends only a part of what is left of
    /// the bound on the exposure when it begins, as far as hosts can be told in time.
    fn step_time(&self, cx: &Circumstances<'_>) -> Span {
        let (shortest, percent, spends) = match cx.phase {
            Phase::Draining => (MIN_LAST_STEP, LAST_STEP_PERCENT, LAST_STEP_SPENDS),
            Phase::Quarter => (MIN_STEP, FIRST_STEP_PERCENT, STEP_SPENDS),
            _ => (MIN_STEP, STEP_PERCENT, STEP_SPENDS),
        };
        let usual = cx.duration.percent(percent).max(shortest);
        let per_second = self.rate * cx.phase.share().unwrap_or(0.0);
        let affordable = Span((self.left(cx) * spends / per_second.max(0.01) * 1e6) as u64);
        affordable.min(usual).max(shortest)
    }

    /// Returns the phase after the one in force. The step with half of the requests is left out if
    /// the last step could not be afforded after it.
    fn next_phase(&self, cx: &Circumstances<'_>) -> Option<Phase> {
        let next = cx.phase.next()?;
        let seconds = |span: Span| span.0 as f64 / 1e6;
        let cost = self.rate * (seconds(MIN_STEP) / 2.0 + seconds(RESERVED_LAST_STEP));
        if next == Phase::Half && self.left(cx) < cost { next.next() } else { Some(next) }
    }

    fn may_advance(&self, cx: &Circumstances<'_>, now: Instant) -> bool {
        if !cx.has_candidate || !self.looks_healthy(cx) {
            return false;
        }
        let is_due = match cx.phase {
            Phase::Canary => cx.age >= cx.duration.percent(CANARY_PERCENT),
            _ => now.since(self.phase_began) >= self.step_time(cx),
        };
        let counts = self.evidence.candidate();
        let answered = counts.answered - self.before_phase.answered;
        let broken = counts.broken - self.before_phase.broken;
        // Broken connections delay the release and do not end it.
        let is_doubtful = broken > 0 && broken >= answered;
        is_due
            && !is_doubtful
            && (self.is_near_deadline(cx) || self.has_responses(cx, answered, now))
    }

    /// Returns the share of slow responses in the step in force beyond the expected one, if the
    /// step has at least so many responses.
    fn excess_slow_share(&self, min_responses: u32) -> Option<f64> {
        let judged = self.evidence.candidate().judged() - self.before_phase.judged;
        let slow = self.evidence.slow_counts().0 - self.before_phase.slow;
        let share = f64::from(slow) / f64::from(judged.max(1));
        (judged >= min_responses).then(|| share - self.evidence.expected_slow_share())
    }

    fn is_bound_spent_in_doubt(&self, cx: &Circumstances<'_>) -> bool {
        let excess = self.excess_slow_share(MIN_DOUBTFUL_RESPONSES);
        let is_slow = excess.is_some_and(|excess| excess >= SPENT_SLOW_SHARE);
        cx.phase > Phase::Canary
            && self.left(cx) < 1.0
            && (is_slow || !self.evidence.is_below(SPENT_SUM_PART))
    }

    fn is_slow_step(&self, cx: &Circumstances<'_>, now: Instant) -> bool {
        let is_long = now.since(self.phase_began) >= SLOW_STEP_TIME;
        let excess = self.excess_slow_share(MIN_SLOW_STEP_RESPONSES);
        cx.phase > Phase::Quarter
            && is_long
            && excess.is_some_and(|excess| excess >= PLAIN_SLOW_SHARE)
    }

    /// Whether neither the share of slow responses in the step nor the sums of the tests delay the
    /// release.
    fn looks_healthy(&self, cx: &Circumstances<'_>) -> bool {
        let excess = self.excess_slow_share(MIN_DOUBTFUL_RESPONSES);
        if cx.phase > Phase::Canary && excess.is_some_and(|excess| excess >= DOUBTFUL_SLOW_SHARE) {
            return false;
        }
        let is_near_deadline = self.is_near_deadline(cx);
        let part = if is_near_deadline { NEAR_DEADLINE_MAX_SUM_PART } else { MAX_SUM_PART };
        self.evidence.is_below(part)
    }

    fn is_near_deadline(&self, cx: &Circumstances<'_>) -> bool {
        cx.age >= cx.duration.percent(NEAR_DEADLINE_PERCENT)
    }

    fn has_responses(&self, cx: &Circumstances<'_>, answered: u32, now: Instant) -> bool {
        let time = match cx.phase {
            Phase::Canary => cx.age,
            _ => now.since(self.phase_began),
        };
        let canary = cx.bounds.exposure_share / 3.0;
        let share = cx.phase.share().unwrap_or(canary);
        let expected = self.rate * share * time.0 as f64 / 1e6;
        f64::from(answered) >= (expected * STEP_RESPONSE_FRACTION).floor().min(STEP_RESPONSES)
    }

    /// Whether no live host sends to baseline leaves any more, and none has a request in flight
    /// there.
    fn is_drained(&self, cx: &Circumstances<'_>, now: Instant) -> bool {
        let passes_over = cx.age >= cx.duration.percent(PASS_OVER_PERCENT)
            && now.since(self.phase_began) >= UNCONFIRMED_AFTER;
        let is_silent = |host: &Ipv4Addr| {
            let report = self.reports.get(host);
            report.is_none_or(|report| report.phase < Phase::Draining)
        };
        let mut hosts = cx.hosts.iter();
        hosts.all(|host| self.has_drained(*host) || (passes_over && is_silent(host)))
    }
}
