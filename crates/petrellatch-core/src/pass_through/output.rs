//! What the daemons of the tier want done.

use std::net::{Ipv4Addr, SocketAddrV4};

use petrellatch_proto::pass_through::PassThroughBody;

use crate::event::Event;

/// Something for the driver to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum PassThroughOutput {
    /// Send a message to another process. It may get lost.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        body: PassThroughBody,
    },
    /// Hand a packet to the back end beside this agent.
    ToBackend(Vec<u8>),
    /// Send a packet to a caller.
    ToCaller {
        /// The caller's address.
        address: Ipv4Addr,
        /// The packet.
        packet: Vec<u8>,
    },
    /// Write to the log.
    Event(Event),
}
