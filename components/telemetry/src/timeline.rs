//! The timeline: a bounded ring buffer of typed events in each process.
//!
//! The events of several processes can be merged into one list that is ordered by wall-clock time.
//! Events of the same process always keep the order in which they were recorded, even if the
//! process's wall clock was set back in between.

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

/// Number of shards of the ring buffer, each with its own lock, because request threads record
/// events concurrently.
const RING_SHARDS: u64 = 16;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Kind of an event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The process started.
    HostStarted,
    /// The shutdown advanced to another state.
    HostDrain,
    /// The process stopped.
    HostStopped,
    /// A configuration version was adopted; field `op` names the operation that wrote it.
    ConfigAdopted,
    /// A configuration or assignment with the adopted version but a different body was seen.
    VersionConflict,
    /// A zone was taken out of service or put back into service.
    ZoneState,
    /// The configuration became stale; the host stops sending new work.
    ConfigStale,
    /// The configuration is fresh again.
    ConfigFresh,
    /// A plan was created.
    PlanMade,
    /// A plan was confirmed and is in force.
    PlanInForce,
    /// A plan was refused.
    PlanRefused,
    /// It is unknown whether a plan was confirmed.
    PlanNotKnown,
    /// The session was established, or renewed after its validity had been in doubt.
    SessionValid,
    /// The session expired.
    SessionExpired,
    /// This host, as an assigner, gave or refused a promise to a holder; repetitions of the same
    /// answer are not recorded.
    PromiseGiven,
    /// This host gained or lost the valid promises of all assigners.
    PromiseRound,
    /// An assignment version was adopted.
    AssignmentAdopted,
    /// This host wrote an assignment.
    AssignmentWritten,
    /// This host became an assigner.
    AssignerTaken,
    /// The leaves of a dead instance were reassigned.
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
    /// An attempt was sent to a leaf.
    AttemptSent,
    /// An attempt ended.
    AttemptFinished,
    /// A hedged attempt was sent.
    Hedge,
    /// A retried attempt was sent.
    Retry,
    /// A reply was dropped because it does not match its attempt.
    ReplyDropped,
    /// The claim of a non-idempotent request was granted, refused or found to be held by another
    /// submission.
    Claim,
    /// The fingerprint of a request was suspected or quarantined.
    Quarantine,
    /// The store became unavailable.
    StoreUnavailable,
    /// The store is available again.
    StoreAvailable,
}

impl EventKind {
    /// Returns the name of the kind, as used in JSON and text.
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            _ => format!("{self:?}"),
        }
    }

    /// Returns the kind with this name, if there is one.
    pub fn from_name(name: &str) -> Option<EventKind> {
        serde_json::from_value(serde_json::Value::String(name.to_owned())).ok()
    }
}

/// An event to be recorded.
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
    /// Creates an event at `at_unix_us`, in microseconds since the Unix epoch.
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

    /// Creates an event at the current time.
    pub fn now(kind: EventKind) -> NewEvent {
        NewEvent::new(kind, unix_us())
    }

    /// Sets the configuration version that applied.
    pub fn config_version(self, version: ConfigVersion) -> NewEvent {
        NewEvent { config_version: Some(version), ..self }
    }

    /// Sets the ownership epoch of the leaf.
    pub fn epoch(self, epoch: Epoch) -> NewEvent {
        NewEvent { epoch: Some(epoch), ..self }
    }

    /// Sets the request that the event belongs to.
    pub fn request(self, request: &RequestId) -> NewEvent {
        NewEvent { request: Some(request.clone()), ..self }
    }

    /// Sets the leaf that the event belongs to.
    pub fn leaf(self, leaf: &LeafId) -> NewEvent {
        NewEvent { leaf: Some(leaf.clone()), ..self }
    }

    /// Adds a field. The key `zone` names the zone that the event is about.
    pub fn field(mut self, key: &'static str, value: impl ToString) -> NewEvent {
        self.fields.insert(Cow::Borrowed(key), value.to_string());
        self
    }
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub fn unix_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// Key of the field with the zone that an event is about.
const ZONE_FIELD: &str = "zone";

/// A recorded event of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TimelineEvent {
    /// Wall-clock time in microseconds since the Unix epoch.
    pub at_unix_us: u64,
    /// Sequence number within the process.
    pub seq: u64,
    /// Host of the process.
    pub host: HostId,
    /// Zone of the host.
    pub zone: ZoneId,
    /// Boot id of the process.
    pub boot: BootId,
    /// Configuration version that applied, if recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config_version: Option<ConfigVersion>,
    /// Ownership epoch of the leaf.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<Epoch>,
    /// What happened.
    pub kind: EventKind,
    /// Request that the event belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Leaf that the event belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaf: Option<LeafId>,
    /// Further details, by key.
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

