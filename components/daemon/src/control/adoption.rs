//! Adoption of configurations and assignments from the store and from peers.

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
    /// Offers a configuration for adoption. An invalid document is logged and refused.
    pub fn offer_document(&self, document: Document, source: DocumentSource) {
        if let Err(err) = document.check() {
            log::error!("configuration {} refused: {err}", document.version);
            return;
        }
        let (digest, document) = (document_digest(&document), Arc::new(document));
        let now = clock::now();
        let (outcome, previous) = {
            let mut state = self.lock();
            let outcome = state.config_adoption.offer(document.version, digest, source);
            let previous = Arc::clone(&state.document);
            if outcome == OfferOutcome::Adopt {
                let limits = &document.limits;
                match previous.version {
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
            (outcome, previous)
        };
        match outcome {
            OfferOutcome::Adopt => self.document_adopted(&previous, &document, source),
            OfferOutcome::Conflict(conflict) => {
                self.record_conflict(CONFIG, document.version.get(), &conflict)
            }
            OfferOutcome::Older | OfferOutcome::Same => (),
        }
    }

    fn document_adopted(&self, previous: &Document, document: &Document, source: DocumentSource) {
        let version = document.version;
        log::info!("configuration {version} adopted from {}", source_name(source));
        self.metrics().config_version.set(version.get() as i64);
        let event = NewEvent::now(EventKind::ConfigAdopted).config_version(version);
        self.record(event.field("source", source_name(source)).field("op", &document.op));
        let own_zone = self.lock().identity.zone.clone();
        if !document.zones.contains_key(&own_zone) {
            log::warn!("zone {own_zone} of this host is not declared; the host gets no leaves");
        }
        for (id, zone) in &document.zones {
            if previous.zones.get(id).is_some_and(|old| old.state == zone.state) {
                continue;
            }
            let state = if zone.state == AdminState::In { "in" } else { "out" };
            let event = NewEvent::now(EventKind::ZoneState).config_version(version);
            self.record(event.field("zone", id).field("state", state));
        }
        self.wakers().renew.wake();
        self.wake_after_adoption();
    }

    /// Offers an assignment for adoption.
    pub fn offer_assignment(&self, assignment: Assignment, source: DocumentSource) {
        // Serialization cannot fail: an assignment has only string keys and plain values.
        let digest = Digest::of(&serde_json::to_vec(&assignment).unwrap_or_default());
        let (version, assignment) = (assignment.version, Arc::new(assignment));
        let outcome = {
            let mut state = self.lock();
            let outcome = state.assignment_adoption.offer(version, digest, source);
            if outcome == OfferOutcome::Adopt {
                state.assignment = Some(Arc::clone(&assignment));
            }
            outcome
        };
        match outcome {
            OfferOutcome::Adopt => {
                self.metrics().assignment_version.set(version.0 as i64);
                let event = NewEvent::now(EventKind::AssignmentAdopted);
                self.record(event.field("version", version).field("source", source_name(source)));
                self.wake_after_adoption();
            }
            OfferOutcome::Conflict(conflict) => {
                self.record_conflict(ASSIGNMENT, version.0, &conflict)
            }
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

    fn record_conflict(&self, document: &str, version: u64, conflict: &AdoptionConflict) {
        let AdoptionConflict { adopted, offered, source } = conflict;
        let source = source_name(*source);
        log::error!(
            "{document} {version}: {source} offers {offered}, but {adopted} was adopted; refused"
        );
        let event = NewEvent::now(EventKind::VersionConflict).field("document", document);
        let event = event.field("version", version).field("adopted", adopted);
        self.record(event.field("offered", offered).field("source", source));
    }
}

fn source_name(source: DocumentSource) -> &'static str {
    match source {
        DocumentSource::Watch => "watch",
        DocumentSource::Read => "store",
        DocumentSource::Peer => "peer",
    }
}
