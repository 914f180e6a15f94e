//! Faults, settings and counters of leaves over HTTP.

use {
    crate::{
        StandinError,
        leaves::{
            counters::LeafStatus,
            fault::{FaultRequest, LeafFault, LeafSelector},
            leaf::{Leaf, check_wait},
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

/// New settings for some leaves, as `POST /settings` takes them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsRequest {
    /// The leaves.
    #[serde(default)]
    pub on: LeafSelector,
    /// The settings.
    pub settings: LeafSettings,
}

/// All leaves of one process.
#[derive(Clone, Debug)]
pub(crate) struct Fleet(Arc<Vec<Arc<Leaf>>>);

impl Fleet {
    pub(crate) fn new(leaves: Vec<Arc<Leaf>>) -> Self {
        Self(Arc::new(leaves))
    }

    pub(crate) async fn inject_fault(&self, order: &FaultRequest) -> Result<(), StandinError> {
        check(&order.fault)?;
        for leaf in self.selected(&order.on)? {
            leaf.inject_fault(&order.fault).await;
        }
        Ok(())
    }

    pub(crate) fn set_settings(&self, order: &SettingsRequest) -> Result<(), StandinError> {
        check_settings(&order.settings)?;
        for leaf in self.selected(&order.on)? {
            leaf.lock().settings = order.settings.clone();
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

    fn selected(&self, on: &LeafSelector) -> Result<Vec<Arc<Leaf>>, StandinError> {
        let matches = |leaf: &&Arc<Leaf>| on.matches(&leaf.id, &leaf.zone);
        let leaves: Vec<_> = self.0.iter().filter(matches).cloned().collect();
        if leaves.is_empty() {
            return Err(StandinError::NoMatchingLeaf(format!("{on:?}")));
        }
        Ok(leaves)
    }
}

fn check(fault: &LeafFault) -> Result<(), StandinError> {
    match fault {
        LeafFault::Crash { down } | LeafFault::CrashOn { down, .. } => check_wait("down", *down),
        LeafFault::Late { percent, by } => {
            check_percent("percent", *percent)?;
            check_wait("by", *by)
        }
        LeafFault::TruncatedBody { percent }
        | LeafFault::WrongDigest { percent }
        | LeafFault::DoubledHeaders { percent }
        | LeafFault::CrossedHeaders { percent }
        | LeafFault::CrossedAnswer { percent }
        | LeafFault::Straggle { percent, .. }
        | LeafFault::Shed { percent } => check_percent("percent", *percent),
        _ => Ok(()),
    }
}

/// Checks settings that come from outside.
pub(crate) fn check_settings(settings: &LeafSettings) -> Result<(), StandinError> {
    check_percent("straggler_percent", settings.straggler_percent)?;
    check_wait("service.max", settings.service.max)
}

fn check_percent(name: &'static str, percent: Percent) -> Result<(), StandinError> {
    if percent.get() > 100 {
        return Err(StandinError::InvalidValue { name, expected: "0 to 100" });
    }
    Ok(())
}

impl Fleet {
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

impl Handler for Fleet {
    async fn on_connect(&self, _: usize) -> bool {
        true
    }

    async fn handle(self: Arc<Self>, _: Arc<Connection>, req: Request<Incoming>) -> HandlerResult {
        let (parts, body) = req.into_parts();
        let done = match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/counters") => {
                return Ok(self.counters(&QueryParams::from_uri(&parts.uri)));
            }
            (&Method::DELETE, "/counters") => {
                self.reset_counters();
                Ok(())
            }
            (&Method::POST, "/faults") => match read_json(body).await {
                Ok(order) => self.inject_fault(&order).await,
                Err(rejection) => return Ok(rejection.to_response()),
            },
            (&Method::POST, "/settings") => match read_json(body).await {
                Ok(order) => self.set_settings(&order),
                Err(rejection) => return Ok(rejection.to_response()),
            },
            _ => return Ok(not_found("expected /counters, POST /faults or POST /settings")),
        };
        Ok(done.map_or_else(bad_request, |()| text_response(StatusCode::NO_CONTENT, "")))
    }
}
