//! Bounded queue of jobs, by priority and deadline.

use {
    super::limits::{JobId, JobMeta, ORDINARY_EVERY, Refusal},
    std::collections::VecDeque,
    wigeonramp_config::Priority,
    wigeonramp_units::{Instant, Span},
};

#[derive(Debug)]
pub(super) struct Queue {
    capacity: usize,
    urgent: Vec<JobMeta>,
    ordinary: Vec<JobMeta>,
    shed: VecDeque<(JobId, Refusal)>,
    /// Urgent jobs taken since the last ordinary one.
    urgent_run: u32,
}

impl Queue {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            urgent: Vec::new(),
            ordinary: Vec::new(),
            shed: VecDeque::new(),
            urgent_run: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.urgent.len() + self.ordinary.len()
    }

    /// Whether no job is queued or waits to be dropped.
    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0 && self.shed.is_empty()
    }

    /// Jobs that would go before a job of this priority and deadline.
    pub(super) fn ahead(&self, priority: Priority, deadline: Instant) -> usize {
        let earlier = |jobs: &[JobMeta]| jobs.partition_point(|job| job.deadline <= deadline);
        match priority {
            Priority::Urgent => {
                let urgent = earlier(&self.urgent);
                urgent + self.ordinary.len().min(urgent / ORDINARY_EVERY as usize)
            }
            Priority::Ordinary => {
                let ordinary = earlier(&self.ordinary);
                let floor = (ordinary + 1) * ORDINARY_EVERY as usize;
                ordinary + self.urgent.len().min(floor)
            }
        }
    }

    /// Queues the job; an urgent job displaces the ordinary one with the latest deadline when the
    /// queue is full. Returns false if there is no place.
    pub(super) fn push(&mut self, job: JobMeta) -> bool {
        if self.len() >= self.capacity && !self.displace(job.priority) {
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

    fn displace(&mut self, priority: Priority) -> bool {
        let floor = (self.capacity / ORDINARY_EVERY as usize).max(1);
        if priority == Priority::Ordinary || self.ordinary.len() <= floor {
            return false;
        }
        let Some(job) = self.ordinary.pop() else { return false };
        self.shed.push_back((job.id, Refusal::Overload));
        true
    }

    pub(super) fn take_shed(&mut self) -> Option<(JobId, Refusal)> {
        self.shed.pop_front()
    }

    /// Takes a job that cannot be answered in time any more.
    pub(super) fn take_late(&mut self, now: Instant, service: Span) -> Option<JobId> {
        for jobs in [&mut self.urgent, &mut self.ordinary] {
            if jobs.first().is_some_and(|job| job.deadline <= now + service) {
                return Some(jobs.remove(0).id);
            }
        }
        None
    }

    fn ordinary_first(&self) -> bool {
        self.urgent.is_empty() || self.urgent_run + 1 >= ORDINARY_EVERY
    }

    /// The job to send next.
    pub(super) fn head(&self) -> Option<&JobMeta> {
        if self.ordinary_first() {
            return self.ordinary.first().or(self.urgent.first());
        }
        self.urgent.first()
    }

    /// Takes the job to send next.
    pub(super) fn pop(&mut self) -> Option<JobMeta> {
        if self.ordinary_first() && !self.ordinary.is_empty() {
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
        let before = self.len() + self.shed.len();
        self.urgent.retain(|job| job.id != id);
        self.ordinary.retain(|job| job.id != id);
        self.shed.retain(|(job, _)| *job != id);
        self.len() + self.shed.len() < before
    }

    pub(super) fn first_deadline(&self) -> Option<Instant> {
        let first = |jobs: &[JobMeta]| jobs.first().map(|job| job.deadline);
        first(&self.urgent).into_iter().chain(first(&self.ordinary)).min()
    }
}
