//! Tests of the state machine of a held leaf: scripted events with their times, and snapshots of
//! the resulting actions.

mod common;

use {
    common::{job, limits, ms},
    insta::assert_snapshot,
    std::fmt::Write,
    wigeonramp_config::Priority,
    wigeonramp_serving::upstream::{
        Completion, ConnectionId, HealthReport, JobId, JobMeta, LeafState, NextAction, OfferResult,
        Refusal, Rights, Upstream,
    },
    wigeonramp_units::{Instant, Slots, Span},
};

/// Drives an upstream and records its actions in a table.
struct Rig {
    upstream: Upstream,
    now: Instant,
    /// Start of the times in the table, in milliseconds.
    start: u64,
    rights: Rights,
    table: String,
}

impl Rig {
    fn new(slots: u32, cold: u32, rate: u32) -> Self {
        let upstream = Upstream::new(limits(slots, cold, rate), ms(0));
        Self { upstream, now: ms(0), start: 0, rights: Rights::Full, table: String::new() }
    }

    fn at(&mut self, time: u64) -> &mut Self {
        self.now = ms(self.start + time);
        self
    }

    fn line(&mut self, text: &str) {
        let state = self.upstream.state();
        let now = self.now.since(ms(self.start)).to_string();
        let _ = writeln!(self.table, "{now:>6} {text} [{state}]");
    }

    fn offer(&mut self, job: JobMeta) -> &mut Self {
        let id = job.id.0;
        let offer = self.upstream.offer(job, self.now);
        self.line(&format!("offer {id}: {offer:?}"));
        self
    }

    /// Calls `next_action` until the result is to wait.
    fn pump(&mut self) -> &mut Self {
        loop {
            let next = self.upstream.next_action(self.now, self.rights);
            match next {
                NextAction::Send { job, connection } => {
                    self.line(&format!("  send {} on {}", job.0, connection.0));
                }
                NextAction::Connect { connection, probe } => {
                    self.line(&format!("  connect {} probe={probe}", connection.0));
                }
                NextAction::Drop(job, refusal) => {
                    self.line(&format!("  drop {}: {refusal}", job.0))
                }
                NextAction::Wait(until) => {
                    let until = until.map(|at| at.since(ms(self.start)).to_string());
                    let until = until.unwrap_or("event".to_owned());
                    self.line(&format!("  wait for {until}"));
                    return self;
                }
            }
        }
    }

    fn connected(&mut self, id: u64) -> &mut Self {
        let effects = self.upstream.connected(ConnectionId(id), None, self.now);
        self.line(&format!("connected {id}: {effects:?}"));
        self.pump()
    }

    fn done(&mut self, id: u64, completion: Completion) -> &mut Self {
        let name = format!("{completion:?}");
        let name = name.split([' ', '{']).next().unwrap_or_default().to_owned();
        let effects = self.upstream.complete(JobId(id), completion, self.now);
        self.line(&format!("{name} {id}: {effects:?}"));
        self.pump()
    }

    fn answer(&mut self, id: u64, boot: &str) -> &mut Self {
        self.done(id, answered(boot, 5))
    }

    /// Creates a leaf that quick responses have warmed up.
    fn warm(slots: u32) -> Self {
        let mut rig = Rig::new(slots, 1, 10);
        rig.warm_up();
        rig.table.clear();
        rig.start = rig.now.0 / 1_000;
        rig
    }

    /// Warms the leaf up by quick responses that are not recorded. Uses job ids from 1000.
    fn warm_up(&mut self) {
        let mut id = 1_000;
        while self.upstream.state() != LeafState::Warm {
            self.now = self.now + Span::millis(10);
            id += 1;
            let _ = self.upstream.offer(job(id, self.now + Span::secs(5)), self.now);
            self.serve_b1();
        }
    }

