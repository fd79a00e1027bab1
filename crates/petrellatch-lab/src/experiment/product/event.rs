//! What the product schedules for itself.

use std::net::{Ipv4Addr, SocketAddrV4};

use petrellatch_core::consensus::PersistRequest;
use petrellatch_proto::data::DataDatagram;
use petrellatch_proto::envelope::Envelope;

/// Something that happens inside the product.
#[derive(Debug)]
pub enum ProductEvent {
    /// A control message arrives.
    Control {
        /// The receiving node.
        to: usize,
        /// The sender's address.
        from: SocketAddrV4,
        /// The message.
        envelope: Box<Envelope>,
    },
    /// A caller packet arrives at an agent.
    Datagram {
        /// The receiving node.
        to: usize,
        /// The packet.
        datagram: Box<DataDatagram>,
    },
    /// A node wanted to be called now.
    Wake {
        /// The node.
        index: usize,
        /// Its life when it asked.
        life: u32,
    },
    /// A disk has synced.
    Synced {
        /// The node.
        index: usize,
        /// Its life when it asked.
        life: u32,
        /// What was written.
        request: Box<PersistRequest>,
    },
    /// The operator's automation looks for something to do.
    Operate,
    /// A cut ends.
    Mend {
        /// The machine that was cut off.
        machine: Ipv4Addr,
    },
}
