//! An attempt in the queue of a held leaf.

use {
    crate::{
        clock,
        holder::connection::LeafCall,
        peer::client::AttemptEvent,
        reply::{AttemptReply, ReplyOutcome},
    },
    crossbeam::channel::Sender,
    tokio::sync::mpsc::UnboundedSender,
    wigeonramp_config::Priority,
    wigeonramp_proto::peer::{LeafReply, LeafReport},
    wigeonramp_serving::upstream::Refusal,
    wigeonramp_units::{Epoch, Fingerprint, Instant, Span},
};

/// Destination of the reply to an attempt.
#[derive(Clone, Debug)]
pub enum ReplySink {
    /// A query that this host runs as entry host.
    Local(Sender<AttemptEvent>),
    /// The reply stream to another entry host.
    Remote(UnboundedSender<LeafReply>),
}

/// An attempt to be run at a leaf.
#[derive(Clone, Debug)]
pub struct LeafJob {
    /// Whether no other request may run at the leaf at the same time.
    pub alone: bool,
    /// Request to the leaf.
    pub call: LeafCall,
    /// Ownership epoch of the leaf in the entry host's view.
    pub epoch: Epoch,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Whether the attempt hedges a slow one.
    pub hedge: bool,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// Priority of the caller.
    pub priority: Priority,
    /// Destination of the reply.
    pub sink: ReplySink,
    /// Time at which the attempt was queued.
    pub queued_at: Instant,
}

impl LeafJob {
    /// Sends the outcome to the entry host. `at_leaf` is the time on the leaf's connection, zero if
    /// the attempt was not sent.
    pub fn reply(self, outcome: ReplyOutcome, at_leaf: Span, report: Option<LeafReport>) {
        let total = clock::now().since(self.queued_at);
        let call = self.call;
        let reply = AttemptReply {
            attempt: call.attempt,
            at_leaf,
            in_queue: total - at_leaf,
            leaf: call.leaf,
            map_version: call.map_version,
            member: call.member,
            outcome,
            report,
            request: call.request,
            shard: call.shard,
            snapshot: call.snapshot,
        };
        // The receiver is gone if the query finished without this attempt.
        match self.sink {
            ReplySink::Local(events) => drop(events.send(AttemptEvent::Reply(Box::new(reply)))),
            ReplySink::Remote(stream) => drop(stream.send(reply.into())),
        }
    }

    /// Replies that nothing was sent to the leaf, with the reason.
    pub fn refuse(self, refusal: Refusal) {
        self.reply(ReplyOutcome::NotSent(refusal), Span::ZERO, None);
    }
}
