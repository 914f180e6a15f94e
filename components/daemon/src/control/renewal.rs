//! Renews this instance's session.

use {
    crate::{
        clock,
        control::{
            gate::{Core, Gate},
            platform::{CallKind, Platform},
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

/// Shortest time between two renewals that nothing but a changed record asks for.
const SHORTEST_PAUSE: Span = Span::millis(100);

/// Writes the session object.
pub struct Renewer<S> {
    backoff: Backoff,
    failed: bool,
    gate: Arc<Gate>,
    platform: Arc<Platform<S>>,
    revision: Option<Revision>,
    /// Session time at the last renewal.
    session_time: Span,
    valid: bool,
    written: Option<Written>,
}

/// Parts of the record that others wait for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Written {
    leaving: bool,
    settled: AssignmentVersion,
}

impl<S: ObjectStore> Renewer<S> {
    /// Nothing has been written yet.
    pub fn new(gate: Arc<Gate>, platform: Arc<Platform<S>>) -> Self {
        let backoff = Backoff::default();
        Self {
            backoff,
            failed: false,
            gate,
            platform,
            revision: None,
            session_time: Span::ZERO,
            valid: false,
            written: None,
        }
    }

    /// Renews until the host stops, and deletes the session in the end.
    pub fn run(mut self) {
        while !self.gate.is_stopped() {
            let pause = self.round();
            self.gate.wakers().renew.wait(pause);
        }
        self.end();
    }

    fn round(&mut self) -> Span {
        self.note_validity();
        if !self.is_due() {
            return self.pause();
        }
        self.failed = !self.renew();
        self.note_validity();
        if self.failed {
            let third = self.gate.core().session_time.shorter(clock::now()) / 3;
            return self.backoff.next_delay(&mut rand::rng()).min(third);
        }
        self.backoff.reset();
        SHORTEST_PAUSE
    }

    fn is_due(&self) -> bool {
        let core = self.gate.core();
        let wanted = Written { leaving: core.leaving(), settled: settled(&core) };
        let now = clock::now();
        // The next renewal was planned under a longer session time and would come too late.
        let shortened = core.session_time.shorter(now) < self.session_time;
        self.failed
            || shortened
            || core.rights.session.next_renewal() <= now
            || self.written.is_some_and(|w| w != wanted)
    }

    fn pause(&self) -> Span {
        // Waking up at the expiry as well puts it into the timeline at the right time.
        let core = self.gate.core();
        let session = &core.rights.session;
        let due = clock::until(session.next_renewal());
        let expiry = session.valid_until().map(clock::until).filter(|left| *left > Span::ZERO);
        expiry.map_or(due, |left| left.min(due)).max(Span::millis(1))
    }

    /// One renewal; false if it did not take effect.
    fn renew(&mut self) -> bool {
        let (renewal, record) = {
            let mut core = self.gate.core();
            let now = clock::now();
            self.session_time = core.session_time.shorter(now);
            core.rights.session.set_session_time(self.session_time);
            let renewal = core.rights.session.start_renewal(now, &mut rand::rng());
            (renewal, record(&core, renewal))
        };
        let key = SessionRecord::key(&record.instance);
        match self.platform.write(CallKind::Session, &key, &record, self.revision) {
            WriteResult::Written(revision) => {
                self.revision = Some(revision);
                self.renewed(renewal, &record);
                true
            }
            WriteResult::Conflict(found) => self.found(found, &record),
            WriteResult::NoEffect => false,
            WriteResult::Unknown => match self.platform.read(CallKind::Session, &key) {
                ReadResult::Found(found) => self.found(Some(found), &record),
                ReadResult::Missing => self.found(None, &record),
                ReadResult::Failed => false,
            },
        }
    }

    fn renewed(&mut self, renewal: Renewal, record: &SessionRecord) {
        let now = clock::now();
        self.gate.core().rights.session.confirm_renewal(renewal.counter, renewal.sent, now);
        self.note_written(record);
    }

    fn note_written(&mut self, record: &SessionRecord) {
        self.written = Some(Written { leaving: record.leaving, settled: record.settled });
        self.gate.core().leaving_written = record.leaving;
        self.gate.wakers().stop.wake();
    }

    fn found(&mut self, found: Option<Stored<SessionRecord>>, sent: &SessionRecord) -> bool {
        let counter = found.as_ref().map(|found| found.value.counter);
        let read = self.gate.core().rights.session.read_back(counter, clock::now());
        self.revision = found.as_ref().map(|found| found.revision);
        match read {
            ReadBack::Renewed => {
                self.note_written(found.as_ref().map_or(sent, |found| &found.value));
                true
            }
            ReadBack::NotYet => false,
            ReadBack::Fenced => {
                self.restart();
                false
            }
        }
    }

    /// Goes on under a new start: the old one's leaves may belong to others by now.
    fn restart(&mut self) {
        if self.gate.is_stopped() {
            return;
        }
        let boot = new_boot();
        let old = {
            let mut core = self.gate.core();
            let old = core.me.instance.clone();
            core.restart(boot.clone(), clock::now());
            old
        };
        log::warn!("session of {old} was ended by an assigner; going on as start {boot}");
        let entry =
            NewEvent::now(EventKind::SessionExpired).field("reason", "ended by an assigner");
        self.gate.record(entry.field("instance", old).field("next_boot", boot));
        (self.revision, self.written) = (None, None);
        let wakers = self.gate.wakers();
        wakers.apply.wake();
        wakers.assign.wake();
    }

    fn note_validity(&mut self) {
        let now = clock::now();
        let (valid, left, instance) = {
            let core = self.gate.core();
            let until = core.rights.session.valid_until();
            let left = until.map_or(Span::ZERO, |until| until.since(now));
            (core.rights.session.is_valid(now), left, core.me.instance.clone())
        };
        self.gate.metrics().session_remaining.set(left.to_duration().as_secs_f64());
        if valid == self.valid {
            return;
        }
        self.valid = valid;
        let kind = if valid { EventKind::SessionValid } else { EventKind::SessionExpired };
        log::info!("session of {instance} valid: {valid}");
        self.gate.record(NewEvent::now(kind).field("instance", instance));
        self.gate.wakers().doubt.wake();
    }

    /// Deletes the session after everything else has stopped.
    fn end(&mut self) {
        let key = {
            let mut core = self.gate.core();
            core.rights.session.close();
            SessionRecord::key(&core.me.instance)
        };
        let Some(revision) = self.revision else { return };
        match self.platform.delete(CallKind::Session, &key, revision) {
            Ok(WriteOutcome::Written(_)) => log::info!("{key} deleted"),
            Ok(WriteOutcome::Conflict(_)) => {
                log::warn!("{key} was changed by somebody else; not deleted")
            }
            Err(err) => log::warn!("{err}; an assigner deletes the session once it has expired"),
        }
    }
}

fn settled(core: &Core) -> AssignmentVersion {
    core.assignment.as_ref().map(|a| core.rights.settled_version(a)).unwrap_or_default()
}

fn record(core: &Core, renewal: Renewal) -> SessionRecord {
    let me = &core.me;
    SessionRecord {
        instance: me.instance.clone(),
        host: me.host.clone(),
        boot: me.boot.clone(),
        zone: me.zone.clone(),
        peer_address: me.peer_address,
        caller_address: me.caller_address,
        operator_address: me.operator_address,
        counter: renewal.counter,
        leaving: core.leaving(),
        config_version: core.document.version,
        load_percent: core.load,
        settled: settled(core),
    }
}

/// An id for a start of this host.
pub fn new_boot() -> BootId {
    let text = format!("{}-{:08x}", clock::unix_now(), rand::rng().random::<u32>());
    text.parse().expect("digits and a dash make a valid id")
}
