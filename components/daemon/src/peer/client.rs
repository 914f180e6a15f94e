//! Calls to other hosts.
//!
//! One HTTP/2 connection to each peer. Keep-alive pings give up a connection to a host that has
//! gone silent; the deadline of the query bounds every stream in addition.

use {
    crate::{clock, reply::AttemptReply},
    crossbeam::channel::Sender,
    parking_lot::Mutex,
    std::{collections::HashMap, error::Error as StdError, net::SocketAddr, time::Duration},
    tokio::{runtime::Handle, time},
    tonic::{
        Status,
        transport::{Channel, Endpoint},
    },
    wigeonramp_proto::peer::{
        CancelAttemptsRequest, LeafReply, RunLeavesRequest, peer_client::PeerClient,
    },
    wigeonramp_units::{AttemptId, Instant, Span},
};

/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between pings on a connection.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a ping; a silent peer is given up after both together.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without calls after which a connection is given up. Pings keep running on idle connections,
/// and heartbeats to random peers would in time connect each host with all others: 22 connections
/// at rest cost 2.8 KB/s, so 1,138 of them with 570 hosts would cost 140 KB/s.
const IDLE_TIME: Span = Span::secs(5);
/// How much longer than the query's deadline a holder may take to report that it passed.
const REPORT_GRACE: Duration = Duration::from_millis(50);
/// Longest message in bytes; an answer of a leaf is at most 8 MiB.
const MAX_MESSAGE: usize = 9 * 1024 * 1024;

/// News about attempts of one query.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// A holder reported on one attempt.
    Reply(Box<AttemptReply>),
    /// No report on these attempts will come.
    Lost(LostAttempts),
}

/// Attempts whose holder was not reached or fell silent.
#[derive(Clone, Debug)]
pub struct LostAttempts {
    /// The attempts.
    pub attempts: Vec<AttemptId>,
    /// Whether the holder may have got the request.
    pub maybe_sent: bool,
    /// What went wrong.
    pub reason: String,
}

/// Connections to all peers.
#[derive(Debug)]
pub struct Peers {
    channels: Mutex<HashMap<SocketAddr, Used>>,
    runtime: Handle,
}

#[derive(Debug)]
struct Used {
    at: Instant,
    channel: Channel,
}

impl Peers {
    /// Calls run on `runtime`.
    pub fn new(runtime: Handle) -> Self {
        Self { channels: Mutex::new(HashMap::new()), runtime }
    }

    /// A client for the host at `address`; connects with the first call.
    pub fn client(&self, address: SocketAddr) -> PeerClient<Channel> {
        let channel = {
            let mut channels = self.channels.lock();
            let now = clock::now();
            let open = || Used { at: now, channel: self.open(address) };
            let used = channels.entry(address).or_insert_with(open);
            used.at = now;
            used.channel.clone()
        };
        PeerClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE)
            .max_encoding_message_size(MAX_MESSAGE)
    }

    /// Forgets idle connections, and those to hosts that `keep` does not name. Calls that run on
    /// them are not cut off.
    pub fn retain(&self, now: Instant, keep: impl Fn(SocketAddr) -> bool) {
        let is_used = |used: &Used| now.since(used.at) < IDLE_TIME;
        self.channels.lock().retain(|address, used| is_used(used) && keep(*address));
    }

    /// Connections that are kept for further calls.
    pub fn len(&self) -> usize {
        self.channels.lock().len()
    }

    /// Whether no connection is kept.
    pub fn is_empty(&self) -> bool {
        self.channels.lock().is_empty()
    }

    /// The runtime that the calls run on.
    pub fn runtime(&self) -> &Handle {
        &self.runtime
    }

    fn open(&self, address: SocketAddr) -> Channel {
        // `connect_lazy` spawns a task, so it needs the runtime's context.
        let _guard = self.runtime.enter();
        Endpoint::from_shared(format!("http://{address}"))
            .expect("a socket address is a valid authority")
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true)
            .connect_lazy()
    }

    /// Sends `request` to the holder at `address`; each of its attempts leads to one event.
    pub fn run_leaves(
        &self,
        address: SocketAddr,
        request: RunLeavesRequest,
        deadline: Instant,
        events: Sender<AttemptEvent>,
    ) {
        let client = self.client(address);
        let mut open: Vec<AttemptId> =
            request.work.iter().map(|work| AttemptId(work.attempt)).collect();
        self.runtime.spawn(async move {
            let limit = clock::until(deadline).to_duration() + REPORT_GRACE;
            let run = stream_replies(client, request, &mut open, &events);
            let end = time::timeout(limit, run).await;
            if open.is_empty() {
                return;
            }
            let lost = match end {
                Ok(Err(status)) => LostAttempts {
                    attempts: open,
                    maybe_sent: !never_connected(&status),
                    reason: format!("holder {address}: {}", status.message()),
                },
                Ok(Ok(())) => LostAttempts {
                    attempts: open,
                    maybe_sent: true,
                    reason: format!("holder {address} ended its replies early"),
                },
                Err(_) => LostAttempts {
                    attempts: open,
                    maybe_sent: true,
                    reason: format!("holder {address} did not reply in time"),
                },
            };
            // The query may have finished without these attempts.
            let _ = events.send(AttemptEvent::Lost(lost));
        });
    }

    /// Tells the holder at `address` that the attempts are no longer needed.
    pub fn cancel(&self, address: SocketAddr, request: CancelAttemptsRequest) {
        let mut client = self.client(address);
        self.runtime.spawn(async move {
            let call = time::timeout(CONNECT_TIMEOUT, client.cancel_attempts(request)).await;
            if let Ok(Err(status)) = call {
                log::debug!("cancel at {address}: {}", status.message());
            }
        });
    }
}

async fn stream_replies(
    mut client: PeerClient<Channel>,
    request: RunLeavesRequest,
    open: &mut Vec<AttemptId>,
    events: &Sender<AttemptEvent>,
) -> Result<(), Status> {
    let mut replies = client.run_leaves(request).await?.into_inner();
    while let Some(message) = replies.message().await? {
        forward(message, open, events);
        if open.is_empty() {
            break;
        }
    }
    Ok(())
}

fn forward(message: LeafReply, open: &mut Vec<AttemptId>, events: &Sender<AttemptEvent>) {
    let attempt = AttemptId(message.attempt);
    let Some(position) = open.iter().position(|id| *id == attempt) else {
        log::warn!("reply to attempt {attempt}, which this stream does not carry");
        return;
    };
    match AttemptReply::try_from(message) {
        Ok(reply) => {
            open.swap_remove(position);
            let _ = events.send(AttemptEvent::Reply(Box::new(reply)));
        }
        Err(err) => log::warn!("reply to attempt {attempt} dropped: {err}"),
    }
}

/// Whether the call failed because no connection to the peer could be opened.
fn never_connected(status: &Status) -> bool {
    let mut cause: Option<&(dyn StdError + 'static)> = status.source();
    while let Some(err) = cause {
        if err.is::<tonic::ConnectError>() {
            return true;
        }
        cause = err.source();
    }
    false
}
