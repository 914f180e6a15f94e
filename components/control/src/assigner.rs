//! Writing the assignment.
//!
//! A takeover has two steps. First the assigner deletes the session object of the silent instance
//! under the revision it observed, so that the instance cannot renew any more. Then it moves the
//! leaves. Without the first step an instance that renews between the assigner's last read and its
//! write would have a valid session and a leaf that was given away.

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

/// Time that an outsider waits for named assigners, in takeover times.
const OUTSIDER_TAKEOVERS: u64 = 2;
/// Waiting time for promises of replaced assigners, in hundredths of the horizon.
const HORIZON_PERCENT: u64 = 105;
/// Rendezvous key of the assigner role.
const ROLE_KEY: &str = "assigner";

/// Settings of an assigner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AssignerSettings {
    /// How long a session lasts without renewal.
    pub session_time: Span,
    /// Most hand-overs that are open at the same time.
    pub max_handovers: usize,
    /// How long an assigner without the store gives promises; the same on all hosts.
    pub promise_horizon: Span,
}

/// A session object to delete, conditional on its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fence {
    /// The silent instance.
    pub instance: InstanceId,
    /// The revision under which it was silent.
    pub revision: Revision,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AssignStep {
    /// Nothing to change, or not this assigner's turn.
    Nothing,
    /// Delete these sessions, then read the list of sessions again.
    Fence(Vec<Fence>),
    /// Write this version, conditional on the revision of the current one.
    Write(Assignment),
    /// As an outsider, or as the first of all, write this version under the same condition.
    TakeRole(Assignment),
}

/// Everything that a step depends on.
#[derive(Clone, Debug)]
pub struct AssignInput<'a> {
    /// The assignment as last read from the store; `None` if the object does not exist.
    pub current: Option<&'a Assignment>,
    /// All sessions, listed after `current` was read.
    pub view: &'a MembershipView,
    /// The adopted configuration.
    pub document: &'a Document,
    /// Id for the write.
    pub op: OpId,
    /// The time.
    pub now: Instant,
}

#[derive(Clone, Debug, Default)]
struct Quiet {
    version: Option<AssignmentVersion>,
    counters: Vec<Option<u64>>,
    since: Instant,
}

/// An instance that may become an assigner.
#[derive(Clone, Debug)]
pub struct Assigner {
    me: InstanceId,
    settings: AssignerSettings,
    adopted: Option<(AssignmentVersion, Instant)>,
    role: Option<(AssignmentVersion, Instant)>,
    wanted: Option<(AssignmentVersion, Instant)>,
    disputed: BTreeMap<InstanceId, Instant>,
    quiet: Quiet,
}

impl Assigner {
    /// An instance without the role.
    pub fn new(me: InstanceId, settings: AssignerSettings) -> Self {
        let disputed = BTreeMap::new();
        let quiet = Quiet::default();
        Self { me, settings, adopted: None, role: None, wanted: None, disputed, quiet }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: AssignerSettings) {
        self.settings = settings;
    }

    /// Decides what to do next. `promises` is this instance's own book under the same lock; takeovers
    /// and writes that begin are noted in it.
    pub fn step(&mut self, input: &AssignInput<'_>, promises: &mut PromiseIssuer) -> AssignStep {
        let Some(current) = input.current else { return self.first(input, promises) };
        promises.on_assignment(current);
        self.adopt(current, input.now);
        let named = current.assigners.iter().find(|named| named.instance == self.me);
        let Some(named) = named else {
            self.role = None;
            return self.outsider(current, input, promises);
        };
        if self.role.is_none_or(|(since, _)| since != named.since) {
            self.role = Some((named.since, input.now));
        }
        if !self.view_is_usable(input) {
            return AssignStep::Nothing;
        }
        self.assigner(current, input, promises)
    }

    fn adopt(&mut self, current: &Assignment, now: Instant) {
        if self.adopted.is_none_or(|(version, _)| version != current.version) {
            self.adopted = Some((current.version, now));
        }
        self.disputed.retain(|id, _| current.disputed.contains(id));
        for id in &current.disputed {
            self.disputed.entry(id.clone()).or_insert(now);
        }
    }

    // A list that was asked for before the assignment was read may lack the sessions of holders
    // that the assignment names.
    fn view_is_usable(&self, input: &AssignInput<'_>) -> bool {
        let Some((_, adopted)) = self.adopted else { return false };
        let recent = |listed| input.now.since(listed) < self.settings.session_time;
        input.view.listed_at.is_some_and(|listed| listed >= adopted && recent(listed))
    }

