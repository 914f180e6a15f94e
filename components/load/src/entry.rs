//! Entry addresses, requested from hosts in the same way as callers do.

use {
    crate::class::{LoadError, QueryClass},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    ureq::Agent,
    wigeonramp_config::caller_api::{
        CALLER_HEADER, ENTRY_PATH, EntryResponse, TOKEN_HEADER, TOKEN_SCHEME,
    },
};

/// Timeout of a request for addresses; a host that was killed with open connections may never
/// respond.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Hosts from which addresses can be requested: the seeds and every host that a response named.
///
/// Hosts that don't respond are removed, so that a run survives the replacement of all seeds.
#[derive(Clone, Debug)]
pub struct KnownHosts(Arc<Mutex<Vec<SocketAddr>>>);

impl KnownHosts {
    /// Creates a list with only `seeds`.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self(Arc::new(Mutex::new(seeds)))
    }

    fn all(&self) -> Vec<SocketAddr> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn add_all(&self, addresses: &[SocketAddr]) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for address in addresses {
            if !known.contains(address) {
                known.push(*address);
            }
        }
    }

    /// Removes a host unless it is the last one.
    fn remove(&self, address: SocketAddr) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if known.len() > 1 {
            known.retain(|other| *other != address);
        }
    }
}

/// Entry addresses that hosts named to one caller, used for their lifetime.
#[derive(Clone, Debug)]
pub struct EntryAddresses {
    known: KnownHosts,
    addresses: Vec<SocketAddr>,
    expires: Instant,
    next_host: usize,
}

impl EntryAddresses {
    /// Creates an empty list that requests addresses from `known` hosts, starting with the one at
    /// index `first_host`.
    pub fn new(known: KnownHosts, first_host: usize) -> Self {
        Self { known, addresses: Vec::new(), expires: Instant::now(), next_host: first_host }
    }

    /// Returns the address for submission number `index` of a request: the best one for the first,
    /// and another one for each resubmission. Fails if no host names an address.
    pub fn address(
        &mut self,
        agent: &Agent,
        class: &QueryClass,
        index: usize,
    ) -> Result<SocketAddr, LoadError> {
        if self.addresses.is_empty() || Instant::now() >= self.expires {
            self.refresh(agent, class)?;
        }
        Ok(self.addresses[index % self.addresses.len()])
    }

    /// Removes an address that did not respond, so that the next one is used.
    pub fn remove(&mut self, address: SocketAddr) {
        self.addresses.retain(|known| *known != address);
    }

    fn refresh(&mut self, agent: &Agent, class: &QueryClass) -> Result<(), LoadError> {
        let mut last_err = LoadError::http(ENTRY_PATH, "no host is known");
        let hosts = self.known.all();
        for _ in 0..hosts.len() {
            let host = hosts[self.next_host % hosts.len()];
            match request_entry(agent, class, host) {
                Ok(response) => {
                    self.known.add_all(&response.addresses);
                    self.addresses = response.addresses;
                    self.expires = Instant::now() + Duration::from_millis(response.lifetime_ms);
                    return Ok(());
                }
                Err(err) => {
                    self.known.remove(host);
                    last_err = err;
                }
            }
            self.next_host += 1;
        }
        Err(last_err)
    }
}

fn request_entry(
    agent: &Agent,
    class: &QueryClass,
    host: SocketAddr,
) -> Result<EntryResponse, LoadError> {
    let url = format!("http://{host}{ENTRY_PATH}");
    let mut res = agent
        .get(&url)
        .config()
        .timeout_global(Some(ENTRY_TIMEOUT))
        .build()
        .header(CALLER_HEADER, class.caller.as_str())
        .header(TOKEN_HEADER, format!("{TOKEN_SCHEME}{}", class.token))
        .call()
        .map_err(|err| LoadError::http(&url, err))?;
    let response: EntryResponse =
        res.body_mut().read_json().map_err(|err| LoadError::http(&url, err))?;
    if response.addresses.is_empty() {
        return Err(LoadError::http(&url, "expected at least one address"));
    }
    Ok(response)
}
