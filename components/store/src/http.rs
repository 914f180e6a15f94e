//! The object API over HTTP.
//!
//! Status codes map to outcomes as follows: `412` and, for a delete, `404` are conflicts; `429` and
//! `503` say that the platform did not run the call (`Unavailable`); any other `4xx` is `Refused`;
//! any other `5xx` leaves open whether the call took effect (`Unknown`). A failure to connect is
//! `Unavailable`; every failure after that is `Unknown`.

use {
    crate::{
        Change, MAX_VALUE_BYTES, Object, ObjectStore, PlatformHost, Precondition, ReadOutcome,
        StoreError, WriteOutcome, WriteResponse, is_key,
    },
    serde::de::DeserializeOwned,
    std::{io::ErrorKind, net::SocketAddr},
    ureq::{
        Agent, Error as HttpError, RequestBuilder, Timeout,
        http::{Response, StatusCode},
    },
    wigeonramp_units::{Revision, Span},
};

/// Longest accepted answer; a list of all sessions and claims stays well below it.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Time limits of calls to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpStoreTimeouts {
    /// Longest time to connect.
    pub connect: Span,
    /// Longest time of a whole call; a watch gets its wait on top.
    pub call: Span,
}

impl Default for HttpStoreTimeouts {
    fn default() -> Self {
        Self { connect: Span::millis(500), call: Span::secs(2) }
    }
}

/// Client of the platform's object API.
#[derive(Clone, Debug)]
pub struct HttpStore {
    agent: Agent,
    base: String,
    times: HttpStoreTimeouts,
}

type Answer = Response<ureq::Body>;

impl HttpStore {
    /// A client of the platform at `address`.
    pub fn new(address: SocketAddr, times: HttpStoreTimeouts) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(times.connect.to_duration()))
            .build();
        Self { agent: config.new_agent(), base: format!("http://{address}/v1"), times }
    }

    fn object_url(&self, key: &str) -> Result<String, StoreError> {
        if !is_key(key) {
            return Err(StoreError::refused(key, "not a key"));
        }
        Ok(format!("{}/objects/{key}", self.base))
    }

    fn limit<B>(&self, req: RequestBuilder<B>, wait: Span) -> RequestBuilder<B> {
        let whole = self.times.call + wait;
        req.config().timeout_global(Some(whole.to_duration())).build()
    }
}

impl ObjectStore for HttpStore {
    fn get(&self, key: &str) -> Result<ReadOutcome, StoreError> {
        let req = self.limit(self.agent.get(self.object_url(key)?), Span::ZERO);
        let answer = req.call().map_err(|err| call_error(key, err))?;
        match answer.status() {
            StatusCode::OK => read(key, answer).map(ReadOutcome::Found),
            StatusCode::NOT_FOUND => {
                discard_body(answer);
                Ok(ReadOutcome::Missing)
            }
            _ => Err(status_error(key, answer)),
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError> {
        let req = self.agent.get(format!("{}/objects", self.base)).query("prefix", prefix);
        let req = self.limit(req, Span::ZERO);
        read_ok(prefix, req.call().map_err(|err| call_error(prefix, err))?)
    }

    fn put(
        &self,
        key: &str,
        body: &str,
        precondition: Precondition,
    ) -> Result<WriteOutcome, StoreError> {
        if body.len() > MAX_VALUE_BYTES {
            return Err(StoreError::refused(key, "value over 1 MiB"));
        }
        let req = self.agent.put(self.object_url(key)?);
        let req = match precondition {
            Precondition::Create => req.header("if-none-match", "*"),
            Precondition::Revision(revision) => req.header("if-match", quoted(revision)),
        };
        let req = self.limit(req, Span::ZERO);
        written(key, req.send(body).map_err(|err| call_error(key, err))?)
    }

    fn delete(&self, key: &str, revision: Revision) -> Result<WriteOutcome, StoreError> {
        let req = self.agent.delete(self.object_url(key)?).header("if-match", quoted(revision));
        let req = self.limit(req, Span::ZERO);
        let answer = req.call().map_err(|err| call_error(key, err))?;
        if answer.status() == StatusCode::NOT_FOUND {
            discard_body(answer);
            return Ok(WriteOutcome::Conflict(None));
        }
        written(key, answer)
    }

    fn watch(&self, prefix: &str, after: Revision, wait: Span) -> Result<Vec<Change>, StoreError> {
        let req = self
            .agent
            .get(format!("{}/watch", self.base))
            .query("prefix", prefix)
            .query("after", after.to_string())
            .query("wait_ms", wait.as_millis().to_string());
        let req = self.limit(req, wait);
        read_ok(prefix, req.call().map_err(|err| call_error(prefix, err))?)
    }

    fn hosts(&self) -> Result<Vec<PlatformHost>, StoreError> {
        let req = self.limit(self.agent.get(format!("{}/hosts", self.base)), Span::ZERO);
        read_ok("hosts", req.call().map_err(|err| call_error("hosts", err))?)
    }
}

fn quoted(revision: Revision) -> String {
    format!("\"{revision}\"")
}

/// Reads the body to its end; ureq closes a connection whose answer is not read.
fn discard_body(mut answer: Answer) {
    // The status alone decides the outcome.
    let _ = answer.body_mut().read_to_vec();
}

fn written(key: &str, answer: Answer) -> Result<WriteOutcome, StoreError> {
    match answer.status() {
        StatusCode::OK | StatusCode::CREATED => {
            read(key, answer).map(|at: WriteResponse| WriteOutcome::Written(at.revision))
        }
        StatusCode::PRECONDITION_FAILED => read(key, answer).map(WriteOutcome::Conflict),
        _ => Err(status_error(key, answer)),
    }
}

fn read_ok<T: DeserializeOwned>(key: &str, answer: Answer) -> Result<T, StoreError> {
    match answer.status() {
        StatusCode::OK => read(key, answer),
        _ => Err(status_error(key, answer)),
    }
}

/// Reads a JSON body; a body that ends early is `Unknown`, one that is not JSON is `Malformed`.
fn read<T: DeserializeOwned>(key: &str, mut answer: Answer) -> Result<T, StoreError> {
    let bytes = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec();
    let bytes = bytes.map_err(|err| StoreError::unknown(key, err))?;
    serde_json::from_slice(&bytes).map_err(|err| StoreError::malformed(key, err))
}

fn status_error(key: &str, mut answer: Answer) -> StoreError {
    let status = answer.status();
    let text = answer.body_mut().read_to_string().unwrap_or_default();
    let reason = format!("status {}: {}", status.as_u16(), text.trim());
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            StoreError::unavailable(key, reason)
        }
        _ if status.is_client_error() => StoreError::refused(key, reason),
        _ if status.is_server_error() => StoreError::unknown(key, reason),
        _ => StoreError::malformed(key, reason),
    }
}

fn call_error(key: &str, err: HttpError) -> StoreError {
    if not_sent(&err) { StoreError::unavailable(key, err) } else { StoreError::unknown(key, err) }
}

/// Whether the error can only occur before the first byte of the request is sent.
fn not_sent(err: &HttpError) -> bool {
    match err {
        HttpError::ConnectionFailed | HttpError::HostNotFound | HttpError::BadUri(_) => true,
        HttpError::Timeout(Timeout::Resolve | Timeout::Connect) => true,
        HttpError::Io(err) => {
            matches!(err.kind(), ErrorKind::AddrNotAvailable | ErrorKind::ConnectionRefused)
        }
        _ => false,
    }
}
