//! One held leaf: its queue and its workers.

use {
    crate::{
        clock,
        holder::{
            connection::{CallEnd, Connection},
            job::LeafJob,
        },
        reply::{ReplyOutcome, Rows},
        view::{HolderRights, Rights},
    },
    parking_lot::{Condvar, Mutex},
    std::{collections::VecDeque, net::SocketAddr, sync::Arc, thread, time::Duration},
    wigeonramp_units::{LeafId, Span},
};

/// Longest wait for a connection to a leaf.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

struct State {
    gone: bool,
    queue: VecDeque<LeafJob>,
}

/// A leaf that this host sends to.
pub struct HeldLeaf<R> {
    address: SocketAddr,
    changed: Condvar,
    id: LeafId,
    rights: Arc<R>,
    state: Mutex<State>,
}

impl<R: HolderRights> HeldLeaf<R> {
    /// Starts the workers.
    pub fn start(id: LeafId, address: SocketAddr, slots: u32, rights: Arc<R>) -> Arc<Self> {
        let state = State { gone: false, queue: VecDeque::new() };
        let leaf = Arc::new(Self {
            address,
            changed: Condvar::new(),
            id,
            rights,
            state: Mutex::new(state),
        });
        for _ in 0..slots {
            let leaf = Arc::clone(&leaf);
            thread::spawn(move || leaf.work());
        }
        leaf
    }

    /// Queues `job`.
    pub fn offer(&self, job: LeafJob) {
        self.state.lock().queue.push_back(job);
        self.changed.notify_one();
    }

    /// Refuses what waits and ends the workers after their current request.
    pub fn leave(&self) {
        let queue = {
            let mut state = self.state.lock();
            state.gone = true;
            std::mem::take(&mut state.queue)
        };
        self.changed.notify_all();
        for job in queue {
            job.refuse("this host no longer holds the leaf");
        }
    }

    fn next(&self) -> Option<LeafJob> {
        let mut state = self.state.lock();
        loop {
            if state.gone {
                return None;
            }
            if let Some(job) = state.queue.pop_front() {
                return Some(job);
            }
            self.changed.wait(&mut state);
        }
    }

    fn work(&self) {
        let mut connection = None;
        while let Some(job) = self.next() {
            let now = clock::now();
            if self.rights.rights(&self.id, now) != Rights::Full {
                job.refuse("this host may not send to the leaf");
                continue;
            }
            let Some(conn) = connection.take().or_else(|| self.connect()) else {
                job.refuse("leaf not reached");
                continue;
            };
            let expiry = job.call.deadline.min(self.rights.deadline_cap(now));
            let end = conn.search(&job.call, clock::unix_at(expiry));
            let at_leaf = clock::now().since(now);
            let (outcome, reusable) = outcome_of(end);
            if reusable {
                connection = Some(conn);
            }
            job.reply(outcome, at_leaf, None);
        }
    }

    fn connect(&self) -> Option<Connection> {
        Connection::open(self.address, CONNECT_TIMEOUT).ok()
    }
}

fn outcome_of(end: CallEnd) -> (ReplyOutcome, bool) {
    match end {
        CallEnd::Answered(answer) => (
            ReplyOutcome::Answered(Rows {
                count: answer.rows,
                digest: answer.digest,
                payload: answer.payload,
            }),
            true,
        ),
        CallEnd::Broken(what) => (ReplyOutcome::Unknown(what.to_owned()), false),
        CallEnd::Leaving => (ReplyOutcome::Refused("leaf is leaving".to_owned()), true),
        CallEnd::NotSent => (ReplyOutcome::NotSent("connection ended".to_owned()), false),
        CallEnd::PastDeadline => (ReplyOutcome::Refused("past the deadline".to_owned()), true),
        CallEnd::Refused(status) => (ReplyOutcome::Refused(format!("leaf said {status}")), true),
        CallEnd::Reset => (ReplyOutcome::Reset("connection reset".to_owned()), false),
        CallEnd::Shed => (ReplyOutcome::Refused("leaf sheds load".to_owned()), true),
        CallEnd::SnapshotGone => (ReplyOutcome::SnapshotGone, true),
        CallEnd::TimedOut => (ReplyOutcome::Unknown("no answer in time".to_owned()), false),
    }
}

/// The time that a leaf may be silent before its request counts as lost.
pub const SILENCE: Span = Span::millis(500);
