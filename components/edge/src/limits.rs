//! Request limits of leaves: hearing them from responses, and logging them.

use {
    crate::node::Node,
    serde_json::{Value, json},
    wigeonramp_platform::http::ResponseHead,
    wigeonramp_routing::{
        leaves::LeafKey,
        limits::statement::{LimitChange, NamedLimit},
    },
    wigeonramp_units::{Instant, LeafId, Span},
};

/// Interval of the log line with the requests sent to limited leaves.
const USAGE_INTERVAL: Span = Span::secs(1);
/// Maximum number of leaves in that line.
const MAX_LOGGED: usize = 12;

impl Node {
    /// Records the limit that a leaf named in a response to a request sent at `asked`.
    pub(crate) fn hear_limit(&mut self, leaf: LeafKey, head: &ResponseHead, asked: Instant) {
        // A failing leaf may leave out the limit that it names otherwise.
        let is_success = head.status < 300 && head.stamp.is_some();
        if head.limit == NamedLimit::None && !is_success {
            return;
        }
        let Some(change) = self.routing.limits.on_response(leaf, head.limit, asked, self.now)
        else {
            return;
        };
        let (state, limit, before) = match change {
            LimitChange::Named(rate) => ("named", Some(rate), None),
            LimitChange::Changed { before, now } => ("changed", Some(now), Some(before)),
            LimitChange::Ended(before) => ("ended", None, Some(before)),
        };
        let fields = json!({
            "leaf": self.leaf_id(leaf), "state": state, "limit": limit, "before": before,
            "asked_us_ago": self.now.since(asked).0,
        });
        self.journal.record("leaf_limit", fields, self.now);
    }

    fn leaf_id(&self, leaf: LeafKey) -> Option<&LeafId> {
        self.routing.leaves.get(leaf).map(|leaf| &leaf.registration.id)
    }

    /// Logs and counts the requests that were sent to limited leaves.
    pub(crate) fn report_limited_sends(&mut self) {
        if self.now < self.next_limit_usage {
            return;
        }
        self.next_limit_usage = self.now + USAGE_INTERVAL;
        let used = self.routing.limits.take_sends();
        if used.is_empty() {
            return;
        }
        let (first, extra) = used
            .iter()
            .fold((0, 0), |(first, extra), (_, _, n)| (first + n.first, extra + n.extra));
        self.metrics.count_limited_sends(first, extra);
        let leaves: Vec<Value> = used
            .iter()
            .take(MAX_LOGGED)
            .map(|(leaf, rate, sends)| {
                json!({
                    "leaf": self.leaf_id(*leaf), "limit": rate, "first": sends.first,
                    "extra": sends.extra,
                })
            })
            .collect();
        let fields = json!({
            "limited": self.routing.limits.len(), "first": first, "extra": extra,
            "leaves": leaves,
        });
        self.journal.record("limited_sends", fields, self.now);
    }
}
