//! Guards against a confirmation that is reported as refused although its write may have taken
//! effect.

use {
    crate::support::{
        InterceptedStore, Interceptor, confirm_at, declared, get, post, settings, wait_for,
    },
    std::sync::atomic::{AtomicBool, Ordering},
    wigeonramp_config::api::{
        ConfirmResponse, Intent, PLAN_PATH, PlanRequest, PlanResponse, STATUS_PATH, StatusResponse,
    },
    wigeonramp_daemon::host::Host,
    wigeonramp_standin::platform::{self, PlatformOptions},
    wigeonramp_store::{
        HttpStore, HttpStoreTimeouts, ObjectStore, Precondition, ReadOutcome, StoreError,
        WriteOutcome,
    },
};

const KEY: &str = "config/current";

/// Loses the response to each write of the configuration and cannot read the key afterwards.
#[derive(Default)]
struct LosesWrites {
    lost: AtomicBool,
}

impl Interceptor for LosesWrites {
    fn get(&self, store: &HttpStore, key: &str) -> Result<ReadOutcome, StoreError> {
        if key == KEY && self.lost.load(Ordering::Acquire) {
            return Err(StoreError::unavailable(key, "test"));
        }
        store.get(key)
    }

    fn put(
        &self,
        store: &HttpStore,
        key: &str,
        body: &str,
        precondition: Precondition,
    ) -> Result<WriteOutcome, StoreError> {
        let put = store.put(key, body, precondition);
        if key == KEY {
            self.lost.store(true, Ordering::Release);
            return Err(StoreError::unknown(key, "test"));
        }
        put
    }
}

#[test]
fn a_write_with_an_unknown_outcome_is_reported_as_not_known_yet() {
    let platform = platform::start(&PlatformOptions::default()).expect("the platform starts");
    let inner = HttpStore::new(platform.address(), HttpStoreTimeouts::default());
    let store = InterceptedStore { inner, interceptor: LosesWrites::default() };
    let host = Host::start(&settings(0, platform.address()), store).expect("the host starts");
    let operator = host.addresses().operator;
    let mut document = declared(1);
    for (port, leaf) in (1..).zip(document.leaves.values_mut()) {
        leaf.address.set_port(port);
    }
    let intent = Intent::Declare { document: Box::new(document) };
    let request = PlanRequest { intent, allow_coverage_loss: false };
    let (_, text) = post(operator, PLAN_PATH, &request);
    let plan: PlanResponse = serde_json::from_str(&text).expect("a plan");
    let response = confirm_at(operator, plan.clone());
    let ConfirmResponse::NotKnownYet { command, .. } = response else { panic!("{response:?}") };
    assert!(command.contains(&format!("plan-{}.json --host {operator}", plan.id)), "{command}");
    // The status that the command reads shows that the write took effect.
    wait_for("the host learns the outcome", || {
        get::<StatusResponse>(operator, STATUS_PATH).config_op.as_ref() == Some(&plan.id)
    });
}
