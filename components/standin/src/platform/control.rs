//! Faults and counters of the platform over HTTP.

use {
    crate::{
        net::{Conn, Handler, Outcome, json, not_found, read_json, status},
        platform::{api::Api, fault::PlatformFault},
    },
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    std::sync::Arc,
};

/// Answers the control address.
pub(crate) struct Control(Arc<Api>);

impl Control {
    pub(crate) fn new(api: Arc<Api>) -> Self {
        Self(api)
    }
}

impl Handler for Control {
    async fn connected(&self, _: usize) -> bool {
        true
    }

    async fn handle(self: Arc<Self>, _: Arc<Conn>, req: Request<Incoming>) -> Outcome {
        let (parts, body) = req.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/counters") => Ok(json(StatusCode::OK, &self.0.counters())),
            (&Method::POST, "/faults") => match read_json::<PlatformFault>(body).await {
                Ok(fault) => {
                    self.0.inject_fault(&fault).await;
                    Ok(status(StatusCode::NO_CONTENT, ""))
                }
                Err(refused) => Ok(refused.answer()),
            },
            _ => Ok(not_found("expected GET /counters or POST /faults")),
        }
    }
}
