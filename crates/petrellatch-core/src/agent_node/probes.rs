//! Connections that an agent opens itself, to find out whether a back end
//! works again.

use std::collections::BTreeMap;

use crate::Timestamp;
use crate::admission::BackendStage;
use crate::event::EventKind;
use crate::identity::BackendId;

use super::agent_output::{AgentOutput, BackendEvent, FlowId};
use super::node::{AgentNode, StopPhase};

/// A connection that is being opened.
#[derive(Clone, Copy, Debug)]
struct Probe {
    backend: BackendId,
    until: Timestamp,
}

/// The trials in progress, at most one a back end.
#[derive(Clone, Debug, Default)]
pub(super) struct Probes {
    running: BTreeMap<FlowId, Probe>,
}

impl Probes {
    fn is_running(&self, backend: BackendId) -> bool {
        self.running.values().any(|probe| probe.backend == backend)
    }

    fn expired(&self, now: Timestamp) -> Vec<FlowId> {
        let probes = self.running.iter();
        let expired = probes.filter(|(_, probe)| probe.until <= now);
        expired.map(|(id, _)| *id).collect()
    }
}

impl AgentNode {
    /// Tries the back ends that no flow has tried for long enough.
    pub(super) fn probe_backends(&mut self, now: Timestamp) {
        for id in self.probes.expired(now) {
            self.handle_probe_event(now, id, &BackendEvent::ConnectFailed);
        }
        if self.stop != StopPhase::Running {
            return;
        }
        let wanted = self.backends.iter().filter(|(id, local)| {
            let wants = local.health.wants_probe(now);
            wants && !self.probes.is_running(**id)
        });
        let wanted: Vec<BackendId> = wanted.map(|(id, _)| *id).collect();
        for backend in wanted {
            self.start_probe(now, backend);
        }
    }

    /// Takes what happened on a connection that is not a flow's.
    pub(super) fn handle_probe_event(&mut self, now: Timestamp, id: FlowId, event: &BackendEvent) {
        let Some(probe) = self.probes.running.remove(&id) else {
            return;
        };
        self.outputs.push_back(AgentOutput::Abort { flow: id });
        if *event != BackendEvent::Connected {
            self.record_fails(now, probe.backend, BackendStage::Connect);
            return;
        }
        let Some(local) = self.backends.get_mut(&probe.backend) else {
            return;
        };
        if local.health.record_probe_success(now) {
            let name = local.record.name.clone();
            self.emit(EventKind::BackendReachable, name);
        }
    }

    fn start_probe(&mut self, now: Timestamp, backend: BackendId) {
        let Some(local) = self.backends.get_mut(&backend) else {
            return;
        };
        local.health.begin_probe(now);
        let server = local.record.server.into();
        let flow = self.flows.reserve();
        let until = now + self.settings.connect_timeout;
        self.probes.running.insert(flow, Probe { backend, until });
        self.outputs
            .push_back(AgentOutput::Connect { flow, server });
    }
}
