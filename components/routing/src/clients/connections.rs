//! The descriptors of a process, split between those who connect to it and those it connects to.

/// Descriptors of a host whose settings do not name them: those of the smallest host.
pub const DEFAULT_FD_LIMIT: usize = 2_870;
/// Descriptors kept for files.
const FILES: usize = 200;
/// Descriptors of the store's connections, the listeners, the event queue and the standard streams.
const FIXED: usize = 20;
/// Percentage for connections to leaves: 600 leaves with two connections on the smallest host.
const LEAVES_PERCENT: usize = 45;
/// Percentage for streams to and from other hosts: all hosts of a zone follow one.
const PEERS_PERCENT: usize = 8;
/// Percentage for each of the ports for readiness, directory and metrics.
const ENDPOINT_PERCENT: usize = 2;
/// Number of these ports.
const ENDPOINTS: usize = 3;
/// Minimum number of connections for each purpose.
const MIN_CONNECTIONS: usize = 4;

/// Maximum numbers of open connections by purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections to each of the ports for readiness, directory and metrics.
    pub endpoint: usize,
    /// Connections to leaves.
    pub leaves: usize,
    /// Streams to and from other hosts.
    pub peers: usize,
}

impl ConnectionLimits {
    /// Splits the descriptors of a host.
    pub fn new(fd_limit: usize) -> Self {
        let usable = fd_limit.saturating_sub(FILES + FIXED);
        let percent = |n: usize| (usable * n / 100).max(MIN_CONNECTIONS);
        let (leaves, peers) = (percent(LEAVES_PERCENT), percent(PEERS_PERCENT));
        let endpoint = percent(ENDPOINT_PERCENT);
        let others = leaves + peers + ENDPOINTS * endpoint;
        Self {
            callers: usable.saturating_sub(others).max(MIN_CONNECTIONS),
            endpoint,
            leaves,
            peers,
        }
    }
}
