//! Authenticates and validates the requests of callers.

use {
    crate::{
        clock,
        entry::request::{CallerIdentity, QueryParams, QueryRequest},
        http_server::HttpRequest,
    },
    crossbeam::channel::never,
    http::{HeaderMap, StatusCode},
    rand::RngExt,
    sha2::{Digest as Sha2Digest, Sha256},
    thiserror::Error,
    wigeonramp_config::{
        Caller, Document,
        caller_api::{CALLER_HEADER, QueryRequest as QueryBody, TOKEN_HEADER, TOKEN_SCHEME},
    },
    wigeonramp_control::claims::MAX_CLOCK_LEAD,
    wigeonramp_units::{CallerId, CollectionId, RequestId, Span},
};

/// Why a request was rejected before it ran.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Rejection {
    /// The body is not the expected JSON.
    #[error("body: {0}")]
    Body(String),
    /// A collection is listed twice.
    #[error("collection {0} is listed twice")]
    DuplicateCollection(CollectionId),
    /// A non-idempotent request lacks what the field describes.
    #[error("a request that is not idempotent needs {0}")]
    NotIdempotent(&'static str),
    /// The API has no such path.
    #[error("no such path: {0}")]
    Path(String),
    /// The path does not support the method.
    #[error("method not allowed: expected {0}")]
    Method(&'static str),
    /// The body is longer than the given number of bytes.
    #[error("body is longer than {0} bytes")]
    TooLarge(u64),
    /// The body was cut off or took too long to arrive.
    #[error("body did not arrive completely and in time")]
    Incomplete,
    /// Caller and token do not match a declared caller.
    #[error("unknown caller or invalid token: expected {CALLER_HEADER} and a bearer token")]
    Unauthenticated,
    /// The collection does not exist.
    #[error("collection {0} does not exist")]
    UnknownCollection(CollectionId),
    /// The shard does not exist.
    #[error("collection {0} has no shard {1}")]
    UnknownShard(CollectionId, String),
}

impl Rejection {
    /// Returns the name of the kind, as used in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Body(_) => "body",
            Self::DuplicateCollection(_) => "duplicate_collection",
            Self::Incomplete => "body_incomplete",
            Self::Method(_) => "method",
            Self::NotIdempotent(_) => "not_idempotent",
            Self::Path(_) => "path",
            Self::TooLarge(_) => "body_too_large",
            Self::Unauthenticated => "unauthenticated",
            Self::UnknownCollection(_) => "unknown_collection",
            Self::UnknownShard(..) => "unknown_shard",
        }
    }

    /// Returns the HTTP status of the rejection.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Body(_) | Self::DuplicateCollection(_) | Self::NotIdempotent(_) => {
                StatusCode::BAD_REQUEST
            }
            Self::Incomplete => StatusCode::REQUEST_TIMEOUT,
            Self::Path(_) | Self::UnknownCollection(_) | Self::UnknownShard(..) => {
                StatusCode::NOT_FOUND
            }
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
        }
    }
}

/// Returns the caller that the headers identify. Fails with `Rejection::Unauthenticated` if the
/// caller or its member is not declared or the token is wrong.
pub fn authenticate(document: &Document, headers: &HeaderMap) -> Result<CallerIdentity, Rejection> {
    let header = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let caller: CallerId = header(CALLER_HEADER)
        .and_then(|caller| caller.parse().ok())
        .ok_or(Rejection::Unauthenticated)?;
    let token = header(TOKEN_HEADER)
        .and_then(|value| value.strip_prefix(TOKEN_SCHEME))
        .ok_or(Rejection::Unauthenticated)?;
    let declared = document.callers.get(&caller).ok_or(Rejection::Unauthenticated)?;
    if !token_matches(declared, token) || !document.members.contains_key(&declared.member) {
        return Err(Rejection::Unauthenticated);
    }
    Ok(CallerIdentity { caller, member: declared.member.clone(), priority: declared.priority })
}

