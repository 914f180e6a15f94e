//! Assigners: the instances that write the assignment.
//!
//! A takeover has two steps. First the assigner fences the silent instance: it deletes the session
//! object, conditional on the revision it observed, so that the instance can no longer renew it.
//! Then it moves the leaves. Without the first step an instance that renews between the assigner's
//! last read and its write would have a valid session but no longer hold its leaves.
//!
//! Instances that are not assigners are standby instances: one of them takes the role when all
//! assigners are silent.

use {
    crate::{
        assignment::{Assignment, AssignmentVersion, MAX_ASSIGNERS, NamedAssigner},
        draft::Draft,
        membership::{InstanceView, Liveness, MembershipView},
        placement::rendezvous_weight,
        promise::PromiseIssuer,
        session::takeover_time,
    },
    indexmap::IndexMap,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
    wigeonramp_config::{AdminState, Document},
    wigeonramp_units::{InstanceId, Instant, OpId, Revision, Span},
};

/// Time for which all assigners must be silent before a standby instance takes the role, in
/// takeover times.
const STANDBY_WAIT_TAKEOVERS: u64 = 2;
/// Time to wait for promises of replaced assigners to end, in percent of the promise horizon.
const DISPUTE_WAIT_PERCENT: u64 = 105;
/// Rendezvous hashing key of the assigner role.
const ROLE_KEY: &str = "assigner";

/// Settings of an assigner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AssignerSettings {
    /// How long a session lasts without renewal.
    pub session_time: Span,
    /// Largest number of handovers in progress at the same time.
    pub max_handovers: usize,
    /// How long an assigner gives promises without reaching the store; the same on all hosts.
    pub promise_horizon: Span,
}

/// A session object to delete, conditional on its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fence {
    /// The silent instance.
    pub instance: InstanceId,
    /// The revision that it has not renewed.
    pub revision: Revision,
}

/// What an instance has to do next about the assignment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AssignStep {
    /// There is nothing to change, or another assigner goes first.
    Nothing,
    /// Delete these sessions, then list the sessions again.
    Fence(Vec<Fence>),
    /// Write this version, conditional on the revision of the current one.
    Write(Assignment),
    /// Write this version under the same condition, to become the first assigner or to replace the
    /// silent ones.
    TakeRole(Assignment),
}

/// Input of a step.
#[derive(Clone, Debug)]
pub struct AssignInput<'a> {
    /// The assignment as last read from the store; `None` if the object does not exist.
    pub current: Option<&'a Assignment>,
    /// The view of all sessions. It is used only if its list was requested after the first step
    /// with this version of `current`.
    pub view: &'a MembershipView,
    /// The adopted configuration.
    pub document: &'a Document,
    /// Operation id of the write.
    pub op: OpId,
    /// The current time.
    pub now: Instant,
}

/// Since when neither the assignment nor the session counters of its assigners have changed.
#[derive(Clone, Debug, Default)]
struct AssignerSilence {
    version: Option<AssignmentVersion>,
    counters: Vec<Option<u64>>,
    since: Instant,
}

/// An instance that may become an assigner.
#[derive(Clone, Debug)]
pub struct Assigner {
    this_instance: InstanceId,
    settings: AssignerSettings,
    // The current version, and when this instance first read it.
    current: Option<(AssignmentVersion, Instant)>,
    // The version that made this instance an assigner, and when it first read that.
    role: Option<(AssignmentVersion, Instant)>,
    // The version that needs a change, and when this instance first saw that need.
    change_due: Option<(AssignmentVersion, Instant)>,
    // When this instance first saw each disputed assigner.
    disputed: BTreeMap<InstanceId, Instant>,
    silence: AssignerSilence,
}

impl Assigner {
    /// Creates the state of an instance that is not an assigner.
    pub fn new(this_instance: InstanceId, settings: AssignerSettings) -> Self {
        let disputed = BTreeMap::new();
        let silence = AssignerSilence::default();
        Self {
            this_instance,
            settings,
            current: None,
            role: None,
            change_due: None,
            disputed,
            silence,
        }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: AssignerSettings) {
        self.settings = settings;
    }

