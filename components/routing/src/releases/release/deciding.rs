//! Totals to the deciding host, its decisions, and the verdicts that it sends.

use {
    super::{
        DECISION_INTERVAL, FAST_REPORT_INTERVAL, LeafFacts, MAX_AGE_DIFFERENCE, REPEAT_INTERVAL,
        REPORT_INTERVAL, Release, SILENT_AFTER, SILENT_RETENTION,
    },
    crate::{
        limits::LimitHosts,
        releases::{
            decider::{Circumstances, Decider, Decision, Reason},
            messages::{Outgoing, ReleaseMessage, Totals, Verdict},
            order::Phase,
        },
    },
    indexmap::IndexSet,
    std::net::Ipv4Addr,
    wigeonramp_units::Instant,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

impl Release {
    /// Returns the hosts that may decide, in their order, without those that do not respond.
    pub(super) fn deciders(&self, hosts: &LimitHosts, now: Instant) -> Vec<Ipv4Addr> {
        let is_silent = |ip: &Ipv4Addr| self.silent.get(ip).is_some_and(|until| now < *until);
        let service = self.order.key.service.as_str().as_bytes();
        let rank = |ip: &Ipv4Addr| xxh3_64_with_seed(service, u64::from(ip.to_bits()));
        let mut all: Vec<Ipv4Addr> =
            hosts.candidates.iter().copied().filter(|ip| !is_silent(ip)).collect();
        all.sort_by_key(|ip| std::cmp::Reverse(rank(ip)));
        all
    }

    /// Returns the time at which `poll` is to be called next; none if the order is settled in the
    /// store.
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
        let is_involved = hosts.candidates.contains(&self.own) || self.counting.requests > 0;
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
            let (phase, age) = (self.phase, self.age(now));
            let decider = self.decider.get_or_insert_with(|| Decider::new(phase, age, now));
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
    /// otherwise those that have sent totals or may decide.
    fn announce(&self, hosts: &LimitHosts, now: Instant, out: &mut Vec<Outgoing>) {
        let Some(decider) = &self.decider else { return };
        let verdict = self.verdict(self.phase == Phase::Draining, now);
        let to: IndexSet<Ipv4Addr> = if self.phase >= Phase::Draining {
            hosts.alive.iter().copied().collect()
        } else {
            // A deciding host that others pass over must hear of the phase as well.
            decider.reporters().chain(hosts.candidates.iter().copied()).collect()
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
        let unconfirmed =
            hosts.alive.iter().filter(|ip| **ip != self.own && !decider.has_drained(**ip));
        out.extend(unconfirmed.map(|to| Outgoing { to: *to, message: verdict.clone() }));
    }

    fn verdict(&self, confirm: bool, now: Instant) -> ReleaseMessage {
        let requested_state = self.wanted_state().filter(|_| self.writer.is_failing());
        ReleaseMessage::Verdict(Verdict {
            key: self.order.key.clone(),
            age: self.age(now),
            phase: self.phase,
            confirm,
            rate: self.decider.as_ref().map_or(0, Decider::rate),
            requested_state,
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
        self.silent.shift_remove(&from);
        // A host that learnt of the order late has the age that others know.
        self.began = self.began.min(now - age);
        match message {
            ReleaseMessage::Totals(totals) => {
                if totals.phase == Phase::RolledBack
                    && self.enter(Phase::RolledBack, Some(Reason::OtherHost), now)
                {
                    self.requested_state = None;
                }
                self.enter(totals.phase, None, now);
                let (phase, age) = (self.phase, self.age(now));
                let decider = self.decider.get_or_insert_with(|| Decider::new(phase, age, now));
                decider.on_totals(from, &totals, now);
                self.next_decision = now;
                Some(Outgoing { to: from, message: self.verdict(false, now) })
            }
            ReleaseMessage::Verdict(verdict) => {
                self.asked.take_if(|(host, _)| *host == from);
                let is_rollback = verdict.phase == Phase::RolledBack;
                self.enter(verdict.phase, is_rollback.then_some(Reason::OtherHost), now);
                self.requested_state = verdict.requested_state;
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
}
