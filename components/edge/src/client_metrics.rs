//! Metrics of the limits on clients.

use {
    crate::callers::{ClientLimits, LISTENER_NAMES},
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
};

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ReliefLabels {
    limit: &'static str,
    action: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PortLabels {
    port: &'static str,
}

/// Use of the limits on clients, and what was done at them.
#[derive(Debug, Default)]
pub(crate) struct ClientMetrics {
    memory: Gauge,
    memory_limit: Gauge,
    connections: Family<PortLabels, Gauge>,
    connection_limits: Family<PortLabels, Gauge>,
    actions: Family<ReliefLabels, Counter>,
}

impl ClientMetrics {
    pub fn register(&self, registry: &mut Registry) {
        let help = "Bytes held for callers";
        registry.register("client_memory_bytes", help, self.memory.clone());
        let help = "Budget of the bytes held for callers";
        registry.register("client_memory_limit_bytes", help, self.memory_limit.clone());
        let help = "Open connections by port";
        registry.register("client_connections", help, self.connections.clone());
        let help = "Maximum number of open connections by port";
        registry.register("client_connections_limit", help, self.connection_limits.clone());
        let help = "Clients that waited, were refused, timed out or closed at a limit";
        registry.register("client_limit_actions", help, self.actions.clone());
    }

    /// Counts what was done at a limit.
    pub fn count(&self, limit: &'static str, action: &'static str) {
        self.actions.get_or_create(&ReliefLabels { limit, action }).inc();
    }

    /// Sets the gauges; `leaves` and `peers` are the numbers of these connections.
    pub fn set(&self, clients: &ClientLimits, leaves: usize, peers: usize) {
        self.memory.set(clients.memory.used() as i64);
        self.memory_limit.set(clients.memory.limit() as i64);
        let ports = LISTENER_NAMES.iter().enumerate();
        let ports = ports.map(|(index, name)| (*name, clients.open[index], clients.limit(index)));
        let limits = &clients.connections;
        let others = [("leaves", leaves, limits.leaves), ("peers", peers, limits.peers)];
        for (port, open, limit) in ports.chain(others) {
            self.connections.get_or_create(&PortLabels { port }).set(open as i64);
            self.connection_limits.get_or_create(&PortLabels { port }).set(limit as i64);
        }
    }
}
