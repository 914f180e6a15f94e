//! Injection of random faults, one after the other; some overlap.

use {
    crate::{
        SoakPlan, accounts::AccountChanges, fleet::Fleet, limits::LeafLimits, notices::LeafNotices,
        proxy::LinkMode, releases::Releases, store_copies::StoreCopies,
    },
    rand::RngExt,
    rustix::process::Signal,
    std::{
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::{leaf::LeafFault, store::StoreFault},
};

/// Number of fault kinds, which are numbered as in `inject_random_fault`.
const KINDS: usize = 17;
/// Fault kinds that leave hosts and store running, so that invariants with a time limit hold
/// throughout. Kinds listed twice are drawn more often.
const MILD_KINDS: [usize; 12] = [3, 4, 5, 7, 9, 11, 13, 14, 15, 15, 16, 16];
/// Time from a leaf's registration as draining to its end; longer than hosts may still use it.
const DRAIN_TIME: Duration = Duration::from_millis(4_500);
/// Time for which a zone is out; longer than hosts may still use the zone.
const EVACUATION_TIME: Duration = Duration::from_millis(6_500);
/// Time for which the store turns some hosts away; longer than changes may take.
const TURNED_AWAY_TIME: Duration = Duration::from_millis(5_000);
/// Pause between faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..900;
/// Duration of other faults that end, in milliseconds.
const FAULT_LENGTH_MS: std::ops::Range<u64> = 300..2_500;

/// Maximum wait before undoing each fault that is still active when the plan's time is over.
const MAX_FINAL_WAIT: Duration = Duration::from_millis(100);

/// Action that ends a fault. Numbers are indices of hosts and leaves.
enum Undo {
    StartHost(usize),
    RestartWhenEnded(usize),
    ResumeHost(usize),
    ClearLeafFault(usize),
    OpenLeafLink(usize),
    OpenStoreLink(usize),
    ClearStoreFault,
    /// Starts a leaf of this service in this zone.
    ReplaceLeaf(String, String),
    EndDrainingLeaf(usize),
    EndEvacuation,
    ServeAllHosts,
}

/// Injects faults until the plan's time is over and then undoes them; returns their descriptions.
pub(crate) fn inject(fleet: &mut Fleet, plan: &SoakPlan) -> Vec<String> {
    let end = Instant::now() + plan.fault_duration;
    let mut injected = Vec::new();
    let mut pending: Vec<(Instant, Undo)> = Vec::new();
    let mut copies = plan.restores_store().then(|| StoreCopies::new(plan.seed));
    let mut notices = plan.notifies().then(|| LeafNotices::new(plan.seed));
    let mut limits = plan.limits_leaves().then(|| LeafLimits::new(plan.seed));
    let mut accounts = plan.has_accounts().then(|| AccountChanges::new(plan.seed));
    let mut releases = plan.releases_services().then(|| Releases::new(plan.seed));
    while Instant::now() < end {
        let (description, undo) = inject_random_fault(fleet, plan);
        injected.push(description);
        if let Some(undo) = undo {
            let duration = match undo {
                Undo::EndDrainingLeaf(_) => DRAIN_TIME,
                Undo::EndEvacuation => EVACUATION_TIME,
                Undo::ServeAllHosts => TURNED_AWAY_TIME,
                _ => Duration::from_millis(fleet.rng.random_range(FAULT_LENGTH_MS)),
            };
            pending.push((Instant::now() + duration, undo));
        }
        let next = Instant::now() + Duration::from_millis(fleet.rng.random_range(PAUSE_MS));
        while Instant::now() < next {
            let due: Vec<usize> =
                (0..pending.len()).rev().filter(|n| pending[*n].0 <= Instant::now()).collect();
            for n in due {
                let (_, undo) = pending.remove(n);
                pending.extend(undo_fault(fleet, undo));
            }
            injected.extend(copies.as_mut().and_then(|copies| copies.advance(fleet)));
            injected.extend(notices.as_mut().and_then(|notices| notices.advance(fleet)));
            injected.extend(limits.as_mut().and_then(|limits| limits.advance(fleet)));
            injected.extend(accounts.as_mut().and_then(|accounts| accounts.advance(fleet)));
            injected.extend(releases.as_mut().and_then(|releases| releases.advance(fleet)));
            thread::sleep(Duration::from_millis(20));
        }
    }
    if let Some(mut notices) = notices {
        notices.finish(fleet);
    }
    if let Some(mut limits) = limits {
        limits.finish(fleet);
    }
    if let Some(accounts) = accounts {
        accounts.finish(fleet);
    }
    if let Some(mut copies) = copies {
        copies.finish(fleet);
    }
    while let Some((at, undo)) = pending.pop() {
        thread::sleep(at.saturating_duration_since(Instant::now()).min(MAX_FINAL_WAIT));
        pending.extend(undo_fault(fleet, undo));
    }
    injected.extend(releases.and_then(|releases| releases.finish(fleet)));
    injected
}

/// Injects a random fault; returns its description and the action that ends it.
fn inject_random_fault(fleet: &mut Fleet, plan: &SoakPlan) -> (String, Option<Undo>) {
    let host = fleet.rng.random_range(0..fleet.hosts.len());
    let leaf = fleet.pick_leaf();
    let name = fleet.hosts[host].name.clone();
    let id = fleet.leaves[leaf].0.id().to_owned();
    let kind = match plan.spares_hosts_and_store() {
        true => MILD_KINDS[fleet.rng.random_range(0..MILD_KINDS.len())],
        false => fleet.rng.random_range(0..KINDS),
    };
    match kind {
        0 => {
            fleet.record_disturbance();
            fleet.record_interruption(host);
            fleet.hosts[host].kill();
            (format!("kill {name}"), Some(Undo::StartHost(host)))
        }
        1 => {
            fleet.record_disturbance();
            fleet.record_interruption(host);
            fleet.hosts[host].signal(Signal::STOP);
            fleet.hosts[host].is_paused = true;
            (format!("pause {name}"), Some(Undo::ResumeHost(host)))
        }
        2 => {
            fleet.record_interruption(host);
            fleet.hosts[host].signal(Signal::TERM);
            fleet.hosts[host].is_stopping = true;
            (format!("stop {name}"), Some(Undo::RestartWhenEnded(host)))
        }
        3 => {
            fleet.hosts[host].signal(Signal::HUP);
            (format!("reload {name}"), None)
        }
        4 | 5 => {
            let service = if fleet.rng.random() { "one" } else { "two" };
            let has_extra_route = fleet.rng.random();
            fleet.configure(service, has_extra_route);
            (format!("configure {service} extra {has_extra_route}"), None)
        }
        6 => {
            fleet.record_disturbance();
            let faults =
                [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent, StoreFault::Swallow];
            let fault = faults[fleet.rng.random_range(0..faults.len())];
            fleet.store.set_fault(fault);
            (format!("store {fault:?}"), Some(Undo::ClearStoreFault))
        }
        7 => {
            fleet.store.compact_history();
            ("store drops its change history".to_owned(), None)
        }
        8 => {
            fleet.record_disturbance();
            let modes = [
                LinkMode::Silent,
                LinkMode::OneWay,
                LinkMode::Closed,
                LinkMode::Slow(Duration::from_millis(200)),
            ];
            let mode = modes[fleet.rng.random_range(0..modes.len())];
            fleet.hosts[host].store_proxy.set_mode(mode);
            if mode == LinkMode::Closed {
                fleet.hosts[host].store_proxy.reset_connections();
            }
            (format!("link of {name} to the store {mode:?}"), Some(Undo::OpenStoreLink(host)))
        }
        9 => {
            fleet.leaves[leaf].1.reset_connections();
            (format!("connections of {id} reset"), None)
        }
        10 => {
            let modes =
                [LinkMode::Silent, LinkMode::OneWay, LinkMode::Slow(Duration::from_millis(60))];
            let mode = modes[fleet.rng.random_range(0..modes.len())];
            fleet.leaves[leaf].1.set_mode(mode);
            (format!("link of {id} {mode:?}"), Some(Undo::OpenLeafLink(leaf)))
        }
        11 | 12 => {
            let faults = [
                LeafFault::Slow(Duration::from_millis(80)),
                LeafFault::Shed,
                LeafFault::LosesAnswers,
                LeafFault::Truncates,
                LeafFault::Doubles,
                LeafFault::Mute,
            ];
            let fault = faults[fleet.rng.random_range(0..faults.len())];
            fleet.leaves[leaf].0.set_fault(fault);
            (format!("{id} {fault:?}"), Some(Undo::ClearLeafFault(leaf)))
        }
        13 => {
            let (service, zone) = (fleet.leaves[leaf].0.service().to_owned(), "a".to_owned());
            fleet.leaves[leaf].0.crash();
            fleet.leaves[leaf].0.unregister();
            (format!("{id} crashes"), Some(Undo::ReplaceLeaf(service, zone)))
        }
        14 => {
            let zone = if fleet.rng.random() { "a" } else { "b" };
            match fleet.evacuate_zone(zone) {
                true => (format!("zone {zone} out"), Some(Undo::EndEvacuation)),
                false => ("another zone is out already".to_owned(), None),
            }
        }
        16 => {
            let faults =
                [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent, StoreFault::Limited];
            let fault = faults[fleet.rng.random_range(0..faults.len())];
            match fleet.turn_hosts_away(fault) {
                true => (format!("store {fault:?} for some"), Some(Undo::ServeAllHosts)),
                false => ("the store turns hosts away already".to_owned(), None),
            }
        }
        _ => {
            fleet.leaves[leaf].0.register("draining");
            fleet.history.draining.push((id.clone(), Instant::now()));
            (format!("{id} drains"), Some(Undo::EndDrainingLeaf(leaf)))
        }
    }
}

/// Undoes a fault; returns a further action and its time if this one could not complete it yet.
fn undo_fault(fleet: &mut Fleet, undo: Undo) -> Option<(Instant, Undo)> {
    let retry_at = Instant::now() + Duration::from_millis(100);
    match undo {
        Undo::StartHost(host) => {
            if fleet.hosts[host].has_ended() {
                start_host(fleet, host);
            }
        }
        // The host was killed and started again meanwhile.
        Undo::RestartWhenEnded(host) if !fleet.hosts[host].is_stopping => {}
        Undo::RestartWhenEnded(host) => {
            if fleet.hosts[host].is_paused {
                fleet.hosts[host].signal(Signal::CONT);
            }
            if !fleet.hosts[host].has_ended() {
                return Some((retry_at, Undo::RestartWhenEnded(host)));
            }
            start_host(fleet, host);
        }
        Undo::ResumeHost(host) => {
            fleet.record_disturbance();
            fleet.record_interruption(host);
            fleet.hosts[host].signal(Signal::CONT);
            fleet.hosts[host].is_paused = false;
        }
        Undo::ClearLeafFault(leaf) => fleet.leaves[leaf].0.set_fault(LeafFault::None),
        Undo::OpenLeafLink(leaf) => fleet.leaves[leaf].1.set_mode(LinkMode::Open),
        Undo::OpenStoreLink(host) => {
            fleet.record_disturbance();
            fleet.hosts[host].store_proxy.set_mode(LinkMode::Open);
        }
        Undo::ClearStoreFault => {
            fleet.record_disturbance();
            fleet.store.set_fault(StoreFault::None);
        }
        Undo::EndEvacuation => fleet.end_evacuation(),
        Undo::ServeAllHosts => fleet.serve_all_hosts(),
        Undo::ReplaceLeaf(service, zone) => add_leaf(fleet, &service, &zone),
        Undo::EndDrainingLeaf(leaf) => {
            // The leaf served until now, for hosts that had not yet seen that it is draining.
            let service = fleet.leaves[leaf].0.service().to_owned();
            fleet.leaves[leaf].0.unregister();
            add_leaf(fleet, &service, "b");
        }
    }
    None
}

fn start_host(fleet: &mut Fleet, host: usize) {
    fleet.record_disturbance();
    fleet.record_interruption(host);
    if let Err(err) = fleet.hosts[host].spawn() {
        eprintln!("cannot start host {}: {err}", fleet.hosts[host].name);
    }
}

fn add_leaf(fleet: &mut Fleet, service: &str, zone: &str) {
    if let Err(err) = fleet.add_leaf(service, zone) {
        eprintln!("cannot start a leaf of service {service}: {err}");
    }
}
