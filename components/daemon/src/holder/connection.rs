//! A connection to a leaf and the HTTP protocol spoken on it.

use {
    crate::{
        clock,
        holder::transport::{FixedResolver, SingleConnector, Socket},
    },
    bytes::Bytes,
    http::{HeaderMap, StatusCode},
    serde::Deserialize,
    std::{
        io::Result as IoResult,
        net::{SocketAddr, TcpStream},
        str::FromStr,
        sync::Arc,
        time::Duration,
    },
    ureq::{Agent, Error as CallError},
    wigeonramp_units::{
        AttemptId, BootId, CollectionId, Digest, InstanceId, Instant, LeafId, MapVersion, MemberId,
        RequestId, ShardId, SnapshotId, UnixMillis,
    },
};

/// Maximum size of a search response in bytes; a longer one is an invalid response.
const MAX_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;
/// Maximum size of a health response in bytes.
const MAX_HEALTH_BYTES: u64 = 64 * 1024;

/// A search request to a leaf.
#[derive(Clone, Debug)]
pub struct LeafCall {
    /// Attempt id; unique at the entry host.
    pub attempt: AttemptId,
    /// Body of the caller's request.
    pub body: Bytes,
    /// Collection of the leaf.
    pub collection: CollectionId,
    /// Deadline of the request on this host's clock.
    pub deadline: Instant,
    /// Instance of the entry host.
    pub entry: InstanceId,
    /// The leaf.
    pub leaf: LeafId,
    /// Version of the partition map that defines `shard`.
    pub map_version: MapVersion,
    /// The member whose rows are requested.
    pub member: MemberId,
    /// Request id that the caller chose.
    pub request: RequestId,
    /// The requested shard.
    pub shard: ShardId,
    /// The snapshot to read from.
    pub snapshot: SnapshotId,
}

impl LeafCall {
    /// Returns the id of the attempt at the leaf, unique among the attempts of all entry hosts.
    pub fn token(&self) -> String {
        format!("{}-{}", Digest::of(self.entry.as_str().as_bytes()), self.attempt)
    }
}

/// A complete response that matches its call.
#[derive(Clone, Debug)]
pub struct LeafResponse {
    /// Boot id of the leaf process that answered.
    pub boot: Option<BootId>,
    /// Hash of `payload`.
    pub digest: Digest,
    /// The rows.
    pub payload: Bytes,
    /// Number of rows.
    pub rows: u32,
}

/// Outcome of a call to a leaf.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The leaf sent a complete response to this call.
    Answered(LeafResponse),
    /// The response is malformed, incomplete or belongs to another call.
    InvalidResponse(&'static str),
    /// The deadline passed before a byte was sent.
    ExpiredBeforeSend,
    /// The leaf accepts no new requests.
    Leaving,
    /// The connection was closed before a byte was sent.
    NotSent,
    /// The deadline had passed when the call reached the leaf, which did not run it.
    ExpiredAtLeaf,
    /// The leaf answered with another status.
    Refused(StatusCode),
    /// The connection was closed after bytes were sent.
    Reset,
    /// The leaf shed the call because it is overloaded.
    Shed,
    /// The leaf does not have the requested snapshot, only these.
    SnapshotGone(Vec<SnapshotId>),
    /// No complete response arrived before the deadline.
    TimedOut,
}

/// Response to a health check of a leaf.
#[derive(Clone, Debug)]
pub struct Health {
    /// Current boot id of the leaf process.
    pub boot: Option<BootId>,
    /// Snapshots that the leaf has; empty if the response does not list them.
    pub snapshots: Vec<SnapshotId>,
}

#[derive(Debug, Default, Deserialize)]
struct HealthBody {
    #[serde(default)]
    snapshots: Vec<SnapshotId>,
}

/// An open connection to one leaf.
#[derive(Debug)]
pub struct Connection {
    agent: Agent,
    health_url: String,
    search_url: String,
    socket: Arc<Socket>,
}

