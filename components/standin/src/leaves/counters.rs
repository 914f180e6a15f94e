//! Counters and status of leaves.

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::{SystemTime, UNIX_EPOCH},
    wigeonramp_units::{BootId, LeafId, RequestId, UnixMillis},
};

/// Maximum number of request ids per leaf whose runs are tracked. Runs of further ids are only
/// counted, to bound the memory of long load tests.
const MAX_TRACKED_RUNS: usize = 20_000;

/// Counters of one leaf since the process started or since the last `DELETE /counters`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeafCounters {
    /// Search requests received.
    pub arrived: u64,
    /// Requests that started to run.
    pub run: u64,
    /// Requests that got a response with rows.
    pub answered: u64,
    /// Requests rejected with 503 because of load or a fault.
    pub shed: u64,
    /// Requests rejected with 409 for a snapshot, map version or shard that the leaf does not hold.
    pub lost_snapshot: u64,
    /// Requests rejected with 410 because the leaf is leaving.
    pub refused_leaving: u64,
    /// Requests rejected with 400 or 413.
    pub malformed: u64,
    /// Requests rejected with 504 because their deadline had passed.
    pub past_deadline: u64,
    /// Requests cancelled by `DELETE /search/<attempt>`.
    pub cancelled: u64,
    /// Requests whose connection was closed before the response, by the client or by a crash.
    pub abandoned: u64,
    /// Requests currently in flight.
    pub in_flight: u64,
    /// Maximum of `in_flight`.
    pub most_in_flight: u64,
    /// Requests currently waiting for a slot.
    pub waiting: u64,
    /// Maximum number of slots in use at the same time, by requests and connects.
    pub most_slots: u64,
    /// Connections accepted.
    pub connects: u64,
    /// Connections reset because of the connection limit.
    pub connects_refused: u64,
    /// Connections currently open.
    pub open_connections: u64,
    /// Maximum of `open_connections`.
    pub most_connections: u64,
    /// Cold starts, including the first.
    pub cold_starts: u64,
    /// Requests and connects beyond the cold limits, after clients could know of the cold start.
    pub cold_violations: u64,
    /// Requests and connects beyond the cold limits, before clients could know of the cold start.
    pub cold_unannounced: u64,
    /// Maximum number of requests in flight while cold, of those that arrived while cold.
    pub most_cold_in_flight: u64,
    /// Maximum number of requests and connects within one second while cold.
    pub most_cold_per_second: u64,
    /// Crashes.
    pub crashes: u64,
    /// Wall-clock time of the last search request; 0 before the first.
    pub last_request: UnixMillis,
    /// Bytes of request bodies received.
    pub bytes_in: u64,
    /// Bytes of response bodies sent.
    pub bytes_out: u64,
    /// Number of runs by request id.
    pub runs: IndexMap<RequestId, u32>,
    /// Runs of request ids beyond the maximum number of tracked ones.
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

    /// Resets all counters except those of requests in flight and open connections.
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

/// Status of one leaf; element of the response to `GET /counters`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeafStatus {
    /// Id of the leaf.
    pub leaf: LeafId,
    /// Current boot id.
    pub boot: BootId,
    /// Whether the leaf is cold.
    pub cold: bool,
    /// Counters of the leaf.
    pub counters: LeafCounters,
}

/// Returns the wall-clock time.
pub(crate) fn unix_now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
