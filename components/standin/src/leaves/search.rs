//! Request handling of the leaf protocol.
//!
//! Every response carries `x-boot` and, if the request had one, `x-attempt`. A response with status
//! 409 lists the snapshots of the leaf in `x-snapshots`. A cancelled attempt gets status 499.

use {
    crate::{
        leaves::{
            counters::unix_now,
            leaf::{InFlightRequest, Leaf},
            rows::{RowInputs, Rows},
        },
        net::{
            Connection, Handler, HandlerResult, Rejection, ResponseBody, json_response, not_found,
            read_body, text_response,
        },
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode},
    hyper::body::Incoming,
    std::{fmt::Display, future::pending, str::FromStr, sync::Arc},
    tokio::time::sleep,
    wigeonramp_units::{Digest, MapVersion, MemberId, RequestId, ShardId, SnapshotId, UnixMillis},
};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// A search request.
#[derive(Clone, Debug)]
struct SearchRequest {
    request_id: RequestId,
    deadline: UnixMillis,
    identity: RequestIdentity,
    body: Bytes,
}

/// Headers that identify a request; its response repeats them.
#[derive(Clone, Debug)]
struct RequestIdentity {
    member: MemberId,
    snapshot: SnapshotId,
    map_version: MapVersion,
    shard: ShardId,
    attempt: String,
}

/// Content of a response with rows.
#[derive(Clone, Debug)]
pub(crate) struct SearchResult {
    identity: RequestIdentity,
    rows: u32,
    body: Bytes,
}

/// Reason why a search ends without rows.
enum SearchError {
    Leaving,
    Shed,
    PastDeadline,
    NotHeld,
    Cancelled,
}

impl Handler for Leaf {
    async fn on_connect(&self, open: usize) -> bool {
        let accepted = self.record_connect(open);
        if accepted {
            self.spend_connect_cost().await;
        }
        accepted
    }

    async fn handle(
        self: Arc<Self>,
        conn: Arc<Connection>,
        req: Request<Incoming>,
    ) -> HandlerResult {
        conn.block_if_silent().await;
        let attempt = req.headers().get("x-attempt").cloned();
        let mut response = match (req.method(), req.uri().path()) {
            (&Method::POST, "/search") => self.search(&conn, req).await,
            (&Method::GET, "/health") => json_response(StatusCode::OK, &self.health()),
            (&Method::DELETE, path) => match path.strip_prefix("/search/") {
                Some(attempt) if self.cancel_attempt(attempt) => {
                    text_response(StatusCode::NO_CONTENT, "")
                }
                _ => not_found("no such attempt"),
            },
            _ => not_found("expected /search or /health"),
        };
        conn.block_if_silent().await;
        if let Some(attempt) = attempt
            && !response.headers().contains_key("x-attempt")
        {
            response.headers_mut().insert("x-attempt", attempt);
        }
        if !response.headers().contains_key("x-boot") {
            set_header(&mut response, "x-boot", self.boot_id());
        }
        Ok(response)
    }
}

impl Leaf {
    async fn search(
        self: &Arc<Self>,
        conn: &Connection,
        req: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let in_flight = self.record_arrival();
        let search = match parse_search(req).await {
            Ok(search) => search,
            Err(rejection) => {
                self.lock().counters.malformed += 1;
                in_flight.finish(false);
                return rejection.to_response();
            }
        };
        self.lock().counters.bytes_in += search.body.len() as u64;
        match self.run_search(&search).await {
            Ok(result) => self.respond(conn, in_flight, result).await,
            Err(err) => {
                in_flight.finish(false);
                self.error_response(&err)
            }
        }
    }

    async fn run_search(
        self: &Arc<Self>,
        search: &SearchRequest,
    ) -> Result<SearchResult, SearchError> {
        let RequestIdentity { snapshot, map_version, shard, attempt, .. } = &search.identity;
        if self.lock().faults.leaving {
            return Err(SearchError::Leaving);
        }
        if self.fault_applies(|faults| faults.shed) {
            return Err(SearchError::Shed);
        }
        if search.deadline <= unix_now() {
            return Err(SearchError::PastDeadline);
        }
        if !self.lock().index.holds(*snapshot, *map_version, shard) {
            return Err(SearchError::NotHeld);
        }
        let registered = self.register_attempt(attempt);
        tokio::select! {
            result = self.run_in_slot(search) => result,
            () = registered.cancelled() => Err(SearchError::Cancelled),
        }
    }

    async fn run_in_slot(
        self: &Arc<Self>,
        search: &SearchRequest,
    ) -> Result<SearchResult, SearchError> {
        let slot = self.acquire_slot().await.ok_or(SearchError::Shed)?;
        if search.deadline <= unix_now() {
            return Err(SearchError::PastDeadline);
        }
        let service_time = self.start_run(&search.request_id);
        self.crash_if_body_matches(&search.body).await;
        sleep(service_time.to_duration()).await;
        drop(slot);
        let RequestIdentity { member, snapshot, shard, .. } = &search.identity;
        let inputs = RowInputs { shard, member, snapshot: *snapshot, body: &search.body };
        let count = self.lock().settings.rows;
        let body = serde_json::to_vec(&Rows::compute(inputs, count)).unwrap_or_default();
        Ok(SearchResult { identity: search.identity.clone(), rows: count, body: body.into() })
    }

