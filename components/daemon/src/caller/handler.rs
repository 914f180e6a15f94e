//! Answers the requests of callers.

use {
    crate::{
        caller::check::{self, Rejection},
        entry::Entry,
        http_server::{Handler, HttpRequest, ServerRefusal, json_response},
        view::HolderRights,
    },
    bytes::Bytes,
    http::{HeaderValue, Method, Response, StatusCode, header},
    http_body_util::Full,
    std::{
        net::SocketAddr,
        panic::{AssertUnwindSafe, catch_unwind},
        sync::Arc,
    },
    wigeonramp_config::caller_api::{
        ENTRY_PATH, EntryAnswer, ErrorAnswer, QUERY_PATH, QueryAnswer, QueryOutcome,
    },
    wigeonramp_units::{RequestId, Span},
};

/// When a refused caller should try again, in seconds.
const RETRY_AFTER: &str = "1";

/// Which hosts a caller should use; answered by the control side.
pub trait EntryAddresses: Send + Sync + 'static {
    /// Addresses in order of preference and how long they may be used.
    fn entry_addresses(&self) -> EntryChoice;
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
pub struct CallerApi<A, R> {
    addresses: Arc<A>,
    entry: Arc<Entry<R>>,
}

impl<A: EntryAddresses, R: HolderRights> CallerApi<A, R> {
    /// An API over `entry`.
    pub fn new(entry: Arc<Entry<R>>, addresses: Arc<A>) -> Self {
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
        check::authenticate(&view.document, &request.headers)?;
        let choice = self.addresses.entry_addresses();
        if choice.addresses.is_empty() {
            return Ok(busy("no host takes callers at the moment"));
        }
        let answer =
            EntryAnswer { addresses: choice.addresses, lifetime_ms: choice.lifetime.as_millis() };
        Ok(json_response(StatusCode::OK, &answer))
    }

    fn query(&self, request: &HttpRequest) -> Result<Response<Full<Bytes>>, Rejection> {
        let view = self.entry.view();
        if !view.configured() {
            return Ok(busy("no configuration adopted yet"));
        }
        let identity = check::authenticate(&view.document, &request.headers)?;
        let query = check::query(&view.document, identity, request)?;
        // Once leaves may have been asked, a fault must not read like a refusal.
        let answer = catch_unwind(AssertUnwindSafe(|| self.entry.run(&query)));
        let answer = answer.unwrap_or_else(|_| unknown(query.request.clone(), "internal fault"));
        Ok(query_response(&answer))
    }
}

fn unknown(request_id: RequestId, reason: &str) -> QueryAnswer {
    QueryAnswer {
        request_id,
        outcome: QueryOutcome::Unknown { reason: reason.to_owned() },
        collections: Vec::new(),
    }
}

fn query_response(answer: &QueryAnswer) -> Response<Full<Bytes>> {
    match answer.outcome {
        QueryOutcome::Done => json_response(StatusCode::OK, answer),
        QueryOutcome::Unknown { .. } => json_response(StatusCode::GATEWAY_TIMEOUT, answer),
        QueryOutcome::RefusedNotRun { .. } => {
            retry_later(json_response(StatusCode::SERVICE_UNAVAILABLE, answer))
        }
    }
}

fn retry_later(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER));
    response
}

fn busy(reason: &str) -> Response<Full<Bytes>> {
    let answer = ErrorAnswer { error: reason.to_owned() };
    retry_later(json_response(StatusCode::SERVICE_UNAVAILABLE, &answer))
}

fn rejected(rejection: &Rejection) -> Response<Full<Bytes>> {
    let answer = ErrorAnswer { error: rejection.to_string() };
    let mut response = json_response(rejection.status(), &answer);
    if rejection.status() == StatusCode::UNAUTHORIZED {
        response.headers_mut().insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}

impl<A: EntryAddresses, R: HolderRights> Handler for CallerApi<A, R> {
    fn handle(&self, request: HttpRequest) -> Response<Full<Bytes>> {
        self.dispatch(&request).unwrap_or_else(|rejection| rejected(&rejection))
    }

    fn refuse(&self, refusal: ServerRefusal) -> Response<Full<Bytes>> {
        match refusal {
            ServerRefusal::BodyTooLarge => {
                rejected(&Rejection::TooLarge(self.entry.view().document.limits.max_body.get()))
            }
            ServerRefusal::BodyIncomplete => rejected(&Rejection::Incomplete),
            ServerRefusal::Busy => busy("all workers are taken; not run"),
            ServerRefusal::HandlerFailed => {
                let answer = ErrorAnswer { error: "internal fault".to_owned() };
                json_response(StatusCode::INTERNAL_SERVER_ERROR, &answer)
            }
        }
    }

    fn max_body(&self) -> usize {
        let limit = self.entry.view().document.limits.max_body.get();
        usize::try_from(limit).unwrap_or(usize::MAX)
    }
}
