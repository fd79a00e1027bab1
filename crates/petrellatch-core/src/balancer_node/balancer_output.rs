//! What a balancer asks its driver to do.

use std::net::SocketAddrV4;

use petrellatch_proto::envelope::Envelope;

use crate::event::Event;

/// Something for the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerOutput {
    /// Send a control message, sealed.
    Send {
        /// The control address of the recipient.
        to: SocketAddrV4,
        /// The message.
        envelope: Envelope,
    },
    /// Log an event.
    Event(Event),
    /// Keep this copy of the view on disk, in place of the former one.
    StoreView(Vec<u8>),
}
