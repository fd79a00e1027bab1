//! What a [`DaemonLink`](super::DaemonLink) reports and is told.

use std::net::SocketAddrV4;

use petrellatch_proto::dissemination::BackendLoad;
use petrellatch_proto::envelope::Envelope;
use petrellatch_proto::record::RecordKey;

use crate::event::Event;
use crate::identity::ServiceId;
use crate::time::Timestamp;

/// Something for the daemon to do or to know.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkOutput {
    /// Send a control message. It may get lost, doubled or late.
    Send {
        /// The receiving address.
        to: SocketAddrV4,
        /// The message.
        envelope: Envelope,
    },
    /// The view moved on to a newer version.
    Changed {
        /// The records that were put or removed; after a snapshot, all
        /// records of the view before and after it.
        keys: Vec<RecordKey>,
    },
    /// The admission lease is valid until this time of the local clock. It
    /// only ever moves forward.
    Lease(Timestamp),
    /// The view holds everything that was committed when this process first
    /// asked after its start. Reported once.
    Current,
    /// This life was fenced. The daemon stops admitting and calls
    /// `DaemonLink::new_life`. Reported once for each life.
    Fenced,
    /// Something for the log.
    Event(Event),
}

/// What a daemon tells the leader in its heartbeats.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AgentReport {
    /// Services whose newest generation in the view isn't settled here.
    pub unsettled: Vec<ServiceId>,
    /// The load of each back end beside this agent.
    pub loads: Vec<BackendLoad>,
    /// The daemon wants to leave and waits until it has nothing to do.
    pub leaving: bool,
    /// The daemon admits nothing any more in this life.
    pub stopped: bool,
}
