//! Messages about new flows: packets on their way to agents, and what agents answer.

use super::FlowMessage;

/// Why a balancer hands a packet to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ForwardReason {
    /// Not given; dropped.
    Unspecified = 0,
    /// An opening packet, for an agent with room.
    Open = 1,
    /// An opening packet that others declined: a full agent may queue it.
    OpenQueued = 2,
    /// A packet of a flow that the agent is known to have.
    Deliver = 3,
    /// A packet of a flow that the agent's back end may have.
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
    /// The packet as it came.
    #[prost(bytes = "vec", tag = "3")]
    pub packet: Vec<u8>,
    /// With an opening packet: by when a request should be answered, in
    /// milliseconds; zero if that is not known.
    #[prost(uint32, tag = "4")]
    pub latency_objective_millis: u32,
    /// With [`ForwardReason::Try`]: other agents that the receiver passes the packet
    /// on to, so that a balancer sends it once.
    #[prost(fixed64, repeated, tag = "5")]
    pub relay_to: Vec<u64>,
    /// The balancer, if another agent passed the packet on; otherwise zero.
    #[prost(fixed64, tag = "6")]
    pub origin_balancer: u64,
    /// With an opening packet: [`super::ServiceRecord::warm_up_millirequests_per_second`] of
    /// the service; zero if that is not known.
    #[prost(uint32, tag = "7")]
    pub warm_up_millirequests_per_second: u32,
    /// With an opening packet: how long ago its caller sent the first copy, at
    /// least, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub syn_age_millis: u32,
    /// With an opening packet: so many back ends of the service fail that none is to be
    /// left out for that.
    #[prost(bool, tag = "9")]
    pub ignore_ejection: bool,
    /// With an opening packet: [`super::RouteRecord::priority`].
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// With an opening packet: [`super::RouteRecord::deadline_millis`].
    #[prost(uint32, tag = "11")]
    pub deadline_millis: u32,
}

/// How busy an agent's back end is.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LoadMessage {
    /// Requests that wait for their answers.
    #[prost(uint32, tag = "1")]
    pub in_flight_requests: u32,
    /// Requests that the back end works on at once.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Whether the back end still warms up.
    #[prost(bool, tag = "3")]
    pub cold: bool,
    /// How much longer the back end is left out, in milliseconds, as it failed the
    /// requests that it got.
    #[prost(uint32, tag = "4")]
    pub ejected_millis: u32,
    /// The mean time that the back end works on a request from when it got a slot, in
    /// microseconds; zero if that is not known.
    #[prost(uint32, tag = "5")]
    pub processing_micros: u32,
    /// Flows that are open at the back end, also those that rest.
    #[prost(uint32, tag = "6")]
    pub open_flows: u32,
    /// Slots that the open flows keep busy in the mean of the last seconds, in
    /// thousandths of a slot.
    #[prost(uint32, tag = "7")]
    pub demand_millislots: u32,
}

/// The back end answered an opening packet.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accepted {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// First sequence number of the back end.
    #[prost(fixed32, tag = "2")]
    pub sequence: u32,
    /// The load with this flow.
    #[prost(message, required, tag = "3")]
    pub load: LoadMessage,
}

/// An opening packet waits at the agent until fresh ones leave a place. The agent
/// tells later what became of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FlowQueued {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// The load.
    #[prost(message, required, tag = "2")]
    pub load: LoadMessage,
}

/// Why an opening packet was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum DeclineReason {
    /// Not given.
    Unspecified = 0,
    /// All slots are taken.
    Full = 1,
    /// The back end leaves.
    Draining = 2,
    /// No back end has registered, or it is silent.
    NoBackend = 3,
    /// The agent serves another service.
    WrongService = 4,
    /// The back end returned the packet.
    Returned = 5,
    /// The zone of the back end is out of service.
    Evacuated = 6,
    /// The back end still warms up, and bears no more for now.
    Cold = 7,
    /// The back end is left out, as it failed the requests that it got.
    Failing = 8,
}

/// An opening packet was not taken; nothing of it ran.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Declined {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// A [`DeclineReason`].
    #[prost(enumeration = "DeclineReason", tag = "2")]
    pub reason: i32,
    /// The load.
    #[prost(message, required, tag = "3")]
    pub load: LoadMessage,
    /// With [`DeclineReason::Full`]: the time in which one place for a flow of this
    /// priority is likely to come free here for the balancer, among all balancers that
    /// ask, in microseconds; zero if that can't be foretold.
    #[prost(uint32, tag = "4")]
    pub expected_wait_micros: u32,
}
