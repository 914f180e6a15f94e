//! Calls to peers from control threads, several at the same time.

use {
    crate::peer::client::Peers,
    std::{future::Future, net::SocketAddr, time::Duration},
    tokio::{task::JoinSet, time},
    tonic::{Response, Status, transport::Channel},
    wigeonramp_proto::peer::peer_client::PeerClient,
};

/// Longest wait for the answer of a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// A call to one peer.
pub struct PeerCall<Q> {
    /// The peer.
    pub address: SocketAddr,
    /// What is asked.
    pub request: Q,
}

/// Sends all `calls` at the same time and hands over each answer as it arrives.
///
/// Blocks until all are answered or timed out; never called on the runtime's threads.
pub fn call_all<Q, A, F>(
    peers: &Peers,
    calls: Vec<PeerCall<Q>>,
    send: fn(PeerClient<Channel>, Q) -> F,
    mut answered: impl FnMut(usize, Result<A, Status>),
) where
    Q: Send + 'static,
    A: Send + 'static,
    F: Future<Output = Result<Response<A>, Status>> + Send + 'static,
{
    let runtime = peers.runtime();
    let mut running = JoinSet::new();
    for (i, PeerCall { address, request }) in calls.into_iter().enumerate() {
        let client = peers.client(address);
        let call = async move {
            let answer = time::timeout(PEER_TIMEOUT, send(client, request)).await;
            let timed_out = |_| Status::deadline_exceeded("no answer in time");
            (i, answer.map_err(timed_out).and_then(|answer| answer).map(Response::into_inner))
        };
        running.spawn_on(call, runtime);
    }
    while let Some(joined) = runtime.block_on(running.join_next()) {
        match joined {
            Ok((i, answer)) => answered(i, answer),
            Err(err) => log::error!("call to a peer ended: {err}"),
        }
    }
}
