//! Handles the HTTP requests of callers.

use {
    crate::{
        caller::check::{self, Rejection},
        entry::{
            Entry,
            claims::RequestClaims,
            request::CallerIdentity,
            response::{self, QueryReply},
        },
        http_server::{Handler, HttpRequest, ServerRefusal, json_response},
        view::HolderRights,
    },
    bytes::Bytes,
    http::{HeaderValue, Method, Response, StatusCode, header},
    http_body_util::Full,
    serde::Serialize,
    std::{
        net::SocketAddr,
        panic::{AssertUnwindSafe, catch_unwind},
        sync::Arc,
    },
    wigeonramp_config::caller_api::{
        ENTRY_PATH, EntryResponse, ErrorResponse, QUERY_PATH, QueryOutcome,
    },
    wigeonramp_units::Span,
};

/// Retry delay of a refused request for which no delay is known.
const DEFAULT_RETRY_AFTER: Span = Span::secs(1);
/// Response header with the retry delay in milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

/// Chooses the entry hosts of callers; implemented by the control plane.
pub trait EntryAddresses: Send + Sync + 'static {
    /// Returns the entry hosts that `caller` should use.
    fn entry_addresses(&self, caller: &CallerIdentity) -> EntryAddressList;
}

/// The entry hosts for a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryAddressList {
    /// Addresses in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the caller may use the addresses.
    pub lifetime: Span,
}

/// The caller API of a host.
pub struct CallerApi<A, K, R> {
    addresses: Arc<A>,
    entry: Arc<Entry<K, R>>,
}

impl<A: EntryAddresses, K: RequestClaims, R: HolderRights> CallerApi<A, K, R> {
    /// Creates an API that runs queries on `entry`.
    pub fn new(entry: Arc<Entry<K, R>>, addresses: Arc<A>) -> Self {
        Self { addresses, entry }
    }

    fn dispatch(&self, request: &HttpRequest) -> Result<Response<Full<Bytes>>, Rejection> {
        match (request.uri.path(), &request.method) {
            (ENTRY_PATH, &Method::GET) => self.entry_addresses(request),
            (ENTRY_PATH, _) => Err(Rejection::Method("GET")),
            (QUERY_PATH, &Method::POST) => self.query(request),
            (QUERY_PATH, _) => Err(Rejection::Method("POST")),
            (path, _) => Err(Rejection::Path(path.to_owned())),
        }
    }

    fn entry_addresses(&self, request: &HttpRequest) -> Result<Response<Full<Bytes>>, Rejection> {
        let view = self.entry.view();
        if !view.configured() {
            return Ok(unavailable("no configuration adopted yet"));
        }
        let identity = check::authenticate(&view.document, &request.headers)?;
        let choice = self.addresses.entry_addresses(&identity);
        if choice.addresses.is_empty() {
            return Ok(unavailable("no host accepts callers at the moment"));
        }
        let response =
            EntryResponse { addresses: choice.addresses, lifetime_ms: choice.lifetime.as_millis() };
        Ok(json_response(StatusCode::OK, &response))
    }

    fn query(&self, request: &HttpRequest) -> Result<Response<Full<Bytes>>, Rejection> {
        let view = self.entry.view();
        if !view.configured() {
            let reason = "no configuration adopted yet";
            return Ok(
                unavailable_resubmission(reason, request).unwrap_or_else(|| unavailable(reason))
            );
        }
        let identity = check::authenticate(&view.document, &request.headers)?;
        let query = check::parse_query(&view.document, identity, request)?;
        // Leaves may have been queried before a panic, so the outcome is unknown and not a refusal.
        let reply = catch_unwind(AssertUnwindSafe(|| self.entry.run(&query)));
        let reply = reply.unwrap_or_else(|_| QueryReply::unknown(&query, "internal error"));
        Ok(query_response(&reply))
    }
}

