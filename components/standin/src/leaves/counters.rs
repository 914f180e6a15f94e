//! What leaves count.

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::{SystemTime, UNIX_EPOCH},
    wigeonramp_units::{BootId, LeafId, RequestId, UnixMillis},
};

/// Most request ids whose runs are kept for each leaf; further ones are only counted, so that a
/// long load run stays within memory.
const MAX_TRACKED_RUNS: usize = 20_000;

/// Counters of one leaf since its start or the last `DELETE /counters`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeafCounters {
    /// Search requests that arrived.
    pub arrived: u64,
    /// Requests that started to run.
    pub run: u64,
    /// Requests that were answered with rows.
    pub answered: u64,
    /// Requests refused with 503, because of load or a fault.
    pub shed: u64,
    /// Requests refused with 409 for a snapshot, map version or shard that the leaf lacks.
    pub lost_snapshot: u64,
    /// Requests refused with 410.
    pub refused_leaving: u64,
    /// Requests refused with 400 or 413.
    pub malformed: u64,
    /// Requests refused with 504 because their deadline had passed.
    pub past_deadline: u64,
    /// Requests ended by `DELETE /search/<attempt>`.
    pub cancelled: u64,
    /// Requests whose connection ended before their answer, by the sender or by a crash.
    pub abandoned: u64,
    /// Requests that arrived and are not answered, now.
    pub in_flight: u64,
    /// Most requests that had arrived and were not answered.
    pub most_in_flight: u64,
    /// Requests that wait for a slot, now.
    pub waiting: u64,
    /// Most slots in use at the same time, by requests and connects.
    pub most_slots: u64,
    /// Connections accepted.
    pub connects: u64,
    /// Connections reset because of the connection cap.
    pub connects_refused: u64,
    /// Connections open now.
    pub open_connections: u64,
    /// Most connections open at the same time.
    pub most_connections: u64,
    /// Cold starts, the first one included.
    pub cold_starts: u64,
    /// Requests and connects beyond what the cold leaf bears.
    pub cold_violations: u64,
    /// Requests and connects beyond what the cold leaf bears, before a sender could know of the
    /// cold start.
    pub cold_unannounced: u64,
    /// Most requests in flight while cold that arrived while cold.
    pub most_cold_in_flight: u64,
    /// Most requests and connects within one second while cold.
    pub most_cold_per_second: u64,
    /// Crashes.
    pub crashes: u64,
    /// Wall-clock time of the last new search request; 0 before the first.
    pub last_request: UnixMillis,
    /// Bytes of request bodies.
    pub bytes_in: u64,
    /// Bytes of answer bodies.
    pub bytes_out: u64,
    /// Runs by request id.
    pub runs: IndexMap<RequestId, u32>,
    /// Runs of request ids that were not tracked because too many were.
    pub untracked_runs: u64,
}

impl LeafCounters {
    pub(crate) fn count_run(&mut self, id: &RequestId) {
        self.run += 1;
        if let Some(runs) = self.runs.get_mut(id) {
            *runs += 1;
        } else if self.runs.len() < MAX_TRACKED_RUNS {
            self.runs.insert(id.clone(), 1);
        } else {
            self.untracked_runs += 1;
        }
    }

    pub(crate) fn count_arrival(&mut self, now: UnixMillis) {
        self.arrived += 1;
        self.last_request = now;
        self.in_flight += 1;
        self.most_in_flight = self.most_in_flight.max(self.in_flight);
    }

    /// Starts over; what is open or in flight stays counted.
    pub(crate) fn reset(&mut self) {
        *self = Self {
            in_flight: self.in_flight,
            most_in_flight: self.in_flight,
            open_connections: self.open_connections,
            most_connections: self.open_connections,
            ..Self::default()
        };
    }
}

/// Counters and state of one leaf, as `GET /counters` lists them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeafStatus {
    /// The leaf.
    pub leaf: LeafId,
    /// Its boot id now.
    pub boot: BootId,
    /// Whether it is cold.
    pub cold: bool,
    /// Its counters.
    pub counters: LeafCounters,
}

/// The wall-clock time now.
pub(crate) fn unix_now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