impl Connection {
    /// Opens a connection to `address`. Fails if that takes longer than `timeout`.
    pub fn open(address: SocketAddr, timeout: Duration) -> IoResult<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        let socket = Arc::new(Socket::new(stream));
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(1)
            .max_idle_connections_per_host(1)
            .max_idle_age(Duration::MAX)
            .max_redirects(0)
            .proxy(None)
            .build();
        let connector = SingleConnector::new(Arc::clone(&socket));
        let agent = Agent::with_parts(config, connector, FixedResolver(address));
        let health_url = format!("http://{address}/health");
        Ok(Self { agent, health_url, search_url: format!("http://{address}/search"), socket })
    }

    /// Shuts the connection down; a running call ends with [`CallOutcome::Reset`].
    pub fn close(&self) {
        self.socket.close();
    }

    /// Cancels an attempt that runs on another connection. Returns false if the leaf did not
    /// answer.
    pub fn cancel(&self, token: &str, timeout: Duration) -> bool {
        let url = format!("{}/{token}", self.search_url);
        let call = self.agent.delete(url).config().timeout_global(Some(timeout)).build();
        // Every status counts: an attempt that the leaf does not know has ended.
        call.call().is_ok_and(|mut response| response.body_mut().read_to_vec().is_ok())
    }

    /// Checks the health of the leaf. Fails if no complete response arrives within `timeout`.
    pub fn health(&self, timeout: Duration) -> Result<Health, CallError> {
        let call = self.agent.get(&self.health_url).config().timeout_global(Some(timeout)).build();
        let mut response = call.call()?;
        let boot = header(response.headers(), "x-boot");
        let body = response.body_mut().with_config().limit(MAX_HEALTH_BYTES).read_to_vec()?;
        let health: HealthBody = serde_json::from_slice(&body).unwrap_or_default();
        Ok(Health { boot, snapshots: health.snapshots })
    }

    /// Runs `call` on this connection. `expiry` is the wall-clock deadline sent to the leaf.
    ///
    /// The connection must not be used again after `InvalidResponse`, `NotSent`, `Reset` or
    /// `TimedOut`.
    pub fn search(&self, call: &LeafCall, expiry: UnixMillis) -> CallOutcome {
        self.socket.start_request();
        let timeout = clock::until(call.deadline).to_duration();
        if timeout.is_zero() {
            return CallOutcome::ExpiredBeforeSend;
        }
        let sent = self
            .agent
            .post(&self.search_url)
            .config()
            .timeout_global(Some(timeout))
            .build()
            .header("x-request-id", call.request.as_str())
            .header("x-member", call.member.as_str())
            .header("x-deadline-ms", expiry.to_string())
            .header("x-snapshot", call.snapshot.to_string())
            .header("x-map-version", call.map_version.to_string())
            .header("x-shard", call.shard.as_str())
            .header("x-attempt", call.token())
            .send(call.body.as_ref());
        let mut response = match sent {
            Ok(response) => response,
            Err(err) => return self.outcome_of_error(&err),
        };
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
        match body {
            Ok(body) => {
                outcome_of_response(call, response.status(), response.headers(), body.into())
            }
            Err(err) => self.outcome_of_error(&err),
        }
    }

    fn outcome_of_error(&self, err: &CallError) -> CallOutcome {
        if !self.socket.write_started() {
            return CallOutcome::NotSent;
        }
        match err {
            CallError::Timeout(_) => CallOutcome::TimedOut,
            CallError::Io(_) | CallError::ConnectionFailed => CallOutcome::Reset,
            CallError::BodyExceedsLimit(_) => CallOutcome::InvalidResponse("response too long"),
            _ => CallOutcome::InvalidResponse("not an HTTP response"),
        }
    }
}

fn outcome_of_response(
    call: &LeafCall,
    status: StatusCode,
    headers: &HeaderMap,
    payload: Bytes,
) -> CallOutcome {
    match status {
        StatusCode::OK => checked_response(call, headers, payload),
        StatusCode::CONFLICT => CallOutcome::SnapshotGone(listed_snapshots(headers)),
        StatusCode::SERVICE_UNAVAILABLE => CallOutcome::Shed,
        StatusCode::GONE => CallOutcome::Leaving,
        StatusCode::GATEWAY_TIMEOUT => CallOutcome::ExpiredAtLeaf,
        other => CallOutcome::Refused(other),
    }
}

/// Returns the value of a header. A header that occurs twice counts as missing.
fn header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.to_str().ok()?.parse().ok()?;
    values.next().is_none().then_some(value)
}

fn listed_snapshots(headers: &HeaderMap) -> Vec<SnapshotId> {
    let list: Option<String> = header(headers, "x-snapshots");
    let list = list.unwrap_or_default();
    list.split(',').filter_map(|id| id.trim().parse().ok()).collect()
}

fn checked_response(call: &LeafCall, headers: &HeaderMap, payload: Bytes) -> CallOutcome {
    if header(headers, "x-attempt") != Some(call.token()) {
        return CallOutcome::InvalidResponse("response to another attempt");
    }
    if header(headers, "x-member").as_ref() != Some(&call.member) {
        return CallOutcome::InvalidResponse("response for another member");
    }
    if header(headers, "x-shard").as_ref() != Some(&call.shard) {
        return CallOutcome::InvalidResponse("response for another shard");
    }
    if header(headers, "x-snapshot") != Some(call.snapshot) {
        return CallOutcome::InvalidResponse("response from another snapshot");
    }
    if header(headers, "x-map-version") != Some(call.map_version) {
        return CallOutcome::InvalidResponse("response for another version of the partition map");
    }
    let digest = Digest::of(&payload);
    if header(headers, "x-digest") != Some(digest) {
        return CallOutcome::InvalidResponse("digest does not match the response");
    }
    if str::from_utf8(&payload).is_err() {
        return CallOutcome::InvalidResponse("response is not UTF-8");
    }
    let Some(rows) = header(headers, "x-rows") else {
        return CallOutcome::InvalidResponse("response without a row count");
    };
    CallOutcome::Answered(LeafResponse { boot: header(headers, "x-boot"), digest, payload, rows })
}
