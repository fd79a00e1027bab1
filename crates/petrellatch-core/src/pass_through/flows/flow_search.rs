//! Search for the agent whose back end owns a flow that the balancer doesn't know.
//!
//! Only one back end owns a flow, and its packets must not reach others. So the balancer
//! queries the agents first: those of the service that the route currently names, if there
//! are many, and then the others, since an open flow stays at its back end when its route
//! changes. Agents that may have lost their flow state get a packet as a speculative
//! delivery, but only if the owner is certainly among them: all agents have replied, and
//! all of these get the packet at the same time. A flow is orphaned, and its caller is sent
//! a reset, once every back end is known not to own it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::ReturnedPacket;

use crate::time::Timestamp;

use crate::pass_through::packet::PacketView;

/// Maximum number of buffered packets of one flow; a caller has this many in flight.
const MAX_BUFFERED_PACKETS: usize = 16;
/// Maximum number of speculative deliveries of a flow while some agents haven't replied, so
/// that the owner may be among those.
const MAX_NON_OWNERS: usize = 2;
/// Time after the start of a round from which agents that haven't replied count as missing.
/// It is also the interval between the first two rounds, which then doubles.
pub(super) const QUERY_ROUND: Duration = Duration::from_millis(60);
/// Maximum number of times that the interval between rounds doubles.
const MAX_ROUND_DOUBLINGS: u32 = 3;
/// Number of rounds for which the search for a flow closed by its caller waits for a
/// complete directory. Its back end may wait for the FIN; if the owner isn't found, the
/// caller retransmits the FIN.
const MAX_CLOSED_FLOW_ROUNDS: u32 = 3;
/// Maximum number of missing agents that are named in the log.
const MAX_LOGGED_AGENTS: usize = 3;
/// A search ends when its caller has been silent for this time.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Reply of one agent for a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchReply {
    /// Queried, no reply yet.
    Missing,
    /// Its back end may own the flow.
    PossiblyOwned,
    /// Its back end got a speculative delivery.
    Delivered,
    /// Its back end doesn't own the flow.
    NotOwned,
}

/// An agent that was queried.
#[derive(Clone, Copy, Debug)]
struct QueriedAgent {
    reply: SearchReply,
    /// See [`SearchTarget::is_expected`].
    is_expected: bool,
    /// See [`SearchTarget::has_backend`].
    has_backend: bool,
}

/// An agent that may be queried.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SearchTarget {
    pub(crate) address: SocketAddrV4,
    /// Whether the agent replies to queries and has received packets or a registration of its
    /// back end since it started. Otherwise an agent that doesn't reply counts as absent along
    /// with its back end, and the search doesn't wait for it.
    pub(crate) is_expected: bool,
    /// Whether the agent has received packets or a registration of its back end since it
    /// started. While replicas receive its reports and it hasn't replied, no flow counts as
    /// orphaned.
    pub(crate) has_backend: bool,
}

/// Next step of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SearchStep {
    /// Nothing to do yet.
    Wait,
    /// Query the agents of other services as well.
    QueryAll,
    /// Deliver the packet speculatively through these agents, all at once.
    DeliverSpeculatively(Vec<SocketAddrV4>),
    /// No back end owns the flow.
    Orphaned,
    /// The caller has closed the flow, and no agent that replies owns it. The caller awaits no
    /// reset.
    CallerClosed,
}

/// Agents that a search queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchScope {
    /// The agents of one service, which own most of the searched flows.
    Service,
    /// All agents, from the next round on.
    AllNext,
    /// All agents. Their replies are conclusive.
    All,
}

/// Search for one flow.
#[derive(Debug)]
pub(crate) struct FlowSearch {
    /// Service whose agents are queried first.
    service: u64,
    scope: SearchScope,
    /// Latest acknowledgement number of the caller.
    acknowledged: u32,
    /// Buffered packets, oldest first.
    buffered: VecDeque<Vec<u8>>,
    /// Whether the caller has sent data and awaits a response.
    awaits_response: bool,
    /// Whether the caller has closed the flow.
    caller_closed: bool,
    started_at: Timestamp,
    last_packet_at: Timestamp,
    rounds: u32,
    /// Start of the latest round.
    pub(super) round_started_at: Timestamp,
    /// Total number of agents that the directory had added by then.
    agents_at_round_start: u64,
    /// Start of the next round.
    pub(super) due_at: Timestamp,
    agents: BTreeMap<SocketAddrV4, QueriedAgent>,
    /// Number of speculative deliveries.
    delivery_count: usize,
    /// Whether the oldest buffered packet was delivered speculatively.
    first_is_delivered: bool,
}

impl FlowSearch {
    pub(super) fn new(now: Timestamp, service: u64) -> Self {
        FlowSearch {
            service,
            scope: SearchScope::Service,
            acknowledged: 0,
            buffered: VecDeque::new(),
            awaits_response: false,
            caller_closed: false,
            started_at: now,
            last_packet_at: now,
            rounds: 0,
            round_started_at: now,
            agents_at_round_start: 0,
            due_at: now,
            agents: BTreeMap::new(),
            delivery_count: 0,
            first_is_delivered: false,
        }
    }

