//! Requests that may crash leaves, as entry and holders of this host share them.

use {
    parking_lot::{Mutex, RwLock},
    wigeonramp_serving::{
        quarantine::{Quarantine, SharedSuspect, Verdict},
        query::{KnownFingerprints, Trust},
    },
    wigeonramp_units::{Fingerprint, Instant, LeafId, Span},
};

/// How long a success spares a request its canary.
const KNOWN_TIME: Span = Span::secs(600);
/// Successful requests that are remembered.
const KNOWN_CAP: usize = 65_536;
/// Length of the quarantine until a configuration says otherwise.
const QUARANTINE_TIME: Span = Span::secs(600);

/// Suspected and trusted requests of one host.
#[derive(Debug)]
pub struct Suspects {
    known: Mutex<KnownFingerprints>,
    quarantine: RwLock<Quarantine>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            known: Mutex::new(KnownFingerprints::new(KNOWN_TIME, KNOWN_CAP)),
            quarantine: RwLock::new(Quarantine::new(QUARANTINE_TIME)),
        }
    }
}

impl Suspects {
    /// How the request may run.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        self.quarantine.read().verdict(fingerprint, now)
    }

    /// What is known of a request; `None` when it must not run.
    pub fn trust(&self, fingerprint: Fingerprint, now: Instant) -> Option<Trust> {
        match self.verdict(fingerprint, now) {
            Verdict::Quarantined => None,
            Verdict::Alone => Some(Trust::Suspect),
            Verdict::Clear if self.known.lock().is_known(fingerprint, now) => Some(Trust::Known),
            Verdict::Clear => Some(Trust::Unseen),
        }
    }

    /// The leaf reset while the request ran; returns the new verdict.
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

    /// The request succeeded at a leaf; returns whether it was a suspect.
    pub fn record_leaf_success(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        // Most requests are no suspects; they share the lock.
        if self.verdict(fingerprint, now) == Verdict::Clear {
            return false;
        }
        self.quarantine.write().record_success(fingerprint, now)
    }

    /// The whole query succeeded.
    pub fn record_query_success(&self, fingerprint: Fingerprint, now: Instant) {
        self.known.lock().record_success(fingerprint, now);
    }

    /// Entries for a heartbeat.
    pub fn export(&self, now: Instant) -> Vec<SharedSuspect> {
        self.quarantine.write().export(now)
    }

    /// Takes in the entries of a heartbeat.
    pub fn merge(&self, suspects: &[SharedSuspect], now: Instant) {
        self.quarantine.write().merge(suspects, now);
    }

    /// Changes the length of the quarantine; present entries stay.
    pub fn set_quarantine_time(&self, time: Span, now: Instant) {
        let mut quarantine = self.quarantine.write();
        let mut changed = Quarantine::new(time);
        changed.merge(&quarantine.export(now), now);
        *quarantine = changed;
    }
}
