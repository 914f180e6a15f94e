//! Cancellations and health checks on one auxiliary connection to each leaf.
//!
//! Callers of this module must not block, so one thread makes all calls. If a leaf does not confirm
//! a cancellation, or too many are queued, the connection of the attempt is closed instead.

use {
    crate::{
        clock,
        holder::{
            connection::{Connection, Health},
            leaf::RunningAttempt,
        },
    },
    crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded},
    std::{
        collections::{HashMap, hash_map::Entry},
        io::Result as IoResult,
        net::SocketAddr,
        thread,
        time::Duration,
    },
    wigeonramp_units::{Instant, Span},
};

/// Timeout of a call on an auxiliary connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of queued cancellations; when the queue is full, connections are closed instead.
const QUEUE_LENGTH: usize = 256;
/// Time between two rounds of health checks.
const HEALTH_INTERVAL: Span = Span::secs(1);
/// Pause before a broken auxiliary connection is opened again: the leaf may have restarted, and its
/// warm-up does not count this connection.
const REOPEN_DELAY: Span = Span::secs(5);

/// Handle to the thread that owns the auxiliary connections.
#[derive(Clone, Debug)]
pub struct AuxiliaryConnections {
    queue: Sender<Cancellation>,
}

#[derive(Debug)]
struct Cancellation {
    address: SocketAddr,
    attempt: RunningAttempt,
}

/// The leaves whose health is checked.
pub trait HealthTargets: Send + 'static {
    /// Addresses of the warm leaves; only these can handle a connection that is not counted.
    fn warm_addresses(&self) -> Vec<SocketAddr>;

    /// Processes the health of a leaf.
    fn on_health(&self, address: SocketAddr, health: Health);
}

impl AuxiliaryConnections {
    /// Starts the thread, which ends when all clones are dropped. Fails if it cannot be started.
    pub fn start(leaves: impl HealthTargets) -> IoResult<Self> {
        let (queue, cancellations) = bounded(QUEUE_LENGTH);
        thread::Builder::new()
            .name("side".to_owned())
            .spawn(move || run(&cancellations, &leaves))?;
        Ok(Self { queue })
    }

    /// Cancels `attempt` at the leaf at `address`.
    pub fn cancel(&self, address: SocketAddr, attempt: RunningAttempt) {
        if let Err(err) = self.queue.try_send(Cancellation { address, attempt }) {
            err.into_inner().attempt.connection.close();
        }
    }
}

fn run(cancellations: &Receiver<Cancellation>, leaves: &impl HealthTargets) {
    let mut connections = Connections::default();
    let mut next_check = clock::now() + HEALTH_INTERVAL;
    loop {
        match cancellations.recv_timeout(clock::until(next_check).to_duration()) {
            Ok(cancellation) => connections.cancel(&cancellation),
            Err(RecvTimeoutError::Timeout) => {
                next_check = clock::now() + HEALTH_INTERVAL;
                connections.check(leaves);
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

#[derive(Default)]
struct Connections {
    broken_since: HashMap<SocketAddr, Instant>,
    open: HashMap<SocketAddr, Connection>,
}

impl Connections {
    fn cancel(&mut self, Cancellation { address, attempt }: &Cancellation) {
        let Some(conn) = self.open.get(address) else { return attempt.connection.close() };
        if !conn.cancel(&attempt.token, CALL_TIMEOUT) {
            self.on_broken(*address);
            attempt.connection.close();
        }
    }

    fn check(&mut self, leaves: &impl HealthTargets) {
        let warm = leaves.warm_addresses();
        self.open.retain(|address, _| warm.contains(address));
        for address in warm {
            let Some(conn) = self.connection(address) else { continue };
            match conn.health(CALL_TIMEOUT) {
                Ok(health) => leaves.on_health(address, health),
                Err(err) => {
                    log::debug!("health check of leaf at {address} failed: {err}");
                    self.on_broken(address);
                }
            }
        }
    }

    fn connection(&mut self, address: SocketAddr) -> Option<&Connection> {
        let now = clock::now();
        if self.broken_since.get(&address).is_some_and(|at| now.since(*at) < REOPEN_DELAY) {
            return None;
        }
        if let Entry::Vacant(vacant) = self.open.entry(address) {
            match Connection::open(address, CALL_TIMEOUT) {
                Ok(conn) => drop(vacant.insert(conn)),
                Err(_) => self.on_broken(address),
            }
        }
        self.open.get(&address)
    }

    fn on_broken(&mut self, address: SocketAddr) {
        self.open.remove(&address);
        self.broken_since.insert(address, clock::now());
    }
}
