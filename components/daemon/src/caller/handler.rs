//! Answers the requests of callers.

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

/// When a refused caller should try again, if nothing better is known.
const RETRY_AFTER: Span = Span::secs(1);
/// Header with that time in milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

/// Which hosts a caller should use; answered by the control side.
pub trait EntryAddresses: Send + Sync + 'static {
    /// Addresses for a caller in order of preference and how long they may be used.
    fn entry_addresses(&self, caller: &CallerIdentity) -> EntryChoice;
}

/// Hosts for a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryChoice {
    /// Addresses in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may use them.
    pub lifetime: Span,
}

/// The caller API of a host.
pub struct CallerApi<A, K, R> {
    addresses: Arc<A>,
    entry: Arc<Entry<K, R>>,
}

impl<A: EntryAddresses, K: RequestClaims, R: HolderRights> CallerApi<A, K, R> {
    /// An API over `entry`.
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
            return Ok(busy("no configuration adopted yet"));
        }
        let identity = check::authenticate(&view.document, &request.headers)?;
        let choice = self.addresses.entry_addresses(&identity);
        if choice.addresses.is_empty() {
            return Ok(busy("no host takes callers at the moment"));
        }
        let answer =
            EntryResponse { addresses: choice.addresses, lifetime_ms: choice.lifetime.as_millis() };
        Ok(json_response(StatusCode::OK, &answer))
    }

    fn query(&self, request: &HttpRequest) -> Result<Response<Full<Bytes>>, Rejection> {
        let view = self.entry.view();
        if !view.configured() {
            let reason = "no configuration adopted yet";
            return Ok(busy_repetition(reason, request).unwrap_or_else(|| busy(reason)));
        }
        let identity = check::authenticate(&view.document, &request.headers)?;
        let query = check::query(&view.document, identity, request)?;
        // Once leaves may have been asked, a fault must not read like a refusal.
        let reply = catch_unwind(AssertUnwindSafe(|| self.entry.run(&query)));
        let reply = reply.unwrap_or_else(|_| QueryReply::unknown(&query, "internal fault"));
        Ok(query_response(&reply))
    }
}

fn query_response(reply: &QueryReply) -> Response<Full<Bytes>> {
    let answer = &reply.response;
    match answer.outcome {
        QueryOutcome::Done => json_response(StatusCode::OK, answer),
        QueryOutcome::Unknown { .. } => json_response(StatusCode::GATEWAY_TIMEOUT, answer),
        QueryOutcome::RefusedNotRun { .. } => {
            retry_later(json_response(StatusCode::SERVICE_UNAVAILABLE, answer), reply.retry_after)
        }
    }
}

/// Names the time to try again: whole seconds for any client, milliseconds for those that know.
fn retry_later(mut response: Response<Full<Bytes>>, after: Span) -> Response<Full<Bytes>> {
    let after = if after == Span::ZERO { RETRY_AFTER } else { after };
    let seconds = after.as_millis().div_ceil(1_000);
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(after.as_millis()));
    response
}

fn busy(reason: &str) -> Response<Full<Bytes>> {
    let answer = ErrorResponse { error: reason.to_owned() };
    retry_later(json_response(StatusCode::SERVICE_UNAVAILABLE, &answer), RETRY_AFTER)
}

/// The answer to a repetition of a request that must not run twice; `None` for any other request.
fn busy_repetition(reason: &str, request: &HttpRequest) -> Option<Response<Full<Bytes>>> {
    let answer = response::unknown_repetition(&check::repetition(request)?, reason);
    Some(retry_later(json_response(StatusCode::GATEWAY_TIMEOUT, &answer), RETRY_AFTER))
}

/// Keeps the status, which names the fault; the body tells a repetition that it may have run.
fn rejected_for(rejection: &Rejection, request: &HttpRequest) -> Response<Full<Bytes>> {
    let id = (request.uri.path() == QUERY_PATH).then(|| check::repetition(request)).flatten();
    match id {
        Some(id) => rejection_response(
            rejection,
            &response::unknown_repetition(&id, &rejection.to_string()),
        ),
        None => rejected(rejection),
    }
}

fn rejected(rejection: &Rejection) -> Response<Full<Bytes>> {
    rejection_response(rejection, &ErrorResponse { error: rejection.to_string() })
}

fn rejection_response(rejection: &Rejection, answer: &impl Serialize) -> Response<Full<Bytes>> {
    let mut response = json_response(rejection.status(), answer);
    if rejection.status() == StatusCode::UNAUTHORIZED {
        response.headers_mut().insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}

impl<A: EntryAddresses, K: RequestClaims, R: HolderRights> Handler for CallerApi<A, K, R> {
    fn handle(&self, request: HttpRequest) -> Response<Full<Bytes>> {
        self.dispatch(&request).unwrap_or_else(|rejection| {
            self.entry.observer().query_refused(None, rejection.kind(), None);
            rejected_for(&rejection, &request)
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
                rejected(&Rejection::TooLarge(self.entry.view().document.limits.max_body.get()))
            }
            ServerRefusal::BodyIncomplete => rejected(&Rejection::Incomplete),
            ServerRefusal::Busy => request
                .filter(|request| request.uri.path() == QUERY_PATH)
                .and_then(|request| busy_repetition("all workers are taken", request))
                .unwrap_or_else(|| busy("all workers are taken; not run")),
            ServerRefusal::HandlerFailed => {
                let answer = ErrorResponse { error: "internal fault".to_owned() };
                json_response(StatusCode::INTERNAL_SERVER_ERROR, &answer)
            }
        }
    }

    fn max_body(&self) -> usize {
        let limit = self.entry.view().document.limits.max_body.get();
        usize::try_from(limit).unwrap_or(usize::MAX)
    }
}
