//! Hosts that lose their links to all leaves, while callers, the store and the other hosts reach them.

use {
    crate::support::{Fixture, get_status, path_status, request_status},
    socket2::{Domain, Socket, Type},
    std::{
        net::{SocketAddr, TcpListener, TcpStream},
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::{
        caller::resolve,
        leaf::{Leaf, LeafFault},
    },
    wigeonramp_soak::proxy::{LinkMode, Proxy},
};

/// Time that callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the loss until the host must serve through others; the users allow four seconds.
const NOTICE_TIME: Duration = Duration::from_millis(1_500);
/// Time for which requests are sent afterwards.
const CHECK_TIME: Duration = Duration::from_secs(2);
/// Longest time to a refusal that needs no leaf.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Time that a request takes that is at work when links are lost.
const WORK_TIME: Duration = Duration::from_millis(300);

/// How links are lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// Open connections end, and new ones are refused.
    Reset,
    /// Open connections stay, and new ones are refused.
    Refused,
    /// Open connections carry nothing, and new ones are not accepted.
    Hangs,
}

/// The link of one host to one leaf.
struct Link {
    proxy: Proxy,
    target: SocketAddr,
    /// Listener and connection that leave no room for further connections.
    full: Option<(TcpListener, Vec<TcpStream>)>,
}

impl Link {
    fn lose(&mut self, loss: Loss) {
        match loss {
            Loss::Reset => self.proxy.stop(),
            Loss::Refused => self.proxy.stop_listening(),
            Loss::Hangs => {
                self.proxy.set_mode(LinkMode::Silent);
                self.proxy.stop_listening();
                self.full = Some(full_listener(self.proxy.address));
            }
        }
    }

    fn restore(&mut self) {
        self.full = None;
        self.proxy.reset_connections();
        self.proxy = retry(|| Proxy::start_at(self.proxy.address, self.target));
    }
}