    /// Decides what to do next. `promises` are the promises of this instance, guarded by the same
    /// lock; takeovers that are prepared and writes that are started are recorded in them.
    pub fn step(&mut self, input: &AssignInput<'_>, promises: &mut PromiseIssuer) -> AssignStep {
        let Some(current) = input.current else { return self.first_step(input, promises) };
        promises.on_assignment(current);
        self.record_current(current, input.now);
        let named = current.assigners.iter().find(|named| named.instance == self.this_instance);
        let Some(named) = named else {
            self.role = None;
            return self.standby_step(current, input, promises);
        };
        if self.role.is_none_or(|(since, _)| since != named.since) {
            self.role = Some((named.since, input.now));
        }
        if !self.view_is_usable(input) {
            return AssignStep::Nothing;
        }
        self.assigner_step(current, input, promises)
    }

    fn record_current(&mut self, current: &Assignment, now: Instant) {
        if self.current.is_none_or(|(version, _)| version != current.version) {
            self.current = Some((current.version, now));
        }
        self.disputed.retain(|id, _| current.disputed.contains(id));
        for id in &current.disputed {
            self.disputed.entry(id.clone()).or_insert(now);
        }
    }

    // A list that was requested before the assignment was read may lack the sessions of holders in
    // that assignment.
    fn view_is_usable(&self, input: &AssignInput<'_>) -> bool {
        let Some((_, read_at)) = self.current else { return false };
        let recent = |listed| input.now.since(listed) < self.settings.session_time;
        input.view.listed_at.is_some_and(|listed| listed >= read_at && recent(listed))
    }

    fn assigner_step(
        &mut self,
        current: &Assignment,
        input: &AssignInput<'_>,
        promises: &mut PromiseIssuer,
    ) -> AssignStep {
        promises.prune(current, input.now);
        let disputed = self.still_disputed(current, input);
        let lost = self.lost_instances(current, input, disputed.is_empty(), promises);
        let next = self.next_assignment(current, input, &lost.gone, disputed);
        if lost.fences.is_empty() && next.is_none() {
            self.change_due = None;
            return AssignStep::Nothing;
        }
        if !self.is_my_turn(current, input) {
            return AssignStep::Nothing;
        }
        if !lost.fences.is_empty() {
            return AssignStep::Fence(lost.fences);
        }
        let Some(next) = next else { return AssignStep::Nothing };
        promises.on_write_started(next.version);
        AssignStep::Write(next)
    }

    // Assigners act in the order of the list: each waits one session time for every assigner before
    // it that is not silent.
    fn is_my_turn(&mut self, current: &Assignment, input: &AssignInput<'_>) -> bool {
        if self.change_due.is_none_or(|(version, _)| version != current.version) {
            self.change_due = Some((current.version, input.now));
        }
        let before = current.assigner_ids().take_while(|id| **id != self.this_instance);
        let rank = before.filter(|id| !self.is_silent(id, input)).count() as u64;
        let since = self.change_due.map_or(input.now, |(_, since)| since);
        input.now.since(since) >= self.settings.session_time * rank
    }

    // Whether the instance has been silent for the takeover time since this instance became an
    // assigner. A missing session counts from then on, because its instance may hold promises of
    // earlier assigners.
    fn is_silent(&self, id: &InstanceId, input: &AssignInput<'_>) -> bool {
        let Some((_, role_since)) = self.role else { return false };
        let view = input.view.instances.get(id);
        let last_change = view.map_or(role_since, |view| view.last_change);
        let silent_since = last_change.max(role_since).max(input.view.observed_since);
        let silent = input.now.since(silent_since) >= takeover_time(self.settings.session_time);
        silent && view.is_none_or(|view| view.liveness == Liveness::Expired)
    }

