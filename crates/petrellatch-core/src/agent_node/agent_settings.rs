//! Settings of an agent.

use std::time::Duration;

use crate::admission::AdmissionMutations;
use crate::dissemination::LinkSettings;
use crate::flow::FlowBuffers;

/// What an agent needs to know before it starts.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The link to the control group.
    pub link: LinkSettings,
    /// Buffers of each flow.
    pub buffers: FlowBuffers,
    /// The longest time that a new flow may be expected to wait for a slot of
    /// its back end; beyond it the flow is passed on or refused.
    pub wait_limit: Duration,
    /// A new flow is passed to another back end with room if that has fewer
    /// requests in progress by at least so many thousandths of a request.
    pub hunt_margin: u64,
    /// The longest time that a connection to a back end may take to come
    /// about.
    pub connect_timeout: Duration,
    /// Deliberate faults for the lab.
    pub mutations: AdmissionMutations,
}

impl Default for AgentSettings {
    fn default() -> Self {
        AgentSettings {
            link: LinkSettings::default(),
            buffers: FlowBuffers::default(),
            wait_limit: Duration::from_millis(250),
            hunt_margin: 1_000,
            connect_timeout: Duration::from_secs(1),
            mutations: AdmissionMutations::default(),
        }
    }
}
