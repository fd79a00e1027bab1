//! What an agent asks its driver to do, and what the driver tells it about
//! connections to back ends.

use std::net::SocketAddrV4;

use petrellatch_proto::data::DataDatagram;
use petrellatch_proto::envelope::Envelope;

use crate::event::Event;

/// Names a flow towards the driver. It is not used twice in a process's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId(pub u64);

/// Something for the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentOutput {
    /// Send a control message, sealed.
    Send {
        /// The control address of the recipient.
        to: SocketAddrV4,
        /// The message.
        envelope: Envelope,
    },
    /// Send a caller packet to another agent, sealed.
    Forward {
        /// The data address of the other agent.
        to: SocketAddrV4,
        /// The packet and what it is about.
        datagram: DataDatagram,
    },
    /// Send an IPv4 packet to the fabric, for a caller.
    Packet(Vec<u8>),
    /// Open a TCP connection to a back end. The driver answers with
    /// [`BackendEvent::Connected`] or [`BackendEvent::ConnectFailed`].
    Connect {
        /// The flow that the connection is for.
        flow: FlowId,
        /// Where the back end listens.
        server: SocketAddrV4,
    },
    /// Write bytes to the back end. The driver writes them all, as the back
    /// end takes them, and then answers with [`BackendEvent::Writable`]; until
    /// then there is no other write for the flow.
    Write {
        /// The flow.
        flow: FlowId,
        /// The bytes, at least one.
        bytes: Vec<u8>,
    },
    /// Shut down the direction to the back end. It follows the last write.
    Finish {
        /// The flow.
        flow: FlowId,
    },
    /// Close the connection to the back end, or give up opening it, and forget
    /// the flow. If the back end has not closed its direction, the connection
    /// is reset.
    Abort {
        /// The flow.
        flow: FlowId,
    },
    /// Stop reading from the back end; the caller does not keep up.
    PauseReading {
        /// The flow.
        flow: FlowId,
    },
    /// Read from the back end again.
    ResumeReading {
        /// The flow.
        flow: FlowId,
    },
    /// Log an event.
    Event(Event),
    /// Keep this copy of the view on disk, in place of the former one.
    StoreView(Vec<u8>),
}

/// Something that happened on the connection of a flow to its back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendEvent {
    /// The connection came about.
    Connected,
    /// The connection did not come about.
    ConnectFailed,
    /// Bytes arrived.
    Data(Vec<u8>),
    /// All bytes of the last write were taken.
    Writable,
    /// The back end closed its direction after the bytes that arrived.
    Finished,
    /// The connection is gone: it was reset or failed.
    Reset,
}
