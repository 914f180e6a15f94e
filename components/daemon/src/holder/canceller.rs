//! Cancels attempts that are running at leaves.
//!
//! The requests to cancel come from threads that must not block. When the leaf does not confirm,
//! or too many cancellations wait, the attempt's own connection is closed instead.

use {
    crate::holder::{connection::Connection, leaf::RunningAttempt},
    crossbeam::channel::{Receiver, Sender, bounded},
    std::{
        collections::HashMap,
        io::Result as IoResult,
        net::SocketAddr,
        thread,
        time::Duration,
    },
};

/// Longest wait for a leaf to confirm a cancellation.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(200);
/// Cancellations that wait; above it connections are closed.
const QUEUE: usize = 256;

/// Queue in front of the cancelling thread.
#[derive(Clone, Debug)]
pub struct Canceller {
    queue: Sender<Cancellation>,
}

#[derive(Debug)]
struct Cancellation {
    address: SocketAddr,
    attempt: RunningAttempt,
}

impl Canceller {
    /// Starts the thread; it ends when all clones are dropped.
    pub fn start() -> IoResult<Self> {
        let (queue, waiting) = bounded(QUEUE);
        thread::Builder::new().name("cancel".to_owned()).spawn(move || run(&waiting))?;
        Ok(Self { queue })
    }

    /// Cancels `attempt` at the leaf at `address`.
    pub fn cancel(&self, address: SocketAddr, attempt: RunningAttempt) {
        if let Err(refused) = self.queue.try_send(Cancellation { address, attempt }) {
            refused.into_inner().attempt.connection.close();
        }
    }
}

fn run(waiting: &Receiver<Cancellation>) {
    let mut connections: HashMap<SocketAddr, Connection> = HashMap::new();
    while let Ok(Cancellation { address, attempt }) = waiting.recv() {
        let confirmed = connection_to(&mut connections, address)
            .is_some_and(|conn| conn.cancel(attempt.attempt, CONFIRM_TIMEOUT));
        if !confirmed {
            connections.remove(&address);
            attempt.connection.close();
        }
    }
}

fn connection_to(
    connections: &mut HashMap<SocketAddr, Connection>,
    address: SocketAddr,
) -> Option<&Connection> {
    if let std::collections::hash_map::Entry::Vacant(vacant) = connections.entry(address) {
        vacant.insert(Connection::open(address, CONFIRM_TIMEOUT).ok()?);
    }
    connections.get(&address)
}
