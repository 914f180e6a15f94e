//! HTTP client for the JSON APIs of hosts.

use {
    crate::outcome::Failure,
    serde::{Serialize, de::DeserializeOwned},
    std::{io::ErrorKind, net::SocketAddr, time::Duration},
    thiserror::Error,
    ureq::{Agent, Body, Error as UreqError, Timeout, http::Response},
    wigeonramp_config::{
        api::ErrorResponse,
        caller_api::{CALLER_HEADER, TOKEN_HEADER, TOKEN_SCHEME},
    },
};

/// Timeout of one call to the operator API.
pub const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for connecting; a host on the same network accepts within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

const JSON_TYPE: &str = "application/json";
/// Maximum length of a response in bytes; a full timeline exceeds the client's default of 10 MB.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Error of a call to a host.
#[derive(Debug, Error)]
pub enum CallError {
    /// The request was not sent.
    #[error("{url}: not reached ({reason}); expected a running host")]
    NotSent {
        /// URL of the call.
        url: String,
        /// Error of the HTTP client.
        reason: String,
    },
    /// The host refused the request and changed nothing.
    #[error("{url}: refused with status {status}: {reason}")]
    Refused {
        /// URL of the call.
        url: String,
        /// HTTP status code.
        status: u16,
        /// Reason given by the host.
        reason: String,
    },
    /// The request was sent, but no usable response arrived; the host may have acted on it.
    #[error("{url}: no usable response ({reason})")]
    Lost {
        /// URL of the call.
        url: String,
        /// What was wrong with the response, or the error of the HTTP client.
        reason: String,
    },
}

impl CallError {
    /// Converts the error for a command that changes nothing at the host, so that even a lost
    /// response counts as failed.
    pub fn into_read_failure(self) -> Failure {
        Failure::Failed(self.to_string())
    }
}

/// Credentials for the caller API.
pub struct Credentials {
    /// Id of the caller.
    pub caller: String,
    /// Token of the caller.
    pub token: String,
}

/// HTTP client for one host.
pub struct Client {
    agent: Agent,
    address: SocketAddr,
    credentials: Option<Credentials>,
}

impl Client {
    /// Creates a client for the operator API at `address`.
    pub fn operator(address: SocketAddr) -> Client {
        Client { agent: agent(OPERATOR_TIMEOUT), address, credentials: None }
    }

    /// Creates a client for the caller API at `address`.
    pub fn caller(address: SocketAddr, credentials: Credentials, timeout: Duration) -> Client {
        Client { agent: agent(timeout), address, credentials: Some(credentials) }
    }

    /// Sends a GET request for `path` with query parameters and parses the response.
    pub fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<T, CallError> {
        let url = self.url(path);
        let mut req = self.agent.get(&url);
        for (key, value) in query {
            req = req.query(key, value);
        }
        for (key, value) in self.headers() {
            req = req.header(key, value);
        }
        parse_response(url, req.call())
    }

    /// Posts `body` to `path` and parses the response.
    pub fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CallError> {
        let url = self.url(path);
        let mut req = self.agent.post(&url);
        for (key, value) in self.headers() {
            req = req.header(key, value);
        }
        let body = serde_json::to_vec(body).expect("requests serialize to JSON");
        parse_response(url, req.content_type(JSON_TYPE).send(&body))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn headers(&self) -> Vec<(&'static str, String)> {
        let Some(Credentials { caller, token }) = &self.credentials else { return Vec::new() };
        vec![(CALLER_HEADER, caller.clone()), (TOKEN_HEADER, format!("{TOKEN_SCHEME}{token}"))]
    }
}

fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT.min(timeout)))
        .timeout_global(Some(timeout))
        .build()
        .new_agent()
}

/// Returns the body if it parses as `T`, whatever the status, as the caller API also sends query
/// responses with error statuses. Otherwise returns the error that the host reported.
fn parse_response<T: DeserializeOwned>(
    url: String,
    result: Result<Response<Body>, UreqError>,
) -> Result<T, CallError> {
    let mut res = result.map_err(|err| call_error(url.clone(), &err))?;
    let status = res.status();
    let lost = |reason: String| CallError::Lost { url: url.clone(), reason };
    let text = res
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_string()
        .map_err(|err| lost(err.to_string()))?;
    let parse_err = match serde_json::from_str(&text) {
        Ok(response) => return Ok(response),
        Err(err) => err,
    };
    if status.is_success() {
        return Err(lost(format!("the response does not have the expected form: {parse_err}")));
    }
    let error = serde_json::from_str::<ErrorResponse>(&text);
    match error {
        Ok(ErrorResponse { error }) => {
            Err(CallError::Refused { url, status: status.as_u16(), reason: error })
        }
        Err(_) if status.is_client_error() => {
            let reason = "the host gave no reason".to_owned();
            Err(CallError::Refused { url, status: status.as_u16(), reason })
        }
        Err(_) => Err(lost(format!("status {}", status.as_u16()))),
    }
}

fn call_error(url: String, err: &UreqError) -> CallError {
    let reason = err.to_string();
    if failed_before_sending(err) {
        return CallError::NotSent { url, reason };
    }
    CallError::Lost { url, reason }
}

/// Returns whether the error occurred before any byte of the request was sent.
fn failed_before_sending(err: &UreqError) -> bool {
    match err {
        UreqError::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        UreqError::ConnectionFailed
        | UreqError::HostNotFound
        | UreqError::BadUri(_)
        | UreqError::Http(_) => true,
        UreqError::Io(err) => matches!(
            err.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        ),
        _ => false,
    }
}
