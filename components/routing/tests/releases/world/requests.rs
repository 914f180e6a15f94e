//! Requests of the world, from their arrival at a host to their end.

use {
    super::{Event, ORDER_AT, Request, SimHost, World, route},
    crate::plan::Fault,
    rand::RngExt,
    wigeonramp_routing::{
        exchange::{AttemptOutcome, AttemptRef, AttemptSpec, Exchange, RequestTimes},
        leaf::HealthSignal,
        leaves::LeafKey,
        releases::order::OrderState,
        reply::LeafResponse,
    },
    wigeonramp_units::Span,
};

impl World {
    pub(super) fn arrive(&mut self, number: usize) {
        let factor = match self.plan.fault {
            Fault::RateChanges(factor) if self.age() > 0.33 => factor,
            _ => 1.0,
        };
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / (self.plan.rates[number] * factor);
        self.add(Span((gap * 1e6) as u64), Event::Arrive(number));
        let draw: f64 = self.rng.random();
        let draw = if self.plan.skewed { draw * draw } else { draw };
        let mut host = (draw * self.used() as f64) as usize;
        let is_dead = |host: &SimHost| host.down_since.is_some() || host.suspended.is_some();
        while is_dead(&self.hosts[host]) {
            host = (host + 1) % self.used();
        }
        if self.now >= ORDER_AT && self.age() < 1.0 {
            self.outcome.requests += 1;
        }
        let times = RequestTimes {
            arrived: self.now,
            deadline: self.now + Span::millis(1_000),
            caller_overhead: Span::millis(4),
        };
        let mut specs = Vec::new();
        let cx = &mut self.hosts[host].cx;
        let (exchange, reply) = Exchange::begin(route(number), times, cx, self.now, &mut specs);
        let request = self.hosts[host].requests.len();
        self.hosts[host].requests.push(Request {
            exchange,
            route: number,
            is_done: reply.is_some(),
        });
        self.start(host, request, specs);
    }

    fn start(&mut self, host: usize, request: usize, specs: Vec<AttemptSpec>) {
        let epoch = self.hosts[host].epoch;
        for AttemptSpec { attempt, leaf, .. } in specs {
            let route = self.hosts[host].requests[request].route;
            let leaf = self.leaf_of(host, leaf);
            let way = self.way(host, leaf);
            self.add(way, Event::Serve { host, request, attempt, leaf, route });
        }
        let Some(open) = self.hosts[host].requests.get(request).filter(|r| !r.is_done) else {
            return;
        };
        let at = open.exchange.next_timer_at(self.now);
        self.add(at.since(self.now), Event::Timer { host, request, epoch });
    }

    fn leaf_of(&self, host: usize, key: LeafKey) -> usize {
        let leaf = self.hosts[host].cx.leaves.get(key).expect("a registered leaf");
        leaf.registration.id.as_str()[4..].parse().expect("a number")
    }

    fn way(&mut self, host: usize, leaf: usize) -> Span {
        let is_near = host % 3 == self.leaves[leaf].zone;
        let way = if is_near { 200 } else { 900 };
        Span(way + self.rng.random_range(0..200)) + self.hosts[host].delay / 2
    }

    pub(super) fn serve(
        &mut self,
        host: usize,
        request: usize,
        attempt: AttemptRef,
        leaf: usize,
        route: usize,
    ) {
        let (age, now) = (self.age(), self.now);
        let served = self.leaves[leaf].serve(&self.plan, route, age, now, &mut self.rng);
        if self.leaves[leaf].is_candidate {
            self.outcome.exposed += u64::from(now >= ORDER_AT && age < 1.0);
            let since = self.fiftieth.map(|at| now.since(at));
            self.outcome.after_fiftieth = since.or(self.outcome.after_fiftieth);
        } else if self.outcome.state == Some(OrderState::Completed) {
            self.outcome.lost_at_promotion += 1;
        }
        if served.is_bad {
            self.outcome.bad += 1;
            if self.outcome.bad == 50 {
                self.fiftieth = Some(served.done);
            }
        }
        let back = self.way(host, leaf);
        let epoch = self.hosts[host].epoch;
        let event = Event::Served { host, request, attempt, status: served.status, epoch };
        self.add(served.done.since(now) + back, event);
    }

    pub(super) fn served(&mut self, host: usize, request: usize, attempt: AttemptRef, status: u16) {
        let now = self.now;
        let SimHost { cx, requests, .. } = &mut self.hosts[host];
        let open = &mut requests[request];
        let mut specs = Vec::new();
        if open.is_done {
            let signal = if status < 500 { HealthSignal::Answered } else { HealthSignal::Failed };
            open.exchange.on_discarded_outcome(attempt, signal, cx, now);
        } else {
            let response = AttemptOutcome::Response(LeafResponse {
                status,
                stamp: Some("s".to_owned()),
                headers: Vec::new(),
                body: Vec::new(),
            });
            let reply = open.exchange.on_outcome(attempt, response, true, cx, now, &mut specs);
            open.is_done = reply.is_some();
        }
        self.start(host, request, specs);
        self.poll(host);
    }

    pub(super) fn timer(&mut self, host: usize, request: usize) {
        let now = self.now;
        let SimHost { cx, requests, .. } = &mut self.hosts[host];
        let open = &mut requests[request];
        if open.is_done || now < open.exchange.next_timer_at(now).min(now) {
            return;
        }
        let mut specs = Vec::new();
        let reply = open.exchange.on_timer(cx, now, &mut specs);
        open.is_done = reply.is_some();
        self.start(host, request, specs);
    }
}
