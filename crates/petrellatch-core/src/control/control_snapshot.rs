//! The encoded form of the replicated state.

use petrellatch_proto::record::RecordChange;
use prost::Message;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::cluster::ClusterView;
use crate::error_kind::ErrorKind;
use crate::identity::{Incarnation, NodeId};

use super::assignments::Assignments;
use super::configuration_size;
use super::control_state::ControlState;
use super::fenced_lives::{FencedLives, Life};
use super::mutations::ControlMutations;
use super::outcome::{AcceptedChange, ChangeAnswer, ChangeRefusal};
use super::request_window::{DecidedRequest, RequestWindow};

/// Why a snapshot could not be read.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// It is not an encoded snapshot.
    #[snafu(display("the snapshot is malformed: {source}"))]
    Malformed {
        /// What the decoder says.
        source: prost::DecodeError,
    },
    /// It holds a value that this version of the program doesn't know.
    #[snafu(display("the snapshot holds an unknown {what}"))]
    UnknownValue {
        /// The kind of value.
        what: &'static str,
    },
}

#[derive(Clone, PartialEq, Message)]
struct SnapshotRecord {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(uint64, tag = "2")]
    config_version: u64,
    #[prost(uint32, tag = "3")]
    last_service: u32,
    #[prost(uint64, tag = "4")]
    last_backend: u64,
    #[prost(string, repeated, tag = "5")]
    drained_nodes: Vec<String>,
    #[prost(message, repeated, tag = "6")]
    records: Vec<RecordChange>,
    #[prost(message, repeated, tag = "7")]
    registrations: Vec<RegistrationRecord>,
    #[prost(message, repeated, tag = "8")]
    fenced: Vec<LifeRecord>,
    #[prost(message, repeated, tag = "9")]
    requests: Vec<RequestRecord>,
    #[prost(string, repeated, tag = "10")]
    evacuated_zones: Vec<String>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct RegistrationRecord {
    #[prost(fixed64, tag = "1")]
    node: u64,
    #[prost(uint64, tag = "2")]
    version: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct LifeRecord {
    #[prost(fixed64, tag = "1")]
    node: u64,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
}

#[derive(Clone, PartialEq, Message)]
struct RequestRecord {
    #[prost(string, tag = "1")]
    request_id: String,
    #[prost(fixed64, tag = "2")]
    content_high: u64,
    #[prost(fixed64, tag = "3")]
    content_low: u64,
    /// The version of an accepted change, or the configuration version when
    /// the change was refused.
    #[prost(uint64, tag = "4")]
    version: u64,
    /// The name of the error kind; empty for an accepted change.
    #[prost(string, tag = "5")]
    refused: String,
    #[prost(string, tag = "6")]
    message: String,
}

impl ControlState {
    /// Encodes the whole state.
    pub fn encode_snapshot(&self) -> Vec<u8> {
        let registrations = self.registrations.iter();
        let record = SnapshotRecord {
            version: self.view.version(),
            config_version: self.config_version,
            last_service: self.assignments.last_service,
            last_backend: self.assignments.last_backend,
            drained_nodes: self.assignments.drained_nodes.iter().cloned().collect(),
            records: self.view.records(),
            registrations: registrations
                .map(|(node, version)| RegistrationRecord {
                    node: node.0,
                    version: *version,
                })
                .collect(),
            fenced: self.fenced.iter().map(encode_life).collect(),
            requests: self.requests.iter().map(encode_request).collect(),
            evacuated_zones: self.assignments.evacuated_zones.iter().cloned().collect(),
        };
        record.encode_to_vec()
    }

    /// Decodes a state. No bytes at all are the state before the first
    /// command.
    pub fn decode_snapshot(
        bytes: &[u8],
        mutations: ControlMutations,
    ) -> Result<ControlState, SnapshotError> {
        let record = SnapshotRecord::decode(bytes).context(MalformedSnafu)?;
        let mut view = ClusterView::new();
        if record.version > 0 {
            view.replace(record.version, &record.records)
                .expect("every version is newer than that of an empty view");
        }
        let mut fenced = FencedLives::default();
        record.fenced.iter().for_each(|life| {
            fenced.insert(Life {
                node: NodeId(life.node),
                incarnation: Incarnation(life.incarnation),
            });
        });
        let mut requests = RequestWindow::default();
        for request in record.requests {
            requests.insert(decode_request(request)?);
        }
        let registrations = record.registrations.iter();
        Ok(ControlState {
            configuration_bytes: configuration_size::of_view(&view),
            view,
            config_version: record.config_version,
            assignments: Assignments {
                last_service: record.last_service,
                last_backend: record.last_backend,
                drained_nodes: record.drained_nodes.into_iter().collect(),
                evacuated_zones: record.evacuated_zones.into_iter().collect(),
            },
            registrations: registrations
                .map(|registration| (NodeId(registration.node), registration.version))
                .collect(),
            fenced,
            requests,
            mutations,
        })
    }
}

fn encode_life(life: Life) -> LifeRecord {
    LifeRecord {
        node: life.node.0,
        incarnation: life.incarnation.0,
    }
}

fn encode_request(decided: &DecidedRequest) -> RequestRecord {
    let (version, refused, message) = match &decided.answer {
        Ok(accepted) => (accepted.version, "", ""),
        Err(refusal) => (
            refusal.config_version,
            refusal.kind.response().name,
            refusal.message.as_str(),
        ),
    };
    RequestRecord {
        request_id: decided.request_id.clone(),
        content_high: (decided.content >> u64::BITS) as u64,
        content_low: decided.content as u64,
        version,
        refused: refused.to_owned(),
        message: message.to_owned(),
    }
}

fn decode_request(record: RequestRecord) -> Result<DecidedRequest, SnapshotError> {
    let content = u128::from(record.content_high) << u64::BITS | u128::from(record.content_low);
    Ok(DecidedRequest {
        content,
        answer: decode_answer(&record)?,
        request_id: record.request_id,
    })
}

fn decode_answer(record: &RequestRecord) -> Result<ChangeAnswer, SnapshotError> {
    if record.refused.is_empty() {
        return Ok(Ok(AcceptedChange {
            version: record.version,
        }));
    }
    let named = |kind: &&ErrorKind| kind.response().name == record.refused;
    let kind = ErrorKind::ALL.iter().find(named);
    let kind = kind.context(UnknownValueSnafu { what: "error kind" })?;
    Ok(Err(ChangeRefusal {
        kind: *kind,
        message: record.message.clone(),
        config_version: record.version,
    }))
}
