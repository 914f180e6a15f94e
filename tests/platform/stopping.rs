//! Planned stops of hosts under load.

use {
    crate::support::Fixture,
    rustix::process::Signal,
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::caller::{Caller, CallerRequest, resolve},
};

/// Grace period in the hosts' settings.
const GRACE: Duration = Duration::from_secs(3);
/// Interval of requests after the stop signal.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time that callers wait for a response, longer than the route allows.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Work of a request that takes nearly as long as its route allows.
const LONG_WORK: Duration = Duration::from_millis(1_350);
/// Time for which callers keep an address.
const ADDRESS_TIME: Duration = Duration::from_secs(2);

/// How a request ended for its caller; its id tells whether its connection was kept.
#[derive(Clone, Debug)]
struct Ended {
    id: String,
    method: &'static str,
    sent_after: Duration,
    /// Status; none if the connection failed without a response.
    status: Option<u16>,
}

fn send(caller: &mut Caller, method: &str, id: &str) -> Option<u16> {
    let path = if method == "POST" { format!("/write/{id}") } else { format!("/read/{id}") };
    let req = CallerRequest { method, host: "h.example", path: &path, id, wait: TIMEOUT };
    caller.send(&req).ok().map(|response| response.status)
}

/// Sends a request at each interval after a stop signal, of each kind, on a new connection and on one that
/// was kept. A second signal to stop and one to reload come meanwhile.
fn stop_under_load(work: Duration) -> (Fixture, Vec<Ended>) {
    let mut fixture = Fixture::start_fleet(2);
    fixture.add_leaf("one", work);
    fixture.wait_until_serving();
    let host = fixture.caller_address();
    let steps = (GRACE.as_millis() / INTERVAL.as_millis()) as u32;
    let connect = |_| Caller::connect(host).expect("a connection");
    let mut kept: Vec<Caller> = (0..2 * steps).map(connect).collect();
    fixture.stop();
    let stopped_at = Instant::now();
    let mut threads = Vec::new();
    for step in 0..steps {
        match step {
            5 => fixture.stop(),
            7 => fixture.signal(Signal::HUP),
            _ => {}
        }
        for method in ["GET", "POST"] {
            let mut caller = kept.pop().expect("a connection");
            let request = move |is_kept: bool, caller: Option<&mut Caller>| {
                let id = format!("stop-{step}-{method}-{is_kept}");
                let sent_after = stopped_at.elapsed();
                let status = caller.and_then(|caller| send(caller, method, &id));
                Ended { id, method, sent_after, status }
            };
            threads.push(thread::spawn(move || request(true, Some(&mut caller))));
            threads
                .push(thread::spawn(move || request(false, Caller::connect(host).ok().as_mut())));
        }
        thread::sleep(
            (stopped_at + INTERVAL * (step + 1)).saturating_duration_since(Instant::now()),
        );
    }
    let ended = threads.into_iter().map(|thread| thread.join().expect("a caller")).collect();
    (fixture, ended)
}

/// Returns what is wrong with the end of a request at a host that stops, if anything.
fn fault(fixture: &Fixture, ended: &Ended) -> Option<String> {
    let runs = fixture.runs_of(&ended.id);
    let is_right = match ended.status {
        Some(200) => runs == 1,
        Some(503) => runs == 0,
        Some(_) => false,
        // The connection was closed before the request was read.
        None => runs == 0 && ended.sent_after >= GRACE / 4,
    };
    (!is_right).then(|| format!("{ended:?} ran {runs} times"))
}

/// Guards against requests that are taken late in the grace period and cut off or given up at its end, and
/// against a refusal of one that has run.
#[test]
fn a_stopping_host_answers_what_it_takes_and_refuses_the_rest() {
    for work in [Duration::from_millis(5), LONG_WORK] {
        let (mut fixture, ended) = stop_under_load(work);
        let faults: Vec<String> = ended.iter().filter_map(|e| fault(&fixture, e)).collect();
        assert!(faults.is_empty(), "work of {work:?}: {faults:#?}");
        let served = ended.iter().filter(|e| e.status == Some(200)).count();
        assert!(served >= 12, "work of {work:?}: {served} served");
        assert!(fixture.has_ended(), "the host ends within its grace period");
    }
}

/// Guards against requests that are lost while all hosts are stopped in turn and started again.
#[test]
fn stops_of_all_hosts_in_turn_lose_no_request() {
    let mut fixture = Fixture::start_fleet(4);
    fixture.add_leaf("one", Duration::from_millis(60));
    fixture.wait_until_serving();
    let directories: Vec<SocketAddr> = fixture.directory_addresses();
    let (is_over, number) = (AtomicBool::new(false), AtomicUsize::new(0));
    let run_caller = |thread: usize| {
        let mut ended = Vec::new();
        let mut known: Vec<SocketAddr> = Vec::new();
        let mut resolved_at: Option<Instant> = None;
        let mut kept: Option<Caller> = None;
        while !is_over.load(Ordering::SeqCst) {
            if resolved_at.is_none_or(|at| at.elapsed() >= ADDRESS_TIME) {
                let mut found = directories.iter().filter_map(|at| resolve(*at, "a").ok());
                known = found.find(|hosts| !hosts.is_empty()).unwrap_or(known);
                resolved_at = Some(Instant::now());
            }
            let n = number.fetch_add(1, Ordering::SeqCst);
            let connect = || Caller::connect(*known.get(n % known.len().max(1))?).ok();
            let Some(mut caller) = kept.take().or_else(connect) else { continue };
            let method = if n.is_multiple_of(2) { "POST" } else { "GET" };
            let id = format!("roll-{n}");
            let status = send(&mut caller, method, &id);
            // Half of the callers keep their connections.
            kept = Some(caller).filter(|_| status == Some(200) && thread.is_multiple_of(2));
            ended.push(Ended { id, method, sent_after: Duration::ZERO, status });
            thread::sleep(Duration::from_millis(15));
        }
        ended
    };
    let ended: Vec<Ended> = thread::scope(|scope| {
        let run_caller = &run_caller;
        let callers: Vec<_> =
            (0..6).map(|thread| scope.spawn(move || run_caller(thread))).collect();
        for host in 0..4 {
            fixture.stop_and_start(host);
        }
        is_over.store(true, Ordering::SeqCst);
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    });
    let is_lost = |e: &&Ended| {
        let runs = fixture.runs_of(&e.id);
        match e.status {
            Some(200) => runs == 0 || (e.method == "POST" && runs > 1),
            Some(503) => runs > 0,
            Some(_) => true,
            None => runs > 0,
        }
    };
    let lost: Vec<&Ended> = ended.iter().filter(is_lost).collect();
    assert!(lost.is_empty(), "{lost:#?}");
    let served = ended.iter().filter(|e| e.status == Some(200)).count();
    assert!(served * 10 >= ended.len() * 9, "{served} of {}", ended.len());
}
