//! Stand-in of the platform: the object API, the host list and their faults.
//!
//! The API listens on one address. Faults and counters have an address of their own, which stays
//! up during outages.

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
        net::{Port, Threads},
        platform::{api::Api, control::Control},
    },
    serde::{Deserialize, Serialize},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
    },
    wigeonramp_store::{MemoryStore, PlatformHost},
    wigeonramp_units::Span,
};

/// How a platform stand-in is started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformOptions {
    /// Address of the API; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Address of faults and counters; port 0 takes any free port.
    pub control: SocketAddr,
    /// Age at which a change of the host list becomes visible.
    pub hosts_lag: Span,
    /// Threads that serve requests.
    pub workers: usize,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self { listen: any, control: any, hosts_lag: Span::ZERO, workers: 2 }
    }
}

/// The bound addresses, as the binary prints them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformAddresses {
    /// Address of the API.
    pub platform: SocketAddr,
    /// Address of faults and counters.
    pub control: SocketAddr,
}

/// A running platform stand-in; stops when dropped.
pub struct Platform {
    api: Arc<Api>,
    addresses: PlatformAddresses,
    threads: Threads,
}

/// Starts a platform stand-in. Fails if an address cannot be bound.
pub fn start(options: &PlatformOptions) -> Result<Platform, StandinError> {
    let threads = Threads::start("platform", options.workers)?;
    let (api, addresses) = threads.block_on(async {
        let port = Port::reserve(options.listen)?;
        let control = Port::reserve(options.control)?;
        let api = Arc::new(Api::new(port.clone(), options.hosts_lag));
        port.serve(api.clone())?;
        control.serve(Arc::new(Control::new(api.clone())))?;
        let addresses = PlatformAddresses { platform: port.address(), control: control.address() };
        Ok::<_, StandinError>((api, addresses))
    })?;
    Ok(Platform { api, addresses, threads })
}

impl Platform {
    /// The bound addresses.
    pub fn addresses(&self) -> &PlatformAddresses {
        &self.addresses
    }

    /// Address of the API.
    pub fn address(&self) -> SocketAddr {
        self.addresses.platform
    }

    /// The content, for reading and writing past the API's faults.
    ///
    /// Writes made here wake no waiting watch.
    pub fn backing_store(&self) -> &MemoryStore {
        self.api.backing_store()
    }

    /// Sets the host list; visible after the lag.
    pub fn set_hosts(&self, hosts: Vec<PlatformHost>) {
        self.api.set_hosts(hosts);
    }

    /// Sets or clears a fault; returns once it is in force.
    pub fn inject_fault(&self, fault: &PlatformFault) {
        self.threads.block_on(self.api.inject_fault(fault));
    }

    /// Calls so far.
    pub fn counters(&self) -> PlatformCounters {
        self.api.counters()
    }
}
