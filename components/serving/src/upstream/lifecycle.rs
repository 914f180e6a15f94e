//! Leaving, return, hand-over and reports of an upstream.

use {
    super::{
        handover::{CrashSuspect, HandoverState, UpstreamReport},
        limits::{Effect, GONE_PROBE, IDLE_COLD, LeafState},
        upstream::{Presence, Upstream},
    },
    wigeonramp_config::LeafLimits,
    wigeonramp_units::{Fingerprint, Instant},
};

impl Upstream {
    /// Stops new work; queued jobs are dropped by `next`.
    pub fn leave(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.presence = match self.presence {
            Presence::Here | Presence::Leaving => Presence::Leaving,
            Presence::Gone(_) => Presence::Gone(None),
        };
        self.announced = false;
        self.finish_leaving(now, &mut effects);
        self.state_change(effects)
    }

    /// The leaf takes work again; it starts cold.
    pub fn rejoin(&mut self, now: Instant) -> Vec<Effect> {
        self.presence = Presence::Here;
        self.announced = false;
        self.boot = None;
        self.boot_confirmed = false;
        self.doubt = None;
        self.ramp.go_cold(now);
        self.last_active = now;
        self.state_change(Vec::new())
    }

    pub(super) fn finish_leaving(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.presence != Presence::Leaving || !self.running.is_empty() {
            return;
        }
        self.presence = Presence::Gone(self.announced.then(|| now + GONE_PROBE));
        for connection in self.connections.close_idle(None) {
            effects.push(Effect::Close { connection, job: None });
        }
    }

    /// Whether no job is queued or at the leaf, so that it can be handed over.
    pub fn is_drained(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// The state for the next holder.
    pub fn handover_state(&mut self, now: Instant) -> HandoverState {
        self.age(now);
        let suspect = |(fingerprint, (alone, at)): (&Fingerprint, &(bool, Instant))| CrashSuspect {
            fingerprint: *fingerprint,
            alone: *alone,
            age: now.since(*at),
        };
        HandoverState {
            allowance: self.ramp.allowance(now),
            boot: self.boot.clone(),
            service_time: self.service,
            recent_sends: self.ramp.spent_last_second(now),
            idle: now.since(self.last_active),
            suspects: self.suspects.iter().map(suspect).collect(),
        }
    }

    /// Takes over the state of the last holder. The allowance counts once an answer has named the
    /// same boot.
    pub fn restore_handover(&mut self, state: HandoverState, now: Instant) -> Vec<Effect> {
        if state.boot.is_some() && state.idle <= IDLE_COLD {
            self.ramp.restore(state.allowance, now);
        }
        self.ramp.spent_elsewhere(state.recent_sends, now);
        self.boot = state.boot;
        self.boot_confirmed = false;
        self.service = state.service_time;
        self.last_active = now - state.idle;
        for suspect in state.suspects {
            self.suspects.insert(suspect.fingerprint, (suspect.alone, now - suspect.age));
        }
        self.state_change(Vec::new())
    }

    /// The present state.
    pub fn state(&self) -> LeafState {
        match self.presence {
            Presence::Leaving => return LeafState::Leaving,
            Presence::Gone(_) => return LeafState::Gone,
            Presence::Here => {}
        }
        if self.doubt.is_some() {
            return LeafState::Suspect;
        }
        if self.ramp.is_cold() {
            return LeafState::Cold;
        }
        if self.ramp.is_warm() && self.boot_confirmed {
            LeafState::Warm
        } else {
            LeafState::Ramping
        }
    }

    pub(super) fn state_change(&mut self, mut effects: Vec<Effect>) -> Vec<Effect> {
        let state = self.state();
        if state != self.last_state {
            self.last_state = state;
            effects.push(Effect::State(state));
        }
        effects
    }

    /// The condition of the leaf, for entry hosts and metrics.
    pub fn report(&mut self, now: Instant) -> UpstreamReport {
        self.age(now);
        UpstreamReport {
            state: self.state(),
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            allowance: self.ramp.allowance(now),
            connections: self.connections.count() as u32,
            service_time: self.service,
            boot: self.boot.clone(),
        }
    }

    /// What the leaf was declared to bear.
    pub fn limits(&self) -> &LeafLimits {
        &self.limits
    }
}
