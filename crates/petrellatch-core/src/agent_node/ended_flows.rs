//! Ended flows that the owners of their buckets have to hear of.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Timestamp;
use crate::identity::ServiceId;
use crate::placement::FlowKey;

/// A flow's end is told no earlier than this after its admission. The owner
/// keeps a redirect that it has just made against the word of the holder,
/// because that word may be about an earlier flow of the same caller port.
pub(super) const NOTICE_DELAY: Duration = Duration::from_millis(400);

/// How many ended flows are remembered at a time. Those beyond it leave their
/// redirects to the idle limit.
const LIMIT: usize = 65_536;

/// One flow that ended.
#[derive(Clone, Copy, Debug)]
struct EndedFlow {
    service: ServiceId,
    due: Timestamp,
}

/// Flows that ended at this agent and were not told about yet.
#[derive(Clone, Debug, Default)]
pub(super) struct EndedFlows {
    flows: BTreeMap<FlowKey, EndedFlow>,
}

impl EndedFlows {
    /// Notes the end of a flow, to be told about from `due` on.
    pub(super) fn insert(&mut self, due: Timestamp, service: ServiceId, key: FlowKey) {
        if self.flows.len() < LIMIT || self.flows.contains_key(&key) {
            self.flows.insert(key, EndedFlow { service, due });
        }
    }

    /// Forgets the end of a flow whose caller port has a new flow here.
    pub(super) fn remove(&mut self, key: &FlowKey) {
        self.flows.remove(key);
    }

    /// Takes out the flows that are due, by service.
    pub(super) fn take_due(&mut self, now: Timestamp) -> BTreeMap<ServiceId, Vec<FlowKey>> {
        let mut due: BTreeMap<ServiceId, Vec<FlowKey>> = BTreeMap::new();
        self.flows.retain(|key, flow| {
            let waits = flow.due > now;
            if !waits {
                due.entry(flow.service).or_default().push(*key);
            }
            waits
        });
        due
    }
}
