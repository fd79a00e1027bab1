//! The parsed view of a packet that the state machines work on, and the codec for it.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{FlowMessage, pack_address, unpack_address};

/// Times at which a caller sends a SYN that isn't answered, counted from the first one.
const SYN_RETRANSMISSION_AGES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];
/// A caller gives up a new flow if no SYN-ACK arrives within this time from the first SYN.
pub(super) const SYN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Identifies a flow by its two endpoints as the caller sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The address and port of the route that the caller connects to.
    pub route: SocketAddrV4,
}

/// The header fields of a packet that the state machines use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketView {
    /// Source address and port.
    pub source: SocketAddrV4,
    /// Destination address and port.
    pub destination: SocketAddrV4,
    /// SYN flag. The packet opens a flow or, if `ack` is set as well, accepts it (SYN-ACK).
    pub syn: bool,
    /// ACK flag: `ack_number` is valid.
    pub ack: bool,
    /// FIN flag: the sender has no more data to send.
    pub fin: bool,
    /// RST flag: the sender aborts the flow.
    pub rst: bool,
    /// The packet was returned by a back end that doesn't own the flow or can't take the SYN.
    pub returned: bool,
    /// Sequence number of the packet.
    pub sequence_number: u32,
    /// Acknowledgement number. In a SYN, the number of its retransmission; zero is the first
    /// SYN.
    pub ack_number: u32,
    /// Payload size in bytes.
    pub data_bytes: u16,
}

/// Parses and builds packets of one wire format.
pub trait PacketCodec {
    /// Parses a packet. Returns `None` if it is malformed.
    fn view(&self, packet: &[u8]) -> Option<PacketView>;

    /// Builds a reset with this sequence number for the caller of a flow.
    fn reset(&self, flow: FlowId, sequence: u32) -> Vec<u8>;
}

impl PacketView {
    /// Whether the packet is a SYN, with which a caller opens a new flow.
    pub fn is_syn(&self) -> bool {
        self.syn && !self.ack
    }

    /// The sequence number that follows the packet.
    pub(crate) fn next_sequence(&self) -> u32 {
        let flags = u32::from(self.syn) + u32::from(self.fin);
        let length = u32::from(self.data_bytes) + flags;
        self.sequence_number.wrapping_add(length)
    }

    /// Minimum time since the first SYN of the flow, from the number of this retransmission.
    pub fn min_syn_age(&self) -> Duration {
        let retransmission = self.ack_number as usize;
        SYN_RETRANSMISSION_AGES[retransmission.min(SYN_RETRANSMISSION_AGES.len() - 1)]
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