    async fn crash_if_body_matches(self: &Arc<Self>, body: &[u8]) {
        let rule = self.lock().faults.crash_on.clone();
        let Some(rule) = rule else { return };
        let text = rule.text.as_bytes();
        if !body.windows(text.len()).any(|window| window == text) {
            return;
        }
        // The crash resets this request's connection, which drops this future.
        let leaf = self.clone();
        tokio::spawn(async move { leaf.crash(rule.down).await });
        pending::<()>().await;
    }

    /// Builds the response, modified by the active faults.
    async fn respond(
        &self,
        conn: &Connection,
        in_flight: InFlightRequest,
        result: SearchResult,
    ) -> Response<ResponseBody> {
        if self.fault_applies(|faults| faults.late) {
            let delay = self.lock().faults.late_by;
            sleep(delay.to_duration()).await;
        }
        conn.block_if_silent().await;
        let previous = self.lock().previous_result.replace(result.clone());
        let (mut identity, mut content) = (&result.identity, &result);
        if let Some(previous) = &previous {
            if self.fault_applies(|faults| faults.crossed_headers) {
                identity = &previous.identity;
            }
            if self.fault_applies(|faults| faults.crossed_answer) {
                (identity, content) = (&previous.identity, previous);
            }
        }
        let body = content.body.clone();
        self.lock().counters.bytes_out += body.len() as u64;
        let mut digest = Digest::of(&body);
        if self.fault_applies(|faults| faults.wrong_digest) {
            digest.0 ^= 1;
        }
        let truncated = self.fault_applies(|faults| faults.truncated_body);
        let body =
            if truncated { ResponseBody::truncated(body) } else { ResponseBody::complete(body) };
        let mut response = Response::new(body);
        set_header(&mut response, "x-snapshot", identity.snapshot);
        set_header(&mut response, "x-map-version", identity.map_version);
        set_header(&mut response, "x-shard", &identity.shard);
        set_header(&mut response, "x-member", &identity.member);
        set_header(&mut response, "x-attempt", &identity.attempt);
        set_header(&mut response, "x-rows", content.rows);
        set_header(&mut response, "x-digest", digest);
        // Read the boot id last, when the response counts as sent.
        set_header(&mut response, "x-boot", self.boot_id());
        if self.fault_applies(|faults| faults.doubled_headers) {
            for name in ["x-attempt", "x-shard", "x-member"] {
                response.headers_mut().append(name, HeaderValue::from_static("0"));
            }
        }
        in_flight.finish(true);
        response
    }

    /// Counts a search that ended without rows and builds its response.
    fn error_response(&self, err: &SearchError) -> Response<ResponseBody> {
        let mut state = self.lock();
        let counters = &mut state.counters;
        match err {
            SearchError::Leaving => {
                counters.refused_leaving += 1;
                text_response(StatusCode::GONE, "leaving")
            }
            SearchError::Shed => {
                counters.shed += 1;
                text_response(StatusCode::SERVICE_UNAVAILABLE, "shedding load")
            }
            SearchError::PastDeadline => {
                counters.past_deadline += 1;
                text_response(StatusCode::GATEWAY_TIMEOUT, "past the deadline")
            }
            SearchError::Cancelled => {
                counters.cancelled += 1;
                text_response(cancelled_status(), "cancelled")
            }
            SearchError::NotHeld => {
                counters.lost_snapshot += 1;
                let snapshots = state.index.snapshots();
                let snapshots: Vec<_> = snapshots.iter().map(ToString::to_string).collect();
                let mut response =
                    text_response(StatusCode::CONFLICT, "snapshot, map or shard not held");
                set_header(&mut response, "x-snapshots", snapshots.join(","));
                response
            }
        }
    }
}

fn cancelled_status() -> StatusCode {
    // 499 is the de facto status code for a request that its client cancelled.
    StatusCode::from_u16(499).unwrap_or(StatusCode::REQUEST_TIMEOUT)
}

async fn parse_search(req: Request<Incoming>) -> Result<SearchRequest, Rejection> {
    let (parts, body) = req.into_parts();
    // Read the body first: hyper closes the connection if the response precedes it.
    let body = read_body(body, MAX_BODY_BYTES).await?;
    let headers = &parts.headers;
    let request_id = parse_header(headers, "x-request-id")?;
    let deadline = parse_header(headers, "x-deadline-ms")?;
    let identity = RequestIdentity {
        member: parse_header(headers, "x-member")?,
        snapshot: parse_header(headers, "x-snapshot")?,
        map_version: parse_header(headers, "x-map-version")?,
        shard: parse_header(headers, "x-shard")?,
        attempt: parse_header(headers, "x-attempt")?,
    };
    Ok(SearchRequest { request_id, deadline, identity, body })
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &'static str) -> Result<T, Rejection> {
    let mut values = headers.get_all(name).iter();
    let text = values.next().and_then(|value| value.to_str().ok());
    let value = text.and_then(|text| text.parse().ok()).filter(|_| values.next().is_none());
    let reason = || format!("header {name}: expected one valid value");
    value.ok_or_else(|| Rejection::bad_request(reason()))
}

fn set_header(response: &mut Response<ResponseBody>, name: &'static str, value: impl Display) {
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
}
