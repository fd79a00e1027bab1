//! Settings of a control node.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::consensus::ReplicaSettings;
use crate::dissemination::RelaySettings;
use crate::identity::NodeId;
use crate::membership::MembershipSettings;

use super::mutations::ControlMutations;

/// Another control replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlPeer {
    /// Its node, derived from its name.
    pub node: NodeId,
    /// Where it receives control messages.
    pub control: SocketAddrV4,
}

/// How a control node works.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The control replicas; this one may be among them.
    pub peers: Vec<ControlPeer>,
    /// The replicated log.
    pub replica: ReplicaSettings,
    /// Leases and silent members.
    pub membership: MembershipSettings,
    /// Dissemination to the children of this replica.
    pub relay: RelaySettings,
    /// Operator requests in progress at once; further ones are refused.
    pub request_limit: usize,
    /// An operator request that isn't answered in this time is given up.
    pub request_timeout: Duration,
    /// Deliberate faults for the lab.
    pub mutations: ControlMutations,
}

impl Default for ControlSettings {
    fn default() -> Self {
        ControlSettings {
            peers: Vec::new(),
            replica: ReplicaSettings::default(),
            membership: MembershipSettings::default(),
            relay: RelaySettings::default(),
            request_limit: 64,
            request_timeout: Duration::from_secs(5),
            mutations: ControlMutations::default(),
        }
    }
}
