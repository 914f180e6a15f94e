//! The timeline: what happened in a process, as a bounded ring of typed events.
//!
//! Each process keeps its own ring. The lists of several processes merge into one view that is
//! ordered by wall-clock time; events of one process always keep their own order, even where its
//! wall clock was set back.

use {
    serde::{Deserialize, Serialize},
    std::{
        borrow::Cow,
        collections::{BTreeMap, VecDeque},
        fmt::{Display, Formatter, Result as FmtResult},
        sync::{
            Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{SystemTime, UNIX_EPOCH},
    },
    wigeonramp_units::{BootId, ConfigVersion, Epoch, HostId, LeafId, RequestId, ZoneId},
};

/// Shards of the ring; request threads record at the same time.
const RING_SHARDS: u64 = 16;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Kind of an event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The process started.
    HostStarted,
    /// The stop advanced to another state.
    HostDrain,
    /// The process stopped.
    HostStopped,
    /// A configuration version was adopted; field `op` names the operation that wrote it.
    ConfigAdopted,
    /// Another body of the adopted version was seen, of the configuration or the assignment.
    VersionConflict,
    /// A zone went out or came in.
    ZoneState,
    /// The configuration became stale; no new work is sent.
    ConfigStale,
    /// The configuration is fresh again.
    ConfigFresh,
    /// A plan was made.
    PlanMade,
    /// A plan was confirmed and is in force.
    PlanInForce,
    /// A plan was refused.
    PlanRefused,
    /// It is not known whether a plan was confirmed.
    PlanNotKnown,
    /// The session was renewed after it had been in doubt, or for the first time.
    SessionValid,
    /// The session expired.
    SessionExpired,
    /// A promise was given or refused.
    PromiseGiven,
    /// A round of promises ended.
    PromiseRound,
    /// An assignment version was adopted.
    AssignmentAdopted,
    /// This host wrote an assignment.
    AssignmentWritten,
    /// This host became an assigner.
    AssignerTaken,
    /// A dead instance's leaves were moved.
    Takeover,
    /// A leaf was acquired.
    LeafAcquired,
    /// A leaf was released.
    LeafReleased,
    /// A leaf's state changed.
    LeafState,
    /// A connection to a leaf was opened, refused or closed.
    LeafConnection,
    /// A query was admitted.
    QueryStarted,
    /// A query was answered.
    QueryFinished,
    /// A query was refused.
    QueryRefused,
    /// An attempt was sent.
    AttemptSent,
    /// An attempt ended.
    AttemptFinished,
    /// A hedge was sent.
    Hedge,
    /// A retry was sent.
    Retry,
    /// A reply was dropped because it does not match its attempt.
    ReplyDropped,
    /// A claim was granted, refused or found to be foreign.
    Claim,
    /// A fingerprint was suspected or quarantined.
    Quarantine,
    /// The store became unavailable.
    StoreUnavailable,
    /// The store is available again.
    StoreAvailable,
}

impl EventKind {
    /// The kind's name in JSON and text.
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            _ => format!("{self:?}"),
        }
    }

    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<EventKind> {
        serde_json::from_value(serde_json::Value::String(name.to_owned())).ok()
    }
}

/// Something that happened, before it is recorded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewEvent {
    kind: EventKind,
    at_unix_us: u64,
    config_version: Option<ConfigVersion>,
    epoch: Option<Epoch>,
    request: Option<RequestId>,
    leaf: Option<LeafId>,
    fields: BTreeMap<Cow<'static, str>, String>,
}

impl NewEvent {
    /// An event at `at_unix_us`, in microseconds since 1970.
    pub fn new(kind: EventKind, at_unix_us: u64) -> NewEvent {
        NewEvent {
            kind,
            at_unix_us,
            config_version: None,
            epoch: None,
            request: None,
            leaf: None,
            fields: BTreeMap::new(),
        }
    }

    /// An event that happens now.
    pub fn now(kind: EventKind) -> NewEvent {
        NewEvent::new(kind, unix_us())
    }

    /// The configuration version that applied.
    pub fn config_version(self, version: ConfigVersion) -> NewEvent {
        NewEvent { config_version: Some(version), ..self }
    }

