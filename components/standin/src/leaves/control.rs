//! HTTP API for the faults, settings and counters of leaves.

use {
    crate::{
        StandinError,
        leaves::{
            counters::LeafStatus,
            fault::{FaultRequest, LeafFault, LeafSelector},
            leaf::{Leaf, validate_delay},
            settings::LeafSettings,
        },
        net::{
            Connection, Handler, HandlerResult, QueryParams, ResponseBody, bad_request,
            json_response, not_found, read_json, text_response,
        },
    },
    http::{Method, Request, Response, StatusCode},
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    wigeonramp_units::Percent,
};

/// Body of `POST /settings`: new settings for the selected leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsRequest {
    /// The selected leaves; all by default.
    #[serde(default)]
    pub on: LeafSelector,
    /// The new settings.
    pub settings: LeafSettings,
}

/// The leaves of one process; handles their control address.
#[derive(Clone, Debug)]
pub(crate) struct LeafSet(Arc<Vec<Arc<Leaf>>>);

impl LeafSet {
    pub(crate) fn new(leaves: Vec<Arc<Leaf>>) -> Self {
        Self(Arc::new(leaves))
    }

    pub(crate) async fn inject_fault(&self, req: &FaultRequest) -> Result<(), StandinError> {
        validate_fault(&req.fault)?;
        for leaf in self.select(&req.on)? {
            leaf.inject_fault(&req.fault).await;
        }
        Ok(())
    }

    pub(crate) fn set_settings(&self, req: &SettingsRequest) -> Result<(), StandinError> {
        validate_settings(&req.settings)?;
        for leaf in self.select(&req.on)? {
            leaf.lock().settings = req.settings.clone();
        }
        Ok(())
    }

    pub(crate) fn statuses(&self, prefix: &str) -> Vec<LeafStatus> {
        let matching = self.0.iter().filter(|leaf| leaf.id.as_str().starts_with(prefix));
        matching.map(|leaf| leaf.status()).collect()
    }

    pub(crate) fn reset_counters(&self) {
        self.0.iter().for_each(|leaf| leaf.lock().counters.reset());
    }

    fn select(&self, on: &LeafSelector) -> Result<Vec<Arc<Leaf>>, StandinError> {
        let matches = |leaf: &&Arc<Leaf>| on.matches(&leaf.id, &leaf.zone);
        let leaves: Vec<_> = self.0.iter().filter(matches).cloned().collect();
        if leaves.is_empty() {
            return Err(StandinError::NoMatchingLeaf(format!("{on:?}")));
        }
        Ok(leaves)
    }
}

fn validate_fault(fault: &LeafFault) -> Result<(), StandinError> {
    match fault {
        LeafFault::Crash { down } | LeafFault::CrashOn { down, .. } => {
            validate_delay("down", *down)
        }
        LeafFault::Late { percent, by } => {
            validate_percent("percent", *percent)?;
            validate_delay("by", *by)
        }
        LeafFault::TruncatedBody { percent }
        | LeafFault::WrongDigest { percent }
        | LeafFault::DoubledHeaders { percent }
        | LeafFault::CrossedHeaders { percent }
        | LeafFault::CrossedAnswer { percent }
        | LeafFault::Straggle { percent, .. }
        | LeafFault::Shed { percent } => validate_percent("percent", *percent),
        _ => Ok(()),
    }
}

/// Checks the ranges of the values.
pub(crate) fn validate_settings(settings: &LeafSettings) -> Result<(), StandinError> {
    validate_percent("straggler_percent", settings.straggler_percent)?;
    validate_delay("service.max", settings.service.max)
}

fn validate_percent(name: &'static str, percent: Percent) -> Result<(), StandinError> {
    if percent.get() > 100 {
        return Err(StandinError::InvalidValue { name, expected: "0 to 100" });
    }
    Ok(())
}

impl LeafSet {
    fn counters(&self, query: &QueryParams) -> Response<ResponseBody> {
        let mut statuses = self.statuses(query.get("leaves"));
        match query.get("runs") {
            "" | "all" => {}
            "repeated" => {
                statuses.iter_mut().for_each(|s| s.counters.runs.retain(|_, runs| *runs > 1));
            }
            "none" => statuses.iter_mut().for_each(|s| s.counters.runs.clear()),
            _ => return bad_request("runs: expected all, repeated or none"),
        }
        json_response(StatusCode::OK, &statuses)
    }
}

impl Handler for LeafSet {
    async fn on_connect(&self, _: usize) -> bool {
        true
    }

    async fn handle(self: Arc<Self>, _: Arc<Connection>, req: Request<Incoming>) -> HandlerResult {
        let (parts, body) = req.into_parts();
        let result = match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/counters") => {
                return Ok(self.counters(&QueryParams::from_uri(&parts.uri)));
            }
            (&Method::DELETE, "/counters") => {
                self.reset_counters();
                Ok(())
            }
            (&Method::POST, "/faults") => match read_json(body).await {
                Ok(fault_req) => self.inject_fault(&fault_req).await,
                Err(rejection) => return Ok(rejection.to_response()),
            },
            (&Method::POST, "/settings") => match read_json(body).await {
                Ok(settings_req) => self.set_settings(&settings_req),
                Err(rejection) => return Ok(rejection.to_response()),
            },
            _ => return Ok(not_found("expected /counters, POST /faults or POST /settings")),
        };
        Ok(result.map_or_else(bad_request, |()| text_response(StatusCode::NO_CONTENT, "")))
    }
}
