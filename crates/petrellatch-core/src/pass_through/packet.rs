//! What the state machines see of a packet, and the codec behind it.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{FlowMessage, pack_address, unpack_address};

/// When a caller sends the copies of an opening packet that is not answered, counted
/// from the first one.
const COPY_AGES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];
/// When a caller gives up an opening packet that is not answered.
pub(super) const SYN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// A flow, by its two ends as the caller sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId {
    /// The caller.
    pub caller: SocketAddrV4,
    /// The address of the route that the caller names.
    pub route: SocketAddrV4,
}

/// The part of a packet that decisions rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketView {
    /// The sending end.
    pub source: SocketAddrV4,
    /// The end that the packet is meant for.
    pub destination: SocketAddrV4,
    /// Asks for, or answers, the opening of a flow.
    pub syn: bool,
    /// Acknowledges something.
    pub ack: bool,
    /// The sender has nothing more to send.
    pub fin: bool,
    /// The flow is over.
    pub rst: bool,
    /// A back end sent the packet back, because it does not have the flow or
    /// can't take it.
    pub returned: bool,
    /// Sequence number.
    pub sequence_number: u32,
    /// What is acknowledged; in an opening packet the number of its copy.
    pub ack_number: u32,
    /// Bytes of data.
    pub data_bytes: u16,
}

/// Reads and makes packets of one format.
pub trait PacketCodec {
    /// Reads a packet; `None` if it is malformed.
    fn view(&self, packet: &[u8]) -> Option<PacketView>;

    /// Makes a reset that tells the caller that its flow is not served.
    fn reset(&self, flow: FlowId, sequence: u32) -> Vec<u8>;
}

impl PacketView {
    /// Whether a caller asks for a new flow.
    pub fn is_syn(&self) -> bool {
        self.syn && !self.ack
    }

    /// How long ago the first copy of an opening packet was sent, at least.
    pub fn min_syn_age(&self) -> Duration {
        let copy = self.ack_number as usize;
        COPY_AGES[copy.min(COPY_AGES.len() - 1)]
    }

    /// The flow of a packet that a caller sent.
    pub fn flow_from_caller(&self) -> FlowId {
        FlowId {
            caller: self.source,
            route: self.destination,
        }
    }

    /// The flow of a packet that a back end sent.
    pub fn flow_from_backend(&self) -> FlowId {
        FlowId {
            caller: self.destination,
            route: self.source,
        }
    }
}

impl From<FlowId> for FlowMessage {
    fn from(flow: FlowId) -> Self {
        FlowMessage {
            caller: pack_address(flow.caller),
            route: pack_address(flow.route),
        }
    }
}

impl From<FlowMessage> for FlowId {
    fn from(message: FlowMessage) -> Self {
        FlowId {
            caller: unpack_address(message.caller),
            route: unpack_address(message.route),
        }
    }
}

impl std::fmt::Display for FlowId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}>{}", self.caller, self.route)
    }
}
