//! HTTP API for the platform's faults and counters.

use {
    crate::{
        net::{
            Connection, Handler, HandlerResult, json_response, not_found, read_json, text_response,
        },
        platform::{api::Api, fault::PlatformFault},
    },
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    std::sync::Arc,
};

/// Handler of the control address.
pub(crate) struct ControlApi(Arc<Api>);

impl ControlApi {
    pub(crate) fn new(api: Arc<Api>) -> Self {
        Self(api)
    }
}

impl Handler for ControlApi {
    async fn on_connect(&self, _: usize) -> bool {
        true
    }

    async fn handle(self: Arc<Self>, _: Arc<Connection>, req: Request<Incoming>) -> HandlerResult {
        let (parts, body) = req.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/counters") => Ok(json_response(StatusCode::OK, &self.0.counters())),
            (&Method::POST, "/faults") => match read_json::<PlatformFault>(body).await {
                Ok(fault) => {
                    self.0.inject_fault(&fault).await;
                    Ok(text_response(StatusCode::NO_CONTENT, ""))
                }
                Err(rejection) => Ok(rejection.to_response()),
            },
            _ => Ok(not_found("expected GET /counters or POST /faults")),
        }
    }
}
