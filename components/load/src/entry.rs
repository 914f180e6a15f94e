//! Addresses of the tier, asked for the way callers do.

use {
    crate::class::{Class, LoadError},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    ureq::Agent,
    wigeonramp_config::caller_api::{
        CALLER_HEADER, ENTRY_PATH, EntryAnswer, TOKEN_HEADER, TOKEN_SCHEME,
    },
};

/// The addresses that one caller was given, kept for their lifetime.
#[derive(Clone, Debug)]
pub struct EntryList {
    /// Hosts that are asked for addresses.
    seeds: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    expires: Instant,
    next_seed: usize,
}

impl EntryList {
    /// A list that asks `seeds`, beginning with the one at `first`.
    pub fn new(seeds: Vec<SocketAddr>, first: usize) -> Self {
        Self { seeds, addresses: Vec::new(), expires: Instant::now(), next_seed: first }
    }

    /// The address to use now. Fails if no host names one.
    pub fn address(&mut self, agent: &Agent, class: &Class) -> Result<SocketAddr, LoadError> {
        if self.addresses.is_empty() || Instant::now() >= self.expires {
            self.refresh(agent, class)?;
        }
        Ok(self.addresses[0])
    }

    /// Drops an address that did not answer; the next one is used.
    pub fn failed(&mut self, address: SocketAddr) {
        self.addresses.retain(|known| *known != address);
    }

    fn refresh(&mut self, agent: &Agent, class: &Class) -> Result<(), LoadError> {
        let mut last = LoadError::http(ENTRY_PATH, "no host to ask");
        for _ in 0..self.seeds.len() {
            let seed = self.seeds[self.next_seed % self.seeds.len()];
            match ask(agent, class, seed) {
                Ok(answer) => {
                    self.addresses = answer.addresses;
                    self.expires = Instant::now() + Duration::from_millis(answer.lifetime_ms);
                    return Ok(());
                }
                Err(err) => last = err,
            }
            self.next_seed += 1;
        }
        Err(last)
    }
}

fn ask(agent: &Agent, class: &Class, seed: SocketAddr) -> Result<EntryAnswer, LoadError> {
    let url = format!("http://{seed}{ENTRY_PATH}");
    let mut res = agent
        .get(&url)
        .header(CALLER_HEADER, class.caller.as_str())
        .header(TOKEN_HEADER, format!("{TOKEN_SCHEME}{}", class.token))
        .call()
        .map_err(|err| LoadError::http(&url, err))?;
    let answer: EntryAnswer =
        res.body_mut().read_json().map_err(|err| LoadError::http(&url, err))?;
    if answer.addresses.is_empty() {
        return Err(LoadError::http(&url, "expected at least one address"));
    }
    Ok(answer)
}
