//! Leaving, return, handover and reports of an upstream.

use {
    super::{
        handover::{CrashSuspect, HandoverState, UpstreamReport},
        types::{Effect, IDLE_TIMEOUT, LeafState, RETURN_PROBE_INTERVAL},
        upstream::{Lifecycle, Upstream},
    },
    wigeonramp_config::LeafLimits,
    wigeonramp_units::{Fingerprint, Instant},
};

impl Upstream {
    /// Stops accepting requests. `next_action` drops the queued jobs.
    pub fn leave(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.lifecycle = match self.lifecycle {
            Lifecycle::Active | Lifecycle::Leaving => Lifecycle::Leaving,
            Lifecycle::Gone(_) => Lifecycle::Gone(None),
        };
        self.leave_announced = false;
        self.finish_leaving(now, &mut effects);
        self.with_state_change(effects)
    }

    /// Accepts requests again. The leaf starts cold.
    pub fn rejoin(&mut self, now: Instant) -> Vec<Effect> {
        self.lifecycle = Lifecycle::Active;
        self.leave_announced = false;
        self.boot = None;
        self.boot_confirmed = false;
        self.overdue_check = None;
        self.ramp.go_cold(now);
        self.last_active = now;
        self.with_state_change(Vec::new())
    }

    /// Marks a leaving leaf as gone once no request is in flight, and closes its connections.
    pub(super) fn finish_leaving(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.lifecycle != Lifecycle::Leaving || !self.running.is_empty() {
            return;
        }
        self.lifecycle = Lifecycle::Gone(self.leave_announced.then(|| now + RETURN_PROBE_INTERVAL));
        for connection in self.connections.close_idle(None) {
            effects.push(Effect::Close { connection, job: None });
        }
    }

    /// Returns whether no job is queued or running, so that the leaf can be handed over.
    pub fn is_drained(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Returns the state for the next holder.
    pub fn handover_state(&mut self, now: Instant) -> HandoverState {
        self.advance(now);
        let suspect = |(fingerprint, (alone, at)): (&Fingerprint, &(bool, Instant))| CrashSuspect {
            fingerprint: *fingerprint,
            alone: *alone,
            age: now.since(*at),
        };
        HandoverState {
            allowance: self.ramp.allowance(now),
            boot: self.boot.clone(),
            service_time: self.service_time,
            recent_sends: self.ramp.sends_last_second(now),
            idle: now.since(self.last_active),
            suspects: self.crash_suspects.iter().map(suspect).collect(),
        }
    }

    /// Restores the state from the previous holder. The allowance applies once a response has
    /// contained the same boot id.
    pub fn restore_handover(&mut self, state: HandoverState, now: Instant) -> Vec<Effect> {
        if state.boot.is_some() && state.idle <= IDLE_TIMEOUT {
            self.ramp.restore(state.allowance, now);
        }
        self.ramp.record_handed_over_sends(state.recent_sends, now);
        self.boot = state.boot;
        self.boot_confirmed = false;
        self.service_time = state.service_time;
        self.last_active = now - state.idle;
        for suspect in state.suspects {
            self.crash_suspects.insert(suspect.fingerprint, (suspect.alone, now - suspect.age));
        }
        self.with_state_change(Vec::new())
    }

    /// Returns the current state.
    pub fn state(&self) -> LeafState {
        match self.lifecycle {
            Lifecycle::Leaving => return LeafState::Leaving,
            Lifecycle::Gone(_) => return LeafState::Gone,
            Lifecycle::Active => {}
        }
        if self.overdue_check.is_some() {
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

    /// Adds an effect if the state has changed since the last one.
    pub(super) fn with_state_change(&mut self, mut effects: Vec<Effect>) -> Vec<Effect> {
        let state = self.state();
        if state != self.reported_state {
            self.reported_state = state;
            effects.push(Effect::State(state));
        }
        effects
    }

    /// Returns the report on the leaf for entry hosts and metrics.
    pub fn report(&mut self, now: Instant) -> UpstreamReport {
        self.advance(now);
        UpstreamReport {
            state: self.state(),
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            allowance: self.ramp.allowance(now),
            connections: self.connections.count() as u32,
            service_time: self.service_time,
            boot: self.boot.clone(),
        }
    }

    /// Returns the declared limits of the leaf.
    pub fn limits(&self) -> &LeafLimits {
        &self.limits
    }
}
