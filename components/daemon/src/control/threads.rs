//! Starts and ends the control threads.

use {
    crate::{
        control::{
            applying::Applier,
            assigning::{AssignDesk, Assigning},
            claiming::{ClaimDesk, WRITERS},
            cleaning, doubt,
            fetching::Fetcher,
            gate::Gate,
            gossip::{Gossip, LeafNews},
            handing, lookup,
            platform::Platform,
            renewal::Renewer,
            watching,
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
    pub claims: Arc<ClaimDesk>,
    /// Assigner's state and promises.
    pub desk: Arc<AssignDesk>,
    /// Fetches documents from peers.
    pub fetcher: Fetcher,
    /// Knowledge and rights.
    pub gate: Arc<Gate>,
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
    gate: Arc<Gate>,
    others: Vec<JoinHandle<()>>,
    session: JoinHandle<()>,
}

impl ControlThreads {
    /// Starts all threads. `load` gives the share of request workers in use. Fails if the system
    /// gives no thread.
    pub fn start<N: LeafNews, S: ObjectStore>(
        parts: ControlParts<N, S>,
        load: impl Fn() -> Percent + Send + 'static,
    ) -> IoResult<Self> {
        let ControlParts { applier, claims, desk, fetcher, gate, gossip, peers, platform, seeds } =
            parts;
        let holders = Arc::clone(applier.data.holders());
        let renewer = Renewer::new(Arc::clone(&gate), Arc::clone(&platform));
        let session = spawn("session", move || renewer.run())?;
        let mut others = Vec::new();
        for n in 0..WRITERS {
            let (claims, platform) = (Arc::clone(&claims), Arc::clone(&platform));
            others.push(spawn(&format!("claims-{n}"), move || claims.run(&platform))?);
        }
        let assigning = Assigning::new(Arc::clone(&gate), Arc::clone(&desk), Arc::clone(&platform));
        others.push(spawn("assign", move || assigning.run())?);
        others.push(spawn("apply", move || applier.run())?);
        others.push({
            let (gate, peers) = (Arc::clone(&gate), Arc::clone(&peers));
            spawn("fetch", move || fetcher.run(&gate, &peers))?
        });
        others.push({
            let (gate, peers) = (Arc::clone(&gate), Arc::clone(&peers));
            spawn("doubt", move || doubt::run(&gate, &desk, &peers))?
        });
        others.push({
            let (gate, peers) = (Arc::clone(&gate), Arc::clone(&peers));
            spawn("handover", move || handing::run(&gate, &holders, &peers))?
        });
        others.push({
            let (gate, platform) = (Arc::clone(&gate), Arc::clone(&platform));
            spawn("lookup", move || lookup::run(&gate, &platform))?
        });
        others.push(spawn("gossip", move || gossip.run(&peers, &seeds, load))?);
        others.push({
            let (gate, platform) = (Arc::clone(&gate), Arc::clone(&platform));
            spawn("clean", move || cleaning::run(&gate, &platform))?
        });
        watch::<Document, S>("watch-config", &gate, &platform)?;
        watch::<Assignment, S>("watch-assign", &gate, &platform)?;
        Ok(Self { gate, others, session })
    }

    /// Ends all threads; the session's thread ends last and deletes the session.
    pub fn stop(self) {
        self.gate.stop();
        for thread in self.others.into_iter().chain([self.session]) {
            // A panic has been logged by its thread.
            let _ = thread.join();
        }
    }
}

/// A watch is not joined: a long poll may outlast the host.
fn watch<T: watching::Followed, S: ObjectStore>(
    name: &str,
    gate: &Arc<Gate>,
    platform: &Arc<Platform<S>>,
) -> IoResult<()> {
    let (gate, platform) = (Arc::clone(gate), Arc::clone(platform));
    spawn(name, move || watching::run::<T>(&gate, &platform)).map(drop)
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> IoResult<JoinHandle<()>> {
    Builder::new().name(name.to_owned()).spawn(run)
}
