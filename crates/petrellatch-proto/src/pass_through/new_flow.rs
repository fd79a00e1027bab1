//! Messages about new flows: packets forwarded to agents, and the agents' replies.

use super::FlowMessage;

/// Reason for which a balancer forwards a packet to an agent. The names of the variants are
/// written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ForwardReason {
    /// Not set; the packet is dropped.
    Unspecified = 0,
    /// The SYN of a new flow, offered to an agent that has a free slot.
    Open = 1,
    /// The SYN of a new flow that other agents declined. A full agent may queue it.
    OpenQueued = 2,
    /// A packet of a flow whose owner is the agent's back end.
    Deliver = 3,
    /// A packet of a flow that the agent's back end may own: a speculative delivery.
    Try = 4,
}

/// A caller's packet on its way to an agent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardedPacket {
    /// Digest of the service's name; the agent must serve it.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// A [`ForwardReason`].
    #[prost(enumeration = "ForwardReason", tag = "2")]
    pub reason: i32,
    /// The packet, unchanged.
    #[prost(bytes = "vec", tag = "3")]
    pub packet: Vec<u8>,
    /// With a SYN: latency objective of a request, in milliseconds; zero if unknown.
    #[prost(uint32, tag = "4")]
    pub latency_objective_millis: u32,
    /// With [`ForwardReason::Try`]: other agents to which the receiver relays the packet, so
    /// that the balancer sends it once.
    #[prost(fixed64, repeated, tag = "5")]
    pub relay_to: Vec<u64>,
    /// Address of the balancer if another agent relayed the packet; otherwise zero.
    #[prost(fixed64, tag = "6")]
    pub origin_balancer: u64,
    /// With a SYN: [`super::ServiceRecord::warm_up_millirequests_per_second`] of the service;
    /// zero if unknown.
    #[prost(uint32, tag = "7")]
    pub warm_up_millirequests_per_second: u32,
    /// With a SYN: minimum time since its caller first sent it, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub syn_age_millis: u32,
    /// With a SYN: disables ejection, because too many back ends of the service fail (panic
    /// mode).
    #[prost(bool, tag = "9")]
    pub ignore_ejection: bool,
    /// With a SYN: [`super::RouteRecord::priority`].
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// With a SYN: [`super::RouteRecord::deadline_millis`].
    #[prost(uint32, tag = "11")]
    pub deadline_millis: u32,
}

/// Load of an agent's back end.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LoadMessage {
    /// Requests that were sent to the back end and have no response yet.
    #[prost(uint32, tag = "1")]
    pub in_flight_requests: u32,
    /// Requests that the back end can process at once.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Whether the back end is warming up.
    #[prost(bool, tag = "3")]
    pub cold: bool,
    /// Remaining ejection time of a back end that failed its requests, in milliseconds; zero
    /// if it isn't ejected.
    #[prost(uint32, tag = "4")]
    pub ejected_millis: u32,
    /// Mean processing time of a request, from when it gets a slot, in microseconds; zero if
    /// unknown.
    #[prost(uint32, tag = "5")]
    pub processing_micros: u32,
    /// Flows that are open at the back end, including idle ones.
    #[prost(uint32, tag = "6")]
    pub open_flows: u32,
    /// Mean number of slots that the open flows kept busy in the last seconds, in thousandths
    /// of a slot.
    #[prost(uint32, tag = "7")]
    pub demand_millislots: u32,
}

/// The back end has accepted a new flow with a SYN-ACK.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accepted {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// Initial sequence number of the back end.
    #[prost(fixed32, tag = "2")]
    pub sequence: u32,
    /// Load of the back end, including this flow.
    #[prost(message, required, tag = "3")]
    pub load: LoadMessage,
}

/// A new flow is in the agent's admission queue until newly arriving flows leave a slot
/// free. The agent reports the outcome later.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FlowQueued {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// Load of the back end.
    #[prost(message, required, tag = "2")]
    pub load: LoadMessage,
}

/// Reason for which an agent declines a new flow. The names of the variants are written to
/// the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum DeclineReason {
    /// Not set.
    Unspecified = 0,
    /// All slots are taken.
    Full = 1,
    /// The back end is draining.
    Draining = 2,
    /// No back end has registered, or it is silent.
    NoBackend = 3,
    /// The agent serves another service.
    WrongService = 4,
    /// The back end returned the SYN.
    Returned = 5,
    /// The zone of the back end is evacuated.
    Evacuated = 6,
    /// The back end is warming up, and the rate limit of its new flows is reached.
    Cold = 7,
    /// The back end is ejected because it failed its requests.
    Failing = 8,
}

/// An agent has declined a new flow; its back end has processed nothing of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Declined {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// A [`DeclineReason`].
    #[prost(enumeration = "DeclineReason", tag = "2")]
    pub reason: i32,
    /// Load of the back end.
    #[prost(message, required, tag = "3")]
    pub load: LoadMessage,
    /// With [`DeclineReason::Full`]: expected wait until a slot frees for a flow of this
    /// priority from this balancer, given all balancers that compete for the slots, in
    /// microseconds; zero if unknown.
    #[prost(uint32, tag = "4")]
    pub expected_wait_micros: u32,
}
