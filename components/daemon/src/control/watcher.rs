//! Follows one document in the store.

use {
    crate::{
        clock,
        control::{
            platform::{CallKind, Platform},
            shared_state::SharedState,
        },
    },
    serde::de::DeserializeOwned,
    std::sync::Arc,
    wigeonramp_control::{
        adoption::DocumentSource,
        assignment::{ASSIGNMENT_KEY, Assignment},
        backoff::Backoff,
        call_budget::WATCH_WAIT,
    },
    wigeonramp_store::{Change, ObjectStore, ReadOutcome, StoreError},
    wigeonramp_units::{Revision, Span},
};

/// Key of the configuration.
pub const CONFIG_KEY: &str = "config/current";
/// Pause after an answer, so that a store whose watches do not wait is not flooded.
const SHORTEST_PAUSE: Span = Span::millis(20);

/// A document that is followed.
pub trait FollowedDocument: DeserializeOwned + Send + 'static {
    /// Its key in the store.
    const KEY: &'static str;

    /// Offers it for adoption.
    fn offer(self, shared: &SharedState, source: DocumentSource);
}

impl FollowedDocument for wigeonramp_config::Document {
    const KEY: &'static str = CONFIG_KEY;

    fn offer(self, shared: &SharedState, source: DocumentSource) {
        shared.offer_document(self, source);
    }
}

impl FollowedDocument for Assignment {
    const KEY: &'static str = ASSIGNMENT_KEY;

    fn offer(self, shared: &SharedState, source: DocumentSource) {
        shared.offer_assignment(self, source);
    }
}

/// Follows `T` until the host stops. The thread is not joined: a long poll may outlast the host.
pub fn run<T: FollowedDocument>(shared: &SharedState, platform: &Arc<Platform<impl ObjectStore>>) {
    let mut backoff = Backoff::default();
    // None after a failure: the next call reads the document instead of waiting for a change.
    let mut after = None;
    while !shared.is_stopped() {
        let began = clock::now();
        match round::<T>(shared, platform, after) {
            Ok(revision) => {
                backoff.reset();
                after = Some(revision);
                if clock::now().since(began) < SHORTEST_PAUSE {
                    std::thread::sleep(SHORTEST_PAUSE.to_duration());
                }
            }
            Err(err) => {
                log::debug!("{err}");
                after = None;
                std::thread::sleep(backoff.next_delay(&mut rand::rng()).to_duration());
            }
        }
    }
}

fn round<T: FollowedDocument>(
    shared: &SharedState,
    platform: &Platform<impl ObjectStore>,
    after: Option<Revision>,
) -> Result<Revision, StoreError> {
    let Some(after) = after else {
        let ReadOutcome::Found(object) = platform.get(CallKind::Watch, T::KEY)? else {
            return Ok(Revision(0));
        };
        take::<T>(shared, &object.body, DocumentSource::Read);
        return Ok(object.revision);
    };
    let changes = platform.watch(T::KEY, after, WATCH_WAIT)?;
    Ok(changes.into_iter().fold(after, |after, change| {
        let Change { key, revision, body } = change;
        if key == T::KEY {
            match body {
                Some(body) => take::<T>(shared, &body, DocumentSource::Watch),
                None => log::error!("{key} was deleted; the adopted version stays in force"),
            }
        }
        after.max(revision)
    }))
}

fn take<T: FollowedDocument>(shared: &SharedState, body: &str, source: DocumentSource) {
    match serde_json::from_str::<T>(body) {
        Ok(document) => document.offer(shared, source),
        Err(err) => log::error!("{} cannot be read and is refused: {err}", T::KEY),
    }
}