/// Filter for events; an event must meet every condition that is given.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimelineFilter {
    /// Selects events of a request.
    pub request: Option<RequestId>,
    /// Selects events of a leaf.
    pub leaf: Option<LeafId>,
    /// Selects events of hosts in a zone, and events about that zone.
    pub zone: Option<ZoneId>,
    /// Selects events to which a configuration version applied.
    pub config_version: Option<ConfigVersion>,
    /// Selects events of a kind.
    pub kind: Option<EventKind>,
    /// Selects events at or after a time, in microseconds since the Unix epoch.
    pub since: Option<u64>,
}

impl TimelineFilter {
    /// Returns whether `event` meets all conditions.
    pub fn matches(&self, event: &TimelineEvent) -> bool {
        meets(self.request.as_ref(), event.request.as_ref())
            && meets(self.leaf.as_ref(), event.leaf.as_ref())
            && meets(self.config_version.as_ref(), event.config_version.as_ref())
            && meets(self.kind.as_ref(), Some(&event.kind))
            && self.since.is_none_or(|since| event.at_unix_us >= since)
            && self.zone.as_ref().is_none_or(|zone| concerns_zone(zone, event))
    }
}

fn meets<T: PartialEq>(wanted: Option<&T>, found: Option<&T>) -> bool {
    wanted.is_none() || wanted == found
}

fn concerns_zone(zone: &ZoneId, event: &TimelineEvent) -> bool {
    let about = event.fields.get(ZONE_FIELD);
    event.zone == *zone || about.is_some_and(|about| about == zone.as_str())
}

/// The ring buffer of a process, divided into shards by sequence number.
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
    /// Creates an empty ring buffer that keeps about `capacity` events and drops the oldest ones
    /// beyond that.
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

    /// Records `event` and returns its sequence number.
    pub fn record(&self, event: NewEvent) -> u64 {
        let seq = self.next_seq.fetch_add(1, Ordering::Relaxed);
        let NewEvent { kind, at_unix_us, config_version, epoch, request, leaf, fields } = event;
        let recorded = TimelineEvent {
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
        let mut shard = lock(&self.shards[(seq % RING_SHARDS) as usize]);
        if shard.len() == self.shard_capacity {
            shard.pop_front();
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        shard.push_back(recorded);
        seq
    }

    /// Returns the events that meet `filter`, in the order of recording.
    pub fn read(&self, filter: &TimelineFilter) -> Vec<TimelineEvent> {
        let matching = |shard: &Mutex<VecDeque<TimelineEvent>>| -> Vec<TimelineEvent> {
            lock(shard).iter().filter(|event| filter.matches(event)).cloned().collect()
        };
        let mut events: Vec<_> = self.shards.iter().flat_map(matching).collect();
        events.sort_unstable_by_key(|event| event.seq);
        events
    }

    /// Returns the response body of `GET /v1/timeline` with the events that meet `filter`.
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

/// Response body of `GET /v1/timeline`: the events of one process.
///
/// The query parameters are the fields of `TimelineFilter`, each given at most once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TimelineResponse {
    /// Host of the process.
    pub host: HostId,
    /// Current boot id of the host.
    pub boot: BootId,
    /// Number of events that the ring buffer has dropped.
    pub dropped: u64,
    /// Events in the order of recording.
    pub events: Vec<TimelineEvent>,
}

/// Merges the events of several processes into one list without duplicates.
///
/// Events are sorted by time, then by host, boot id and sequence number. An event with an earlier
/// time than a preceding event of the same process is placed right after that event.
pub fn merge(lists: impl IntoIterator<Item = Vec<TimelineEvent>>) -> Vec<TimelineEvent> {
    let mut events: Vec<_> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| (&a.host, &a.boot, a.seq).cmp(&(&b.host, &b.boot, b.seq)));
    events.dedup_by(|a, b| (&a.host, &a.boot, a.seq) == (&b.host, &b.boot, b.seq));
    let mut timed: Vec<(u64, TimelineEvent)> = Vec::with_capacity(events.len());
    for event in events {
        let previous = timed.last().filter(|(_, last)| same_process(last, &event));
        let at = previous.map_or(event.at_unix_us, |(at, _)| event.at_unix_us.max(*at));
        timed.push((at, event));
    }
    // The sort is stable, so ties stay sorted by host, boot id and sequence number.
    timed.sort_by_key(|(at, _)| *at);
    timed.into_iter().map(|(_, event)| event).collect()
}

fn same_process(a: &TimelineEvent, b: &TimelineEvent) -> bool {
    a.host == b.host && a.boot == b.boot
}

/// Formats events as text, one per line.
pub fn to_text(events: &[TimelineEvent]) -> String {
    events.iter().map(|event| format!("{event}\n")).collect()
}

/// Formats events as a JSON array.
pub fn to_json(events: &[TimelineEvent]) -> String {
    serde_json::to_string(events).expect("events serialize to JSON")
}
