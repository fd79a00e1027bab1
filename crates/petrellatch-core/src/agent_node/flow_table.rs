//! The flows that an agent has.

use std::collections::{BTreeMap, BTreeSet};

use crate::Timestamp;
use crate::identity::ServiceId;
use crate::placement::FlowKey;

use super::agent_output::FlowId;
use super::open_flow::OpenFlow;

/// All flows of one agent, found by identifier, by addresses and by the time
/// when they want to be called.
#[derive(Default)]
pub(super) struct FlowTable {
    flows: BTreeMap<FlowId, OpenFlow>,
    by_key: BTreeMap<FlowKey, FlowId>,
    deadlines: BTreeSet<(Timestamp, FlowId)>,
    deadline_of: BTreeMap<FlowId, Timestamp>,
    next: u64,
}

impl FlowTable {
    /// Returns an identifier that no flow gets.
    pub(super) fn reserve(&mut self) -> FlowId {
        let id = FlowId(self.next);
        self.next += 1;
        id
    }

    /// Takes in a flow whose addresses are not in the table.
    pub(super) fn insert(&mut self, flow: OpenFlow) -> FlowId {
        let id = self.reserve();
        self.by_key.insert(flow.key, id);
        self.flows.insert(id, flow);
        id
    }

    /// Takes out a flow.
    pub(super) fn remove(&mut self, id: FlowId) -> Option<OpenFlow> {
        self.set_deadline(id, None);
        let flow = self.flows.remove(&id)?;
        self.by_key.remove(&flow.key);
        Some(flow)
    }

    /// Finds a flow by its addresses.
    pub(super) fn find(&self, key: &FlowKey) -> Option<FlowId> {
        self.by_key.get(key).copied()
    }

    /// Returns a flow.
    pub(super) fn get(&self, id: FlowId) -> Option<&OpenFlow> {
        self.flows.get(&id)
    }

    /// Returns a flow to change it.
    pub(super) fn get_mut(&mut self, id: FlowId) -> Option<&mut OpenFlow> {
        self.flows.get_mut(&id)
    }

    /// Sets when a flow wants to be called.
    pub(super) fn set_deadline(&mut self, id: FlowId, deadline: Option<Timestamp>) {
        let former = match deadline {
            Some(deadline) => self.deadline_of.insert(id, deadline),
            None => self.deadline_of.remove(&id),
        };
        if former == deadline {
            return;
        }
        if let Some(former) = former {
            self.deadlines.remove(&(former, id));
        }
        if let Some(deadline) = deadline {
            self.deadlines.insert((deadline, id));
        }
    }

    /// Returns the earliest deadline.
    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the flows whose deadline has come.
    pub(super) fn due(&self, now: Timestamp) -> Vec<FlowId> {
        let due = self.deadlines.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, id)| *id).collect()
    }

    /// Returns the addresses of all flows of a service.
    pub(super) fn keys_of(&self, service: ServiceId) -> Vec<FlowKey> {
        let flows = self.flows.values();
        flows
            .filter(|flow| flow.service == service)
            .map(|flow| flow.key)
            .collect()
    }

    /// Returns all flows.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&FlowId, &OpenFlow)> {
        self.flows.iter()
    }
}
