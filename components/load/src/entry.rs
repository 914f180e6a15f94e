//! Addresses of the tier, asked for the way callers do.

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

/// Longest wait for addresses; a host that was killed with open connections may never answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Hosts that can be asked for addresses: the seeds, and every host that an answer named.
///
/// Hosts that don't answer are forgotten, so that a run outlives the replacement of all seeds.
#[derive(Clone, Debug)]
pub struct KnownHosts(Arc<Mutex<Vec<SocketAddr>>>);

impl KnownHosts {
    /// Only `seeds` are known.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self(Arc::new(Mutex::new(seeds)))
    }

    fn all(&self) -> Vec<SocketAddr> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn learn(&self, addresses: &[SocketAddr]) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for address in addresses {
            if !known.contains(address) {
                known.push(*address);
            }
        }
    }

    /// Forgets a host, unless it is the last one.
    fn forget(&self, address: SocketAddr) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if known.len() > 1 {
            known.retain(|other| *other != address);
        }
    }
}

/// The addresses that one caller was given, kept for their lifetime.
#[derive(Clone, Debug)]
pub struct EntryAddresses {
    known: KnownHosts,
    addresses: Vec<SocketAddr>,
    expires: Instant,
    next_seed: usize,
}

impl EntryAddresses {
    /// A list that asks `known` hosts, beginning with the one at `first`.
    pub fn new(known: KnownHosts, first: usize) -> Self {
        Self { known, addresses: Vec::new(), expires: Instant::now(), next_seed: first }
    }

    /// The address to use now: the best one, and another one for each further `repeat`.
    /// Fails if no host names one.
    pub fn address(
        &mut self,
        agent: &Agent,
        class: &QueryClass,
        repeat: usize,
    ) -> Result<SocketAddr, LoadError> {
        if self.addresses.is_empty() || Instant::now() >= self.expires {
            self.refresh(agent, class)?;
        }
        Ok(self.addresses[repeat % self.addresses.len()])
    }

    /// Drops an address that did not answer; the next one is used.
    pub fn remove(&mut self, address: SocketAddr) {
        self.addresses.retain(|known| *known != address);
    }

    fn refresh(&mut self, agent: &Agent, class: &QueryClass) -> Result<(), LoadError> {
        let mut last = LoadError::http(ENTRY_PATH, "no host to ask");
        let hosts = self.known.all();
        for _ in 0..hosts.len() {
            let host = hosts[self.next_seed % hosts.len()];
            match ask(agent, class, host) {
                Ok(answer) => {
                    self.known.learn(&answer.addresses);
                    self.addresses = answer.addresses;
                    self.expires = Instant::now() + Duration::from_millis(answer.lifetime_ms);
                    return Ok(());
                }
                Err(err) => {
                    self.known.forget(host);
                    last = err;
                }
            }
            self.next_seed += 1;
        }
        Err(last)
    }
}

fn ask(agent: &Agent, class: &QueryClass, seed: SocketAddr) -> Result<EntryResponse, LoadError> {
    let url = format!("http://{seed}{ENTRY_PATH}");
    let mut res = agent
        .get(&url)
        .config()
        .timeout_global(Some(ASK_TIMEOUT))
        .build()
        .header(CALLER_HEADER, class.caller.as_str())
        .header(TOKEN_HEADER, format!("{TOKEN_SCHEME}{}", class.token))
        .call()
        .map_err(|err| LoadError::http(&url, err))?;
    let answer: EntryResponse =
        res.body_mut().read_json().map_err(|err| LoadError::http(&url, err))?;
    if answer.addresses.is_empty() {
        return Err(LoadError::http(&url, "expected at least one address"));
    }
    Ok(answer)
}
