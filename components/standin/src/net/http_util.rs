//! Parsing of requests and construction of responses.

use {
    crate::net::ResponseBody,
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

/// Maximum body size of a control request in bytes.
const MAX_CONTROL_BYTES: usize = 1024 * 1024;

/// Error of a handler that closes the connection without a response.
#[derive(Clone, Copy, Debug, Error)]
#[error("connection dropped by a fault")]
pub(crate) struct ConnectionDropped;

/// Response of a handler, or an error that closes the connection.
pub(crate) type HandlerResult = Result<Response<ResponseBody>, ConnectionDropped>;

/// Error response to a request that had no effect.
#[derive(Clone, Debug)]
pub(crate) struct Rejection {
    status: StatusCode,
    reason: String,
}

impl Rejection {
    pub(crate) fn new(status: StatusCode, reason: impl ToString) -> Self {
        Self { status, reason: reason.to_string() }
    }

    pub(crate) fn bad_request(reason: impl ToString) -> Self {
        Self::new(StatusCode::BAD_REQUEST, reason)
    }

    pub(crate) fn to_response(&self) -> Response<ResponseBody> {
        text_response(self.status, &self.reason)
    }
}

pub(crate) fn text_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(text.to_owned()));
    *response.status_mut() = status;
    response
}

pub(crate) fn bad_request(reason: impl ToString) -> Response<ResponseBody> {
    text_response(StatusCode::BAD_REQUEST, &reason.to_string())
}

pub(crate) fn not_found(reason: &str) -> Response<ResponseBody> {
    text_response(StatusCode::NOT_FOUND, reason)
}

pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<ResponseBody> {
    let text = match serde_json::to_string(value) {
        Ok(text) => text,
        Err(err) => return text_response(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
    };
    let mut response = text_response(status, &text);
    response.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}

/// Reads a request body. Fails with status 413 if it is longer than `limit` bytes.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Rejection> {
    match Limited::new(body, limit).collect().await {
        Ok(all) => Ok(all.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(Rejection::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("body exceeds {limit} bytes"),
        )),
        Err(err) => Err(Rejection::bad_request(err)),
    }
}

/// Reads a JSON request body. Fails with status 413 or 400.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Rejection> {
    let bytes = read_body(body, MAX_CONTROL_BYTES).await?;
    serde_json::from_slice(&bytes).map_err(Rejection::bad_request)
}

/// Decoded query parameters of a URL.
#[derive(Debug)]
pub(crate) struct QueryParams(IndexMap<String, String>);

impl QueryParams {
    pub(crate) fn from_uri(uri: &http::Uri) -> Self {
        Self(parse(uri.query().unwrap_or_default().as_bytes()).into_owned().collect())
    }

    /// Returns the value of `name`; empty if it is missing.
    pub(crate) fn get(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    /// Parses the value of `name`. Fails with status 400 if it is missing or invalid.
    pub(crate) fn parse<T: FromStr>(&self, name: &str) -> Result<T, Rejection> {
        let text = self.get(name);
        text.parse()
            .map_err(|_| Rejection::bad_request(format!("invalid query parameter {name}={text:?}")))
    }
}
