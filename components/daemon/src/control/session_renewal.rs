//! Renewal of the session of this instance.

use {
    crate::{
        clock,
        control::{
            platform::{CallKind, Platform},
            shared_state::{HostState, SharedState},
        },
    },
    rand::RngExt,
    std::sync::Arc,
    wigeonramp_control::{
        assignment::AssignmentVersion,
        backoff::Backoff,
        session::{ReadBack, Renewal, SessionRecord},
        store_result::{ReadResult, Stored, WriteResult},
    },
    wigeonramp_store::{ObjectStore, WriteOutcome},
    wigeonramp_telemetry::timeline::{EventKind, NewEvent},
    wigeonramp_units::{BootId, Revision, Span},
};

/// Minimum interval between renewals that only a changed record triggers.
const MIN_INTERVAL: Span = Span::millis(100);

/// Loop that writes the session object.
pub struct SessionRenewer<S> {
    backoff: Backoff,
    failed: bool,
    shared: Arc<SharedState>,
    platform: Arc<Platform<S>>,
    revision: Option<Revision>,
    /// Session time at the last renewal.
    session_time: Span,
    valid: bool,
    written: Option<WrittenState>,
}

/// Parts of the session record that other hosts wait for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct WrittenState {
    leaving: bool,
    settled: AssignmentVersion,
}

impl<S: ObjectStore> SessionRenewer<S> {
    /// Creates the loop without a written session.
    pub fn new(shared: Arc<SharedState>, platform: Arc<Platform<S>>) -> Self {
        let backoff = Backoff::default();
        Self {
            backoff,
            failed: false,
            shared,
            platform,
            revision: None,
            session_time: Span::ZERO,
            valid: false,
            written: None,
        }
    }

    /// Renews the session until the host stops, then deletes it.
    pub fn run(mut self) {
        while !self.shared.is_stopped() {
            let pause = self.round();
            self.shared.wakers().renew.wait(pause);
        }
        self.end();
    }

    fn round(&mut self) -> Span {
        self.record_validity();
        if !self.is_due() {
            return self.pause();
        }
        self.failed = !self.renew();
        self.record_validity();
        if self.failed {
            let third = self.shared.lock().session_time.lower_bound(clock::now()) / 3;
            return self.backoff.next_delay(&mut rand::rng()).min(third);
        }
        self.backoff.reset();
        MIN_INTERVAL
    }

    fn is_due(&self) -> bool {
        let state = self.shared.lock();
        let current =
            WrittenState { leaving: state.is_leaving(), settled: settled_version(&state) };
        let now = clock::now();
        // The next renewal was scheduled with a longer session time and would be too late.
        let shortened = state.session_time.lower_bound(now) < self.session_time;
        self.failed
            || shortened
            || state.rights.session.next_renewal() <= now
            || self.written.is_some_and(|written| written != current)
    }

    fn pause(&self) -> Span {
        // Waking up at the expiry too records it in the timeline at the right time.
        let state = self.shared.lock();
        let session = &state.rights.session;
        let due = clock::until(session.next_renewal());
        let expiry = session.valid_until().map(clock::until).filter(|left| *left > Span::ZERO);
        expiry.map_or(due, |left| left.min(due)).max(Span::millis(1))
    }

    /// Renews the session once. Returns false if the renewal did not take effect.
    fn renew(&mut self) -> bool {
        let (renewal, record) = {
            let mut state = self.shared.lock();
            let now = clock::now();
            self.session_time = state.session_time.lower_bound(now);
            state.rights.session.set_session_time(self.session_time);
            let renewal = state.rights.session.start_renewal(now, &mut rand::rng());
            (renewal, record(&state, renewal))
        };
        let key = SessionRecord::key(&record.instance);
        match self.platform.write(CallKind::Session, &key, &record, self.revision) {
            WriteResult::Written(revision) => {
                self.revision = Some(revision);
                self.renewed(renewal, &record);
                true
            }
            WriteResult::Conflict(found) => self.on_read_back(found, &record),
            WriteResult::NoEffect => false,
            WriteResult::Unknown => match self.platform.read(CallKind::Session, &key) {
                ReadResult::Found(found) => self.on_read_back(Some(found), &record),
                ReadResult::Missing => self.on_read_back(None, &record),
                ReadResult::Failed => false,
            },
        }
    }

