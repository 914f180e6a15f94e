//! Watches a document in the store and offers its versions for adoption.

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
/// Pause after a call that returned faster than this, so that a store whose watches do not block is
/// not flooded.
const MIN_CALL_TIME: Span = Span::millis(20);

/// A document that is watched in the store.
pub trait WatchedDocument: DeserializeOwned + Send + 'static {
    /// Key of the document in the store.
    const KEY: &'static str;

    /// Offers the document for adoption.
    fn offer(self, shared: &SharedState, source: DocumentSource);
}

impl WatchedDocument for wigeonramp_config::Document {
    const KEY: &'static str = CONFIG_KEY;

    fn offer(self, shared: &SharedState, source: DocumentSource) {
        shared.offer_document(self, source);
    }
}

impl WatchedDocument for Assignment {
    const KEY: &'static str = ASSIGNMENT_KEY;

    fn offer(self, shared: &SharedState, source: DocumentSource) {
        shared.offer_assignment(self, source);
    }
}

/// Watches `T` until the host stops. The thread is not joined, because a long poll may outlast the
/// host.
pub fn run<T: WatchedDocument>(shared: &SharedState, platform: &Arc<Platform<impl ObjectStore>>) {
    let mut backoff = Backoff::default();
    // `None` after a failure: the next call reads the document instead of waiting for a change.
    let mut after = None;
    while !shared.is_stopped() {
        let began = clock::now();
        match round::<T>(shared, platform, after) {
            Ok(revision) => {
                backoff.reset();
                after = Some(revision);
                if clock::now().since(began) < MIN_CALL_TIME {
                    std::thread::sleep(MIN_CALL_TIME.to_duration());
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

fn round<T: WatchedDocument>(
    shared: &SharedState,
    platform: &Platform<impl ObjectStore>,
    after: Option<Revision>,
) -> Result<Revision, StoreError> {
    let Some(after) = after else {
        let ReadOutcome::Found(object) = platform.get(CallKind::Watch, T::KEY)? else {
            return Ok(Revision(0));
        };
        offer::<T>(shared, &object.body, DocumentSource::Read);
        return Ok(object.revision);
    };
    let changes = platform.watch(T::KEY, after, WATCH_WAIT)?;
    Ok(changes.into_iter().fold(after, |after, change| {
        let Change { key, revision, body } = change;
        if key == T::KEY {
            match body {
                Some(body) => offer::<T>(shared, &body, DocumentSource::Watch),
                None => log::error!("{key} was deleted; the adopted version stays in force"),
            }
        }
        after.max(revision)
    }))
}

fn offer<T: WatchedDocument>(shared: &SharedState, body: &str, source: DocumentSource) {
    match serde_json::from_str::<T>(body) {
        Ok(document) => document.offer(shared, source),
        Err(err) => log::error!("{} cannot be parsed and is refused: {err}", T::KEY),
    }
}
