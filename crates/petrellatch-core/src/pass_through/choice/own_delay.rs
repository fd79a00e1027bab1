//! Whether late answers are the fault of the balancer's own link or processor.
//!
//! A full link delays the answers of all agents, and they come in the end. Agents that
//! are gone don't answer at all, whether one or a zone of them. So only answers that
//! came count here, and silence never does: while most agents that answered lately were
//! late, nobody is suspected, and nobody else is asked in place of a late one.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

/// An answer that takes longer is late. Agents answer within a millisecond, and the way
/// there and back is 40 ms between regions at most.
const LATE: Duration = Duration::from_millis(60);
/// Answers of so long ago count: as long as an agent is suspected at first. Under load
/// a balancer hears from dozens of agents within it.
const WINDOW: Duration = Duration::from_millis(250);
/// The share of agents that must be late: more than any zone of three has, so that
/// slow machines of one zone are no proof against the balancer.
const LATE_SHARE: f64 = 0.5;
/// Fewer agents are no proof.
const MIN_AGENTS: usize = 4;

/// The latest answer of each agent.
#[derive(Debug, Default)]
pub(crate) struct OwnDelay {
    answers: BTreeMap<SocketAddrV4, (Timestamp, bool)>,
}

impl OwnDelay {
    /// Notes an answer, and how long it took.
    pub(crate) fn record(&mut self, now: Timestamp, agent: SocketAddrV4, time: Duration) {
        self.answers.insert(agent, (now, time >= LATE));
    }

    /// Whether answers come late because of the balancer's own machine.
    pub(crate) fn is_own(&mut self, now: Timestamp) -> bool {
        let is_recent = |at| now.saturating_since(at) < WINDOW;
        self.answers.retain(|_, (at, _)| is_recent(*at));
        let late = self.answers.values().filter(|(_, late)| *late).count();
        let answered = self.answers.len();
        answered >= MIN_AGENTS && late as f64 > answered as f64 * LATE_SHARE
    }
}
