//! A balancer's cache of flows. Lost entries are rebuilt by a flow search.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

use crate::pass_through::packet::FlowId;

use super::acknowledgements::is_ahead;

/// Maximum number of cached flows. More than this is a flood, or needs more balancers.
const MAX_FLOWS: usize = 1 << 19;
/// Idle time after which a flow without an owner, or one closed by its caller, is forgotten.
const CLOSED_TTL: Duration = Duration::from_secs(3);

/// State of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OfferState {
    Pending,
    /// The flow is in the agent's admission queue.
    Queued,
    TimedOut,
    Accepted {
        sequence: u32,
    },
    Declined,
}

/// An offer of a new flow to an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer {
    pub(crate) agent: SocketAddrV4,
    pub(crate) state: OfferState,
    /// Time of the offer; `None` if the agent replied without one.
    pub(crate) offered_at: Option<Timestamp>,
}

/// Number of a flow's offers, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OfferCounts {
    pub(crate) offered: u32,
    /// Declined because all slots were taken.
    pub(crate) full: u32,
    /// Not replied to in time.
    pub(crate) timed_out: u32,
    /// Declined for another reason.
    pub(crate) other: u32,
}

impl fmt::Display for OfferCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let OfferCounts {
            offered,
            full,
            timed_out,
            other,
        } = self;
        write!(
            formatter,
            "asked={offered} full={full} late={timed_out} other={other}"
        )
    }
}

/// Cached state of a flow.
#[derive(Debug)]
pub(crate) struct CachedFlow {
    pub(crate) service: u64,
    pub(crate) offers: Vec<Offer>,
    pub(crate) offer_counts: OfferCounts,
    /// The SYN, until a back end has accepted it.
    pub(crate) syn: Option<Vec<u8>>,
    pub(crate) owner: Option<SocketAddrV4>,
    /// Whether the flow is offered to full agents, which may queue it.
    pub(crate) offered_to_queue: bool,
    /// Minimum time since the first SYN when the flow's first packet arrived here.
    pub(crate) syn_age: Duration,
    pub(crate) closed: bool,
    /// Whether the owner was suspected at the latest packet.
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

    /// Number of offers that were replied to, or whose reply may still arrive in time. An agent
    /// that didn't reply in time gives no information about its capacity.
    pub(crate) fn replied_offers(&self) -> usize {
        let is_replied = |it: &&Offer| it.state != OfferState::TimedOut;
        self.offers.iter().filter(is_replied).count()
    }

    pub(crate) fn accepted(&self) -> Option<SocketAddrV4> {
        let is_accepted = |it: &&Offer| matches!(it.state, OfferState::Accepted { .. });
        self.offers.iter().find(is_accepted).map(|it| it.agent)
    }

    /// Whether a reply to an offer is expected, other than a late one.
    pub(crate) fn awaits_reply(&self) -> bool {
        let awaits_reply =
            |it: &Offer| matches!(it.state, OfferState::Pending | OfferState::Queued);
        self.offers.iter().any(awaits_reply)
    }

    /// Whether the flow is in an agent's admission queue.
    pub(crate) fn is_queued(&self) -> bool {
        let is_queued = |it: &Offer| it.state == OfferState::Queued;
        self.offers.iter().any(is_queued)
    }

    /// The agent whose back end's sequence numbers the caller acknowledges.
    pub(crate) fn agent_for_ack(&self, acknowledged: u32) -> Option<SocketAddrV4> {
        let matches = |it: &&Offer| match it.state {
            OfferState::Accepted { sequence } => is_ahead(acknowledged, sequence),
            _ => false,
        };
        self.offers.iter().find(matches).map(|it| it.agent)
    }

    /// The agent whose back end may own the flow, if there is only one.
    pub(crate) fn sole_offer(&self) -> Option<SocketAddrV4> {
        let mut possible_owners = self
            .offers
            .iter()
            .filter(|it| it.state != OfferState::Declined);
        let first = possible_owners.next()?;
        possible_owners.next().is_none().then_some(first.agent)
    }
}

/// All cached flows of a balancer.
#[derive(Debug, Default)]
pub(crate) struct FlowCache {
    flows: HashMap<FlowId, CachedFlow>,
}

impl FlowCache {
    pub(crate) fn get_mut(&mut self, flow: FlowId) -> Option<&mut CachedFlow> {
        self.flows.get_mut(&flow)
    }

    pub(crate) fn entry(&mut self, now: Timestamp, flow: FlowId, service: u64) -> &mut CachedFlow {
        let cached = self.flows.entry(flow);
        cached.or_insert_with(|| CachedFlow::new(now, service))
    }

    pub(crate) fn insert(&mut self, flow: FlowId, cached: CachedFlow) {
        self.flows.insert(flow, cached);
    }

    pub(crate) fn remove(&mut self, flow: FlowId) -> Option<CachedFlow> {
        self.flows.remove(&flow)
    }

    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no more flows can be cached.
    pub(crate) fn is_full(&self) -> bool {
        self.flows.len() >= MAX_FLOWS
    }

    /// Forgets closed flows, flows without an owner, and flows that were idle for `idle_ttl`.
    pub(crate) fn expire(&mut self, now: Timestamp, idle_ttl: Duration) {
        self.flows.retain(|_, cached| {
            let idle_time = now.saturating_since(cached.last_used_at);
            let is_open = cached.owner.is_some() && !cached.closed;
            idle_time < if is_open { idle_ttl } else { CLOSED_TTL }
        });
    }
}
