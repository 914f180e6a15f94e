//! Faults, drawn one after the other; some overlap.

use {
    crate::{SoakPlan, proxy::LinkMode, world::World},
    rand::RngExt,
    rustix::process::Signal,
    std::{
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::{leaf::LeafFault, store::StoreFault},
};

/// Kinds of faults.
const KINDS: usize = 16;
/// Kinds that leave hosts and store alone: after these, promises with a time bound hold throughout.
const CALM: [usize; 10] = [3, 4, 5, 7, 9, 11, 13, 14, 15, 15];
/// Time from a leaf's notice to its end; longer than hosts may still use it.
const LEAVING: Duration = Duration::from_millis(4_500);
/// Time for which a zone is out; longer than hosts may still use it.
const ZONE_OUT: Duration = Duration::from_millis(6_500);
/// Pause between faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..900;
/// Length of faults that end by themselves, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 300..2_500;

/// Longest wait for one fault to be undone at the end.
const LAST_STEP: Duration = Duration::from_millis(100);

/// Something to undo later.
enum Undo {
    Start(usize),
    StartWhenEnded(usize),
    Continue(usize),
    LeafSound(usize),
    LinkOpen(usize),
    StoreLinkOpen(usize),
    StoreSound,
    NewLeaf(String, String),
    EndLeaf(usize),
    ZoneBack,
}

/// Injects faults until the plan's time is over, then undoes all; returns what it did.
pub(crate) fn inject(world: &mut World, plan: &SoakPlan) -> Vec<String> {
    let end = Instant::now() + plan.fault_duration;
    let mut story = Vec::new();
    let mut undo: Vec<(Instant, Undo)> = Vec::new();
    while Instant::now() < end {
        let (what, then) = draw(world, plan);
        story.push(what);
        if let Some(then) = then {
            let length = match then {
                Undo::EndLeaf(_) => LEAVING,
                Undo::ZoneBack => ZONE_OUT,
                _ => Duration::from_millis(world.rng.random_range(LENGTH_MS)),
            };
            undo.push((Instant::now() + length, then));
        }
        let next = Instant::now() + Duration::from_millis(world.rng.random_range(PAUSE_MS));
        while Instant::now() < next {
            let due: Vec<usize> =
                (0..undo.len()).rev().filter(|n| undo[*n].0 <= Instant::now()).collect();
            for n in due {
                let (_, then) = undo.remove(n);
                undo.extend(take_back(world, then));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    while let Some((at, then)) = undo.pop() {
        thread::sleep(at.saturating_duration_since(Instant::now()).min(LAST_STEP));
        undo.extend(take_back(world, then));
    }
    story
}

fn draw(world: &mut World, plan: &SoakPlan) -> (String, Option<Undo>) {
    let host = world.rng.random_range(0..world.hosts.len());
    let leaf = world.draw_leaf();
    let name = world.hosts[host].name.clone();
    let id = world.leaves[leaf].0.id().to_owned();
    let kind = match plan.is_calm() {
        true => CALM[world.rng.random_range(0..CALM.len())],
        false => world.rng.random_range(0..KINDS),
    };
    match kind {
        0 => {
            world.disturb();
            world.hosts[host].kill();
            (format!("kill {name}"), Some(Undo::Start(host)))
        }
        1 => {
            world.disturb();
            world.hosts[host].signal(Signal::STOP);
            world.hosts[host].is_paused = true;
            (format!("pause {name}"), Some(Undo::Continue(host)))
        }
        2 => {
            world.hosts[host].signal(Signal::TERM);
            world.hosts[host].is_stopping = true;
            (format!("stop {name}"), Some(Undo::StartWhenEnded(host)))
        }
        3 => {
            world.hosts[host].signal(Signal::HUP);
            (format!("reload {name}"), None)
        }
        4 | 5 => {
            let single = if world.rng.random() { "one" } else { "two" };
            let extra = world.rng.random();
            world.configure(single, extra);
            (format!("configure {single} extra {extra}"), None)
        }
        6 => {
            world.disturb();
            let faults =
                [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent, StoreFault::Swallow];
            let fault = faults[world.rng.random_range(0..faults.len())];
            world.store.set_fault(fault);
            (format!("store {fault:?}"), Some(Undo::StoreSound))
        }
        7 => {
            world.store.compact_history();
            ("store forgets its history".to_owned(), None)
        }
        8 => {
            world.disturb();
            let modes = [
                LinkMode::Silent,
                LinkMode::OneWay,
                LinkMode::Closed,
                LinkMode::Slow(Duration::from_millis(200)),
            ];
            let mode = modes[world.rng.random_range(0..modes.len())];
            world.hosts[host].store_proxy.set_mode(mode);
            if mode == LinkMode::Closed {
                world.hosts[host].store_proxy.reset_connections();
            }
            (format!("link of {name} to the store {mode:?}"), Some(Undo::StoreLinkOpen(host)))
        }
        9 => {
            world.leaves[leaf].1.reset_connections();
            (format!("connections of {id} reset"), None)
        }
        10 => {
            let modes =
                [LinkMode::Silent, LinkMode::OneWay, LinkMode::Slow(Duration::from_millis(60))];
            let mode = modes[world.rng.random_range(0..modes.len())];
            world.leaves[leaf].1.set_mode(mode);
            (format!("link of {id} {mode:?}"), Some(Undo::LinkOpen(leaf)))
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
            let fault = faults[world.rng.random_range(0..faults.len())];
            world.leaves[leaf].0.set_fault(fault);
            (format!("{id} {fault:?}"), Some(Undo::LeafSound(leaf)))
        }
        13 => {
            let (service, zone) = (world.leaves[leaf].0.service().to_owned(), "a".to_owned());
            world.leaves[leaf].0.crash();
            world.leaves[leaf].0.unregister();
            (format!("{id} crashes"), Some(Undo::NewLeaf(service, zone)))
        }
        14 => {
            let zone = if world.rng.random() { "a" } else { "b" };
            match world.take_zone_out(zone) {
                true => (format!("zone {zone} out"), Some(Undo::ZoneBack)),
                false => ("another zone is out already".to_owned(), None),
            }
        }
        _ => {
            world.leaves[leaf].0.register("draining");
            world.history.left.push((id.clone(), Instant::now()));
            (format!("{id} leaves"), Some(Undo::EndLeaf(leaf)))
        }
    }
}

/// Undoes a fault; what follows from that is returned with its time.
fn take_back(world: &mut World, undo: Undo) -> Option<(Instant, Undo)> {
    let soon = Instant::now() + Duration::from_millis(100);
    match undo {
        Undo::Start(host) => {
            if world.hosts[host].has_ended() {
                start(world, host);
            }
        }
        // The host may have been killed and started again meanwhile.
        Undo::StartWhenEnded(host) if !world.hosts[host].is_stopping => {}
        Undo::StartWhenEnded(host) => {
            if world.hosts[host].is_paused {
                world.hosts[host].signal(Signal::CONT);
            }
            if !world.hosts[host].has_ended() {
                return Some((soon, Undo::StartWhenEnded(host)));
            }
            start(world, host);
        }
        Undo::Continue(host) => {
            world.disturb();
            world.hosts[host].signal(Signal::CONT);
            world.hosts[host].is_paused = false;
        }
        Undo::LeafSound(leaf) => world.leaves[leaf].0.set_fault(LeafFault::None),
        Undo::LinkOpen(leaf) => world.leaves[leaf].1.set_mode(LinkMode::Open),
        Undo::StoreLinkOpen(host) => {
            world.disturb();
            world.hosts[host].store_proxy.set_mode(LinkMode::Open);
        }
        Undo::StoreSound => {
            world.disturb();
            world.store.set_fault(StoreFault::None);
        }
        Undo::ZoneBack => world.take_zone_back(),
        Undo::NewLeaf(service, zone) => add_leaf(world, &service, &zone),
        Undo::EndLeaf(leaf) => {
            // It serves for as long as hosts may not know yet, and then ends.
            let service = world.leaves[leaf].0.service().to_owned();
            world.leaves[leaf].0.unregister();
            add_leaf(world, &service, "b");
        }
    }
    None
}

fn start(world: &mut World, host: usize) {
    world.disturb();
    if let Err(err) = world.hosts[host].spawn() {
        eprintln!("{} does not start: {err}", world.hosts[host].name);
    }
}

fn add_leaf(world: &mut World, service: &str, zone: &str) {
    if let Err(err) = world.add_leaf(service, zone) {
        eprintln!("a leaf of {service} does not start: {err}");
    }
}
