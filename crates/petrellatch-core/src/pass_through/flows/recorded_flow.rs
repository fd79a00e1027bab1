//! Flows of a previous incarnation of an agent or of its back end.

use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{
    ACKNOWLEDGED_STEP_BYTES, FlowColumns, pack_address, unpack_address,
};

use super::acknowledgements::KnownSequence;
use crate::pass_through::packet::FlowId;

/// An open flow in a flow record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecordedFlow {
    pub(crate) id: FlowId,
    /// Initial sequence number of the back end.
    pub(crate) sequence: u32,
    /// Lower bound of the caller's latest acknowledgement number.
    pub(crate) acknowledged: u32,
}

impl RecordedFlow {
    /// Whether a packet with this acknowledgement number is likely to belong to the flow, and not
    /// to another one between the same endpoints.
    pub(crate) fn owns_ack(&self, acknowledged: u32) -> bool {
        let known = KnownSequence {
            initial: self.sequence,
            latest: self.acknowledged,
        };
        known.is_close(acknowledged)
    }
}

/// The incarnation of a back end that owns recorded flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecordedBackend {
    /// Its digest; zero if unknown.
    pub(crate) digest: u64,
    /// Its start time in milliseconds of its own clock, if it reports one.
    pub(crate) started_at_millis: Option<u64>,
}

/// Flows that one incarnation of a back end owned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PreviousFlowRecord {
    pub(crate) backend: RecordedBackend,
    pub(crate) flows: Vec<RecordedFlow>,
    /// Data-less packets from callers of some of the flows. A back end returns them once that
    /// incarnation has ended.
    pub(crate) probe_packets: Vec<Vec<u8>>,
}

/// Encodes flows as columns.
pub(crate) fn to_columns(flows: impl IntoIterator<Item = RecordedFlow>) -> FlowColumns {
    let mut columns = FlowColumns::default();
    for flow in flows {
        let route = pack_address(flow.id.route);
        let known_index = columns.routes.iter().position(|it| *it == route);
        let index = known_index.unwrap_or_else(|| {
            columns.routes.push(route);
            columns.routes.len() - 1
        });
        let ahead = flow.acknowledged.wrapping_sub(flow.sequence);
        columns.callers.push(pack_address(flow.id.caller));
        columns.route_indexes.push(index as u32);
        columns.sequences.push(flow.sequence);
        columns
            .acknowledged_steps
            .push(ahead / ACKNOWLEDGED_STEP_BYTES);
    }
    columns
}

/// Decodes flows from columns, skipping incomplete ones.
pub(crate) fn from_columns(columns: &FlowColumns) -> Vec<RecordedFlow> {
    let flow = |index: usize| {
        let route = *columns.route_indexes.get(index)?;
        let route: SocketAddrV4 = unpack_address(*columns.routes.get(route as usize)?);
        let caller = unpack_address(*columns.callers.get(index)?);
        let sequence = *columns.sequences.get(index)?;
        let steps = *columns.acknowledged_steps.get(index)?;
        let ahead = steps.wrapping_mul(ACKNOWLEDGED_STEP_BYTES);
        Some(RecordedFlow {
            id: FlowId { caller, route },
            sequence,
            acknowledged: sequence.wrapping_add(ahead),
        })
    };
    (0..columns.callers.len()).filter_map(flow).collect()
}
