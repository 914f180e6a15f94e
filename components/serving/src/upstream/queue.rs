//! Bounded queue of jobs, ordered by priority and deadline.

use {
    super::types::{JobId, JobMeta, ORDINARY_INTERVAL, Refusal},
    std::collections::VecDeque,
    wigeonramp_config::Priority,
    wigeonramp_units::{Instant, Span},
};

#[derive(Debug)]
pub(super) struct Queue {
    capacity: usize,
    urgent: Vec<JobMeta>,
    ordinary: Vec<JobMeta>,
    /// Jobs that were displaced from the queue and not reported as dropped yet.
    displaced: VecDeque<(JobId, Refusal)>,
    /// Urgent jobs taken in a row since the last ordinary one.
    urgent_run: u32,
}

impl Queue {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            urgent: Vec::new(),
            ordinary: Vec::new(),
            displaced: VecDeque::new(),
            urgent_run: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.urgent.len() + self.ordinary.len()
    }

    /// Returns whether no job is queued and no displaced job is left to report.
    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0 && self.displaced.is_empty()
    }

    /// Returns the number of jobs that would be sent before a job with this priority and deadline.
    pub(super) fn ahead(&self, priority: Priority, deadline: Instant) -> usize {
        let earlier = |jobs: &[JobMeta]| jobs.partition_point(|job| job.deadline <= deadline);
        match priority {
            Priority::Urgent => {
                let urgent = earlier(&self.urgent);
                urgent + self.ordinary.len().min(urgent / ORDINARY_INTERVAL as usize)
            }
            Priority::Ordinary => {
                let ordinary = earlier(&self.ordinary);
                let floor = (ordinary + 1) * ORDINARY_INTERVAL as usize;
                ordinary + self.urgent.len().min(floor)
            }
        }
    }

    /// Queues the job. If the queue is full, an urgent job displaces the ordinary job with the
    /// latest deadline. Returns false if there is no room.
    pub(super) fn push(&mut self, job: JobMeta) -> bool {
        if self.len() >= self.capacity && !self.displace_ordinary(job.priority) {
            return false;
        }
        let jobs = match job.priority {
            Priority::Urgent => &mut self.urgent,
            Priority::Ordinary => &mut self.ordinary,
        };
        let at = jobs.partition_point(|other| other.deadline <= job.deadline);
        jobs.insert(at, job);
        true
    }

    fn displace_ordinary(&mut self, priority: Priority) -> bool {
        let floor = (self.capacity / ORDINARY_INTERVAL as usize).max(1);
        if priority == Priority::Ordinary || self.ordinary.len() <= floor {
            return false;
        }
        let Some(job) = self.ordinary.pop() else { return false };
        self.displaced.push_back((job.id, Refusal::Overload));
        true
    }

    pub(super) fn take_displaced(&mut self) -> Option<(JobId, Refusal)> {
        self.displaced.pop_front()
    }

    /// Removes and returns a job that can no longer be answered before its deadline, given the
    /// earliest time of sending and the expected response time.
    pub(super) fn take_expired(&mut self, send_at: Instant, response_time: Span) -> Option<JobId> {
        for jobs in [&mut self.urgent, &mut self.ordinary] {
            if jobs.first().is_some_and(|job| job.deadline <= send_at + response_time) {
                return Some(jobs.remove(0).id);
            }
        }
        None
    }

    fn is_ordinary_next(&self) -> bool {
        self.urgent.is_empty() || self.urgent_run + 1 >= ORDINARY_INTERVAL
    }

    /// Returns the job to send next.
    pub(super) fn peek(&self) -> Option<&JobMeta> {
        if self.is_ordinary_next() {
            return self.ordinary.first().or(self.urgent.first());
        }
        self.urgent.first()
    }

    /// Removes and returns the job to send next.
    pub(super) fn pop(&mut self) -> Option<JobMeta> {
        if self.is_ordinary_next() && !self.ordinary.is_empty() {
            self.urgent_run = 0;
            return Some(self.ordinary.remove(0));
        }
        if self.urgent.is_empty() {
            return None;
        }
        self.urgent_run = self.urgent_run.saturating_add(1);
        Some(self.urgent.remove(0))
    }

    pub(super) fn remove(&mut self, id: JobId) -> bool {
        let before = self.len() + self.displaced.len();
        self.urgent.retain(|job| job.id != id);
        self.ordinary.retain(|job| job.id != id);
        self.displaced.retain(|(job, _)| *job != id);
        self.len() + self.displaced.len() < before
    }

    pub(super) fn first_deadline(&self) -> Option<Instant> {
        let first = |jobs: &[JobMeta]| jobs.first().map(|job| job.deadline);
        first(&self.urgent).into_iter().chain(first(&self.ordinary)).min()
    }
}