    fn renewed(&mut self, renewal: Renewal, record: &SessionRecord) {
        let now = clock::now();
        self.shared.lock().rights.session.confirm_renewal(renewal.counter, renewal.sent, now);
        self.record_written(record);
    }

    fn record_written(&mut self, record: &SessionRecord) {
        self.written = Some(WrittenState { leaving: record.leaving, settled: record.settled });
        self.shared.lock().leaving_written = record.leaving;
        self.shared.wakers().stop.wake();
    }

    fn on_read_back(&mut self, found: Option<Stored<SessionRecord>>, sent: &SessionRecord) -> bool {
        let counter = found.as_ref().map(|found| found.value.counter);
        let read = self.shared.lock().rights.session.read_back(counter, clock::now());
        self.revision = found.as_ref().map(|found| found.revision);
        match read {
            ReadBack::Renewed => {
                self.record_written(found.as_ref().map_or(sent, |found| &found.value));
                true
            }
            ReadBack::NotYet => false,
            ReadBack::Fenced => {
                self.restart();
                false
            }
        }
    }

    /// Continues as a new instance, since other hosts may hold the leaves of the old one by now.
    fn restart(&mut self) {
        if self.shared.is_stopped() {
            return;
        }
        let boot = new_boot_id();
        let old = {
            let mut state = self.shared.lock();
            let old = state.identity.instance.clone();
            state.restart(boot.clone(), clock::now());
            old
        };
        log::warn!("session of {old} was ended by an assigner; continuing with boot id {boot}");
        let event =
            NewEvent::now(EventKind::SessionExpired).field("reason", "ended by an assigner");
        self.shared.record(event.field("instance", old).field("next_boot", boot));
        (self.revision, self.written) = (None, None);
        let wakers = self.shared.wakers();
        wakers.apply.wake();
        wakers.assign.wake();
    }

    fn record_validity(&mut self) {
        let now = clock::now();
        let (valid, remaining, instance) = {
            let state = self.shared.lock();
            let until = state.rights.session.valid_until();
            let remaining = until.map_or(Span::ZERO, |until| until.since(now));
            (state.rights.session.is_valid(now), remaining, state.identity.instance.clone())
        };
        self.shared.metrics().session_remaining.set(remaining.to_duration().as_secs_f64());
        if valid == self.valid {
            return;
        }
        self.valid = valid;
        let kind = if valid { EventKind::SessionValid } else { EventKind::SessionExpired };
        log::info!("session of {instance} is valid: {valid}");
        self.shared.record(NewEvent::now(kind).field("instance", instance));
        self.shared.wakers().promises.wake();
    }

    /// Deletes the session after all other threads have ended.
    fn end(&mut self) {
        let key = {
            let mut state = self.shared.lock();
            state.rights.session.close();
            SessionRecord::key(&state.identity.instance)
        };
        let Some(revision) = self.revision else { return };
        match self.platform.delete(CallKind::Session, &key, revision) {
            Ok(WriteOutcome::Written(_)) => log::info!("{key} deleted"),
            Ok(WriteOutcome::Conflict(_)) => {
                log::warn!("{key} was changed by another host; not deleted")
            }
            Err(err) => {
                log::warn!("{err}; an assigner will delete the session after it has expired")
            }
        }
    }
}

fn settled_version(state: &HostState) -> AssignmentVersion {
    state.assignment.as_ref().map(|a| state.rights.settled_version(a)).unwrap_or_default()
}

fn record(state: &HostState, renewal: Renewal) -> SessionRecord {
    let identity = &state.identity;
    SessionRecord {
        instance: identity.instance.clone(),
        host: identity.host.clone(),
        boot: identity.boot.clone(),
        zone: identity.zone.clone(),
        peer_address: identity.peer_address,
        caller_address: identity.caller_address,
        operator_address: identity.operator_address,
        counter: renewal.counter,
        leaving: state.is_leaving(),
        config_version: state.document.version,
        load_percent: state.load,
        settled: settled_version(state),
    }
}

/// Returns a new boot id.
pub fn new_boot_id() -> BootId {
    let text = format!("{}-{:08x}", clock::unix_now(), rand::rng().random::<u32>());
    text.parse().expect("digits and a dash are a valid id")
}
