//! Starts and ends the control threads.

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

/// The parts that the threads work on.
pub struct ControlParts<N, S> {
    /// Applies changes to the data path.
    pub applier: Applier,
    /// Claims.
    pub claims: Arc<ClaimService>,
    /// Assigner's state and promises.
    pub assigner: Arc<SharedAssigner>,
    /// Fetches documents from peers.
    pub fetcher: Fetcher,
    /// Knowledge and rights.
    pub shared: Arc<SharedState>,
    /// Heartbeats.
    pub gossip: Arc<Gossip<N>>,
    /// Connections to other hosts.
    pub peers: Arc<Peers>,
    /// The object API.
    pub platform: Arc<Platform<S>>,
    /// Peers to ask while nobody is known.
    pub seeds: Vec<SocketAddr>,
}

/// Running control threads.
pub struct ControlThreads {
    shared: Arc<SharedState>,
    others: Vec<JoinHandle<()>>,
    session: JoinHandle<()>,
}

impl ControlThreads {
    /// Starts all threads. `load` gives the share of request workers in use. Fails if the system
    /// gives no thread.
    pub fn start<N: LeafGossip, S: ObjectStore>(
        parts: ControlParts<N, S>,
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

    /// Ends all threads; the session's thread ends last and deletes the session.
    pub fn stop(self) {
        self.shared.stop();
        for thread in self.others.into_iter().chain([self.session]) {
            // A panic has been logged by its thread.
            let _ = thread.join();
        }
    }
}

/// A watch is not joined: a long poll may outlast the host.
fn watch<T: watcher::FollowedDocument, S: ObjectStore>(
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
