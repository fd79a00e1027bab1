//! What a balancer remembers of flows: hints that may be lost.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

use crate::pass_through::packet::FlowId;

/// How far a caller's acknowledgement may be ahead of the first sequence
/// number of the back end that it belongs to.
const SEQUENCE_WINDOW: u32 = 1 << 22;
/// Most flows that are remembered. More would be a flood, or need more
/// balancers.
const MAX_HINTS: usize = 1 << 19;
/// A flow that its caller has ended, or never opened, is forgotten after this.
const ENDED_LIMIT: Duration = Duration::from_secs(3);

/// How an agent answered the opening packet of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CandidateState {
    Asked,
    /// The flow waits there for a place.
    Waiting,
    Late,
    Accepted {
        sequence: u32,
    },
    Declined,
}

/// An agent that was asked to take a flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) agent: SocketAddrV4,
    pub(crate) state: CandidateState,
    /// When it was asked; none if it answered unasked.
    pub(crate) asked_at: Option<Timestamp>,
}

/// How often agents were asked to take a flow, and what they answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AskedAgents {
    pub(crate) asked: u32,
    /// Declined because they had no room.
    pub(crate) full: u32,
    /// Did not answer in time.
    pub(crate) late: u32,
    /// Declined for another reason.
    pub(crate) other: u32,
}

impl fmt::Display for AskedAgents {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AskedAgents {
            asked,
            full,
            late,
            other,
        } = self;
        write!(
            formatter,
            "asked={asked} full={full} late={late} other={other}"
        )
    }
}

/// What is known of one flow.
#[derive(Debug)]
pub(crate) struct FlowHint {
    pub(crate) service: u64,
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) asked: AskedAgents,
    /// The opening packet, as long as nobody has accepted it.
    pub(crate) opening: Option<Vec<u8>>,
    pub(crate) owner: Option<SocketAddrV4>,
    /// Whether full agents were asked to queue it.
    pub(crate) queued: bool,
    /// How long the caller had waited, at least, when its first packet came here.
    pub(crate) age: Duration,
    pub(crate) ended: bool,
    /// The owner was suspected at the latest packet.
    pub(crate) stalled: bool,
    pub(crate) created_at: Timestamp,
    pub(crate) used_at: Timestamp,
}

impl FlowHint {
    pub(crate) fn new(now: Timestamp, service: u64) -> Self {
        FlowHint {
            service,
            candidates: Vec::new(),
            asked: AskedAgents::default(),
            opening: None,
            owner: None,
            queued: false,
            age: Duration::ZERO,
            ended: false,
            stalled: false,
            created_at: now,
            used_at: now,
        }
    }

    pub(crate) fn candidate_mut(&mut self, agent: SocketAddrV4) -> Option<&mut Candidate> {
        self.candidates.iter_mut().find(|it| it.agent == agent)
    }

    pub(crate) fn was_asked(&self, agent: SocketAddrV4) -> bool {
        self.candidates.iter().any(|it| it.agent == agent)
    }

    /// How many agents were asked that have answered, or still may in time: the silence of
    /// the others says nothing of the room that there is.
    pub(crate) fn heard_candidates(&self) -> usize {
        let is_heard = |it: &&Candidate| it.state != CandidateState::Late;
        self.candidates.iter().filter(is_heard).count()
    }

    pub(crate) fn accepted(&self) -> Option<SocketAddrV4> {
        let accepted = |it: &&Candidate| matches!(it.state, CandidateState::Accepted { .. });
        self.candidates.iter().find(accepted).map(|it| it.agent)
    }

    /// Whether an answer to the opening packet is expected. A late one is not.
    pub(crate) fn is_awaited(&self) -> bool {
        let awaited =
            |it: &Candidate| matches!(it.state, CandidateState::Asked | CandidateState::Waiting);
        self.candidates.iter().any(awaited)
    }

    /// Whether it waits for a place at an agent.
    pub(crate) fn is_waiting(&self) -> bool {
        let waits = |it: &Candidate| it.state == CandidateState::Waiting;
        self.candidates.iter().any(waits)
    }

    /// The agent whose back end's sequence numbers the caller acknowledges.
    pub(crate) fn acknowledged(&self, acknowledged: u32) -> Option<SocketAddrV4> {
        let matches = |it: &&Candidate| match it.state {
            CandidateState::Accepted { sequence } => {
                acknowledged.wrapping_sub(sequence) < SEQUENCE_WINDOW
            }
            _ => false,
        };
        self.candidates.iter().find(matches).map(|it| it.agent)
    }

    /// The only agent that can have the flow, if there is only one.
    pub(crate) fn sole_candidate(&self) -> Option<SocketAddrV4> {
        let mut possible = self
            .candidates
            .iter()
            .filter(|it| it.state != CandidateState::Declined);
        let first = possible.next()?;
        possible.next().is_none().then_some(first.agent)
    }
}

/// All hints of a balancer.
#[derive(Debug, Default)]
pub(crate) struct FlowHints {
    hints: HashMap<FlowId, FlowHint>,
}

impl FlowHints {
    pub(crate) fn get_mut(&mut self, flow: FlowId) -> Option<&mut FlowHint> {
        self.hints.get_mut(&flow)
    }

    pub(crate) fn entry(&mut self, now: Timestamp, flow: FlowId, service: u64) -> &mut FlowHint {
        let hint = self.hints.entry(flow);
        hint.or_insert_with(|| FlowHint::new(now, service))
    }

    pub(crate) fn insert(&mut self, flow: FlowId, hint: FlowHint) {
        self.hints.insert(flow, hint);
    }

    pub(crate) fn remove(&mut self, flow: FlowId) -> Option<FlowHint> {
        self.hints.remove(&flow)
    }

    pub(crate) fn len(&self) -> usize {
        self.hints.len()
    }

    /// Whether no more flows can be remembered.
    pub(crate) fn is_full(&self) -> bool {
        self.hints.len() >= MAX_HINTS
    }

    /// Forgets flows that are over or never opened, and those that rested for
    /// `idle_limit`.
    pub(crate) fn expire(&mut self, now: Timestamp, idle_limit: Duration) {
        self.hints.retain(|_, hint| {
            let rest = now.saturating_since(hint.used_at);
            let is_open = hint.owner.is_some() && !hint.ended;
            rest < if is_open { idle_limit } else { ENDED_LIMIT }
        });
    }
}
