//! The store of the world, and the faults beside an order.

use {
    super::{Event, LEAVES_PER_VERSION, ORDER_AT, World},
    crate::{common::service, plan::Fault},
    wigeonramp_routing::{
        position::{FIRST_ERA, Position},
        releases::status::{StatusResult, StatusWrite},
    },
    wigeonramp_units::{Revision, Span},
};

impl World {
    /// The store handles a conditional write.
    pub(super) fn write(&mut self, host: usize, write: StatusWrite, epoch: u32) {
        self.outcome.writes += 1;
        let is_lost = self.lost_responses > 0;
        let result = if self.store_down {
            StatusResult::Failed
        } else if write.revision != self.order.written.revision() {
            let revision = self.order.written.revision();
            StatusResult::Conflict { revision, state: self.order.state }
        } else {
            let revision = Revision(write.revision.0 + 1);
            self.order.written = Position::new(FIRST_ERA, revision);
            self.order.state = Some(write.state);
            if write.state.is_final() {
                self.outcome.state = Some(write.state);
                self.outcome.took = Some(self.now.since(ORDER_AT));
            }
            self.publish();
            StatusResult::Written(Some(revision))
        };
        let (result, delay) = if is_lost {
            self.lost_responses -= 1;
            (StatusResult::Failed, Span::millis(700))
        } else {
            (result, Span::millis(8))
        };
        self.add(delay, Event::Written { host, write, result, epoch });
    }

    /// Returns the host that most hosts take for the deciding one: that with most totals.
    fn decider(&self) -> usize {
        let open = |n: &usize| {
            let release = self.hosts[*n].cx.releases.get(&service("s0"));
            release.map_or(0, |release| release.reporter_count())
        };
        (0..self.used()).max_by_key(open).unwrap_or(0)
    }

    pub(super) fn begin_fault(&mut self) {
        let decider = self.decider();
        let other = (decider + 1) % self.used();
        match self.plan.fault {
            Fault::DeciderRestarts => self.kill(decider, Some(Span::secs(1))),
            Fault::DeciderLost => self.kill(decider, None),
            Fault::DeciderSuspended(time) => {
                self.hosts[decider].suspended = Some((self.now, Vec::new()));
                self.add(time, Event::EndFault);
            }
            Fault::HostRestarts => self.kill(other, Some(Span::secs(1))),
            Fault::HostCutOff => {
                self.hosts[other].is_cut_off = true;
                self.add(Span::secs(2), Event::EndFault);
            }
            Fault::StoreDown => {
                self.store_down = true;
                self.add(Span::secs(2), Event::EndFault);
            }
            Fault::LostResponses => self.lost_responses = 2,
            Fault::None | Fault::RateChanges(_) => {}
        }
    }

    fn kill(&mut self, host: usize, restarts_after: Option<Span>) {
        self.hosts[host].down_since = Some(self.now);
        if let Some(time) = restarts_after {
            self.add(time, Event::EndFault);
        }
    }

    pub(super) fn end_fault(&mut self) {
        self.store_down = false;
        for number in 0..self.hosts.len() {
            self.hosts[number].is_cut_off = false;
            if self.hosts[number].down_since.is_some() {
                let epoch = self.hosts[number].epoch + 1;
                self.hosts[number] = self.new_host(number, epoch);
                self.register_leaves(number, 0..2 * LEAVES_PER_VERSION, true);
                let (order, now) = (self.order.clone(), self.now);
                let cx = &mut self.hosts[number].cx;
                cx.releases.on_order(order, true, now);
                cx.sync_releases(now);
                self.poll(number);
            }
            // The monotonic clock of a suspended host stands still; here its events are only late.
            if let Some((_, waiting)) = self.hosts[number].suspended.take() {
                waiting.into_iter().for_each(|event| self.handle(event));
            }
        }
    }
}
