//! Reading requests and building answers.

use {
    crate::net::Payload,
    bytes::Bytes,
    form_urlencoded::parse,
    http::{Response, StatusCode, header::CONTENT_TYPE},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    indexmap::IndexMap,
    serde::{Serialize, de::DeserializeOwned},
    std::str::FromStr,
    thiserror::Error,
};

/// Longest body of a control request in bytes.
const MAX_CONTROL_BYTES: usize = 1024 * 1024;

/// Ends the connection without an answer.
#[derive(Clone, Copy, Debug, Error)]
#[error("connection dropped by a fault")]
pub(crate) struct Dropped;

pub(crate) type Outcome = Result<Response<Payload>, Dropped>;

/// A request that is refused before anything is done.
#[derive(Clone, Debug)]
pub(crate) struct Refused {
    code: StatusCode,
    reason: String,
}

impl Refused {
    pub(crate) fn new(code: StatusCode, reason: impl ToString) -> Self {
        Self { code, reason: reason.to_string() }
    }

    pub(crate) fn malformed(reason: impl ToString) -> Self {
        Self::new(StatusCode::BAD_REQUEST, reason)
    }

    pub(crate) fn answer(&self) -> Response<Payload> {
        status(self.code, &self.reason)
    }
}

pub(crate) fn status(status: StatusCode, text: &str) -> Response<Payload> {
    let mut answer = Response::new(Payload::whole(text.to_owned()));
    *answer.status_mut() = status;
    answer
}

pub(crate) fn bad_request(reason: impl ToString) -> Response<Payload> {
    status(StatusCode::BAD_REQUEST, &reason.to_string())
}

pub(crate) fn not_found(what: &str) -> Response<Payload> {
    status(StatusCode::NOT_FOUND, what)
}

pub(crate) fn json<T: Serialize>(code: StatusCode, value: &T) -> Response<Payload> {
    let text = match serde_json::to_string(value) {
        Ok(text) => text,
        Err(err) => return status(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
    };
    let mut answer = status(code, &text);
    answer.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    answer
}

/// Reads a whole body; 413 if it is longer than `limit` bytes.
pub(crate) async fn body_within(body: Incoming, limit: usize) -> Result<Bytes, Refused> {
    match Limited::new(body, limit).collect().await {
        Ok(all) => Ok(all.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => {
            Err(Refused::new(StatusCode::PAYLOAD_TOO_LARGE, format!("body over {limit} bytes")))
        }
        Err(err) => Err(Refused::malformed(err)),
    }
}

pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Refused> {
    let bytes = body_within(body, MAX_CONTROL_BYTES).await?;
    serde_json::from_slice(&bytes).map_err(Refused::malformed)
}

/// The query part of a URL.
#[derive(Debug)]
pub(crate) struct Query(IndexMap<String, String>);

impl Query {
    pub(crate) fn of(uri: &http::Uri) -> Self {
        Self(parse(uri.query().unwrap_or_default().as_bytes()).into_owned().collect())
    }

    pub(crate) fn text(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    /// The value of `name` as a number or id; 400 if it is missing or has another form.
    pub(crate) fn parse<T: FromStr>(&self, name: &str) -> Result<T, Refused> {
        let text = self.text(name);
        text.parse()
            .map_err(|_| Refused::malformed(format!("{name}={text:?} in the query is not valid")))
    }
}
