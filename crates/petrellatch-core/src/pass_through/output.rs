//! Outputs of the tier's state machines.

use std::net::{Ipv4Addr, SocketAddrV4};

use petrellatch_proto::pass_through::PassThroughBody;

use crate::event::Event;

/// An action for the event loop. Outputs are carried out in the order in which they are polled.
#[derive(Clone, Debug, PartialEq)]
pub enum PassThroughOutput {
    /// Send a message to another process. Delivery is not guaranteed.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        body: PassThroughBody,
    },
    /// Send a packet to this agent's back end.
    ToBackend(Vec<u8>),
    /// Send a packet to a caller.
    ToCaller {
        /// The caller's address.
        address: Ipv4Addr,
        /// The packet.
        packet: Vec<u8>,
    },
    /// Write an event to the log.
    Event(Event),
}
