//! One attempt in a holder's queue.

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

/// Where the reply to an attempt goes.
#[derive(Clone, Debug)]
pub enum ReplySink {
    /// A query of this host.
    Local(Sender<AttemptEvent>),
    /// The stream to another host.
    Remote(UnboundedSender<LeafReply>),
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct LeafJob {
    /// Whether it must run with no other request at the leaf.
    pub alone: bool,
    /// What the leaf is asked.
    pub call: LeafCall,
    /// Epoch that the entry host believes the leaf to be held in.
    pub epoch: Epoch,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Whether it repeats a slow attempt.
    pub hedge: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Priority of the caller.
    pub priority: Priority,
    /// Where the reply goes.
    pub sink: ReplySink,
    /// When it was queued.
    pub queued_at: Instant,
}

impl LeafJob {
    /// Reports how the attempt ended; `at_leaf` is zero if it was not sent.
    pub fn reply(self, outcome: ReplyOutcome, at_leaf: Span, report: Option<LeafReport>) {
        let waited = clock::now().since(self.queued_at);
        let call = self.call;
        let reply = AttemptReply {
            attempt: call.attempt,
            at_leaf,
            in_queue: waited - at_leaf,
            leaf: call.leaf,
            map_version: call.map_version,
            member: call.member,
            outcome,
            report,
            request: call.request,
            shard: call.shard,
            snapshot: call.snapshot,
        };
        // Either receiver is gone when the query finished without this attempt.
        match self.sink {
            ReplySink::Local(events) => drop(events.send(AttemptEvent::Reply(Box::new(reply)))),
            ReplySink::Remote(stream) => drop(stream.send(reply.into())),
        }
    }

    /// Reports that no byte was sent.
    pub fn refuse(self, refusal: Refusal) {
        self.reply(ReplyOutcome::NotSent(refusal), Span::ZERO, None);
    }
}