/// Returns what `start` returns once the address is free.
fn retry<T>(start: impl Fn() -> std::io::Result<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match start() {
            Ok(started) => return started,
            Err(err) => assert!(Instant::now() < deadline, "the address must become free: {err}"),
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns a listener with as many connections as wait to be accepted at most.
fn full_listener(address: SocketAddr) -> (TcpListener, Vec<TcpStream>) {
    let listener = retry(|| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(0)?;
        Ok(TcpListener::from(socket))
    });
    let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
    let waiting = (0..3).filter_map(connect).collect();
    (listener, waiting)
}

/// Two hosts in two zones, each with links of its own to two leaves.
struct LinkedFleet {
    fixture: Fixture,
    leaves: Vec<Leaf>,
    /// Links by host.
    links: Vec<Vec<Link>>,
}

impl LinkedFleet {
    fn start(hosts: u8) -> Self {
        let fixture = Fixture::start_in_two_zones(hosts);
        let deadline = Instant::now() + Duration::from_secs(10);
        while !fixture.doors.iter().all(|door| door.is_watched()) {
            assert!(Instant::now() < deadline, "each host must watch the store");
            thread::sleep(Duration::from_millis(10));
        }
        let mut links: Vec<Vec<Link>> = (0..hosts).map(|_| Vec::new()).collect();
        let leaves: Vec<Leaf> = ["a", "b"]
            .map(|zone| fixture.add_unregistered_leaf(zone, "one", Duration::from_millis(2)))
            .into();
        for leaf in &leaves {
            for (host, door) in fixture.doors.iter().enumerate() {
                let target = leaf.address();
                let proxy = Proxy::start(&target.ip().to_string(), target).expect("a proxy");
                door.replace_text(&format!("\"{target}\""), &format!("\"{}\"", proxy.address));
                links[host].push(Link { proxy, target, full: None });
            }
            leaf.register("ready");
        }
        let fleet = Self { fixture, leaves, links };
        fleet.wait_until_leaves_are_known();
        fleet.fixture.wait_until_serving();
        fleet
    }

    fn wait_until_leaves_are_known(&self) {
        let deadline = Instant::now() + Duration::from_secs(10);
        let count = self.leaves.len() as f64;
        for host in 0..self.links.len() {
            while self.fixture.metric(host, "wigeonramp_leaves") != Some(count) {
                assert!(Instant::now() < deadline, "each host must know both leaves");
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn lose_links(&mut self, host: usize, loss: Loss) {
        self.links[host].iter_mut().for_each(|link| link.lose(loss));
    }

    fn restore_links(&mut self, host: usize) {
        self.links[host].iter_mut().for_each(Link::restore);
    }

    /// Sends requests with `method` to a host for `time`; returns their statuses.
    fn send_for(&self, host: usize, method: &str, time: Duration) -> Vec<u16> {
        let address = self.fixture.caller_addresses()[host];
        let end = Instant::now() + time;
        let mut statuses = Vec::new();
        while Instant::now() < end {
            let id = format!("{method}-{host}-{:?}", end - Instant::now());
            statuses.push(request_status(address, method, &id, TIMEOUT));
            thread::sleep(Duration::from_millis(25));
        }
        statuses
    }

    /// Waits until the directory of a host names as many hosts as `count`.
    fn wait_until_named(&self, host: usize, count: usize) {
        let deadline = Instant::now() + Duration::from_secs(8);
        while self.named(host) != count {
            assert!(Instant::now() < deadline, "{count} hosts must be named");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the number of hosts that the directory of a host names.
    fn named(&self, host: usize) -> usize {
        let address = self.fixture.directory_addresses()[host];
        resolve(address, "a").expect("an answer").len()
    }
}

/// Guards against callers of a host without links that are served far worse than those of the others, in each
/// way in which links are lost, and against a host that does not come back.
#[test]
fn callers_of_a_host_without_links_to_leaves_are_served_through_another() {
    for loss in [Loss::Reset, Loss::Refused, Loss::Hangs] {
        let mut fleet = LinkedFleet::start(2);
        fleet.wait_until_named(1, 2);
        fleet.lose_links(0, loss);
        fleet.send_for(0, "GET", NOTICE_TIME);
        for method in ["GET", "POST"] {
            let statuses = fleet.send_for(0, method, CHECK_TIME);
            assert!(statuses.iter().all(|status| *status == 200), "{loss:?}: {statuses:?}");
        }
        // Connections that stay are enough for these callers.
        if loss != Loss::Refused {
            assert_eq!([fleet.named(0), fleet.named(1)], [1, 1], "{loss:?}: the other host alone");
        }
        fleet.restore_links(0);
        fleet.wait_until_named(1, 2);
        let statuses = fleet.send_for(0, "GET", CHECK_TIME);
        assert!(statuses.iter().all(|status| *status == 200), "{loss:?}, back: {statuses:?}");
    }
}

/// Guards against requests that hang, or are said to have run, at a host that no other can help.
#[test]
fn a_host_without_links_and_without_others_refuses_at_once() {
    let mut fleet = LinkedFleet::start(1);
    fleet.lose_links(0, Loss::Hangs);
    fleet.send_for(0, "GET", NOTICE_TIME);
    let address = fleet.fixture.caller_address();
    for n in 0..20 {
        let sent = Instant::now();
        assert_eq!(request_status(address, "POST", &format!("refused-{n}"), TIMEOUT), 503);
        assert!(sent.elapsed() < REFUSAL_TIME, "{:?}", sent.elapsed());
    }
    assert_eq!(fleet.named(0), 1, "it is still the only host");
    fleet.restore_links(0);
    thread::sleep(Duration::from_secs(1));
    assert_eq!(get_status(address, "/read/", "after", TIMEOUT), 200);
    assert_eq!(fleet.fixture.runs_of("refused-0"), 0);
}

/// Sends a request that is the same as all others but for its id; returns its status.
fn same_status(address: SocketAddr, id: &str) -> u16 {
    path_status(address, "GET", "/read/same", id, TIMEOUT)
}

/// Guards against a sound request that all hosts refuse as one that crashes leaves, because one host lost its
/// links while it ran.
#[test]
fn a_request_at_work_when_links_are_lost_is_not_refused_by_other_hosts() {
    let mut fleet = LinkedFleet::start(2);
    fleet.leaves.iter().for_each(|leaf| leaf.set_fault(LeafFault::Slow(WORK_TIME)));
    let [lost, other] = fleet.fixture.caller_addresses()[..] else { panic!("two hosts") };
    let callers: Vec<_> =
        (0..8).map(|n| thread::spawn(move || same_status(lost, &format!("at-work-{n}")))).collect();
    thread::sleep(WORK_TIME / 2);
    fleet.lose_links(0, Loss::Reset);
    for caller in callers {
        caller.join().expect("a caller");
    }
    fleet.leaves.iter().for_each(|leaf| leaf.set_fault(LeafFault::None));
    // Longer than hosts need to tell each other which requests they refuse.
    thread::sleep(TIMEOUT);
    assert_eq!(same_status(other, "elsewhere"), 200);
    fleet.restore_links(0);
    fleet.wait_until_named(1, 2);
    assert_eq!(same_status(lost, "back"), 200);
}

/// Guards against "not run" for a request that another host had got before it ended.
#[test]
fn a_request_that_is_lost_with_the_other_host_is_not_said_not_to_have_run() {
    let mut fleet = LinkedFleet::start(2);
    fleet.lose_links(0, Loss::Reset);
    fleet.send_for(0, "GET", NOTICE_TIME);
    fleet.leaves.iter().for_each(|leaf| leaf.set_fault(LeafFault::Slow(WORK_TIME * 3)));
    let address = fleet.fixture.caller_addresses()[0];
    let callers = ["GET", "POST"].map(|method| {
        thread::spawn(move || request_status(address, method, &format!("lost-{method}"), TIMEOUT))
    });
    thread::sleep(WORK_TIME);
    fleet.fixture.kill(1);
    assert_eq!(callers.map(|caller| caller.join().expect("a caller")), [502, 502]);
    assert!(fleet.fixture.runs_of("lost-GET") > 0);
    assert_eq!(fleet.fixture.runs_of("lost-POST"), 1);
}
