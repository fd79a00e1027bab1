//! The datagram that carries one caller packet between balancers and agents.

/// Why a packet is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ForwardKind {
    /// To the agent that the sender's table names for the bucket.
    Placed = 0,
    /// To the agent that has the flow.
    Redirected = 1,
    /// A new flow, to a second candidate that may admit it for the sender.
    Hunted = 2,
    /// Back to the admitting agent, since the sender does not have the flow.
    NotHere = 3,
}

/// One caller packet on its way to the agent that serves its flow.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DataDatagram {
    /// The service by the sender's table.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The bucket of the flow.
    #[prost(uint32, tag = "2")]
    pub bucket: u32,
    /// The placement generation of the service that the sender used.
    #[prost(uint64, tag = "3")]
    pub generation: u64,
    /// The back end that is meant.
    #[prost(uint64, tag = "4")]
    pub backend: u64,
    /// The life of the agent that is meant; a packet for another life is
    /// dropped and counted.
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
    /// How many agents have passed it on so far.
    #[prost(uint32, tag = "6")]
    pub hops: u32,
    /// Why it was passed on.
    #[prost(enumeration = "ForwardKind", tag = "7")]
    pub kind: i32,
    /// The sending node.
    #[prost(fixed64, tag = "8")]
    pub sender: u64,
    /// The IPv4 packet.
    #[prost(bytes = "vec", tag = "9")]
    pub packet: Vec<u8>,
}