    pub(crate) fn service(&self) -> u64 {
        self.service
    }

    /// Whether agents of other services are queried as well.
    pub(crate) fn queries_all(&self) -> bool {
        self.scope != SearchScope::Service
    }

    /// Makes the next round query the agents of all services.
    pub(crate) fn query_all(&mut self) {
        if self.scope == SearchScope::Service {
            self.scope = SearchScope::AllNext;
        }
    }

    /// Total number of agents that the directory had added when the latest round began.
    pub(crate) fn agents_known_when_queried(&self) -> u64 {
        self.agents_at_round_start
    }

    pub(crate) fn acknowledged(&self) -> u32 {
        self.acknowledged
    }

    /// Whether the caller has sent a packet since the search began.
    pub(crate) fn has_packet(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// Whether the caller awaits a response and hasn't closed the flow.
    pub(crate) fn caller_awaits_response(&self) -> bool {
        self.awaits_response && !self.caller_closed
    }

    pub(crate) fn rounds(&self) -> u32 {
        self.rounds
    }

    pub(crate) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Packet for speculative deliveries: the oldest buffered one.
    pub(crate) fn packet_to_deliver(&self) -> Option<&Vec<u8>> {
        self.buffered.front()
    }

    /// Buffered packets that weren't delivered. The one that was delivered speculatively has
    /// reached the back end, if the owner was found by it.
    pub(crate) fn into_undelivered(mut self) -> VecDeque<Vec<u8>> {
        if self.first_is_delivered {
            self.buffered.pop_front();
        }
        self.buffered
    }

    pub(super) fn note_packet(&mut self, now: Timestamp, view: &PacketView, packet: &[u8]) {
        self.last_packet_at = now;
        self.acknowledged = view.ack_number;
        self.awaits_response |= view.data_bytes > 0;
        self.caller_closed |= view.fin || view.rst;
        let is_duplicate = self.buffered.iter().any(|buffered| buffered == packet);
        if is_duplicate {
            return;
        }
        if self.buffered.len() == MAX_BUFFERED_PACKETS {
            self.buffered.pop_front();
            self.first_is_delivered = false;
        }
        self.buffered.push_back(packet.to_vec());
    }

    /// Records that the back end of an agent returned a packet of the flow.
    pub(super) fn note_returned(
        &mut self,
        now: Timestamp,
        agent: SocketAddrV4,
        returned: &ReturnedPacket,
    ) {
        self.last_packet_at = now;
        self.acknowledged = returned.acknowledged;
        self.awaits_response |= returned.carried_data;
        let known = QueriedAgent {
            reply: SearchReply::NotOwned,
            is_expected: true,
            has_backend: true,
        };
        self.agents.insert(agent, known);
    }

    /// Those of `agents` that haven't replied that they don't own the flow.
    pub(super) fn undecided(&self, agents: &[SearchTarget]) -> Vec<SocketAddrV4> {
        let not_owned = |agent: &&SearchTarget| {
            let known = self.agents.get(&agent.address);
            known.is_some_and(|it| it.reply == SearchReply::NotOwned)
        };
        let undecided = agents.iter().filter(|agent| !not_owned(agent));
        undecided.map(|agent| agent.address).collect()
    }

    /// Begins a round. Returns which of `agents` to query: those that haven't replied that they
    /// don't own the flow, since that reply stays true for an open flow. `total_added` is the
    /// total number of agents that the directory has added.
    pub(crate) fn begin_round(
        &mut self,
        now: Timestamp,
        agents: &[SearchTarget],
        total_added: u64,
    ) -> Vec<SocketAddrV4> {
        self.rounds += 1;
        self.agents_at_round_start = total_added;
        if self.scope == SearchScope::AllNext {
            self.scope = SearchScope::All;
        }
        self.round_started_at = now;
        self.due_at = now + QUERY_ROUND * (1 << (self.rounds - 1).min(MAX_ROUND_DOUBLINGS));
        let not_owned = |agent: &QueriedAgent| agent.reply == SearchReply::NotOwned;
        self.agents.retain(|_, agent| not_owned(agent));
        let mut queried = Vec::new();
        for agent in agents {
            if self.agents.contains_key(&agent.address) {
                continue;
            }
            let queried_agent = QueriedAgent {
                reply: SearchReply::Missing,
                is_expected: agent.is_expected,
                has_backend: agent.has_backend,
            };
            self.agents.insert(agent.address, queried_agent);
            queried.push(agent.address);
        }
        queried
    }

    pub(crate) fn note_not_owned(&mut self, agent: SocketAddrV4, certain: bool) {
        let Some(queried) = self.agents.get_mut(&agent) else {
            return;
        };
        if certain {
            queried.reply = SearchReply::NotOwned;
        } else if queried.reply == SearchReply::Missing {
            queried.reply = SearchReply::PossiblyOwned;
        }
    }

    /// Returns the next step. `directory_is_complete` says whether the balancer knew every
    /// running agent when the round began.
    pub(crate) fn next_step(&mut self, now: Timestamp, directory_is_complete: bool) -> SearchStep {
        if self.rounds == 0 {
            return SearchStep::Wait;
        }
        let is_due = now.saturating_since(self.round_started_at) >= QUERY_ROUND;
        let missing = match is_due {
            true => self.expected_missing(),
            false => self.count(SearchReply::Missing),
        };
        if missing > 0 && !is_due {
            return SearchStep::Wait;
        }
        match self.scope {
            SearchScope::Service => return SearchStep::QueryAll,
            SearchScope::AllNext => return SearchStep::Wait,
            SearchScope::All => {}
        }
        let possibly_owned = self.count(SearchReply::PossiblyOwned);
        let delivered = self.count(SearchReply::Delivered);
        let is_complete = missing == 0 && directory_is_complete && self.most_have_replied();
        if possibly_owned > 0 {
            let is_few = possibly_owned + self.delivery_count <= MAX_NON_OWNERS;
            let may_deliver = is_complete || (is_few && is_due);
            return match may_deliver && !self.buffered.is_empty() {
                true => SearchStep::DeliverSpeculatively(self.note_delivered()),
                false => SearchStep::Wait,
            };
        }
        if self.caller_closed && missing == 0 && self.closed_search_is_over(directory_is_complete) {
            return SearchStep::CallerClosed;
        }
        let may_reset = self.caller_awaits_response() && !self.silent_agent_may_own();
        match is_complete && delivered == 0 && may_reset {
            true => SearchStep::Orphaned,
            false => SearchStep::Wait,
        }
    }

    /// Whether no agent that replies owns a flow that its caller has closed.
    fn closed_search_is_over(&self, directory_is_complete: bool) -> bool {
        let has_waited = directory_is_complete || self.rounds >= MAX_CLOSED_FLOW_ROUNDS;
        let some_do_not_own = self.count(SearchReply::NotOwned) > 0;
        let none_delivered = self.count(SearchReply::Delivered) == 0;
        has_waited && some_do_not_own && none_delivered && self.most_have_replied()
    }

    /// Number of agents with this reply.
    fn count(&self, reply: SearchReply) -> usize {
        let agents = self.agents.values();
        agents.filter(|agent| agent.reply == reply).count()
    }

    /// Whether an agent that hasn't replied may own the flow.
    fn silent_agent_may_own(&self) -> bool {
        let mut agents = self.agents.values();
        agents.any(|it| it.has_backend && it.reply == SearchReply::Missing)
    }

    /// Whether more than half of the agents have replied. Otherwise the fault is likely to be on
    /// the balancer's side.
    fn most_have_replied(&self) -> bool {
        let missing = self.count(SearchReply::Missing);
        missing * 2 < self.agents.len()
    }

    /// Number of agents that are expected to reply and haven't.
    fn expected_missing(&self) -> usize {
        let is_pending = |it: &&QueriedAgent| it.is_expected && it.reply == SearchReply::Missing;
        self.agents.values().filter(is_pending).count()
    }

    fn note_delivered(&mut self) -> Vec<SocketAddrV4> {
        let mut delivered = Vec::new();
        for (address, agent) in &mut self.agents {
            if agent.reply == SearchReply::PossiblyOwned {
                agent.reply = SearchReply::Delivered;
                delivered.push(*address);
            }
        }
        self.delivery_count += delivered.len();
        self.first_is_delivered = true;
        delivered
    }

    /// Replies of the agents, for the log.
    pub(crate) fn summary(&self) -> String {
        let missing = self.count(SearchReply::Missing);
        let possibly_owned = self.count(SearchReply::PossiblyOwned);
        let delivered = self.count(SearchReply::Delivered);
        let not_owned = self.count(SearchReply::NotOwned);
        let rounds = self.rounds;
        let expected = self.expected_missing();
        let names = self.missing_names();
        format!(
            "rounds={rounds} missing={missing} expected={expected} uncertain={possibly_owned} tried={delivered} lacks={not_owned}{names}"
        )
    }

    /// Some of the missing agents, for the log. Those that can block a decision come first.
    fn missing_names(&self) -> String {
        let is_missing = |agent: &QueriedAgent| agent.reply == SearchReply::Missing;
        let missing = self.agents.iter().filter(|(_, agent)| is_missing(agent));
        let mut missing: Vec<_> = missing.collect();
        missing.sort_by_key(|(_, agent)| (!agent.has_backend, !agent.is_expected));
        let names = missing.iter().take(MAX_LOGGED_AGENTS);
        let names: Vec<String> = names.map(|(address, _)| address.to_string()).collect();
        match names.is_empty() {
            true => String::new(),
            false => format!(" missing_agents={}", names.join(",")),
        }
    }

    /// State of the caller, for the log. A caller that awaits no response, or that has closed
    /// the flow, is sent no reset for an orphaned flow.
    pub(crate) fn caller_summary(&self) -> String {
        format!(
            "awaits={} ended={}",
            self.awaits_response, self.caller_closed
        )
    }

    /// Whether the caller has been silent for so long that it has given up.
    pub(crate) fn has_timed_out(&self, now: Timestamp) -> bool {
        now.saturating_since(self.last_packet_at) >= SEARCH_TIMEOUT
    }
}
