//! The stream of replies to one `RunLeaves` call, on the holder's side.

use {
    crate::{holder::HeldLeaves, view::HolderRights},
    std::{
        collections::HashSet,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::sync::mpsc::UnboundedReceiver,
    tokio_stream::Stream,
    tonic::Status,
    wigeonramp_proto::peer::LeafReply,
    wigeonramp_units::{AttemptId, InstanceId},
};

/// Streams replies in the order in which attempts end. If the stream is dropped because the entry
/// host has gone away, attempts without a reply are cancelled.
pub struct ReplyStream<R: HolderRights> {
    entry: InstanceId,
    held_leaves: Arc<HeldLeaves<R>>,
    incoming: UnboundedReceiver<LeafReply>,
    open: HashSet<AttemptId>,
}

impl<R: HolderRights> ReplyStream<R> {
    /// Creates the stream for the attempts `open` of the entry host `entry`.
    pub fn new(
        entry: InstanceId,
        open: HashSet<AttemptId>,
        held_leaves: Arc<HeldLeaves<R>>,
        incoming: UnboundedReceiver<LeafReply>,
    ) -> Self {
        Self { entry, held_leaves, incoming, open }
    }
}

impl<R: HolderRights> Stream for ReplyStream<R> {
    type Item = Result<LeafReply, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.incoming.poll_recv(cx);
        if let Poll::Ready(Some(reply)) = &next {
            self.open.remove(&AttemptId(reply.attempt));
        }
        next.map(|reply| reply.map(Ok))
    }
}

impl<R: HolderRights> Drop for ReplyStream<R> {
    fn drop(&mut self) {
        for attempt in self.open.drain() {
            self.held_leaves.cancel(&self.entry, attempt);
        }
    }
}