/// Compares hashes, so that the time taken reveals nothing about the token.
fn token_matches(declared: &Caller, token: &str) -> bool {
    let hash = Sha256::digest(token.as_bytes());
    let hex: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    declared.token_sha256.eq_ignore_ascii_case(&hex)
}

/// Parses and validates the body of a query. Fails if it is malformed or names a collection or
/// shard that the document does not contain.
pub fn parse_query(
    document: &Document,
    identity: CallerIdentity,
    request: &HttpRequest,
) -> Result<QueryRequest, Rejection> {
    let body: QueryBody =
        serde_json::from_slice(&request.body).map_err(|err| Rejection::Body(err.to_string()))?;
    check_collections(document, &body)?;
    if !body.idempotent {
        check_non_idempotent(&body)?;
    }
    let max_timeout = body
        .collections
        .iter()
        .filter_map(|id| document.collections.get(id))
        .map(|collection| collection.max_deadline)
        .max()
        .unwrap_or_default();
    let timeout = body.timeout_ms.map_or(max_timeout, |ms| Span::millis(ms).min(max_timeout));
    let leaf_body = serde_json::to_vec(&body.body).expect("a JSON value can always be serialized");
    let params = QueryParams {
        body: leaf_body.into(),
        // A non-idempotent request goes on without its caller, because its outcome is recorded for
        // a resubmission.
        client_gone: if body.idempotent { request.client_gone.clone() } else { never() },
        collections: body.collections,
        deadline: clock::now() + timeout,
        idempotent: body.idempotent,
        repeated: body.repeated && !body.idempotent,
        request: body.request_id.unwrap_or_else(new_request_id),
        shard: body.shard,
    };
    Ok(QueryRequest::new(identity, params))
}

/// Returns the id of a resubmitted non-idempotent request; `None` for any other request and if the
/// body is malformed.
pub fn resubmission_id(request: &HttpRequest) -> Option<RequestId> {
    let body: QueryBody = serde_json::from_slice(&request.body).ok()?;
    body.request_id.filter(|_| body.repeated && !body.idempotent)
}

fn check_collections(document: &Document, body: &QueryBody) -> Result<(), Rejection> {
    if body.collections.is_empty() {
        return Err(Rejection::Body("collections: expected at least one".to_owned()));
    }
    for (i, id) in body.collections.iter().enumerate() {
        if body.collections[..i].contains(id) {
            return Err(Rejection::DuplicateCollection(id.clone()));
        }
        let Some(collection) = document.collections.get(id) else {
            return Err(Rejection::UnknownCollection(id.clone()));
        };
        let Some(shard) = &body.shard else { continue };
        if !collection.maps.iter().any(|map| map.shards.contains_key(shard)) {
            return Err(Rejection::UnknownShard(id.clone(), shard.to_string()));
        }
    }
    Ok(())
}

fn check_non_idempotent(body: &QueryBody) -> Result<(), Rejection> {
    if body.collections.len() != 1 {
        return Err(Rejection::NotIdempotent("exactly one collection"));
    }
    if body.shard.is_none() {
        return Err(Rejection::NotIdempotent("a shard"));
    }
    let Some(id) = &body.request_id else {
        return Err(Rejection::NotIdempotent("a request_id"));
    };
    let timestamp =
        id.as_str().split_once('-').and_then(|(timestamp, _)| timestamp.parse::<u64>().ok());
    match timestamp {
        None => Err(Rejection::NotIdempotent("a request_id of the form <unix ms>-<random>")),
        Some(at) if at > (clock::unix_now() + MAX_CLOCK_LEAD).0 => {
            Err(Rejection::NotIdempotent("a request_id whose time is not in the future"))
        }
        Some(_) => Ok(()),
    }
}

fn new_request_id() -> RequestId {
    let text = format!("{}-{:016x}", clock::unix_now(), rand::rng().random::<u64>());
    text.parse().expect("digits and a dash form a valid id")
}