    fn lost_instances(
        &self,
        current: &Assignment,
        input: &AssignInput<'_>,
        undisputed: bool,
        promises: &mut PromiseIssuer,
    ) -> LostInstances {
        let mut lost = LostInstances::default();
        for id in holders(current) {
            if !self.is_silent(id, input) {
                if input.view.instances.contains_key(id) {
                    promises.cancel_takeover(id);
                }
                continue;
            }
            promises.prepare_takeover(id);
            if !undisputed || promises.has_open_promise(id, input.now) {
                continue;
            }
            match input.view.instances.get(id) {
                Some(view) => lost.fence(id, view),
                None => drop(lost.gone.insert(id.clone())),
            }
        }
        lost
    }

    fn still_disputed(&self, current: &Assignment, input: &AssignInput<'_>) -> Vec<InstanceId> {
        let wait = self.settings.promise_horizon.percent(DISPUTE_WAIT_PERCENT)
            + self.settings.session_time;
        let waited = |id: &InstanceId| {
            self.disputed.get(id).is_some_and(|first_seen| input.now.since(*first_seen) >= wait)
        };
        let open = |id: &&InstanceId| !waited(id) && !input.view.has_ended(id);
        current.disputed.iter().filter(open).cloned().collect()
    }

    fn next_assignment(
        &self,
        current: &Assignment,
        input: &AssignInput<'_>,
        gone: &BTreeSet<InstanceId>,
        disputed: Vec<InstanceId>,
    ) -> Option<Assignment> {
        let version = current.version.next();
        let mut draft = Draft::new(current, input, version);
        draft.finish_handovers(input.view, gone);
        if self.has_observed_all_live(input) {
            draft.replace_gone(input.document, gone);
            draft.place_new(input.document);
            draft.hand_over(input, self.settings.max_handovers);
        }
        let assigners = self.next_assigners(current, input, version);
        let changed = draft.changed
            || assigners != current.assigners
            || disputed.len() != current.disputed.len();
        let (op, holdings) = (input.op.clone(), draft.holdings);
        changed.then_some(Assignment { version, op, assigners, disputed, holdings })
    }

    // All live instances renew within half a session time. Placing leaves earlier would give them
    // all to the few instances that renewed first.
    fn has_observed_all_live(&self, input: &AssignInput<'_>) -> bool {
        let role_since = self.role.map_or(input.now, |(_, since)| since);
        let observed_since = role_since.max(input.view.observed_since);
        input.now.since(observed_since) >= self.settings.session_time / 2
    }

    fn next_assigners(
        &self,
        current: &Assignment,
        input: &AssignInput<'_>,
        since: AssignmentVersion,
    ) -> Vec<NamedAssigner> {
        let leaving = |id: &InstanceId| {
            let view = input.view.instances.get(id);
            view.is_some_and(|view| view.liveness == Liveness::Leaving)
        };
        let stays = |id: &InstanceId| *id == self.this_instance || !self.is_silent(id, input);
        let kept = |named: &&NamedAssigner| stays(&named.instance) && !leaving(&named.instance);
        let mut list: Vec<_> = current.assigners.iter().filter(kept).cloned().collect();
        while list.len() < MAX_ASSIGNERS {
            let Some(instance) = assigner_candidate(&list, input) else { break };
            list.push(NamedAssigner { instance, since });
        }
        if list.is_empty() { current.assigners.clone() } else { list }
    }

    fn first_step(&mut self, input: &AssignInput<'_>, promises: &mut PromiseIssuer) -> AssignStep {
        // If the object existed before, its holders are unknown, so it cannot be replaced.
        if self.current.is_some() || !input.view.is_live(&self.this_instance) {
            return AssignStep::Nothing;
        }
        let version = AssignmentVersion(1);
        promises.on_write_started(version);
        AssignStep::TakeRole(Assignment {
            version,
            op: input.op.clone(),
            assigners: vec![NamedAssigner { instance: self.this_instance.clone(), since: version }],
            disputed: Vec::new(),
            holdings: IndexMap::new(),
        })
    }

