//! How the latest edge connections ended.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::caller::CallerState;

/// Number of ended connections that are remembered.
const CAPACITY: usize = 65_536;

/// How an edge connection's flow ended. A client cannot tell a refused flow
/// from a reset one by itself, because the edge has already accepted its
/// connection when the flow is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowOutcome {
    /// Closed in order in both directions.
    Finished,
    /// The SYN was answered by RST; no byte was accepted.
    Refused,
    /// Reset by the peer after it was established.
    Reset,
    /// The peer fell silent before the flow was established or after.
    TimedOut,
    /// The client gave it up.
    Aborted,
}

impl FlowOutcome {
    /// Returns the outcome of a flow that has ended.
    pub fn from_state(state: CallerState) -> Option<FlowOutcome> {
        match state {
            CallerState::Connecting | CallerState::Connected => None,
            CallerState::Finished => Some(FlowOutcome::Finished),
            CallerState::Refused => Some(FlowOutcome::Refused),
            CallerState::Reset => Some(FlowOutcome::Reset),
            CallerState::TimedOut => Some(FlowOutcome::TimedOut),
            CallerState::Aborted => Some(FlowOutcome::Aborted),
        }
    }
}

/// A bounded record of outcomes by client address.
#[derive(Debug, Default)]
pub struct OutcomeLog {
    by_client: BTreeMap<SocketAddr, FlowOutcome>,
    order: VecDeque<SocketAddr>,
}

impl OutcomeLog {
    /// Records how the connection of this client ended.
    pub fn record(&mut self, client: SocketAddr, outcome: FlowOutcome) {
        if self.by_client.insert(client, outcome).is_none() {
            self.order.push_back(client);
        }
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_client.remove(&oldest);
        }
    }

    /// Returns how the last connection of this client ended.
    pub fn find(&self, client: SocketAddr) -> Option<FlowOutcome> {
        self.by_client.get(&client).copied()
    }
}
