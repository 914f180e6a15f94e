//! Concurrent calls to peers from control threads.

use {
    crate::peer::client::Peers,
    std::{future::Future, net::SocketAddr, time::Duration},
    tokio::{task::JoinSet, time},
    tonic::{Response, Status, transport::Channel},
    wigeonramp_proto::peer::peer_client::PeerClient,
};

/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// A call to one peer.
pub struct PeerCall<Q> {
    /// Address of the peer.
    pub address: SocketAddr,
    /// The request.
    pub request: Q,
}

/// Sends all `calls` concurrently and passes each result to `on_result` as it arrives, with the
/// index of the call.
///
/// Blocks until all calls are answered or timed out. Must not be called on a thread of the runtime.
pub fn call_all<Q, A, F>(
    peers: &Peers,
    calls: Vec<PeerCall<Q>>,
    send: fn(PeerClient<Channel>, Q) -> F,
    mut on_result: impl FnMut(usize, Result<A, Status>),
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
            let response = time::timeout(PEER_TIMEOUT, send(client, request)).await;
            let timed_out = |_| Status::deadline_exceeded("no response in time");
            (i, response.map_err(timed_out).and_then(|result| result).map(Response::into_inner))
        };
        running.spawn_on(call, runtime);
    }
    while let Some(joined) = runtime.block_on(running.join_next()) {
        match joined {
            Ok((i, result)) => on_result(i, result),
            Err(err) => log::error!("task of a peer call failed: {err}"),
        }
    }
}