    /// Serves one request every 200 ms while the leaf is cold and returns the number of responses.
    fn responses_until_not_cold(&mut self, boot: &str) -> u32 {
        let mut responses = 0;
        while self.upstream.state() == LeafState::Cold {
            assert!(responses < 100, "the cold state never ended");
            assert_eq!(self.upstream.report(self.now).allowance.in_flight, Slots(1));
            self.now = self.now + Span::millis(200);
            let id = 2_000 + u64::from(responses);
            let _ = self.upstream.offer(job(id, self.now + Span::secs(5)), self.now);
            responses += self.serve(boot);
        }
        responses
    }

    fn serve_b1(&mut self) {
        self.serve("b1");
    }

    /// Answers all requests immediately and returns their number.
    fn serve(&mut self, boot: &str) -> u32 {
        let mut responses = 0;
        loop {
            match self.upstream.next_action(self.now, Rights::Full) {
                NextAction::Send { job, .. } => {
                    let _ = self.upstream.complete(job, answered(boot, 5), self.now);
                    responses += 1;
                }
                NextAction::Connect { connection, .. } => {
                    let _ = self.upstream.connected(connection, None, self.now);
                }
                NextAction::Drop(..) => {}
                NextAction::Wait(_) => return responses,
            }
        }
    }
}

fn answered(boot: &str, latency: u64) -> Completion {
    let boot = Some(boot.parse().expect("boot id"));
    Completion::Answered { boot, latency: Span::millis(latency), busy: false }
}

#[test]
fn cold_leaf_gets_one_request_until_an_answer_names_its_boot() {
    let mut rig = Rig::new(4, 2, 10);
    for id in 1..=4 {
        rig.offer(job(id, ms(900)));
    }
    rig.pump().at(6).connected(1).at(20).answer(1, "b1").at(26).connected(2).at(40).answer(2, "b1");
    assert_snapshot!(rig.table);
}

/// Guards against a ramp that takes its first step while the leaf is still cold: with slow
/// responses, one second passes and half a second's worth of responses arrives before the cold
/// state ends. A cold start in between restarts the count.
#[test]
fn cold_state_ends_after_the_declared_answers() {
    let mut rig = Rig::new(4, 1, 10);
    // The response with a new boot id does not count: its request was sent before the cold start
    // was known.
    assert_eq!(rig.responses_until_not_cold("b1"), 17);
    assert_eq!(rig.responses_until_not_cold("b1"), 0);
    rig.offer(job(1, rig.now + Span::secs(5))).pump().done(1, Completion::Rejected);
    assert_eq!(rig.responses_until_not_cold("b1"), 16);
    rig.offer(job(1, rig.now + Span::secs(5))).pump().done(1, Completion::Reset);
    assert_eq!(rig.responses_until_not_cold("b2"), 17);
}

/// Guards against an answered probe that restores the allowance from before a cold start: a
/// response is overdue, and the probe is answered only after the leaf has returned to cold.
#[test]
fn answered_probe_does_not_end_the_cold_state() {
    let mut rig = Rig::warm(2);
    rig.offer(job(1, rig.now + Span::millis(300))).pump();
    rig.at(300).done(1, Completion::TimedOut);
    // The probe opened at 300 ms is answered only after the idle timeout of the leaf.
    rig.at(61_000).pump();
    let probe = Some("b1".parse().expect("boot id"));
    let _ = rig.upstream.connected(ConnectionId(2), probe, rig.now);
    rig.offer(job(2, rig.now + Span::secs(1))).pump().answer(2, "b1");
    let allowance = rig.upstream.report(rig.now).allowance;
    assert_eq!((allowance.in_flight, rig.upstream.state()), (Slots(1), LeafState::Cold));
}

#[test]
fn rate_includes_connects_and_spaces_sends() {
    let mut rig = Rig::new(2, 1, 2);
    rig.offer(job(1, ms(5_000))).offer(job(2, ms(5_000))).pump().at(6).connected(1);
    rig.at(20).answer(1, "b1").at(1_000).pump().at(1_010).answer(2, "b1");
    assert_snapshot!(rig.table);
}

#[test]
fn new_boot_reset_refusal_and_idleness_return_to_cold() {
    let mut table = String::new();
    for completion in [answered("b2", 5), Completion::Reset, Completion::Rejected] {
        let mut rig = Rig::warm(2);
        rig.offer(job(1, rig.now + Span::millis(900))).pump().done(1, completion);
        table += &rig.table;
    }
    let mut rig = Rig::warm(2);
    rig.at(60_000).pump().at(60_001).pump();
    assert_snapshot!(table + &rig.table);
}

