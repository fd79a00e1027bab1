//! Why a packet was not passed on.

use crate::flow::PacketError;

/// Why a balancer or an agent dropped a packet. The caller's TCP sends it
/// again, so that no reason but the malformed ones loses a flow by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// The packet can't be read.
    Malformed(PacketError),
    /// The daemon has not heard from the leader since it started.
    NotCurrent,
    /// No service has the destination address.
    UnknownService,
    /// The datagram names another service than the packet's destination.
    WrongService,
    /// The datagram names a back end that is not of this agent and service.
    WrongBackend,
    /// The datagram is meant for another life of the agent.
    WrongIncarnation,
    /// No back end receives new flows.
    NoOwner,
    /// The owner is not a member any more, or its address is not known.
    UnknownAgent,
    /// It was passed on too often.
    TooManyHops,
    /// This agent may not admit now: no lease.
    NoLease,
    /// The packet opens a flow that is already being decided about.
    Repeated,
    /// An earlier owner may still admit or hold flows of the bucket.
    Unsettled,
}