    /// The leaf's epoch.
    pub fn epoch(self, epoch: Epoch) -> NewEvent {
        NewEvent { epoch: Some(epoch), ..self }
    }

    /// The request that it belongs to.
    pub fn request(self, request: &RequestId) -> NewEvent {
        NewEvent { request: Some(request.clone()), ..self }
    }

    /// The leaf that it belongs to.
    pub fn leaf(self, leaf: &LeafId) -> NewEvent {
        NewEvent { leaf: Some(leaf.clone()), ..self }
    }

    /// A further detail. `zone` is the key of the zone that the event is about.
    pub fn field(mut self, key: &'static str, value: impl ToString) -> NewEvent {
        self.fields.insert(Cow::Borrowed(key), value.to_string());
        self
    }
}

/// Microseconds of the wall clock since 1970.
pub fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Key of the field that names the zone an event is about.
const ZONE_FIELD: &str = "zone";

/// Something that happened in one process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TimelineEvent {
    /// Wall-clock time in microseconds since 1970.
    pub at_unix_us: u64,
    /// Position in the process's own order.
    pub seq: u64,
    /// Host of the process.
    pub host: HostId,
    /// Zone of the host.
    pub zone: ZoneId,
    /// Start of the process.
    pub boot: BootId,
    /// Configuration version that applied.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config_version: Option<ConfigVersion>,
    /// Epoch of the leaf.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<Epoch>,
    /// What happened.
    pub kind: EventKind,
    /// Request that it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Leaf that it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaf: Option<LeafId>,
    /// Further details.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fields: BTreeMap<Cow<'static, str>, String>,
}

impl Display for TimelineEvent {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        let (secs, micros) =
            (self.at_unix_us / MICROS_PER_SECOND, self.at_unix_us % MICROS_PER_SECOND);
        write!(f, "{secs}.{micros:06} {}@{} {}", self.host, self.boot, self.zone)?;
        write!(f, " {}", self.kind.name())?;
        write_pair(f, "config", self.config_version.as_ref())?;
        write_pair(f, "epoch", self.epoch.as_ref())?;
        write_pair(f, "request", self.request.as_ref())?;
        write_pair(f, "leaf", self.leaf.as_ref())?;
        self.fields.iter().try_for_each(|(key, value)| write_pair(f, key, Some(value)))
    }
}

fn write_pair<T: Display>(f: &mut Formatter<'_>, key: &str, value: Option<&T>) -> FmtResult {
    let Some(value) = value else { return Ok(()) };
    let text = value.to_string();
    if text.contains(|c: char| c.is_whitespace() || c.is_control() || c == '"') {
        return write!(f, " {key}={text:?}");
    }
    write!(f, " {key}={text}")
}

/// Which events to read; all conditions that are given must hold.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimelineFilter {
    /// Events of one request.
    pub request: Option<RequestId>,
    /// Events of one leaf.
    pub leaf: Option<LeafId>,
    /// Events of hosts in one zone, or about that zone.
    pub zone: Option<ZoneId>,
    /// Events under one configuration version.
    pub config_version: Option<ConfigVersion>,
    /// Events of one kind.
    pub kind: Option<EventKind>,
    /// Events at or after a time, in microseconds since 1970.
    pub since: Option<u64>,
}

impl TimelineFilter {
    /// Whether `event` meets all conditions.
    pub fn matches(&self, event: &TimelineEvent) -> bool {
        meets(self.request.as_ref(), event.request.as_ref())
            && meets(self.leaf.as_ref(), event.leaf.as_ref())
            && meets(self.config_version.as_ref(), event.config_version.as_ref())
            && meets(self.kind.as_ref(), Some(&event.kind))
            && self.since.is_none_or(|since| event.at_unix_us >= since)
            && self.zone.as_ref().is_none_or(|zone| in_zone(zone, event))
    }
}

fn meets<T: PartialEq>(wanted: Option<&T>, found: Option<&T>) -> bool {
    wanted.is_none() || wanted == found
}

fn in_zone(zone: &ZoneId, event: &TimelineEvent) -> bool {
    let about = event.fields.get(ZONE_FIELD);
    event.zone == *zone || about.is_some_and(|about| about == zone.as_str())
}

