//! Stand-in of the platform: object API and host list, with injectable faults.
//!
//! The API and the control API for faults and counters listen on separate addresses, so that the
//! control API stays reachable during outages.

mod api;
mod control;
mod fault;
mod hosts;

pub use {
    api::PlatformCounters,
    fault::{OutageMode, PlatformFault},
};

use {
    crate::{
        StandinError,
        net::{BackgroundRuntime, Listener},
        platform::{api::Api, control::ControlApi},
    },
    serde::{Deserialize, Serialize},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
    },
    wigeonramp_store::{MemoryStore, PlatformHost},
    wigeonramp_units::Span,
};

/// Start options of a platform stand-in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformOptions {
    /// Address of the API; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address of the control API; port 0 selects a free port.
    pub control: SocketAddr,
    /// Age at which a change of the host list becomes visible.
    pub hosts_lag: Span,
    /// Number of threads that serve requests.
    pub workers: usize,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self { listen: any_port, control: any_port, hosts_lag: Span::ZERO, workers: 2 }
    }
}

/// Bound addresses, which the binary prints as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformAddresses {
    /// Address of the API.
    pub platform: SocketAddr,
    /// Address of the control API for faults and counters.
    pub control: SocketAddr,
}

/// A running platform stand-in; stops when dropped.
pub struct Platform {
    api: Arc<Api>,
    addresses: PlatformAddresses,
    runtime: BackgroundRuntime,
}

/// Starts a platform stand-in. Fails if an address cannot be bound.
pub fn start(options: &PlatformOptions) -> Result<Platform, StandinError> {
    let runtime = BackgroundRuntime::start("platform", options.workers)?;
    let (api, addresses) = runtime.block_on(async {
        let listener = Listener::bind(options.listen)?;
        let control_listener = Listener::bind(options.control)?;
        let api = Arc::new(Api::new(listener.clone(), options.hosts_lag));
        listener.serve(api.clone())?;
        control_listener.serve(Arc::new(ControlApi::new(api.clone())))?;
        let addresses =
            PlatformAddresses { platform: listener.address(), control: control_listener.address() };
        Ok::<_, StandinError>((api, addresses))
    })?;
    Ok(Platform { api, addresses, runtime })
}

impl Platform {
    /// Returns the bound addresses.
    pub fn addresses(&self) -> &PlatformAddresses {
        &self.addresses
    }

    /// Returns the address of the API.
    pub fn address(&self) -> SocketAddr {
        self.addresses.platform
    }

    /// Returns the store behind the API. Access to it bypasses the faults, and writes to it don't
    /// wake waiting watches.
    pub fn backing_store(&self) -> &MemoryStore {
        self.api.backing_store()
    }

    /// Sets the host list; the change becomes visible after `hosts_lag`.
    pub fn set_hosts(&self, hosts: Vec<PlatformHost>) {
        self.api.set_hosts(hosts);
    }

    /// Sets or clears a fault; returns once it is active.
    pub fn inject_fault(&self, fault: &PlatformFault) {
        self.runtime.block_on(self.api.inject_fault(fault));
    }

    /// Returns the call counters.
    pub fn counters(&self) -> PlatformCounters {
        self.api.counters()
    }
}
