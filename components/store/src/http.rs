//! `HttpStore`, the client of the object API over HTTP.
//!
//! Status codes map to outcomes as follows: `412` and, for a delete, `404` are conflicts; for a
//! `get`, `404` means that the key is missing; `429` and `503` mean that the platform did not run
//! the call (`Unavailable`); any other `4xx` is `Refused`; after any other `5xx` the call may have
//! taken effect (`Unknown`). A failure to connect is `Unavailable`, a complete response that cannot
//! be parsed is `Malformed`, and any other failure after connecting is `Unknown`.

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

/// Maximum size of a response body; a list of all sessions and claims stays well below it.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Timeouts of calls to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpStoreTimeouts {
    /// Timeout for establishing a connection.
    pub connect: Span,
    /// Timeout of a whole call; the wait of a watch is added to it.
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
    timeouts: HttpStoreTimeouts,
}

type HttpResponse = Response<ureq::Body>;

impl HttpStore {
    /// Creates a client of the platform at `address`.
    pub fn new(address: SocketAddr, timeouts: HttpStoreTimeouts) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(timeouts.connect.to_duration()))
            .build();
        Self { agent: config.new_agent(), base: format!("http://{address}/v1"), timeouts }
    }

    fn object_url(&self, key: &str) -> Result<String, StoreError> {
        if !is_key(key) {
            return Err(StoreError::refused(key, "invalid key"));
        }
        Ok(format!("{}/objects/{key}", self.base))
    }

    fn with_timeout<B>(&self, req: RequestBuilder<B>, wait: Span) -> RequestBuilder<B> {
        let timeout = self.timeouts.call + wait;
        req.config().timeout_global(Some(timeout.to_duration())).build()
    }
}

impl ObjectStore for HttpStore {
    fn get(&self, key: &str) -> Result<ReadOutcome, StoreError> {
        let req = self.with_timeout(self.agent.get(self.object_url(key)?), Span::ZERO);
        let response = req.call().map_err(|err| call_error(key, err))?;
        match response.status() {
            StatusCode::OK => parse_body(key, response).map(ReadOutcome::Found),
            StatusCode::NOT_FOUND => {
                discard_body(response);
                Ok(ReadOutcome::Missing)
            }
            _ => Err(status_error(key, response)),
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError> {
        let req = self.agent.get(format!("{}/objects", self.base)).query("prefix", prefix);
        let req = self.with_timeout(req, Span::ZERO);
        parse_if_ok(prefix, req.call().map_err(|err| call_error(prefix, err))?)
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
        let req = self.with_timeout(req, Span::ZERO);
        write_outcome(key, req.send(body).map_err(|err| call_error(key, err))?)
    }

    fn delete(&self, key: &str, revision: Revision) -> Result<WriteOutcome, StoreError> {
        let req = self.agent.delete(self.object_url(key)?).header("if-match", quoted(revision));
        let req = self.with_timeout(req, Span::ZERO);
        let response = req.call().map_err(|err| call_error(key, err))?;
        if response.status() == StatusCode::NOT_FOUND {
            discard_body(response);
            return Ok(WriteOutcome::Conflict(None));
        }
        write_outcome(key, response)
    }

    fn watch(&self, prefix: &str, after: Revision, wait: Span) -> Result<Vec<Change>, StoreError> {
        let req = self
            .agent
            .get(format!("{}/watch", self.base))
            .query("prefix", prefix)
            .query("after", after.to_string())
            .query("wait_ms", wait.as_millis().to_string());
        let req = self.with_timeout(req, wait);
        parse_if_ok(prefix, req.call().map_err(|err| call_error(prefix, err))?)
    }

    fn hosts(&self) -> Result<Vec<PlatformHost>, StoreError> {
        let req = self.with_timeout(self.agent.get(format!("{}/hosts", self.base)), Span::ZERO);
        parse_if_ok("hosts", req.call().map_err(|err| call_error("hosts", err))?)
    }
}

fn quoted(revision: Revision) -> String {
    format!("\"{revision}\"")
}

/// Reads the body to its end, because ureq closes a connection instead of reusing it if a response
/// on it was not read completely.
fn discard_body(mut response: HttpResponse) {
    // A failure to read is ignored: the status alone decides the outcome.
    let _ = response.body_mut().read_to_vec();
}

fn write_outcome(key: &str, response: HttpResponse) -> Result<WriteOutcome, StoreError> {
    match response.status() {
        StatusCode::OK | StatusCode::CREATED => parse_body(key, response)
            .map(|written: WriteResponse| WriteOutcome::Written(written.revision)),
        StatusCode::PRECONDITION_FAILED => parse_body(key, response).map(WriteOutcome::Conflict),
        _ => Err(status_error(key, response)),
    }
}

fn parse_if_ok<T: DeserializeOwned>(key: &str, response: HttpResponse) -> Result<T, StoreError> {
    match response.status() {
        StatusCode::OK => parse_body(key, response),
        _ => Err(status_error(key, response)),
    }
}

/// Reads and parses a JSON body; a truncated body is `Unknown`, an invalid one is `Malformed`.
fn parse_body<T: DeserializeOwned>(key: &str, mut response: HttpResponse) -> Result<T, StoreError> {
    let bytes = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
    let bytes = bytes.map_err(|err| StoreError::unknown(key, err))?;
    serde_json::from_slice(&bytes).map_err(|err| StoreError::malformed(key, err))
}

fn status_error(key: &str, mut response: HttpResponse) -> StoreError {
    let status = response.status();
    let text = response.body_mut().read_to_string().unwrap_or_default();
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
    if failed_before_sending(&err) {
        StoreError::unavailable(key, err)
    } else {
        StoreError::unknown(key, err)
    }
}

/// Returns whether the error can only occur before the first byte of the request is sent.
fn failed_before_sending(err: &HttpError) -> bool {
    match err {
        HttpError::ConnectionFailed | HttpError::HostNotFound | HttpError::BadUri(_) => true,
        HttpError::Timeout(Timeout::Resolve | Timeout::Connect) => true,
        HttpError::Io(err) => {
            matches!(err.kind(), ErrorKind::AddrNotAvailable | ErrorKind::ConnectionRefused)
        }
        _ => false,
    }
}
