//! Adopting documents, from wherever they come.

use {
    crate::{
        clock,
        control::{shared_state::SharedState, transitional::TransitionalSpan},
    },
    std::sync::Arc,
    wigeonramp_config::{AdminState, Document},
    wigeonramp_control::{
        adoption::{AdoptionConflict, DocumentSource, OfferOutcome},
        assignment::Assignment,
        plan::document_digest,
    },
    wigeonramp_telemetry::timeline::{EventKind, NewEvent},
    wigeonramp_units::{ConfigVersion, Digest},
};

const CONFIG: &str = "configuration";
const ASSIGNMENT: &str = "assignment";

impl SharedState {
    /// Offers a configuration; a document that breaks a rule is logged and refused.
    pub fn offer_document(&self, document: Document, source: DocumentSource) {
        if let Err(problem) = document.check() {
            log::error!("configuration {} refused: {problem}", document.version);
            return;
        }
        let (digest, document) = (document_digest(&document), Arc::new(document));
        let now = clock::now();
        let (offered, before) = {
            let mut state = self.lock();
            let offered = state.configs.offer(document.version, digest, source);
            let before = Arc::clone(&state.document);
            if offered == OfferOutcome::Adopt {
                let limits = &document.limits;
                match before.version {
                    ConfigVersion(0) => {
                        state.session_time = TransitionalSpan::new(limits.session_time);
                        state.retention = TransitionalSpan::new(limits.claim_retention);
                    }
                    _ => {
                        state.session_time.change(limits.session_time, now);
                        state.retention.change(limits.claim_retention, now);
                    }
                }
                let time = state.session_time.lower_bound(now);
                state.rights.session.set_session_time(time);
                state.rights.set_stale_after(limits.stale_after);
                state.document = Arc::clone(&document);
            }
            (offered, before)
        };
        match offered {
            OfferOutcome::Adopt => self.document_adopted(&before, &document, source),
            OfferOutcome::Conflict(conflict) => {
                self.conflict(CONFIG, document.version.get(), &conflict)
            }
            OfferOutcome::Older | OfferOutcome::Same => (),
        }
    }

    fn document_adopted(&self, before: &Document, document: &Document, source: DocumentSource) {
        let version = document.version;
        log::info!("configuration {version} adopted from {}", name(source));
        self.metrics().config_version.set(version.get() as i64);
        let entry = NewEvent::now(EventKind::ConfigAdopted).config_version(version);
        self.record(entry.field("source", name(source)).field("op", &document.op));
        let own_zone = self.lock().identity.zone.clone();
        if !document.zones.contains_key(&own_zone) {
            log::warn!("zone {own_zone} of this host is not declared; it is given no leaves");
        }
        for (id, zone) in &document.zones {
            if before.zones.get(id).is_some_and(|old| old.state == zone.state) {
                continue;
            }
            let state = if zone.state == AdminState::In { "in" } else { "out" };
            let entry = NewEvent::now(EventKind::ZoneState).config_version(version);
            self.record(entry.field("zone", id).field("state", state));
        }
        self.wakers().renew.wake();
        self.wake_after_adoption();
    }

    /// Offers an assignment.
    pub fn offer_assignment(&self, assignment: Assignment, source: DocumentSource) {
        // An assignment has only text keys and plain values, so it always serializes.
        let digest = Digest::of(&serde_json::to_vec(&assignment).unwrap_or_default());
        let (version, assignment) = (assignment.version, Arc::new(assignment));
        let offered = {
            let mut state = self.lock();
            let offered = state.assignments.offer(version, digest, source);
            if offered == OfferOutcome::Adopt {
                state.assignment = Some(Arc::clone(&assignment));
            }
            offered
        };
        match offered {
            OfferOutcome::Adopt => {
                self.metrics().assignment_version.set(version.0 as i64);
                let entry = NewEvent::now(EventKind::AssignmentAdopted);
                self.record(entry.field("version", version).field("source", name(source)));
                self.wake_after_adoption();
            }
            OfferOutcome::Conflict(conflict) => self.conflict(ASSIGNMENT, version.0, &conflict),
            OfferOutcome::Older | OfferOutcome::Same => (),
        }
    }

    fn wake_after_adoption(&self) {
        self.notify_hosts_changed();
        let wakers = self.wakers();
        [&wakers.apply, &wakers.gossip, &wakers.release, &wakers.assign, &wakers.promises]
            .iter()
            .for_each(|waker| waker.wake());
    }

    fn conflict(&self, document: &str, version: u64, conflict: &AdoptionConflict) {
        let AdoptionConflict { adopted, offered, source } = conflict;
        let source = name(*source);
        log::error!(
            "{document} {version}: {source} offers {offered}, but {adopted} was adopted; refused"
        );
        let entry = NewEvent::now(EventKind::VersionConflict).field("document", document);
        let entry = entry.field("version", version).field("adopted", adopted);
        self.record(entry.field("offered", offered).field("source", source));
    }
}

fn name(source: DocumentSource) -> &'static str {
    match source {
        DocumentSource::Watch => "watch",
        DocumentSource::Read => "store",
        DocumentSource::Peer => "peer",
    }
}
