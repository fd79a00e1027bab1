//! The reasons for dropping a packet.

use crate::flow::PacketError;

/// Why a balancer or an agent dropped a packet. The caller's TCP retransmits
/// it, so a drop alone doesn't end a flow, unless its packets are malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// The packet can't be parsed.
    Malformed(PacketError),
    /// The daemon's view of the cluster is not up to date: it lacks records that
    /// were already committed when the daemon first contacted the leader after
    /// its start.
    NotCurrent,
    /// No service has the destination address.
    UnknownService,
    /// The datagram names another service than the packet's destination.
    WrongService,
    /// The datagram names a back end that doesn't belong to this agent and
    /// service.
    WrongBackend,
    /// The datagram is addressed to another incarnation of the agent.
    WrongIncarnation,
    /// No back end owns the packet's bucket.
    NoOwner,
    /// The owner's incarnation is not a member any more, or its address is not
    /// known.
    UnknownAgent,
    /// The packet was forwarded the maximum number of times.
    TooManyHops,
    /// The agent may not admit flows, since it has no valid lease.
    NoLease,
    /// The packet repeats a SYN that was just forwarded, whose admission is still
    /// being decided. Forwarding both could give two different results.
    Repeated,
    /// A previous owner of the bucket may still admit flows or own open ones.
    Unsettled,
}
