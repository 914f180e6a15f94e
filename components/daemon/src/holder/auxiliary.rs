//! Cancellations and health checks, on one additional connection to each leaf.
//!
//! Callers of this module must not block, so one thread does the calls. When a leaf does not
//! confirm a cancellation, or too many wait, the attempt's own connection is closed instead.

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

/// Longest wait for a leaf on its side connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// Cancellations that wait; above it connections are closed.
const QUEUE: usize = 256;
/// Time between two rounds of health checks.
const HEALTH_INTERVAL: Span = Span::secs(1);
/// Pause before a side connection that broke is opened again: the leaf may have restarted, and
/// the ramp does not count this connection.
const REOPEN_PAUSE: Span = Span::secs(5);

/// Queue in front of the thread.
#[derive(Clone, Debug)]
pub struct AuxiliaryConnections {
    queue: Sender<Cancellation>,
}

#[derive(Debug)]
struct Cancellation {
    address: SocketAddr,
    attempt: RunningAttempt,
}

/// The leaves that are checked.
pub trait HealthChecked: Send + 'static {
    /// Addresses of the warm leaves; only these bear an uncounted connection.
    fn warm(&self) -> Vec<SocketAddr>;

    /// Takes in a leaf's health.
    fn checked(&self, address: SocketAddr, health: Health);
}

impl AuxiliaryConnections {
    /// Starts the thread; it ends when all clones are dropped. Fails if the system gives none.
    pub fn start(leaves: impl HealthChecked) -> IoResult<Self> {
        let (queue, waiting) = bounded(QUEUE);
        thread::Builder::new().name("side".to_owned()).spawn(move || run(&waiting, &leaves))?;
        Ok(Self { queue })
    }

    /// Cancels `attempt` at the leaf at `address`.
    pub fn cancel(&self, address: SocketAddr, attempt: RunningAttempt) {
        if let Err(refused) = self.queue.try_send(Cancellation { address, attempt }) {
            refused.into_inner().attempt.connection.close();
        }
    }
}

fn run(waiting: &Receiver<Cancellation>, leaves: &impl HealthChecked) {
    let mut connections = Connections::default();
    let mut due = clock::now() + HEALTH_INTERVAL;
    loop {
        match waiting.recv_timeout(clock::until(due).to_duration()) {
            Ok(cancellation) => connections.cancel(&cancellation),
            Err(RecvTimeoutError::Timeout) => {
                due = clock::now() + HEALTH_INTERVAL;
                connections.check(leaves);
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

#[derive(Default)]
struct Connections {
    broken: HashMap<SocketAddr, Instant>,
    open: HashMap<SocketAddr, Connection>,
}

impl Connections {
    fn cancel(&mut self, Cancellation { address, attempt }: &Cancellation) {
        let Some(conn) = self.open.get(address) else { return attempt.connection.close() };
        if !conn.cancel(&attempt.token, CALL_TIMEOUT) {
            self.broke(*address);
            attempt.connection.close();
        }
    }

    fn check(&mut self, leaves: &impl HealthChecked) {
        let warm = leaves.warm();
        self.open.retain(|address, _| warm.contains(address));
        for address in warm {
            let Some(conn) = self.connection(address) else { continue };
            match conn.health(CALL_TIMEOUT) {
                Ok(health) => leaves.checked(address, health),
                Err(err) => {
                    log::debug!("health of {address}: {err}");
                    self.broke(address);
                }
            }
        }
    }

    fn connection(&mut self, address: SocketAddr) -> Option<&Connection> {
        let now = clock::now();
        if self.broken.get(&address).is_some_and(|at| now.since(*at) < REOPEN_PAUSE) {
            return None;
        }
        if let Entry::Vacant(vacant) = self.open.entry(address) {
            match Connection::open(address, CALL_TIMEOUT) {
                Ok(conn) => drop(vacant.insert(conn)),
                Err(_) => self.broke(address),
            }
        }
        self.open.get(&address)
    }

    fn broke(&mut self, address: SocketAddr) {
        self.open.remove(&address);
        self.broken.insert(address, clock::now());
    }
}