fn query_response(reply: &QueryReply) -> Response<Full<Bytes>> {
    let response = &reply.response;
    match response.outcome {
        QueryOutcome::Done => json_response(StatusCode::OK, response),
        QueryOutcome::Unknown { .. } => json_response(StatusCode::GATEWAY_TIMEOUT, response),
        QueryOutcome::RefusedNotRun { .. } => with_retry_after(
            json_response(StatusCode::SERVICE_UNAVAILABLE, response),
            reply.retry_after,
        ),
    }
}

/// Adds the retry delay to a response, as `retry-after` in seconds and as `retry-after-ms`.
fn with_retry_after(mut response: Response<Full<Bytes>>, delay: Span) -> Response<Full<Bytes>> {
    let delay = if delay == Span::ZERO { DEFAULT_RETRY_AFTER } else { delay };
    let seconds = delay.as_millis().div_ceil(1_000);
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(delay.as_millis()));
    response
}

fn unavailable(reason: &str) -> Response<Full<Bytes>> {
    let body = ErrorResponse { error: reason.to_owned() };
    with_retry_after(json_response(StatusCode::SERVICE_UNAVAILABLE, &body), DEFAULT_RETRY_AFTER)
}

/// Returns the response to a resubmitted non-idempotent request, which an earlier submission may
/// have run; `None` for any other request.
fn unavailable_resubmission(reason: &str, request: &HttpRequest) -> Option<Response<Full<Bytes>>> {
    let body = response::unknown_resubmission(&check::resubmission_id(request)?, reason);
    Some(with_retry_after(json_response(StatusCode::GATEWAY_TIMEOUT, &body), DEFAULT_RETRY_AFTER))
}

/// Returns the response to a rejected request. For a resubmission, the body says that an earlier
/// submission may have run; the status is the same as for any other request.
fn reject_request(rejection: &Rejection, request: &HttpRequest) -> Response<Full<Bytes>> {
    let id = (request.uri.path() == QUERY_PATH).then(|| check::resubmission_id(request)).flatten();
    match id {
        Some(id) => rejection_response(
            rejection,
            &response::unknown_resubmission(&id, &rejection.to_string()),
        ),
        None => reject(rejection),
    }
}

fn reject(rejection: &Rejection) -> Response<Full<Bytes>> {
    rejection_response(rejection, &ErrorResponse { error: rejection.to_string() })
}

fn rejection_response(rejection: &Rejection, body: &impl Serialize) -> Response<Full<Bytes>> {
    let mut response = json_response(rejection.status(), body);
    if rejection.status() == StatusCode::UNAUTHORIZED {
        response.headers_mut().insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}

impl<A: EntryAddresses, K: RequestClaims, R: HolderRights> Handler for CallerApi<A, K, R> {
    fn handle(&self, request: HttpRequest) -> Response<Full<Bytes>> {
        self.dispatch(&request).unwrap_or_else(|rejection| {
            self.entry.observer().query_refused(None, rejection.kind(), None);
            reject_request(&rejection, &request)
        })
    }

    fn refuse(
        &self,
        refusal: ServerRefusal,
        request: Option<&HttpRequest>,
    ) -> Response<Full<Bytes>> {
        self.entry.observer().query_refused(None, refusal.as_str(), None);
        match refusal {
            ServerRefusal::BodyTooLarge => {
                reject(&Rejection::TooLarge(self.entry.view().document.limits.max_body.get()))
            }
            ServerRefusal::BodyIncomplete => reject(&Rejection::Incomplete),
            ServerRefusal::Busy => request
                .filter(|request| request.uri.path() == QUERY_PATH)
                .and_then(|request| unavailable_resubmission("all workers are busy", request))
                .unwrap_or_else(|| unavailable("all workers are busy; not run")),
            ServerRefusal::HandlerFailed => {
                let body = ErrorResponse { error: "internal error".to_owned() };
                json_response(StatusCode::INTERNAL_SERVER_ERROR, &body)
            }
        }
    }

    fn max_body(&self) -> usize {
        let limit = self.entry.view().document.limits.max_body.get();
        usize::try_from(limit).unwrap_or(usize::MAX)
    }
}
