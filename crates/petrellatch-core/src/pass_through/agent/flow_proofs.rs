//! What proves to an agent that its back end doesn't own a flow.
//!
//! A balancer resets a flow that no back end owns. So an agent states for certain that its back
//! end doesn't own a flow only with one of the proofs below, and otherwise replies that the back
//! end possibly owns it. The balancer then delivers a packet of the flow speculatively, and what
//! the back end does with it is the proof.
//!
//! Sequence numbers of registrations, acknowledgement numbers, silence, and what replicas have
//! forgotten in a restart are no proofs.

use petrellatch_proto::pass_through::QueriedFlow;

use super::PassThroughAgent;
use crate::pass_through::packet::{FlowId, PacketCodec};
use crate::time::Timestamp;

/// Proof that the agent knows every flow that its back end owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AllFlowsKnown {
    /// The whole system started for the first time with this incarnation of the agent.
    FirstStart,
    /// This incarnation is older than any flow may get.
    OlderThanFlows,
    /// No agent was at this address before, within the lifetime of a flow: all replicas remember
    /// that time, and none knows one.
    FirstIncarnation,
    /// Nothing ran at the address of the back end at some time since the start of the agent, as
    /// the address refused a packet.
    BackendWasAbsent,
}

/// Proof that the back end doesn't own one flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotOwned {
    /// The agent knows all flows, and not this one.
    Unknown(AllFlowsKnown),
    /// The back end returned a packet of the flow.
    Returned,
    /// The incarnation that owned the flow has ended: it returned the packets of a restart probe.
    Orphaned,
}

impl NotOwned {
    /// Name of the proof in metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            NotOwned::Unknown(AllFlowsKnown::FirstStart) => "first_start",
            NotOwned::Unknown(AllFlowsKnown::OlderThanFlows) => "older_than_flows",
            NotOwned::Unknown(AllFlowsKnown::FirstIncarnation) => "first_incarnation",
            NotOwned::Unknown(AllFlowsKnown::BackendWasAbsent) => "backend_was_absent",
            NotOwned::Returned => "returned",
            NotOwned::Orphaned => "orphaned",
        }
    }
}

impl<C: PacketCodec> PassThroughAgent<C> {
    /// The proof that the agent knows every flow of its back end, if there is one.
    pub(super) fn all_flows_known(&self, now: Timestamp) -> Option<AllFlowsKnown> {
        let age = now.saturating_since(self.started_at);
        let members = self.known_replicas.members();
        if self.settings.first_start {
            Some(AllFlowsKnown::FirstStart)
        } else if age >= self.settings.flow_ttl {
            Some(AllFlowsKnown::OlderThanFlows)
        } else if self.registration.was_absent() {
            Some(AllFlowsKnown::BackendWasAbsent)
        } else if self.replica_answers.prove_first_incarnation(members) {
            Some(AllFlowsKnown::FirstIncarnation)
        } else {
            None
        }
    }

    /// The proof that the back end doesn't own a queried flow, if there is one.
    pub(super) fn not_owned(&self, now: Timestamp, queried: &QueriedFlow) -> Option<NotOwned> {
        let flow = FlowId::from(queried.flow);
        if self.is_query_orphaned(queried) {
            return Some(NotOwned::Orphaned);
        }
        if self.speculative_deliveries.was_returned(flow) {
            return Some(NotOwned::Returned);
        }
        // The agent knows a flow between these endpoints, and the acknowledgement number may be
        // that of a part of it that the agent hasn't seen.
        if self.flows.get(flow).is_some() {
            return None;
        }
        self.all_flows_known(now).map(NotOwned::Unknown)
    }
}
