//! Guards against hosts that start together and never discover each other.

use {
    crate::support::{InterceptedStore, Interceptor, get, settings, wait_for},
    std::sync::atomic::{AtomicBool, Ordering},
    wigeonramp_config::api::{STATUS_PATH, StatusResponse},
    wigeonramp_daemon::host::Host,
    wigeonramp_standin::platform::{self, PlatformOptions},
    wigeonramp_store::{HttpStore, HttpStoreTimeouts, Object, ObjectStore, StoreError},
};

const HOSTS: usize = 3;

/// Returns no session to the first list of them, as if no host had written its own yet.
#[derive(Default)]
struct EmptyFirstList {
    listed: AtomicBool,
}

impl Interceptor for EmptyFirstList {
    fn list(&self, store: &HttpStore, prefix: &str) -> Result<Vec<Object>, StoreError> {
        if prefix.starts_with("session/") && !self.listed.swap(true, Ordering::AcqRel) {
            return Ok(Vec::new());
        }
        store.list(prefix)
    }
}

#[test]
fn hosts_that_list_before_any_session_is_written_discover_each_other() {
    let platform = platform::start(&PlatformOptions::default()).expect("the platform starts");
    let start = |n: usize| {
        let inner = HttpStore::new(platform.address(), HttpStoreTimeouts::default());
        let store = InterceptedStore { inner, interceptor: EmptyFirstList::default() };
        Host::start(&settings(n, platform.address()), store).expect("the host starts")
    };
    let hosts: Vec<_> = (0..HOSTS).map(start).collect();
    let known = |host: &Host<InterceptedStore<EmptyFirstList>>| {
        let status: StatusResponse = get(host.addresses().operator, STATUS_PATH);
        status.hosts.len()
    };
    wait_for("every host knows all hosts", || hosts.iter().all(|host| known(host) == HOSTS));
}
