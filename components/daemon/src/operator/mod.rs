//! HTTP API of operators.

mod confirm;
mod plan;
mod status;
mod timeline;

use {
    crate::{
        control::{
            assigner::new_op_id,
            host_control::HostControl,
            platform::{CallKind, Platform},
            shared_state::SharedState,
            watcher::CONFIG_KEY,
        },
        holder::HeldLeaves,
        http_server::{Handler, HttpRequest, ServerRefusal, json_response},
        view::ClusterView,
    },
    bytes::Bytes,
    http::{HeaderValue, Method, Response, StatusCode, header},
    http_body_util::Full,
    serde::de::DeserializeOwned,
    std::sync::Arc,
    thiserror::Error,
    wigeonramp_config::{
        Document,
        api::{
            CONFIG_PATH, CONFIRM_PATH, ConfigResponse, ErrorResponse, METRICS_PATH, PLAN_PATH,
            STATUS_PATH, TIMELINE_PATH,
        },
    },
    wigeonramp_control::{
        plan::document_digest,
        store_result::{ReadResult, Stored},
    },
    wigeonramp_store::{MAX_VALUE_BYTES, ObjectStore},
    wigeonramp_units::{OpId, Revision},
};

/// Longest request: a plan with its target document and changes.
const MAX_BODY: usize = 4 * MAX_VALUE_BYTES;
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A request that changed nothing.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
enum Rejection {
    /// The body or a query parameter cannot be used.
    #[error("{0}")]
    Bad(String),
    /// There is nothing to answer with yet.
    #[error("{0}")]
    NotReady(String),
    /// No path of the API.
    #[error("no such path: {0}")]
    Path(String),
    /// The method does not fit the path.
    #[error("method not allowed: expected {0}")]
    Method(&'static str),
    /// The plan is not allowed.
    #[error("{0}")]
    Refused(String),
}

impl Rejection {
    fn status(&self) -> StatusCode {
        match self {
            Self::Bad(_) => StatusCode::BAD_REQUEST,
            Self::NotReady(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Path(_) => StatusCode::NOT_FOUND,
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::Refused(_) => StatusCode::CONFLICT,
        }
    }
}

type Answer = Result<Response<Full<Bytes>>, Rejection>;

/// The operator API of a host.
pub struct OperatorApi<S> {
    shared: Arc<SharedState>,
    held_leaves: Arc<HeldLeaves<HostControl>>,
    platform: Arc<Platform<S>>,
}

impl<S: ObjectStore> OperatorApi<S> {
    /// An API over the given parts.
    pub fn new(
        shared: Arc<SharedState>,
        held_leaves: Arc<HeldLeaves<HostControl>>,
        platform: Arc<Platform<S>>,
    ) -> Self {
        Self { shared, held_leaves, platform }
    }

    fn dispatch(&self, request: &HttpRequest) -> Answer {
        let (path, get) = (request.uri.path(), request.method == Method::GET);
        let post = request.method == Method::POST;
        match path {
            PLAN_PATH if post => self.plan(parsed(&request.body)?),
            CONFIRM_PATH if post => Ok(self.confirm(parsed(&request.body)?)),
            PLAN_PATH | CONFIRM_PATH => Err(Rejection::Method("POST")),
            STATUS_PATH if get => Ok(json_response(StatusCode::OK, &self.status())),
            CONFIG_PATH if get => self.config(),
            TIMELINE_PATH if get => {
                let filter = timeline::filter(request.uri.query().unwrap_or_default())?;
                Ok(json_response(StatusCode::OK, &self.shared.timeline().response(&filter)))
            }
            METRICS_PATH if get => Ok(self.metrics()),
            STATUS_PATH | CONFIG_PATH | TIMELINE_PATH | METRICS_PATH => {
                Err(Rejection::Method("GET"))
            }
            _ => Err(Rejection::Path(path.to_owned())),
        }
    }

    fn config(&self) -> Answer {
        let document = self.shared.document();
        if document.version.get() == 0 {
            return Err(Rejection::NotReady("no configuration adopted yet".to_owned()));
        }
        let digest = document_digest(&document);
        let answer = ConfigResponse { document: Document::clone(&document), digest };
        Ok(json_response(StatusCode::OK, &answer))
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.shared.metrics().encode().into()));
        let kind = HeaderValue::from_static(METRICS_TYPE);
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }

    /// The document in the store; an empty one, at revision 0, if none was ever written.
    fn current(&self) -> Option<Stored<Document>> {
        match self.platform.read(CallKind::Plan, CONFIG_KEY) {
            ReadResult::Found(found) => Some(found),
            ReadResult::Missing => Some(nothing_declared()),
            ReadResult::Failed => None,
        }
    }

    fn new_op_id(&self) -> OpId {
        new_op_id(&self.shared.instance())
    }
}

/// What plans change when nothing was ever declared.
fn nothing_declared() -> Stored<Document> {
    let value = Document::clone(&ClusterView::empty().document);
    Stored { revision: Revision(0), value }
}

fn parsed<T: DeserializeOwned>(body: &[u8]) -> Result<T, Rejection> {
    serde_json::from_slice(body).map_err(|err| Rejection::Bad(format!("body: {err}")))
}

fn rejected(status: StatusCode, error: String) -> Response<Full<Bytes>> {
    json_response(status, &ErrorResponse { error })
}

impl<S: ObjectStore> Handler for OperatorApi<S> {
    fn handle(&self, request: HttpRequest) -> Response<Full<Bytes>> {
        self.dispatch(&request).unwrap_or_else(|err| rejected(err.status(), err.to_string()))
    }

    fn refuse(&self, refusal: ServerRefusal, _: Option<&HttpRequest>) -> Response<Full<Bytes>> {
        let (status, error) = match refusal {
            ServerRefusal::BodyTooLarge => {
                (StatusCode::PAYLOAD_TOO_LARGE, format!("body is longer than {MAX_BODY} bytes"))
            }
            ServerRefusal::BodyIncomplete => {
                (StatusCode::REQUEST_TIMEOUT, "body did not arrive whole and in time".to_owned())
            }
            ServerRefusal::Busy => {
                (StatusCode::SERVICE_UNAVAILABLE, "all workers are taken".to_owned())
            }
            // A confirmation may have been written before the fault.
            ServerRefusal::HandlerFailed => {
                (StatusCode::INTERNAL_SERVER_ERROR, "internal fault".to_owned())
            }
        };
        rejected(status, error)
    }

    fn max_body(&self) -> usize {
        MAX_BODY
    }
}
