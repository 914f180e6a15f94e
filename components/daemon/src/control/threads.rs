//! Start and end of the control threads.

use {
    crate::{
        control::{
            applier::Applier,
            assigner::{AssignerLoop, SharedAssigner},
            claim_cleanup,
            claims::{ClaimService, WRITERS},
            fetcher::Fetcher,
            gossip::{Gossip, LeafGossip},
            handover, host_lookup,
            platform::Platform,
            promises,
            session_renewal::SessionRenewer,
            shared_state::SharedState,
            watcher,
        },
        peer::client::Peers,
    },
    std::{
        io::Result as IoResult,
        net::SocketAddr,
        sync::Arc,
        thread::{Builder, JoinHandle},
    },
    wigeonramp_config::Document,
    wigeonramp_control::assignment::Assignment,
    wigeonramp_store::ObjectStore,
    wigeonramp_units::Percent,
};

/// Parts that the control threads run.
pub struct ControlParts<L, S> {
    /// Applies the shared state to the data path.
    pub applier: Applier,
    /// Claims of non-idempotent requests.
    pub claims: Arc<ClaimService>,
    /// State of the assigner and its promises.
    pub assigner: Arc<SharedAssigner>,
    /// Fetches documents from peers.
    pub fetcher: Fetcher,
    /// State shared with the data path.
    pub shared: Arc<SharedState>,
    /// Heartbeats.
    pub gossip: Arc<Gossip<L>>,
    /// Clients of other hosts.
    pub peers: Arc<Peers>,
    /// Client of the platform's store.
    pub platform: Arc<Platform<S>>,
    /// Addresses of peers to contact while few hosts are known.
    pub seeds: Vec<SocketAddr>,
}

/// The running control threads.
pub struct ControlThreads {
    shared: Arc<SharedState>,
    others: Vec<JoinHandle<()>>,
    session: JoinHandle<()>,
}

impl ControlThreads {
    /// Starts all threads. `load` returns the share of the query limit in use. Fails if a thread
    /// cannot be started.
    pub fn start<L: LeafGossip, S: ObjectStore>(
        parts: ControlParts<L, S>,
        load: impl Fn() -> Percent + Send + 'static,
    ) -> IoResult<Self> {
        let ControlParts {
            applier,
            claims,
            assigner,
            fetcher,
            shared,
            gossip,
            peers,
            platform,
            seeds,
        } = parts;
        let held_leaves = Arc::clone(applier.data.held_leaves());
        let renewer = SessionRenewer::new(Arc::clone(&shared), Arc::clone(&platform));
        let session = spawn("session", move || renewer.run())?;
        let mut others = Vec::new();
        for n in 0..WRITERS {
            let (claims, platform) = (Arc::clone(&claims), Arc::clone(&platform));
            others.push(spawn(&format!("claims-{n}"), move || claims.run(&platform))?);
        }
        let assigner_loop =
            AssignerLoop::new(Arc::clone(&shared), Arc::clone(&assigner), Arc::clone(&platform));
        others.push(spawn("assign", move || assigner_loop.run())?);
        others.push(spawn("apply", move || applier.run())?);
        others.push({
            let (shared, peers) = (Arc::clone(&shared), Arc::clone(&peers));
            spawn("fetch", move || fetcher.run(&shared, &peers))?
        });
        others.push({
            let (shared, peers) = (Arc::clone(&shared), Arc::clone(&peers));
            spawn("doubt", move || promises::run(&shared, &assigner, &peers))?
        });
        others.push({
            let (shared, peers) = (Arc::clone(&shared), Arc::clone(&peers));
            spawn("handover", move || handover::run(&shared, &held_leaves, &peers))?
        });
        others.push({
            let (shared, platform) = (Arc::clone(&shared), Arc::clone(&platform));
            spawn("lookup", move || host_lookup::run(&shared, &platform))?
        });
        others.push(spawn("gossip", move || gossip.run(&peers, &seeds, load))?);
        others.push({
            let (shared, platform) = (Arc::clone(&shared), Arc::clone(&platform));
            spawn("clean", move || claim_cleanup::run(&shared, &platform))?
        });
        watch::<Document, S>("watch-config", &shared, &platform)?;
        watch::<Assignment, S>("watch-assign", &shared, &platform)?;
        Ok(Self { shared, others, session })
    }

    /// Ends all threads. The session thread is joined last and deletes the session.
    pub fn stop(self) {
        self.shared.stop();
        for thread in self.others.into_iter().chain([self.session]) {
            // The panic of a thread has been logged already.
            let _ = thread.join();
        }
    }
}

/// Starts a watch thread. It is not joined, because a long poll may outlast the host.
fn watch<T: watcher::WatchedDocument, S: ObjectStore>(
    name: &str,
    shared: &Arc<SharedState>,
    platform: &Arc<Platform<S>>,
) -> IoResult<()> {
    let (shared, platform) = (Arc::clone(shared), Arc::clone(platform));
    spawn(name, move || watcher::run::<T>(&shared, &platform)).map(drop)
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> IoResult<JoinHandle<()>> {
    Builder::new().name(name.to_owned()).spawn(run)
}
