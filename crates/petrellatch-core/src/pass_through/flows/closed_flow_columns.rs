//! Closed flows in columnar form: callers and routes only.

use petrellatch_proto::pass_through::{FlowColumns, unpack_address};

use super::recorded_flow::{RecordedFlow, to_columns};
use crate::pass_through::packet::FlowId;

/// Encodes closed flows as columns.
pub(crate) fn to_closed_columns(flows: &[FlowId]) -> FlowColumns {
    let flows = flows.iter().map(|id| RecordedFlow {
        id: *id,
        sequence: 0,
        acknowledged: 0,
    });
    let mut columns = to_columns(flows);
    columns.sequences.clear();
    columns.acknowledged_steps.clear();
    columns
}

/// Decodes closed flows from columns, skipping incomplete ones.
pub(crate) fn closed_flows(columns: &FlowColumns) -> Vec<FlowId> {
    let flow = |(caller, index): (&u64, &u32)| {
        let route = *columns.routes.get(*index as usize)?;
        Some(FlowId {
            caller: unpack_address(*caller),
            route: unpack_address(route),
        })
    };
    let pairs = columns.callers.iter().zip(&columns.route_indexes);
    pairs.filter_map(flow).collect()
}
