//! The datagram that carries one caller packet between balancers and agents.

/// Reason why a packet is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ForwardKind {
    /// To the agent that owns the bucket according to the sender's table.
    Placed = 0,
    /// To the agent that serves the flow, by a redirect of the bucket's owner.
    Redirected = 1,
    /// A hunt: a new flow that the bucket's owner forwards to another agent,
    /// with a less loaded back end, which may admit it instead.
    Hunted = 2,
    /// Back to the bucket's owner, because the sender doesn't serve the flow.
    NotHere = 3,
}

/// One caller packet on its way to the agent that serves its flow.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DataDatagram {
    /// The service according to the sender's table.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The bucket of the flow.
    #[prost(uint32, tag = "2")]
    pub bucket: u32,
    /// The service's placement generation that the sender used.
    #[prost(uint64, tag = "3")]
    pub generation: u64,
    /// The destination back end.
    #[prost(uint64, tag = "4")]
    pub backend: u64,
    /// Incarnation of the destination agent. An agent of another incarnation
    /// drops the packet and counts it.
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
    /// Number of agents that have forwarded the packet so far.
    #[prost(uint32, tag = "6")]
    pub hops: u32,
    /// Reason why the packet was forwarded.
    #[prost(enumeration = "ForwardKind", tag = "7")]
    pub kind: i32,
    /// The sending node.
    #[prost(fixed64, tag = "8")]
    pub sender: u64,
    /// The IPv4 packet.
    #[prost(bytes = "vec", tag = "9")]
    pub packet: Vec<u8>,
}
