//! The HTTP API for operators: plans, status, configuration, timeline and metrics.

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

/// Maximum length of a request body in bytes. The longest is a plan with its target document and
/// changes.
const MAX_BODY: usize = 4 * MAX_VALUE_BYTES;
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Why a request was rejected. Nothing was changed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
enum Rejection {
    /// The body or a query parameter is invalid.
    #[error("{0}")]
    BadRequest(String),
    /// The configuration is not available.
    #[error("{0}")]
    Unavailable(String),
    /// The API has no such path.
    #[error("no such path: {0}")]
    Path(String),
    /// The path does not support the method.
    #[error("method not allowed: expected {0}")]
    Method(&'static str),
    /// The plan is refused.
    #[error("{0}")]
    Refused(String),
}

impl Rejection {
    fn status(&self) -> StatusCode {
        match self {
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Path(_) => StatusCode::NOT_FOUND,
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::Refused(_) => StatusCode::CONFLICT,
        }
    }
}

type ApiResult = Result<Response<Full<Bytes>>, Rejection>;

/// The operator API of a host.
pub struct OperatorApi<S> {
    shared: Arc<SharedState>,
    held_leaves: Arc<HeldLeaves<HostControl>>,
    platform: Arc<Platform<S>>,
}

impl<S: ObjectStore> OperatorApi<S> {
    /// Creates an API for the host with the given parts.
    pub fn new(
        shared: Arc<SharedState>,
        held_leaves: Arc<HeldLeaves<HostControl>>,
        platform: Arc<Platform<S>>,
    ) -> Self {
        Self { shared, held_leaves, platform }
    }

    fn dispatch(&self, request: &HttpRequest) -> ApiResult {
        let (path, get) = (request.uri.path(), request.method == Method::GET);
        let post = request.method == Method::POST;
        match path {
            PLAN_PATH if post => self.plan(parse_body(&request.body)?),
            CONFIRM_PATH if post => Ok(self.confirm(parse_body(&request.body)?)),
            PLAN_PATH | CONFIRM_PATH => Err(Rejection::Method("POST")),
            STATUS_PATH if get => Ok(json_response(StatusCode::OK, &self.status())),
            CONFIG_PATH if get => self.config(),
            TIMELINE_PATH if get => {
                let filter = timeline::parse_filter(request.uri.query().unwrap_or_default())?;
                Ok(json_response(StatusCode::OK, &self.shared.timeline().response(&filter)))
            }
            METRICS_PATH if get => Ok(self.metrics()),
            STATUS_PATH | CONFIG_PATH | TIMELINE_PATH | METRICS_PATH => {
                Err(Rejection::Method("GET"))
            }
            _ => Err(Rejection::Path(path.to_owned())),
        }
    }

    fn config(&self) -> ApiResult {
        let document = self.shared.document();
        if document.version.get() == 0 {
            return Err(Rejection::Unavailable("no configuration adopted yet".to_owned()));
        }
        let digest = document_digest(&document);
        let response = ConfigResponse { document: Document::clone(&document), digest };
        Ok(json_response(StatusCode::OK, &response))
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.shared.metrics().encode().into()));
        let content_type = HeaderValue::from_static(METRICS_CONTENT_TYPE);
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        response
    }

    /// Reads the document from the store; an empty one at revision 0 if none was ever written.
    /// Returns `None` if the store cannot be read.
    fn read_stored_document(&self) -> Option<Stored<Document>> {
        match self.platform.read(CallKind::Plan, CONFIG_KEY) {
            ReadResult::Found(found) => Some(found),
            ReadResult::Missing => Some(empty_document()),
            ReadResult::Failed => None,
        }
    }

    fn new_op_id(&self) -> OpId {
        new_op_id(&self.shared.instance())
    }
}

/// Returns the document that the first plan is based on, before anything was declared.
fn empty_document() -> Stored<Document> {
    let value = Document::clone(&ClusterView::empty().document);
    Stored { revision: Revision(0), value }
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, Rejection> {
    serde_json::from_slice(body).map_err(|err| Rejection::BadRequest(format!("body: {err}")))
}

fn error_response(status: StatusCode, error: String) -> Response<Full<Bytes>> {
    json_response(status, &ErrorResponse { error })
}

impl<S: ObjectStore> Handler for OperatorApi<S> {
    fn handle(&self, request: HttpRequest) -> Response<Full<Bytes>> {
        self.dispatch(&request).unwrap_or_else(|err| error_response(err.status(), err.to_string()))
    }

    fn refuse(&self, refusal: ServerRefusal, _: Option<&HttpRequest>) -> Response<Full<Bytes>> {
        let (status, error) = match refusal {
            ServerRefusal::BodyTooLarge => {
                (StatusCode::PAYLOAD_TOO_LARGE, format!("body is longer than {MAX_BODY} bytes"))
            }
            ServerRefusal::BodyIncomplete => (
                StatusCode::REQUEST_TIMEOUT,
                "body did not arrive completely and in time".to_owned(),
            ),
            ServerRefusal::Busy => {
                (StatusCode::SERVICE_UNAVAILABLE, "all workers are busy".to_owned())
            }
            // A confirmation may have been written before the panic.
            ServerRefusal::HandlerFailed => {
                (StatusCode::INTERNAL_SERVER_ERROR, "internal error".to_owned())
            }
        };
        error_response(status, error)
    }

    fn max_body(&self) -> usize {
        MAX_BODY
    }
}