/// The ring of one process.
pub struct Timeline {
    host: HostId,
    zone: ZoneId,
    boot: BootId,
    shard_capacity: usize,
    next_seq: AtomicU64,
    dropped: AtomicU64,
    shards: Vec<Mutex<VecDeque<TimelineEvent>>>,
}

impl Timeline {
    /// An empty ring that keeps about `capacity` events, and drops the oldest beyond that.
    pub fn new(host: HostId, zone: ZoneId, boot: BootId, capacity: usize) -> Timeline {
        let shard_capacity = capacity.div_ceil(RING_SHARDS as usize).max(1);
        Timeline {
            host,
            zone,
            boot,
            shard_capacity,
            next_seq: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            shards: (0..RING_SHARDS).map(|_| Mutex::new(VecDeque::new())).collect(),
        }
    }

    /// Records `entry`; returns its position.
    pub fn record(&self, entry: NewEvent) -> u64 {
        let seq = self.next_seq.fetch_add(1, Ordering::Relaxed);
        let NewEvent { kind, at_unix_us, config_version, epoch, request, leaf, fields } = entry;
        let event = TimelineEvent {
            at_unix_us,
            seq,
            host: self.host.clone(),
            zone: self.zone.clone(),
            boot: self.boot.clone(),
            config_version,
            epoch,
            kind,
            request,
            leaf,
            fields,
        };
        let mut ring = lock(&self.shards[(seq % RING_SHARDS) as usize]);
        if ring.len() == self.shard_capacity {
            ring.pop_front();
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        ring.push_back(event);
        seq
    }

    /// The kept events that meet `filter`, in their order.
    pub fn read(&self, filter: &TimelineFilter) -> Vec<TimelineEvent> {
        let matching = |ring: &Mutex<VecDeque<TimelineEvent>>| -> Vec<TimelineEvent> {
            lock(ring).iter().filter(|event| filter.matches(event)).cloned().collect()
        };
        let mut events: Vec<_> = self.shards.iter().flat_map(matching).collect();
        events.sort_unstable_by_key(|event| event.seq);
        events
    }

    /// The answer to a read over HTTP.
    pub fn response(&self, filter: &TimelineFilter) -> TimelineResponse {
        TimelineResponse {
            host: self.host.clone(),
            boot: self.boot.clone(),
            dropped: self.dropped.load(Ordering::Relaxed),
            events: self.read(filter),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One process's events, as `GET /v1/timeline` answers.
///
/// The query parameters are the fields of `TimelineFilter`, each at most once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TimelineResponse {
    /// The host.
    pub host: HostId,
    /// Its present start.
    pub boot: BootId,
    /// Events that the ring no longer has.
    pub dropped: u64,
    /// Events in the process's order.
    pub events: Vec<TimelineEvent>,
}

/// Events of several processes in one order, without duplicates.
///
/// Sorted by time, then host, start and position. An event whose time lies before that of an
/// earlier event of its own process is placed right after that one.
pub fn merge(lists: impl IntoIterator<Item = Vec<TimelineEvent>>) -> Vec<TimelineEvent> {
    let mut events: Vec<_> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| (&a.host, &a.boot, a.seq).cmp(&(&b.host, &b.boot, b.seq)));
    events.dedup_by(|a, b| (&a.host, &a.boot, a.seq) == (&b.host, &b.boot, b.seq));
    let mut placed: Vec<(u64, TimelineEvent)> = Vec::with_capacity(events.len());
    for event in events {
        let before = placed.last().filter(|(_, last)| same_process(last, &event));
        let at = before.map_or(event.at_unix_us, |(at, _)| event.at_unix_us.max(*at));
        placed.push((at, event));
    }
    // The sort is stable, so ties stay sorted by host, start and position.
    placed.sort_by_key(|(at, _)| *at);
    placed.into_iter().map(|(_, event)| event).collect()
}

fn same_process(a: &TimelineEvent, b: &TimelineEvent) -> bool {
    a.host == b.host && a.boot == b.boot
}

/// Events as text, one a line.
pub fn to_text(events: &[TimelineEvent]) -> String {
    events.iter().map(|event| format!("{event}\n")).collect()
}

/// Events as a JSON array.
pub fn to_json(events: &[TimelineEvent]) -> String {
    serde_json::to_string(events).expect("events serialize to JSON")
}
