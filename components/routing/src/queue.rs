//! Order of the attempts that wait for a connection to one leaf.
//!
//! Load: hosts share the few connections that a leaf accepts, so that a burst or a pausing leaf
//! leaves more attempts than connections. In the order of arrival, urgent attempts would wait
//! behind others, and connections would carry attempts whose responses can no longer be in time.

use wigeonramp_units::{Instant, Span};

/// Longest time in the queue: the leaf may be unresponsive on all connections while another one is
/// free.
const MAX_WAIT: Span = Span::millis(200);

/// Urgency of an attempt and the times that bound its wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Urgency {
    /// Priority of the request; zero is the most urgent.
    pub priority: u32,
    /// Time at which the reply is due.
    pub due: Instant,
    /// Time at which the attempt is given up.
    pub deadline: Instant,
    /// Latest time at which it may be sent and still be answered before the deadline.
    pub latest_start: Instant,
}

impl Urgency {
    /// Returns the key by which attempts are ordered, the smallest first. An attempt that is
    /// overdue comes after those of its priority that can still be in time.
    fn key(&self, now: Instant) -> (u32, bool, Instant) {
        let is_overdue = self.due <= now;
        (self.priority, is_overdue, if is_overdue { self.deadline } else { self.due })
    }
}

#[derive(Clone, Debug)]
struct Waiting<T> {
    urgency: Urgency,
    since: Instant,
    item: T,
}

/// Attempts that wait for a connection to one leaf.
#[derive(Clone, Debug)]
pub struct ConnectionQueue<T> {
    /// In the order of arrival.
    waiting: Vec<Waiting<T>>,
}

impl<T> Default for ConnectionQueue<T> {
    fn default() -> Self {
        Self { waiting: Vec::new() }
    }
}

impl<T> ConnectionQueue<T> {
    /// Adds an attempt.
    pub fn push(&mut self, urgency: Urgency, item: T, now: Instant) {
        self.waiting.push(Waiting { urgency, since: now, item });
    }

    /// Whether no attempt waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes the attempts that cannot be answered in time any more.
    pub fn take_late(&mut self, now: Instant) -> Vec<T> {
        let is_late = |waiting: &mut Waiting<T>| now > waiting.urgency.latest_start;
        self.waiting.extract_if(.., is_late).map(|waiting| waiting.item).collect()
    }

    /// Removes the attempts that have waited for `MAX_WAIT`.
    pub fn take_timed_out(&mut self, now: Instant) -> Vec<T> {
        let has_timed_out = |waiting: &mut Waiting<T>| now.since(waiting.since) >= MAX_WAIT;
        self.waiting.extract_if(.., has_timed_out).map(|waiting| waiting.item).collect()
    }

    /// Removes the attempts for which `is_withdrawn` holds.
    pub fn withdraw(&mut self, mut is_withdrawn: impl FnMut(&T) -> bool) -> Vec<T> {
        let withdrawn = self.waiting.extract_if(.., |waiting| is_withdrawn(&waiting.item));
        withdrawn.map(|waiting| waiting.item).collect()
    }

    fn next(&self, now: Instant) -> Option<usize> {
        let keys = self.waiting.iter().map(|waiting| waiting.urgency.key(now)).enumerate();
        keys.min_by_key(|(index, key)| (*key, *index)).map(|(index, _)| index)
    }

    /// Returns the attempt that is sent next.
    pub fn peek(&self, now: Instant) -> Option<&T> {
        self.next(now).map(|index| &self.waiting[index].item)
    }

    /// Removes and returns the attempt that is sent next.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        self.next(now).map(|index| self.waiting.remove(index).item)
    }
}