    fn standby_step(
        &mut self,
        current: &Assignment,
        input: &AssignInput<'_>,
        promises: &mut PromiseIssuer,
    ) -> AssignStep {
        let since = self.assigners_silent_since(current, input);
        let takeover = takeover_time(self.settings.session_time);
        // Spreads the standby instances over one session time, so that not all write at once.
        let delay_percent = rendezvous_weight(ROLE_KEY, &self.this_instance.host()) % 100;
        let wait =
            takeover * STANDBY_WAIT_TAKEOVERS + self.settings.session_time.percent(delay_percent);
        let silent = input.now.since(since) >= wait;
        if !silent || !self.view_is_usable(input) || !input.view.is_live(&self.this_instance) {
            return AssignStep::Nothing;
        }
        let next = self.assignment_with_role(current, input);
        promises.on_write_started(next.version);
        AssignStep::TakeRole(next)
    }

    fn assignment_with_role(&self, current: &Assignment, input: &AssignInput<'_>) -> Assignment {
        let version = current.version.next();
        let replaced = current.disputed.iter().chain(current.assigner_ids());
        let disputed: BTreeSet<_> =
            replaced.filter(|id| !input.view.has_ended(id)).cloned().collect();
        Assignment {
            version,
            op: input.op.clone(),
            assigners: vec![NamedAssigner { instance: self.this_instance.clone(), since: version }],
            disputed: disputed.into_iter().collect(),
            holdings: current.holdings.clone(),
        }
    }

    fn assigners_silent_since(&mut self, current: &Assignment, input: &AssignInput<'_>) -> Instant {
        let counter = |id| input.view.instances.get(id).map(|view| view.session.record.counter);
        let counters: Vec<_> = current.assigner_ids().map(counter).collect();
        let renewed = |(old, new): (&Option<u64>, &Option<u64>)| new.is_some() && old != new;
        let changed = self.silence.version != Some(current.version)
            || self.silence.counters.iter().zip(&counters).any(renewed);
        if changed {
            self.silence.since = input.now;
        }
        self.silence.version = Some(current.version);
        self.silence.counters = counters;
        self.silence.since.max(input.view.observed_since)
    }
}

#[derive(Debug, Default)]
struct LostInstances {
    // Silent instances to fence.
    fences: Vec<Fence>,
    // Instances that lost their session, so that their leaves can be taken over.
    gone: BTreeSet<InstanceId>,
}

impl LostInstances {
    fn fence(&mut self, id: &InstanceId, view: &InstanceView) {
        self.fences.push(Fence { instance: id.clone(), revision: view.session.revision });
    }
}

// All instances that hold a leaf or still have to release one.
fn holders(current: &Assignment) -> BTreeSet<&InstanceId> {
    let new = current.holdings.values().map(|holding| &holding.instance);
    new.chain(current.holdings.values().filter_map(|holding| holding.from.as_ref())).collect()
}

fn assigner_candidate(list: &[NamedAssigner], input: &AssignInput<'_>) -> Option<InstanceId> {
    let count_in_zone = |view: &InstanceView| {
        let same_zone = |named: &&NamedAssigner| {
            let other = input.view.instances.get(&named.instance);
            other.is_some_and(|other| other.zone() == view.zone())
        };
        list.iter().filter(same_zone).count()
    };
    let zone_in_service = |view: &InstanceView| {
        let zone = input.document.zones.get(view.zone());
        zone.is_some_and(|zone| zone.state == AdminState::In)
    };
    let unlisted = |id: &InstanceId| list.iter().all(|named| named.instance != *id);
    let all = input.view.instances.iter();
    let eligible = all.filter(|(id, view)| view.is_live() && zone_in_service(view) && unlisted(id));
    let rank = |(id, view): &(&InstanceId, &InstanceView)| {
        (count_in_zone(view), Reverse(rendezvous_weight(ROLE_KEY, &id.host())))
    };
    eligible.min_by_key(rank).map(|(id, _)| id.clone())
}