    fn assigner(
        &mut self,
        current: &Assignment,
        input: &AssignInput<'_>,
        promises: &mut PromiseIssuer,
    ) -> AssignStep {
        promises.prune(current, input.now);
        let disputed = self.still_disputed(current, input);
        let lost = self.lost(current, input, disputed.is_empty(), promises);
        let next = self.next(current, input, &lost.gone, disputed);
        if lost.fences.is_empty() && next.is_none() {
            self.wanted = None;
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

    fn is_my_turn(&mut self, current: &Assignment, input: &AssignInput<'_>) -> bool {
        if self.wanted.is_none_or(|(version, _)| version != current.version) {
            self.wanted = Some((current.version, input.now));
        }
        let before = current.assigner_ids().take_while(|id| **id != self.me);
        let rank = before.filter(|id| !self.is_quiet(id, input)).count() as u64;
        let since = self.wanted.map_or(input.now, |(_, since)| since);
        input.now.since(since) >= self.settings.session_time * rank
    }

    // Silent for the takeover time within this assigner's present role. A missing session counts
    // from the start of the role, since its instance may hold promises of earlier assigners.
    fn is_quiet(&self, id: &InstanceId, input: &AssignInput<'_>) -> bool {
        let Some((_, role)) = self.role else { return false };
        let seen = input.view.instances.get(id);
        let changed = seen.map_or(role, |view| view.last_change);
        let from = changed.max(role).max(input.view.observed_since);
        let quiet = input.now.since(from) >= takeover_time(self.settings.session_time);
        quiet && seen.is_none_or(|view| view.liveness == Liveness::Expired)
    }

    fn lost(
        &self,
        current: &Assignment,
        input: &AssignInput<'_>,
        undisputed: bool,
        promises: &mut PromiseIssuer,
    ) -> Lost {
        let mut lost = Lost::default();
        for id in involved(current) {
            if !self.is_quiet(id, input) {
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
        let wait =
            self.settings.promise_horizon.percent(HORIZON_PERCENT) + self.settings.session_time;
        let passed = |id: &InstanceId| {
            self.disputed.get(id).is_some_and(|first| input.now.since(*first) >= wait)
        };
        let open = |id: &&InstanceId| !passed(id) && !input.view.has_ended(id);
        current.disputed.iter().filter(open).cloned().collect()
    }

    fn next(
        &self,
        current: &Assignment,
        input: &AssignInput<'_>,
        gone: &BTreeSet<InstanceId>,
        disputed: Vec<InstanceId>,
    ) -> Option<Assignment> {
        let version = current.version.next();
        let mut draft = Draft::new(current, input, version);
        draft.finish_handovers(input.view, gone);
        if self.knows_all_live(input) {
            draft.replace_gone(input.document, gone);
            draft.place_new(input.document);
            draft.hand_over(input, self.settings.max_handovers);
        }
        let assigners = self.assigners(current, input, version);
        let changed = draft.changed
            || assigners != current.assigners
            || disputed.len() != current.disputed.len();
        let (op, holdings) = (input.op.clone(), draft.holdings);
        changed.then_some(Assignment { version, op, assigners, disputed, holdings })
    }

    // All live instances renew within half a session time. Placing leaves earlier would give them to
    // the few that renewed first.
    fn knows_all_live(&self, input: &AssignInput<'_>) -> bool {
        let role = self.role.map_or(input.now, |(_, role)| role);
        let began = role.max(input.view.observed_since);
        input.now.since(began) >= self.settings.session_time / 2
    }

    fn assigners(
        &self,
        current: &Assignment,
        input: &AssignInput<'_>,
        since: AssignmentVersion,
    ) -> Vec<NamedAssigner> {
        let leaving = |id: &InstanceId| {
            let view = input.view.instances.get(id);
            view.is_some_and(|view| view.liveness == Liveness::Leaving)
        };
        let stays = |id: &InstanceId| *id == self.me || !self.is_quiet(id, input);
        let kept = |named: &&NamedAssigner| stays(&named.instance) && !leaving(&named.instance);
        let mut list: Vec<_> = current.assigners.iter().filter(kept).cloned().collect();
        while list.len() < MAX_ASSIGNERS {
            let Some(instance) = candidate(&list, input) else { break };
            list.push(NamedAssigner { instance, since });
        }
        if list.is_empty() { current.assigners.clone() } else { list }
    }

    fn first(&mut self, input: &AssignInput<'_>, promises: &mut PromiseIssuer) -> AssignStep {
        // An object that was there and is gone cannot be replaced without knowing its holders.
        if self.adopted.is_some() || !input.view.is_live(&self.me) {
            return AssignStep::Nothing;
        }
        let version = AssignmentVersion(1);
        promises.on_write_started(version);
        AssignStep::TakeRole(Assignment {
            version,
            op: input.op.clone(),
            assigners: vec![NamedAssigner { instance: self.me.clone(), since: version }],
            disputed: Vec::new(),
            holdings: IndexMap::new(),
        })
    }

    fn outsider(
        &mut self,
        current: &Assignment,
        input: &AssignInput<'_>,
        promises: &mut PromiseIssuer,
    ) -> AssignStep {
        let since = self.quiet_since(current, input);
        let takeover = takeover_time(self.settings.session_time);
        // Spreads the outsiders over one session time, so that not all write at once.
        let share = rendezvous_weight(ROLE_KEY, &self.me.host()) % 100;
        let wait = takeover * OUTSIDER_TAKEOVERS + self.settings.session_time.percent(share);
        let quiet = input.now.since(since) >= wait;
        if !quiet || !self.view_is_usable(input) || !input.view.is_live(&self.me) {
            return AssignStep::Nothing;
        }
        let next = self.taken_role(current, input);
        promises.on_write_started(next.version);
        AssignStep::TakeRole(next)
    }

    fn taken_role(&self, current: &Assignment, input: &AssignInput<'_>) -> Assignment {
        let version = current.version.next();
        let old = current.disputed.iter().chain(current.assigner_ids());
        let disputed: BTreeSet<_> = old.filter(|id| !input.view.has_ended(id)).cloned().collect();
        Assignment {
            version,
            op: input.op.clone(),
            assigners: vec![NamedAssigner { instance: self.me.clone(), since: version }],
            disputed: disputed.into_iter().collect(),
            holdings: current.holdings.clone(),
        }
    }

    fn quiet_since(&mut self, current: &Assignment, input: &AssignInput<'_>) -> Instant {
        let counter = |id| input.view.instances.get(id).map(|view| view.session.record.counter);
        let counters: Vec<_> = current.assigner_ids().map(counter).collect();
        let renewed = |(old, new): (&Option<u64>, &Option<u64>)| new.is_some() && old != new;
        let changed = self.quiet.version != Some(current.version)
            || self.quiet.counters.iter().zip(&counters).any(renewed);
        if changed {
            self.quiet.since = input.now;
        }
        self.quiet.version = Some(current.version);
        self.quiet.counters = counters;
        self.quiet.since.max(input.view.observed_since)
    }
}

#[derive(Debug, Default)]
struct Lost {
    fences: Vec<Fence>,
    gone: BTreeSet<InstanceId>,
}

impl Lost {
    fn fence(&mut self, id: &InstanceId, view: &InstanceView) {
        self.fences.push(Fence { instance: id.clone(), revision: view.session.revision });
    }
}

fn involved(current: &Assignment) -> BTreeSet<&InstanceId> {
    let holders = current.holdings.values().map(|holding| &holding.instance);
    holders.chain(current.holdings.values().filter_map(|holding| holding.from.as_ref())).collect()
}

fn candidate(list: &[NamedAssigner], input: &AssignInput<'_>) -> Option<InstanceId> {
    let in_zone = |view: &InstanceView| {
        let zone = |named: &&NamedAssigner| {
            let other = input.view.instances.get(&named.instance);
            other.is_some_and(|other| other.zone() == view.zone())
        };
        list.iter().filter(zone).count()
    };
    let zone_in = |view: &InstanceView| {
        let zone = input.document.zones.get(view.zone());
        zone.is_some_and(|zone| zone.state == AdminState::In)
    };
    let free = |id: &InstanceId| list.iter().all(|named| named.instance != *id);
    let all = input.view.instances.iter();
    let fit = all.filter(|(id, view)| view.is_live() && zone_in(view) && free(id));
    let rank = |(id, view): &(&InstanceId, &InstanceView)| {
        (in_zone(view), Reverse(rendezvous_weight(ROLE_KEY, &id.host())))
    };
    fit.min_by_key(rank).map(|(id, _)| id.clone())
}