#[test]
fn reset_makes_all_requests_in_flight_suspects_and_their_repetition_runs_alone() {
    let mut rig = Rig::warm(2);
    let deadline = rig.now + Span::secs(2);
    rig.offer(job(1, deadline)).offer(job(2, deadline)).pump().connected(2);
    rig.done(1, Completion::Reset).done(2, Completion::Reset);
    rig.at(10).offer(job(1, deadline)).pump().at(16).connected(3).at(20).answer(1, "b2");
    assert_snapshot!(rig.table);
}

/// Guards against a crash suspect that runs next to other requests at a recovered leaf with room.
#[test]
fn repetition_of_a_crash_suspect_runs_alone_at_a_leaf_with_room() {
    let mut rig = Rig::warm(2);
    rig.offer(job(1, rig.now + Span::secs(2))).pump().done(1, Completion::Reset);
    rig.warm_up();
    rig.table.clear();
    rig.start = rig.now.0 / 1_000;
    let deadline = rig.now + Span::secs(2);
    rig.offer(job(1, deadline)).offer(job(2, deadline + Span::millis(1))).pump();
    rig.at(10).answer(1, "b1").at(20).answer(2, "b1");
    assert_snapshot!(rig.table);
}

/// Guards against a hedge to a leaf that has become cold since its last report to the entry host.
#[test]
fn hedge_is_refused_unless_the_leaf_is_warm() {
    let hedge = |rig: &mut Rig| {
        let job = JobMeta { hedge: true, ..job(1, rig.now + Span::millis(900)) };
        rig.upstream.offer(job, rig.now)
    };
    assert_eq!(hedge(&mut Rig::new(2, 1, 10)), OfferResult::Refused(Refusal::Cold));
    assert_eq!(hedge(&mut Rig::warm(2)), OfferResult::Queued);
}

#[test]
fn silent_connection_is_closed_without_blame_once_the_probe_is_answered() {
    let mut rig = Rig::warm(2);
    let deadline = rig.now + Span::secs(2);
    rig.offer(job(1, deadline)).pump().at(250).pump().at(256).connected(2);
    rig.offer(job(2, deadline)).pump().at(262).answer(2, "b1");
    assert_snapshot!(rig.table);
}

#[test]
fn silent_job_that_must_not_run_twice_keeps_its_connection() {
    let mut rig = Rig::warm(2);
    let non_idempotent = JobMeta { idempotent: false, ..job(1, rig.now + Span::secs(2)) };
    rig.offer(non_idempotent).pump().at(250).pump().at(256).connected(2).at(400).answer(1, "b1");
    assert_snapshot!(rig.table);
}

#[test]
fn slow_leaf_keeps_the_halved_allowance() {
    let mut rig = Rig::warm(4);
    rig.offer(job(1, rig.now + Span::secs(2))).pump().at(250).pump().at(300).answer(1, "b1");
    let allowance = rig.upstream.report(rig.now).allowance;
    rig.line(&format!("{allowance:?}"));
    assert_snapshot!(rig.table);
}

#[test]
fn holder_in_doubt_sends_one_request_to_a_warm_leaf_on_an_existing_connection() {
    let mut rig = Rig::warm(2);
    rig.rights = Rights::WarmOnly;
    let deadline = rig.now + Span::secs(2);
    rig.offer(job(1, deadline)).offer(job(2, deadline)).pump().at(10).answer(1, "b1");
    rig.at(20).done(2, Completion::TimedOut).offer(job(3, deadline)).pump();
    let mut cold = Rig::new(2, 1, 10);
    cold.rights = Rights::WarmOnly;
    cold.offer(job(1, ms(900))).pump();
    cold.rights = Rights::None;
    cold.offer(job(2, ms(900))).pump();
    assert_snapshot!(rig.table + &cold.table);
}

