//! Requests of operators to a replica, its responses, and its outputs.

use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{PassThroughBody, PlacementPolicy, PolicySet};
use snafu::Snafu;

use crate::consensus::PersistRequest;
use crate::event::Event;
use crate::pass_through::group::record_file_write::RecordFileWrite;
use crate::pass_through::policies::placement_policies::PolicyRefusal;
use crate::pass_through::policies::policy_check::ExplainedPolicy;
use crate::pass_through::routes::configuration::Configuration;

/// A request of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationRequest {
    /// Replace the configuration, unless the current version is at least as high.
    Replace(Configuration),
    /// Read the newest configuration.
    Read,
    /// Evacuate a zone, or restore it.
    SetZoneEvacuated {
        /// Name of the zone.
        zone: String,
        /// Whether the zone is evacuated; otherwise it is restored.
        evacuated: bool,
        /// Whether a service may be left without any zone in service.
        allow_last: bool,
        /// Time of the command, in milliseconds of Unix time; only operators read it.
        issued_at_millis: u64,
    },
    /// Add a placement policy, or replace the one of the same name.
    PutPolicy {
        /// The policy.
        policy: PlacementPolicy,
        /// Log index of the policies that the change is based on: it is refused if the
        /// current policies have another one. `None` omits this check.
        base_index: Option<u64>,
    },
    /// Remove a placement policy.
    RemovePolicy {
        /// Name of the policy.
        name: String,
        /// See [`ConfigurationRequest::PutPolicy`].
        base_index: Option<u64>,
    },
    /// Check a placement policy without storing it.
    CheckPolicy(PlacementPolicy),
    /// Explain what the policy of a service decides for each of its back ends.
    ExplainPolicy {
        /// Name of the service.
        service: String,
    },
    /// Read the newest placement policies.
    ReadPolicies,
}

/// Reason why a zone command is refused. A refused command has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ZoneCommandRefusal {
    /// There is no such zone.
    #[snafu(display("there is no zone {zone}"))]
    UnknownZone {
        /// Name of the zone.
        zone: String,
    },
    /// A service has back ends in no other zone in service.
    #[snafu(display("{zone} is the last zone in service of {service}"))]
    LastZone {
        /// Name of the zone.
        zone: String,
        /// Name of one such service.
        service: String,
    },
}

/// The response to a request of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationResponse {
    /// The version, or a higher one, is committed.
    Accepted {
        /// The current version.
        version: u64,
    },
    /// The newest configuration.
    Read(Configuration),
    /// The zone command is committed and applied.
    ZoneCommandApplied,
    /// The zone command is refused.
    ZoneCommandRefused(ZoneCommandRefusal),
    /// The change of the policies is committed and applied.
    PolicyChanged {
        /// Log index of the policies.
        index: u64,
        /// Whether the change had an effect; otherwise the policies already were as requested.
        changed: bool,
    },
    /// The policy, or a change of the policies, is refused.
    PolicyRefused(PolicyRefusal),
    /// The policy is valid.
    PolicyValid,
    /// The decisions of the policy of a service.
    PolicyExplained(ExplainedPolicy),
    /// The newest policies.
    Policies(PolicySet),
    /// Another replica is the leader.
    NotLeader {
        /// The leader's address for messages between processes.
        leader: SocketAddrV4,
    },
    /// There is no known leader, or the outcome is not known in time.
    Unavailable,
}

impl ConfigurationResponse {
    /// Short text for the log.
    pub(super) fn summary(&self) -> String {
        match self {
            ConfigurationResponse::Accepted { version } => format!("accepted({version})"),
            ConfigurationResponse::Read(read) => format!("read({})", read.version),
            ConfigurationResponse::ZoneCommandApplied => "zone_ordered".to_owned(),
            ConfigurationResponse::ZoneCommandRefused(refusal) => format!("refused({refusal})"),
            ConfigurationResponse::PolicyChanged { index, .. } => format!("policies({index})"),
            ConfigurationResponse::PolicyRefused(refusal) => format!("refused({refusal})"),
            ConfigurationResponse::PolicyValid => "sound".to_owned(),
            ConfigurationResponse::PolicyExplained(explained) => {
                format!("explained({})", explained.service)
            }
            ConfigurationResponse::Policies(read) => format!("policies({})", read.index),
            ConfigurationResponse::NotLeader { leader } => format!("elsewhere({leader})"),
            ConfigurationResponse::Unavailable => "unavailable".to_owned(),
        }
    }
}

/// An action for the event loop.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationOutput {
    /// Send a message. It may get lost.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        body: PassThroughBody,
    },
    /// Write this and sync it, then call [`ConfigurationNode::handle_persisted`].
    Persist(PersistRequest),
    /// Save these bytes for [`ConfigurationNode::load_daemons`] of the next incarnation,
    /// replacing those saved before. The write may get lost.
    SaveDaemons(Vec<u8>),
    /// Write to the file of flow records, then call
    /// [`ConfigurationNode::handle_flow_records_written`]. There is one write at a time.
    WriteFlowRecords(RecordFileWrite),
    /// Write to the file of departures, then call
    /// [`ConfigurationNode::handle_departures_written`]. There is one write at a time.
    WriteDepartures(RecordFileWrite),
    /// Respond to a request.
    Respond {
        /// Token of the request.
        token: u64,
        /// The response.
        response: ConfigurationResponse,
    },
    /// Write to the log.
    Event(Event),
}
