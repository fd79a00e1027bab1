//! What operators ask a replica, what it answers, and what it wants done.

use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{PassThroughBody, PlacementPolicy, PolicySet};
use snafu::Snafu;

use crate::consensus::PersistRequest;
use crate::event::Event;
use crate::pass_through::group::flow_record_store::FlowRecordWrite;
use crate::pass_through::policies::placement_policies::PolicyRefusal;
use crate::pass_through::policies::policy_check::ExplainedPolicy;
use crate::pass_through::routes::configuration::Configuration;

/// What an operator asks.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationRequest {
    /// Replace the configuration, unless the held version is as high.
    Replace(Configuration),
    /// Read the newest configuration.
    Read,
    /// Take a zone out of service, or back into it.
    SetZoneEvacuated {
        /// The zone.
        zone: String,
        /// Whether it goes out of service.
        evacuated: bool,
        /// Whether a service may be left without any zone.
        allow_last: bool,
        /// The time of the order, in milliseconds of Unix time; only operators
        /// read it.
        issued_at_millis: u64,
    },
    /// Put a placement policy in place of one of the same name.
    PutPolicy {
        /// The policy.
        policy: PlacementPolicy,
        /// Index of the policies that it is based on; none if it holds in any case.
        base_index: Option<u64>,
    },
    /// Remove a placement policy.
    RemovePolicy {
        /// Its name.
        name: String,
        /// See [`ConfigurationRequest::PutPolicy`].
        base_index: Option<u64>,
    },
    /// Check a placement policy without effect.
    CheckPolicy(PlacementPolicy),
    /// Tell what the policy of a service decides for each of its back ends.
    ExplainPolicy {
        /// The service.
        service: String,
    },
    /// Read the newest placement policies.
    ReadPolicies,
}

/// Why an order about a zone is refused; nothing of it is done.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ZoneCommandRefusal {
    /// There is no such zone.
    #[snafu(display("there is no zone {zone}"))]
    UnknownZone {
        /// The zone.
        zone: String,
    },
    /// The zone is the last one in service that a service has back ends in.
    #[snafu(display("{zone} is the last zone in service of {service}"))]
    LastZone {
        /// The zone.
        zone: String,
        /// One such service.
        service: String,
    },
}

/// The answer to an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationResponse {
    /// The version, or a higher one, is accepted for good.
    Accepted {
        /// The version that is held.
        version: u64,
    },
    /// The newest configuration.
    Read(Configuration),
    /// The order about a zone holds for good.
    ZoneCommandApplied,
    /// The order about a zone is refused.
    ZoneCommandRefused(ZoneCommandRefusal),
    /// The change of the policies holds for good.
    PolicyChanged {
        /// Index of the policies.
        index: u64,
        /// Whether it had an effect; otherwise what it leads to held already.
        changed: bool,
    },
    /// The policy, or a change of the policies, is refused.
    PolicyRefused(PolicyRefusal),
    /// Nothing is wrong with the policy.
    PolicyValid,
    /// What the policy of a service decides.
    PolicyExplained(ExplainedPolicy),
    /// The newest policies.
    Policies(PolicySet),
    /// Another replica leads.
    NotLeader {
        /// Its address for messages between processes.
        leader: SocketAddrV4,
    },
    /// Nobody is known to lead, or the outcome is not known in time.
    Unavailable,
}

impl ConfigurationResponse {
    /// The answer in a few words.
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

/// Something for the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationOutput {
    /// Send a message. It may get lost.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        body: PassThroughBody,
    },
    /// Write and sync, then call [`ConfigurationNode::handle_persisted`].
    Persist(PersistRequest),
    /// Save this for the next life's [`ConfigurationNode::load_daemons`], in
    /// place of what was saved before. It may get lost.
    SaveDaemons(Vec<u8>),
    /// Write to the file of the records of open flows, then call
    /// [`ConfigurationNode::handle_flow_records_written`]. There is one write at a time.
    WriteFlowRecords(FlowRecordWrite),
    /// Answer a request.
    Respond {
        /// Token of the request.
        token: u64,
        /// The answer.
        response: ConfigurationResponse,
    },
    /// Write to the log.
    Event(Event),
}
