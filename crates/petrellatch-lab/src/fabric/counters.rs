//! What the fabric counts.

use serde::{Deserialize, Serialize};

/// Counters since the start, as `GET /counters` answers them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FabricCounters {
    /// Packets sent to balancers.
    pub packets_to_balancers: u64,
    /// Packets passed back to callers.
    pub packets_to_callers: u64,
    /// Packets lost on purpose.
    pub packets_lost: u64,
    /// Packets dropped because no balancer was live.
    pub dropped_no_balancer: u64,
    /// Packets dropped because a socket's buffer was full.
    pub dropped_congested: u64,
    /// Datagrams that held no IPv4 TCP packet.
    pub dropped_malformed: u64,
    /// Packets to callers that are not known, or not any more.
    pub dropped_unknown_caller: u64,
    /// Client connections accepted by the edge.
    pub edge_accepted: u64,
    /// Edge connections that are open.
    pub edge_open: u64,
    /// Edge connections whose flow was closed in order.
    pub edge_finished: u64,
    /// Edge connections whose SYN was answered by RST.
    pub edge_refused: u64,
    /// Edge connections whose flow was reset by the peer.
    pub edge_reset: u64,
    /// Edge connections whose peer fell silent.
    pub edge_timed_out: u64,
    /// Edge connections that the client gave up.
    pub edge_aborted: u64,
}
