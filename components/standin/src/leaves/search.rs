//! Answering requests with the leaf protocol.
//!
//! Every answer carries `x-boot` and, where the request had one, `x-attempt`. A 409 lists the
//! snapshots of the leaf in `x-snapshots`. A cancelled attempt gets status 499.

use {
    crate::{
        leaves::{
            counters::unix_now,
            leaf::{InFlight, Leaf},
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

/// Longest request body in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// A search request.
#[derive(Clone, Debug)]
struct Search {
    request: RequestId,
    deadline: UnixMillis,
    identity: Identity,
    body: Bytes,
}

/// What an answer says it is for.
#[derive(Clone, Debug)]
struct Identity {
    member: MemberId,
    snapshot: SnapshotId,
    map_version: MapVersion,
    shard: ShardId,
    attempt: String,
}

/// An answer that was sent.
#[derive(Clone, Debug)]
pub(crate) struct Answered {
    identity: Identity,
    rows: u32,
    body: Bytes,
}

/// How a search ends other than with rows.
enum Refusal {
    Leaving,
    Shed,
    PastDeadline,
    LostSnapshot,
    Cancelled,
}

impl Handler for Leaf {
    async fn on_connect(&self, open: usize) -> bool {
        let accepted = self.count_connect(open);
        if accepted {
            self.pay_connect().await;
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
        let mut answer = match (req.method(), req.uri().path()) {
            (&Method::POST, "/search") => self.search(&conn, req).await,
            (&Method::GET, "/health") => json_response(StatusCode::OK, &self.health()),
            (&Method::DELETE, path) => match path.strip_prefix("/search/") {
                Some(attempt) if self.cancel(attempt) => text_response(StatusCode::NO_CONTENT, ""),
                _ => not_found("no such attempt"),
            },
            _ => not_found("expected /search or /health"),
        };
        conn.block_if_silent().await;
        if let Some(attempt) = attempt
            && !answer.headers().contains_key("x-attempt")
        {
            answer.headers_mut().insert("x-attempt", attempt);
        }
        if !answer.headers().contains_key("x-boot") {
            set(&mut answer, "x-boot", self.boot());
        }
        Ok(answer)
    }
}

impl Leaf {
    async fn search(
        self: &Arc<Self>,
        conn: &Connection,
        req: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let in_flight = self.arrive();
        let search = match read(req).await {
            Ok(search) => search,
            Err(rejection) => {
                self.lock().counters.malformed += 1;
                in_flight.answered(false);
                return rejection.to_response();
            }
        };
        self.lock().counters.bytes_in += search.body.len() as u64;
        match self.run_search(&search).await {
            Ok(answered) => self.send(conn, in_flight, answered).await,
            Err(refusal) => {
                in_flight.answered(false);
                self.refuse(&refusal)
            }
        }
    }

    async fn run_search(self: &Arc<Self>, search: &Search) -> Result<Answered, Refusal> {
        let Identity { snapshot, map_version, shard, attempt, .. } = &search.identity;
        if self.lock().faults.leaving {
            return Err(Refusal::Leaving);
        }
        if self.draw(|faults| faults.shed) {
            return Err(Refusal::Shed);
        }
        if search.deadline <= unix_now() {
            return Err(Refusal::PastDeadline);
        }
        if !self.lock().index.holds(*snapshot, *map_version, shard) {
            return Err(Refusal::LostSnapshot);
        }
        let running = self.register(attempt);
        tokio::select! {
            ran = self.run_in_slot(search) => ran,
            () = running.cancelled() => Err(Refusal::Cancelled),
        }
    }

    async fn run_in_slot(self: &Arc<Self>, search: &Search) -> Result<Answered, Refusal> {
        let slot = self.slot().await.ok_or(Refusal::Shed)?;
        if search.deadline <= unix_now() {
            return Err(Refusal::PastDeadline);
        }
        let time = self.count_run(&search.request);
        self.crash_if_told(&search.body).await;
        sleep(time.to_duration()).await;
        drop(slot);
        let Identity { member, snapshot, shard, .. } = &search.identity;
        let source = RowInputs { shard, member, snapshot: *snapshot, body: &search.body };
        let count = self.lock().settings.rows;
        let body = serde_json::to_vec(&Rows::compute(source, count)).unwrap_or_default();
        Ok(Answered { identity: search.identity.clone(), rows: count, body: body.into() })
    }

    async fn crash_if_told(self: &Arc<Self>, body: &[u8]) {
        let rule = self.lock().faults.crash_on.clone();
        let Some(rule) = rule else { return };
        let text = rule.text.as_bytes();
        if !body.windows(text.len()).any(|window| window == text) {
            return;
        }
        // The crash resets this request's connection and with it drops this future.
        let leaf = self.clone();
        tokio::spawn(async move { leaf.crash(rule.down).await });
        pending::<()>().await;
    }

    /// Builds the answer with the faults in force.
    async fn send(
        &self,
        conn: &Connection,
        in_flight: InFlight,
        answered: Answered,
    ) -> Response<ResponseBody> {
        if self.draw(|faults| faults.late) {
            let by = self.lock().faults.late_by;
            sleep(by.to_duration()).await;
        }
        conn.block_if_silent().await;
        let previous = self.lock().previous.replace(answered.clone());
        let (mut identity, mut content) = (&answered.identity, &answered);
        if let Some(previous) = &previous {
            if self.draw(|faults| faults.crossed_headers) {
                identity = &previous.identity;
            }
            if self.draw(|faults| faults.crossed_answer) {
                (identity, content) = (&previous.identity, previous);
            }
        }
        let body = content.body.clone();
        self.lock().counters.bytes_out += body.len() as u64;
        let mut digest = Digest::of(&body);
        if self.draw(|faults| faults.wrong_digest) {
            digest.0 ^= 1;
        }
        let truncated = self.draw(|faults| faults.truncated_body);
        let payload =
            if truncated { ResponseBody::truncated(body) } else { ResponseBody::complete(body) };
        let mut answer = Response::new(payload);
        set(&mut answer, "x-snapshot", identity.snapshot);
        set(&mut answer, "x-map-version", identity.map_version);
        set(&mut answer, "x-shard", &identity.shard);
        set(&mut answer, "x-member", &identity.member);
        set(&mut answer, "x-attempt", &identity.attempt);
        set(&mut answer, "x-rows", content.rows);
        set(&mut answer, "x-digest", digest);
        // The boot id belongs to the moment at which the answer counts as sent.
        set(&mut answer, "x-boot", self.boot());
        if self.draw(|faults| faults.doubled_headers) {
            for name in ["x-attempt", "x-shard", "x-member"] {
                answer.headers_mut().append(name, HeaderValue::from_static("0"));
            }
        }
        in_flight.answered(true);
        answer
    }

    fn refuse(&self, refusal: &Refusal) -> Response<ResponseBody> {
        let mut state = self.lock();
        let counters = &mut state.counters;
        match refusal {
            Refusal::Leaving => {
                counters.refused_leaving += 1;
                text_response(StatusCode::GONE, "leaving")
            }
            Refusal::Shed => {
                counters.shed += 1;
                text_response(StatusCode::SERVICE_UNAVAILABLE, "shedding load")
            }
            Refusal::PastDeadline => {
                counters.past_deadline += 1;
                text_response(StatusCode::GATEWAY_TIMEOUT, "past the deadline")
            }
            Refusal::Cancelled => {
                counters.cancelled += 1;
                text_response(cancelled_status(), "cancelled")
            }
            Refusal::LostSnapshot => {
                counters.lost_snapshot += 1;
                let held = state.index.snapshots();
                let held: Vec<_> = held.iter().map(ToString::to_string).collect();
                let mut answer =
                    text_response(StatusCode::CONFLICT, "snapshot, map or shard not held");
                set(&mut answer, "x-snapshots", held.join(","));
                answer
            }
        }
    }
}

fn cancelled_status() -> StatusCode {
    // 499 is the widespread code for a request that its client cancelled.
    StatusCode::from_u16(499).unwrap_or(StatusCode::REQUEST_TIMEOUT)
}

async fn read(req: Request<Incoming>) -> Result<Search, Rejection> {
    let (parts, body) = req.into_parts();
    // hyper closes a connection that is answered before its request body was read.
    let body = read_body(body, MAX_BODY_BYTES).await?;
    let headers = &parts.headers;
    let request = header(headers, "x-request-id")?;
    let deadline = header(headers, "x-deadline-ms")?;
    let identity = Identity {
        member: header(headers, "x-member")?,
        snapshot: header(headers, "x-snapshot")?,
        map_version: header(headers, "x-map-version")?,
        shard: header(headers, "x-shard")?,
        attempt: header(headers, "x-attempt")?,
    };
    Ok(Search { request, deadline, identity, body })
}

fn header<T: FromStr>(headers: &HeaderMap, name: &'static str) -> Result<T, Rejection> {
    let mut values = headers.get_all(name).iter();
    let text = values.next().and_then(|value| value.to_str().ok());
    let value = text.and_then(|text| text.parse().ok()).filter(|_| values.next().is_none());
    let reason = || format!("header {name}: expected one valid value");
    value.ok_or_else(|| Rejection::bad_request(reason()))
}

fn set(answer: &mut Response<ResponseBody>, name: &'static str, value: impl Display) {
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        answer.headers_mut().insert(HeaderName::from_static(name), value);
    }
}
