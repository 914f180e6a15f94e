//! JSON over HTTP to hosts.

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

/// Time for one call of the operator API.
pub const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);
/// Time to connect; a host on the same network answers in milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

const JSON_TYPE: &str = "application/json";
/// Longest answer in bytes; a full timeline exceeds the client's default of 10 MB.
const MAX_ANSWER: u64 = 64 * 1024 * 1024;

/// A call that gave no usable answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// Nothing was sent.
    #[error("{url}: not reached ({reason}); expected a running host")]
    NotSent {
        /// What was called.
        url: String,
        /// What the system said.
        reason: String,
    },
    /// The host refused the request and changed nothing.
    #[error("{url}: refused with status {status}: {reason}")]
    Refused {
        /// What was called.
        url: String,
        /// HTTP status.
        status: u16,
        /// What the host said.
        reason: String,
    },
    /// The request was sent and no usable answer came.
    #[error("{url}: no answer ({reason})")]
    Lost {
        /// What was called.
        url: String,
        /// What the system said.
        reason: String,
    },
}

impl CallError {
    /// The failure of a command that only reads or plans.
    pub fn read_only(self) -> Failure {
        Failure::Failed(self.to_string())
    }
}

/// Who calls, for the caller API.
pub struct Credentials {
    /// The caller's id.
    pub caller: String,
    /// The caller's token.
    pub token: String,
}

/// A client for one host.
pub struct Client {
    agent: Agent,
    address: SocketAddr,
    credentials: Option<Credentials>,
}

impl Client {
    /// A client for the operator API at `address`.
    pub fn operator(address: SocketAddr) -> Client {
        Client { agent: agent(OPERATOR_TIMEOUT), address, credentials: None }
    }

    /// A client for the caller API at `address`.
    pub fn caller(address: SocketAddr, credentials: Credentials, timeout: Duration) -> Client {
        Client { agent: agent(timeout), address, credentials: Some(credentials) }
    }

    /// Reads `path` with query parameters.
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
        answer(url, req.call())
    }

    /// Posts `body` to `path`.
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
        answer(url, req.content_type(JSON_TYPE).send(&body))
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

/// The body of type `T`, whatever the status; otherwise the host's error.
fn answer<T: DeserializeOwned>(
    url: String,
    result: Result<Response<Body>, UreqError>,
) -> Result<T, CallError> {
    let mut res = result.map_err(|err| call_error(url.clone(), &err))?;
    let status = res.status();
    let lost = |reason: String| CallError::Lost { url: url.clone(), reason };
    let text = res
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER)
        .read_to_string()
        .map_err(|err| lost(err.to_string()))?;
    let malformed = match serde_json::from_str(&text) {
        Ok(answer) => return Ok(answer),
        Err(malformed) => malformed,
    };
    if status.is_success() {
        return Err(lost(format!("the answer has not the expected form: {malformed}")));
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
    if not_sent(err) {
        return CallError::NotSent { url, reason };
    }
    CallError::Lost { url, reason }
}

fn not_sent(err: &UreqError) -> bool {
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
