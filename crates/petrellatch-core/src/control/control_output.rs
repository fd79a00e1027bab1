//! What a control node wants its driver to do.

use std::net::SocketAddrV4;

use petrellatch_proto::envelope::Envelope;

use crate::consensus::PersistRequest;
use crate::event::Event;

use super::operator::{OperatorError, OperatorResponse};

/// Something for the driver to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlOutput {
    /// Send a control message. It may get lost, doubled or late.
    Send {
        /// The receiving address.
        to: SocketAddrV4,
        /// The message.
        envelope: Envelope,
    },
    /// Write and sync, then call `ControlNode::handle_persisted`.
    Persist(PersistRequest),
    /// Answer an operator's request.
    Respond {
        /// The token of the request.
        token: u64,
        /// The answer.
        result: Result<OperatorResponse, OperatorError>,
    },
    /// Something for the log.
    Event(Event),
    /// The stored state can't be read: the process must stop.
    Failed {
        /// Why.
        message: String,
    },
}
