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
pub(crate) enum OfferState {
    Pending,
    /// The flow waits there for a place.
    Queued,
    TimedOut,
    Accepted {
        sequence: u32,
    },
    Declined,
}

/// An agent that was asked to take a flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer {
    pub(crate) agent: SocketAddrV4,
    pub(crate) state: OfferState,
    /// When it was asked; none if it answered unasked.
    pub(crate) offered_at: Option<Timestamp>,
}

/// How often agents were asked to take a flow, and what they answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OfferCounts {
    pub(crate) offered: u32,
    /// Declined because they had no room.
    pub(crate) full: u32,
    /// Did not answer in time.
    pub(crate) timed_out: u32,
    /// Declined for another reason.
    pub(crate) other: u32,
}

impl fmt::Display for OfferCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let OfferCounts {
            offered: asked,
            full,
            timed_out: late,
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
pub(crate) struct CachedFlow {
    pub(crate) service: u64,
    pub(crate) offers: Vec<Offer>,
    pub(crate) offer_counts: OfferCounts,
    /// The opening packet, as long as nobody has accepted it.
    pub(crate) syn: Option<Vec<u8>>,
    pub(crate) owner: Option<SocketAddrV4>,
    /// Whether full agents were asked to queue it.
    pub(crate) offered_to_queue: bool,
    /// How long the caller had waited, at least, when its first packet came here.
    pub(crate) syn_age: Duration,
    pub(crate) closed: bool,
    /// The owner was suspected at the latest packet.
    pub(crate) stalled: bool,
    pub(crate) created_at: Timestamp,
    pub(crate) last_used_at: Timestamp,
}

impl CachedFlow {
    pub(crate) fn new(now: Timestamp, service: u64) -> Self {
        CachedFlow {
            service,
            offers: Vec::new(),
            offer_counts: OfferCounts::default(),
            syn: None,
            owner: None,
            offered_to_queue: false,
            syn_age: Duration::ZERO,
            closed: false,
            stalled: false,
            created_at: now,
            last_used_at: now,
        }
    }

    pub(crate) fn offer_mut(&mut self, agent: SocketAddrV4) -> Option<&mut Offer> {
        self.offers.iter_mut().find(|it| it.agent == agent)
    }

    pub(crate) fn was_offered(&self, agent: SocketAddrV4) -> bool {
        self.offers.iter().any(|it| it.agent == agent)
    }

    /// How many agents were asked that have answered, or still may in time: the silence of
    /// the others says nothing of the room that there is.
    pub(crate) fn replied_offers(&self) -> usize {
        let is_heard = |it: &&Offer| it.state != OfferState::TimedOut;
        self.offers.iter().filter(is_heard).count()
    }

    pub(crate) fn accepted(&self) -> Option<SocketAddrV4> {
        let accepted = |it: &&Offer| matches!(it.state, OfferState::Accepted { .. });
        self.offers.iter().find(accepted).map(|it| it.agent)
    }

    /// Whether an answer to the opening packet is expected. A late one is not.
    pub(crate) fn awaits_reply(&self) -> bool {
        let awaited = |it: &Offer| matches!(it.state, OfferState::Pending | OfferState::Queued);
        self.offers.iter().any(awaited)
    }

    /// Whether it waits for a place at an agent.
    pub(crate) fn is_queued(&self) -> bool {
        let waits = |it: &Offer| it.state == OfferState::Queued;
        self.offers.iter().any(waits)
    }

    /// The agent whose back end's sequence numbers the caller acknowledges.
    pub(crate) fn agent_for_ack(&self, acknowledged: u32) -> Option<SocketAddrV4> {
        let matches = |it: &&Offer| match it.state {
            OfferState::Accepted { sequence } => {
                acknowledged.wrapping_sub(sequence) < SEQUENCE_WINDOW
            }
            _ => false,
        };
        self.offers.iter().find(matches).map(|it| it.agent)
    }

    /// The only agent that can have the flow, if there is only one.
    pub(crate) fn sole_offer(&self) -> Option<SocketAddrV4> {
        let mut possible = self
            .offers
            .iter()
            .filter(|it| it.state != OfferState::Declined);
        let first = possible.next()?;
        possible.next().is_none().then_some(first.agent)
    }
}

/// All hints of a balancer.
#[derive(Debug, Default)]
pub(crate) struct FlowCache {
    hints: HashMap<FlowId, CachedFlow>,
}

impl FlowCache {
    pub(crate) fn get_mut(&mut self, flow: FlowId) -> Option<&mut CachedFlow> {
        self.hints.get_mut(&flow)
    }

    pub(crate) fn entry(&mut self, now: Timestamp, flow: FlowId, service: u64) -> &mut CachedFlow {
        let hint = self.hints.entry(flow);
        hint.or_insert_with(|| CachedFlow::new(now, service))
    }

    pub(crate) fn insert(&mut self, flow: FlowId, hint: CachedFlow) {
        self.hints.insert(flow, hint);
    }

    pub(crate) fn remove(&mut self, flow: FlowId) -> Option<CachedFlow> {
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
            let rest = now.saturating_since(hint.last_used_at);
            let is_open = hint.owner.is_some() && !hint.closed;
            rest < if is_open { idle_limit } else { ENDED_LIMIT }
        });
    }
}
