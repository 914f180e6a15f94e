//! Releases of services to good and bad versions of their leaves in a run.

use {
    crate::fleet::Fleet,
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::leaf::{BadKind, BadWhen, Badness},
};

/// Lines of the table `bounds` in the settings of hosts.
pub(crate) const BOUNDS: &str = "exposure_share = 0.1\nexposure_slack = 50\nrollback_ms = 5000\n";
/// Version of the leaves of a service whose release was not completed.
pub(crate) const FIRST_VERSION: &str = "v1";
const TARGET_VERSION: &str = "v2";
/// Services that are released, one after another and each at most once.
const SERVICES: [&str; 4] = ["one", "two", "shard-0", "shard-1"];
/// Time before the first order, in milliseconds. Hosts measure each other's share of the traffic first.
const FIRST_PAUSE_MS: std::ops::Range<u64> = 1_500..2_500;
/// Time between the end of a release and the next order, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..1_500;
/// Duration of an order in seconds.
const DURATION_S: std::ops::Range<u64> = 5..8;
/// Time added to the work of a slow version, several times the usual work.
const DELAY: Duration = Duration::from_millis(120);
/// Requests per second and leaf beyond which a version may be bad.
const HIGH_LOAD: usize = 10;
/// Longest wait for the end of the last release after its duration.
const FINAL_WAIT: Duration = Duration::from_secs(6);

/// An order and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Release {
    pub service: &'static str,
    /// Whether the version is bad.
    pub is_bad: bool,
    /// Ids of the leaves of the new version.
    pub candidates: Vec<String>,
    pub start: Instant,
    pub duration: Duration,
    /// Time when the status was seen to be `rolled_back`, if it was.
    pub rolled_back: Option<Instant>,
    /// Time when the status was seen to be `completed`, just before the old leaves stopped, if it was.
    pub completed: Option<Instant>,
    /// Ids of the old leaves that were stopped.
    pub stopped: Vec<String>,
}

impl Release {
    fn is_open(&self) -> bool {
        self.rolled_back.is_none() && self.completed.is_none()
    }
}

/// Releases of one run; one at a time is open.
pub(crate) struct Releases {
    rng: SmallRng,
    next_at: Instant,
    remaining: Vec<&'static str>,
}

impl Releases {
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let pause = Duration::from_millis(rng.random_range(FIRST_PAUSE_MS));
        Self { rng, next_at: Instant::now() + pause, remaining: SERVICES.to_vec() }
    }

    /// Does what is due; returns the description of an order, or of its end.
    pub fn advance(&mut self, fleet: &mut Fleet) -> Option<String> {
        let now = Instant::now();
        if fleet.history.releases.last().is_some_and(Release::is_open) {
            let description = end_release(fleet)?;
            self.next_at = now + Duration::from_millis(self.rng.random_range(PAUSE_MS));
            return Some(description);
        }
        if now < self.next_at || self.remaining.is_empty() {
            return None;
        }
        let service = self.remaining.remove(self.rng.random_range(0..self.remaining.len()));
        let duration = Duration::from_secs(self.rng.random_range(DURATION_S));
        let badness = self.rng.random::<bool>().then(|| self.draw_badness(service, now, duration));
        let description = format!("release of {service} in {duration:?}, {badness:?}");
        match order(fleet, service, duration, badness.as_ref()) {
            Ok(release) => fleet.history.releases.push(release),
            Err(err) => eprintln!("cannot start leaves of service {service}: {err}"),
        }
        Some(description)
    }

    fn draw_badness(&mut self, service: &str, now: Instant, duration: Duration) -> Badness {
        let kind = if self.rng.random() { BadKind::Fails } else { BadKind::Slow(DELAY) };
        let is_shard = service.starts_with("shard");
        let path = if is_shard { "/gather/" } else { "/read/" };
        let mut whens = vec![
            BadWhen::Always,
            BadWhen::Later(now + duration * self.rng.random_range(1..4) / 10),
            BadWhen::OnPath(path.to_owned()),
        ];
        // The other services lose all their requests at times, and would not show it before the end.
        if is_shard {
            whens.push(BadWhen::UnderLoad(HIGH_LOAD));
        }
        let when = whens.choose(&mut self.rng).cloned().unwrap_or(BadWhen::Always);
        let share = f64::from(self.rng.random_range(5..=10)) / 10.0;
        Badness { kind, share, when }
    }

    /// Waits for the end of the release that is open, if any.
    pub fn finish(&self, fleet: &mut Fleet) -> Option<String> {
        let last = fleet.history.releases.last().filter(|release| release.is_open())?;
        let deadline = last.start + last.duration + FINAL_WAIT;
        while Instant::now() < deadline {
            if let Some(description) = end_release(fleet) {
                return Some(description);
            }
            thread::sleep(Duration::from_millis(10));
        }
        Some("the last release has no final status".to_owned())
    }
}

/// Starts leaves of the new version, as fast as the newest old one, and writes the order.
fn order(
    fleet: &mut Fleet,
    service: &'static str,
    duration: Duration,
    badness: Option<&Badness>,
) -> std::io::Result<Release> {
    let mut candidates = Vec::new();
    let work = fleet.work_of(service);
    for zone in ["a", "b"] {
        let index = fleet.start_leaf(service, zone, work)?;
        let leaf = &fleet.leaves[index].0;
        leaf.set_version(TARGET_VERSION);
        leaf.set_badness(badness.cloned());
        leaf.register("ready");
        candidates.push(leaf.id().to_owned());
    }
    if !service.starts_with("shard") {
        // A release without requests shows nothing.
        fleet.configure(service, true);
    }
    let start = Instant::now();
    let spec = json!({
        "service": service, "target_version": TARGET_VERSION, "duration_s": duration.as_secs(),
    });
    fleet.store.put("rollouts", service, spec);
    let is_bad = badness.is_some();
    let (rolled_back, completed, stopped) = (None, None, Vec::new());
    Ok(Release { service, is_bad, candidates, start, duration, rolled_back, completed, stopped })
}

/// Ends the open release if its status is final; returns a description. Once it is completed, the old
/// leaves stop at once.
fn end_release(fleet: &mut Fleet) -> Option<String> {
    let release = fleet.history.releases.last_mut()?;
    let status = fleet.store.status("rollouts", release.service);
    let now = Instant::now();
    let state = status["state"].as_str()?;
    match state {
        "rolled_back" => release.rolled_back = Some(now),
        "completed" => {
            release.completed = Some(now);
            let is_old = |id: &str| !release.candidates.iter().any(|known| known == id);
            for (leaf, _) in &fleet.leaves {
                if leaf.service() == release.service && is_old(leaf.id()) {
                    leaf.crash();
                    leaf.unregister();
                    release.stopped.push(leaf.id().to_owned());
                }
            }
            fleet.versions.insert(release.service, TARGET_VERSION);
        }
        _ => return None,
    }
    let after = now - release.start;
    Some(format!("release of {} {state} after {after:?}", release.service))
}
