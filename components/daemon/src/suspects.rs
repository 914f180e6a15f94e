//! Requests suspected of crashing leaves. The entry and the held leaves of a host share this state.

use {
    parking_lot::{Mutex, RwLock},
    wigeonramp_serving::{
        quarantine::{Quarantine, SharedSuspect, Verdict},
        query::{KnownFingerprints, Trust},
    },
    wigeonramp_units::{Fingerprint, Instant, LeafId, Span},
};

/// Time for which a request that succeeded runs without a canary.
const KNOWN_TIME: Span = Span::secs(600);
/// Maximum number of successful requests that are remembered.
const KNOWN_CAPACITY: usize = 65_536;
/// Duration of the quarantine until a configuration has been adopted.
const DEFAULT_QUARANTINE_TIME: Span = Span::secs(600);

/// Fingerprints of suspected requests and of recently successful ones, as known to one host.
#[derive(Debug)]
pub struct Suspects {
    known: Mutex<KnownFingerprints>,
    quarantine: RwLock<Quarantine>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            known: Mutex::new(KnownFingerprints::new(KNOWN_TIME, KNOWN_CAPACITY)),
            quarantine: RwLock::new(Quarantine::new(DEFAULT_QUARANTINE_TIME)),
        }
    }
}

impl Suspects {
    /// Returns whether and how the request may run.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        self.quarantine.read().verdict(fingerprint, now)
    }

    /// Returns how far a request is trusted; `None` if it is quarantined and must not run.
    pub fn trust(&self, fingerprint: Fingerprint, now: Instant) -> Option<Trust> {
        match self.verdict(fingerprint, now) {
            Verdict::Quarantined => None,
            Verdict::Alone => Some(Trust::Suspected),
            Verdict::Clear if self.known.lock().is_known(fingerprint, now) => Some(Trust::Known),
            Verdict::Clear => Some(Trust::Unseen),
        }
    }

    /// Records that the leaf reset its connection while it ran the request; `alone` tells whether
    /// no other request ran there. Returns the new verdict.
    pub fn record_reset(
        &self,
        fingerprint: Fingerprint,
        leaf: &LeafId,
        alone: bool,
        now: Instant,
    ) -> Verdict {
        self.known.lock().remove(fingerprint);
        let mut quarantine = self.quarantine.write();
        quarantine.record_reset(fingerprint, leaf.clone(), alone, now);
        quarantine.verdict(fingerprint, now)
    }

    /// Records that the request succeeded at a leaf. Returns whether this cleared a suspect.
    pub fn record_leaf_success(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        // Most requests are not suspected; for these a shared lock is enough.
        if self.verdict(fingerprint, now) == Verdict::Clear {
            return false;
        }
        self.quarantine.write().record_success(fingerprint, now)
    }

    /// Records that a query returned rows and no leaf reset, which makes the request known.
    pub fn record_query_success(&self, fingerprint: Fingerprint, now: Instant) {
        self.known.lock().record_success(fingerprint, now);
    }

    /// Returns the suspects to send with a heartbeat.
    pub fn export(&self, now: Instant) -> Vec<SharedSuspect> {
        self.quarantine.write().export(now)
    }

    /// Merges the suspects of a received heartbeat.
    pub fn merge(&self, suspects: &[SharedSuspect], now: Instant) {
        self.quarantine.write().merge(suspects, now);
    }

    /// Changes the duration of the quarantine; current suspects stay.
    pub fn set_quarantine_time(&self, time: Span, now: Instant) {
        let mut quarantine = self.quarantine.write();
        let mut changed = Quarantine::new(time);
        changed.merge(&quarantine.export(now), now);
        *quarantine = changed;
    }
}