#[test]
fn urgent_displaces_ordinary_down_to_the_floor() {
    let mut rig = Rig::new(1, 1, 100);
    for id in 1..=16 {
        let _ = rig.upstream.offer(job(id, ms(4_000 + id)), ms(0));
    }
    for id in 17..=32 {
        let urgent = JobMeta { priority: Priority::Urgent, ..job(id, ms(5_000)) };
        let _ = rig.upstream.offer(urgent, ms(0));
    }
    rig.offer(job(33, ms(5_000))).pump().at(6).connected(1);
    for id in 17..=27 {
        rig.at(id).answer(if id == 26 { 1 } else { id - u64::from(id > 26) }, "b1");
    }
    assert_snapshot!(rig.table);
}

#[test]
fn queue_that_cannot_be_served_in_time_refuses_early() {
    let mut rig = Rig::warm(2);
    let soon = rig.now + Span::millis(12);
    for id in 1..=7 {
        rig.offer(job(id, soon)).pump();
    }
    rig.at(9).pump();
    assert_snapshot!(rig.table);
}

#[test]
fn takeover_starts_one_below_cold_for_a_session_time() {
    let mut upstream = Upstream::after_takeover(limits(8, 3, 10), Span::secs(4), ms(0));
    let mut table = String::new();
    for at in [0, 3_999, 4_000] {
        let _ = writeln!(table, "{at}ms {:?}", upstream.report(ms(at)).allowance.in_flight);
    }
    assert_snapshot!(table, @r"
    0ms Slots(2)
    3999ms Slots(2)
    4000ms Slots(3)
    ");
}

#[test]
fn handed_over_allowance_counts_only_for_the_same_boot() {
    let mut table = String::new();
    for boot in ["b1", "b2"] {
        let mut old = Rig::warm(2);
        old.offer(job(1, old.now + Span::millis(900))).pump().done(1, Completion::Reset);
        let mut warm = Rig::warm(2);
        let mut state = warm.upstream.handover_state(warm.now);
        state.suspects = old.upstream.handover_state(old.now).suspects;
        let mut rig = Rig::new(2, 1, 10);
        rig.upstream.restore_handover(state, ms(0));
        rig.offer(job(1, ms(900))).offer(job(2, ms(900))).pump().at(6).connected(1);
        rig.at(20).answer(1, boot);
        table += &rig.table;
    }
    assert_snapshot!(table);
}

#[test]
fn leaving_leaf_gets_nothing_and_returns_with_a_new_boot() {
    let mut rig = Rig::warm(2);
    let deadline = rig.now + Span::secs(9);
    rig.offer(job(1, deadline)).pump().done(1, Completion::Leaving).offer(job(2, deadline));
    rig.at(5_000).pump();
    for (id, boot) in [(2, "b1"), (3, "b2")] {
        let boot = Some(boot.parse().expect("boot id"));
        let effects = rig.upstream.connected(ConnectionId(id), boot, rig.now);
        rig.line(&format!("connected {id}: {effects:?}"));
        rig.at(10_000).pump();
    }
    assert_snapshot!(rig.table);
}

#[test]
fn failed_connect_refuses_at_once_with_growing_pauses() {
    let mut rig = Rig::new(2, 1, 10);
    rig.offer(job(1, ms(900))).offer(job(2, ms(900))).pump();
    rig.upstream.connect_failed(ConnectionId(1), rig.now);
    rig.pump().at(99).offer(job(3, ms(900))).at(100).offer(job(4, ms(900))).pump();
    rig.upstream.connect_failed(ConnectionId(2), rig.now);
    rig.pump();
    assert_snapshot!(rig.table);
}

#[test]
fn health_report_only_lowers_the_allowance() {
    let mut rig = Rig::warm(4);
    for (slots, overloaded) in [(Some(Slots(9)), false), (Some(Slots(3)), false), (None, true)] {
        rig.upstream.apply_health(HealthReport { slots, overloaded }, rig.now);
        let allowance = rig.upstream.report(rig.now).allowance;
        rig.line(&format!("{slots:?} {overloaded}: {:?}", allowance.in_flight));
    }
    assert_snapshot!(rig.table);
}
