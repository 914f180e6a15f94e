//! Calls to other hosts.
//!
//! There is one HTTP/2 connection to each peer. Keep-alive pings detect a peer that no longer
//! answers, and its connection is then closed. In addition, the deadline of the query limits every
//! stream of replies.

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

/// Time limit for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between keep-alive pings on a connection.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for the answer to a ping. The connection to a silent peer is closed after at most the
/// ping interval and this timeout.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without calls after which a connection is dropped.
///
/// Pings continue on idle connections, and heartbeats to random peers would eventually connect each
/// host to all others. 22 idle connections cost 2.8 KB/s, so the 1,138 connections of a host in a
/// cluster of 570 hosts would cost 140 KB/s.
const IDLE_TIMEOUT: Span = Span::secs(5);
/// Time after the query's deadline within which a holder may report that the deadline has passed.
const REPORT_GRACE: Duration = Duration::from_millis(50);
/// Maximum length of a message in bytes; a response of a leaf has at most 8 MiB.
const MAX_MESSAGE: usize = 9 * 1024 * 1024;

/// An event concerning attempts of one query.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// A holder replied to one attempt.
    Reply(Box<AttemptReply>),
    /// No reply to these attempts will arrive.
    Lost(LostAttempts),
}

/// Attempts whose holder could not be reached or did not reply.
#[derive(Clone, Debug)]
pub struct LostAttempts {
    /// The attempts.
    pub attempts: Vec<AttemptId>,
    /// Whether the holder may have received the request.
    pub maybe_sent: bool,
    /// Description of the failure.
    pub reason: String,
}

/// Connections to other hosts.
#[derive(Debug)]
pub struct Peers {
    channels: Mutex<HashMap<SocketAddr, PeerChannel>>,
    runtime: Handle,
}

#[derive(Debug)]
struct PeerChannel {
    channel: Channel,
    last_used: Instant,
}

impl Peers {
    /// Creates an empty set of connections whose calls run on `runtime`.
    pub fn new(runtime: Handle) -> Self {
        Self { channels: Mutex::new(HashMap::new()), runtime }
    }

    /// Returns a client for the host at `address`, which connects with its first call.
    pub fn client(&self, address: SocketAddr) -> PeerClient<Channel> {
        let channel = {
            let mut channels = self.channels.lock();
            let now = clock::now();
            let open = || PeerChannel { channel: self.open(address), last_used: now };
            let peer = channels.entry(address).or_insert_with(open);
            peer.last_used = now;
            peer.channel.clone()
        };
        PeerClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE)
            .max_encoding_message_size(MAX_MESSAGE)
    }

    /// Drops connections that are idle at `now` or whose address `keep` rejects. Running calls on
    /// them are not cut off.
    pub fn retain(&self, now: Instant, keep: impl Fn(SocketAddr) -> bool) {
        let is_used = |peer: &PeerChannel| now.since(peer.last_used) < IDLE_TIMEOUT;
        self.channels.lock().retain(|address, peer| is_used(peer) && keep(*address));
    }

    /// Returns the number of connections kept for further calls.
    pub fn len(&self) -> usize {
        self.channels.lock().len()
    }

    /// Returns whether no connection is kept for further calls.
    pub fn is_empty(&self) -> bool {
        self.channels.lock().is_empty()
    }

    /// Returns the runtime that the calls run on.
    pub fn runtime(&self) -> &Handle {
        &self.runtime
    }

    fn open(&self, address: SocketAddr) -> Channel {
        // `connect_lazy` spawns a task, so it must run in the context of the runtime.
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

    /// Sends `request` to the holder at `address`. Each of its attempts is covered by one event:
    /// the holder's reply or the loss of the attempt.
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
            let timeout = clock::until(deadline).to_duration() + REPORT_GRACE;
            let replies = stream_replies(client, request, &mut open, &events);
            let end = time::timeout(timeout, replies).await;
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
            // Sending fails if the query has already finished without these attempts.
            let _ = events.send(AttemptEvent::Lost(lost));
        });
    }

    /// Asks the holder at `address` to cancel attempts that are no longer needed.
    pub fn cancel(&self, address: SocketAddr, request: CancelAttemptsRequest) {
        let mut client = self.client(address);
        self.runtime.spawn(async move {
            let call = time::timeout(CONNECT_TIMEOUT, client.cancel_attempts(request)).await;
            if let Ok(Err(status)) = call {
                log::debug!("cannot cancel attempts at {address}: {}", status.message());
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
        log::warn!("reply to attempt {attempt} dropped: not an open attempt of this call");
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

/// Returns whether the call failed because no connection to the peer could be opened.
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
