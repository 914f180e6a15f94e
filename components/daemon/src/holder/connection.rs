//! A connection to a leaf and the leaf's protocol on it.

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

/// Longest answer that is read from a leaf, in bytes; above it the answer counts as broken.
const MAX_ANSWER: u64 = 8 * 1024 * 1024;
/// Longest health answer that is read, in bytes.
const MAX_HEALTH: u64 = 64 * 1024;

/// What a leaf is asked.
#[derive(Clone, Debug)]
pub struct LeafCall {
    /// Unique at the leaf among all entry hosts.
    pub attempt: AttemptId,
    /// The caller's body.
    pub body: Bytes,
    /// The leaf's collection.
    pub collection: CollectionId,
    /// End of the request on this host's clock.
    pub deadline: Instant,
    /// Instance of the entry host.
    pub entry: InstanceId,
    /// The leaf that is asked.
    pub leaf: LeafId,
    /// Partition map that `shard` belongs to.
    pub map_version: MapVersion,
    /// The member whose rows are asked for.
    pub member: MemberId,
    /// The caller's id of the request.
    pub request: RequestId,
    /// The shard that is asked for.
    pub shard: ShardId,
    /// The snapshot that the answer must come from.
    pub snapshot: SnapshotId,
}

impl LeafCall {
    /// The attempt's name at the leaf, which knows attempts of all entry hosts.
    pub fn token(&self) -> String {
        format!("{}-{}", Digest::of(self.entry.as_str().as_bytes()), self.attempt)
    }
}

/// A whole answer that matches its call.
#[derive(Clone, Debug)]
pub struct LeafResponse {
    /// Start of the leaf that answered.
    pub boot: Option<BootId>,
    /// Hash of `payload`.
    pub digest: Digest,
    /// The rows.
    pub payload: Bytes,
    /// Number of rows.
    pub rows: u32,
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// A whole answer to this call.
    Answered(LeafResponse),
    /// An answer that is not the one to this call, or not whole.
    InvalidResponse(&'static str),
    /// The deadline passed before a byte was sent.
    ExpiredBeforeSend,
    /// The leaf takes no new work.
    Leaving,
    /// The connection ended before a byte was sent.
    NotSent,
    /// The deadline had passed at the leaf; the call was not run.
    ExpiredAtLeaf,
    /// The leaf refused the call as malformed.
    Refused(StatusCode),
    /// The connection ended after bytes were sent.
    Reset,
    /// The leaf shed the call because of its load.
    Shed,
    /// The leaf does not have the snapshot; it has these.
    SnapshotGone(Vec<SnapshotId>),
    /// No whole answer came in time.
    TimedOut,
}

/// What a leaf says of itself.
#[derive(Clone, Debug)]
pub struct Health {
    /// Present start of the leaf.
    pub boot: Option<BootId>,
    /// Snapshots that it has; empty when it does not say.
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
    health: String,
    search: String,
    socket: Arc<Socket>,
}

impl Connection {
    /// Opens a connection to `address`. Fails if it is not open within `timeout`.
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
        let health = format!("http://{address}/health");
        Ok(Self { agent, health, search: format!("http://{address}/search"), socket })
    }

    /// Ends reads and writes on the connection at once; a running call ends as `Reset`.
    pub fn close(&self) {
        self.socket.close();
    }

    /// Cancels the attempt that another connection carries; false when no answer came.
    pub fn cancel(&self, token: &str, timeout: Duration) -> bool {
        let url = format!("{}/{token}", self.search);
        let call = self.agent.delete(url).config().timeout_global(Some(timeout)).build();
        // Any status is final: an attempt that is not known has ended.
        call.call().is_ok_and(|mut answer| answer.body_mut().read_to_vec().is_ok())
    }

    /// Asks the leaf for its health. Fails if no whole answer comes within `timeout`.
    pub fn health(&self, timeout: Duration) -> Result<Health, CallError> {
        let call = self.agent.get(&self.health).config().timeout_global(Some(timeout)).build();
        let mut answer = call.call()?;
        let boot = header(answer.headers(), "x-boot");
        let body = answer.body_mut().with_config().limit(MAX_HEALTH).read_to_vec()?;
        let content: HealthBody = serde_json::from_slice(&body).unwrap_or_default();
        Ok(Health { boot, snapshots: content.snapshots })
    }

    /// Runs `call` on this connection; `expiry` is the wall-clock deadline that the leaf sees.
    ///
    /// The connection must not be used again after `InvalidResponse`, `NotSent`, `Reset` and `TimedOut`.
    pub fn search(&self, call: &LeafCall, expiry: UnixMillis) -> CallOutcome {
        self.socket.start_request();
        let timeout = clock::until(call.deadline).to_duration();
        if timeout.is_zero() {
            return CallOutcome::ExpiredBeforeSend;
        }
        let sent = self
            .agent
            .post(&self.search)
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
            Err(err) => return self.failed(&err),
        };
        let body = response.body_mut().with_config().limit(MAX_ANSWER).read_to_vec();
        match body {
            Ok(body) => end_of(call, response.status(), response.headers(), body.into()),
            Err(err) => self.failed(&err),
        }
    }

    fn failed(&self, err: &CallError) -> CallOutcome {
        if !self.socket.sent() {
            return CallOutcome::NotSent;
        }
        match err {
            CallError::Timeout(_) => CallOutcome::TimedOut,
            CallError::Io(_) | CallError::ConnectionFailed => CallOutcome::Reset,
            CallError::BodyExceedsLimit(_) => CallOutcome::InvalidResponse("answer too long"),
            _ => CallOutcome::InvalidResponse("not an HTTP answer"),
        }
    }
}

fn end_of(call: &LeafCall, status: StatusCode, headers: &HeaderMap, payload: Bytes) -> CallOutcome {
    match status {
        StatusCode::OK => answer_of(call, headers, payload),
        StatusCode::CONFLICT => CallOutcome::SnapshotGone(listed_snapshots(headers)),
        StatusCode::SERVICE_UNAVAILABLE => CallOutcome::Shed,
        StatusCode::GONE => CallOutcome::Leaving,
        StatusCode::GATEWAY_TIMEOUT => CallOutcome::ExpiredAtLeaf,
        other => CallOutcome::Refused(other),
    }
}

/// The only value of a header; a header that occurs twice says nothing.
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

fn answer_of(call: &LeafCall, headers: &HeaderMap, payload: Bytes) -> CallOutcome {
    if header(headers, "x-attempt") != Some(call.token()) {
        return CallOutcome::InvalidResponse("answer to another attempt");
    }
    if header(headers, "x-member").as_ref() != Some(&call.member) {
        return CallOutcome::InvalidResponse("answer for another member");
    }
    if header(headers, "x-shard").as_ref() != Some(&call.shard) {
        return CallOutcome::InvalidResponse("answer of another shard");
    }
    if header(headers, "x-snapshot") != Some(call.snapshot) {
        return CallOutcome::InvalidResponse("answer from another snapshot");
    }
    if header(headers, "x-map-version") != Some(call.map_version) {
        return CallOutcome::InvalidResponse("answer by another partition map");
    }
    let digest = Digest::of(&payload);
    if header(headers, "x-digest") != Some(digest) {
        return CallOutcome::InvalidResponse("digest does not match the answer");
    }
    if str::from_utf8(&payload).is_err() {
        return CallOutcome::InvalidResponse("answer is not text");
    }
    let Some(rows) = header(headers, "x-rows") else {
        return CallOutcome::InvalidResponse("answer without a row count");
    };
    CallOutcome::Answered(LeafResponse { boot: header(headers, "x-boot"), digest, payload, rows })
}
