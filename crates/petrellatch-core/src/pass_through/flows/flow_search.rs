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
const MAX_WAITING: usize = 16;
/// Maximum number of speculative deliveries of a flow while some agents haven't replied, so
/// that the owner may be among those.
const MAX_STRANGERS: usize = 2;
/// Duration of a round. Agents that haven't replied by then count as missing.
pub(super) const QUERY_ROUND: Duration = Duration::from_millis(60);
/// Maximum number of times that the interval between rounds doubles.
const MAX_ROUND_DOUBLINGS: u32 = 3;
/// Number of rounds for which the search for a flow closed by its caller waits for a
/// complete directory. Its back end may wait for the FIN; if the owner isn't found, the
/// caller retransmits the FIN.
const ENDED_ROUNDS: u32 = 3;
/// Maximum number of missing agents that are named in the log.
const MAX_NAMED: usize = 3;
/// A search ends when its caller has been silent for this time.
const SEARCH_LIMIT: Duration = Duration::from_millis(2_500);

/// Reply of one agent for a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchAnswer {
    /// Queried, no reply yet.
    Missing,
    /// Its back end may own the flow.
    Uncertain,
    /// Its back end got a speculative delivery.
    Tried,
    /// Its back end doesn't own the flow.
    Lacks,
}

/// An agent that was queried.
#[derive(Clone, Copy, Debug)]
struct AskedAgent {
    answer: SearchAnswer,
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
    /// back end since it started. Otherwise a missing reply means that its back end is gone.
    pub(crate) is_expected: bool,
    /// Whether the agent has received packets or a registration of its back end since it
    /// started. While replicas receive its reports and it hasn't replied, no flow is given up.
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
    waiting: VecDeque<Vec<u8>>,
    /// Whether the caller has sent data and awaits a response.
    awaits_answer: bool,
    /// Whether the caller has closed the flow.
    ended: bool,
    started_at: Timestamp,
    packet_at: Timestamp,
    rounds: u32,
    /// Start of the latest round.
    pub(super) asked_at: Timestamp,
    /// Total number of agents that the directory had added by then.
    asked_of: u64,
    /// Start of the next round.
    pub(super) due_at: Timestamp,
    agents: BTreeMap<SocketAddrV4, AskedAgent>,
    /// Number of speculative deliveries.
    tries: usize,
    /// Whether the oldest buffered packet was delivered speculatively.
    first_is_tried: bool,
}

impl FlowSearch {
    pub(super) fn new(now: Timestamp, service: u64) -> Self {
        FlowSearch {
            service,
            scope: SearchScope::Service,
            acknowledged: 0,
            waiting: VecDeque::new(),
            awaits_answer: false,
            ended: false,
            started_at: now,
            packet_at: now,
            rounds: 0,
            asked_at: now,
            asked_of: 0,
            due_at: now,
            agents: BTreeMap::new(),
            tries: 0,
            first_is_tried: false,
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
        self.asked_of
    }

    pub(crate) fn acknowledged(&self) -> u32 {
        self.acknowledged
    }

    /// Whether the caller has sent a packet since the search began.
    pub(crate) fn has_packet(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whether the caller awaits a response and hasn't closed the flow.
    pub(crate) fn caller_awaits_response(&self) -> bool {
        self.awaits_answer && !self.ended
    }

    pub(crate) fn rounds(&self) -> u32 {
        self.rounds
    }

    pub(crate) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Packet for speculative deliveries: the oldest buffered one.
    pub(crate) fn packet_to_deliver(&self) -> Option<&Vec<u8>> {
        self.waiting.front()
    }

    /// Buffered packets that weren't delivered. The one that was delivered speculatively has
    /// reached the back end, if the owner was found by it.
    pub(crate) fn into_undelivered(mut self) -> VecDeque<Vec<u8>> {
        if self.first_is_tried {
            self.waiting.pop_front();
        }
        self.waiting
    }

    pub(super) fn note_packet(&mut self, now: Timestamp, view: &PacketView, packet: &[u8]) {
        self.packet_at = now;
        self.acknowledged = view.ack_number;
        self.awaits_answer |= view.data_bytes > 0;
        self.ended |= view.fin || view.rst;
        let is_copy = self.waiting.iter().any(|waiting| waiting == packet);
        if is_copy {
            return;
        }
        if self.waiting.len() == MAX_WAITING {
            self.waiting.pop_front();
            self.first_is_tried = false;
        }
        self.waiting.push_back(packet.to_vec());
    }

    /// Records that the back end of an agent returned a packet of the flow.
    pub(super) fn note_returned(
        &mut self,
        now: Timestamp,
        agent: SocketAddrV4,
        returned: &ReturnedPacket,
    ) {
        self.packet_at = now;
        self.acknowledged = returned.acknowledged;
        self.awaits_answer |= returned.carried_data;
        let known = AskedAgent {
            answer: SearchAnswer::Lacks,
            is_expected: true,
            has_backend: true,
        };
        self.agents.insert(agent, known);
    }

    /// Those of `agents` that haven't replied that they don't own the flow.
    pub(super) fn undecided(&self, agents: &[SearchTarget]) -> Vec<SocketAddrV4> {
        let lacks = |agent: &&SearchTarget| {
            let known = self.agents.get(&agent.address);
            known.is_some_and(|it| it.answer == SearchAnswer::Lacks)
        };
        let unsettled = agents.iter().filter(|agent| !lacks(agent));
        unsettled.map(|agent| agent.address).collect()
    }

    /// Begins a round. Returns which of `agents` to query: those that haven't replied that they
    /// don't own the flow, since that reply stays true for an open flow. `total_added` is the
    /// total number of agents that the directory has added.
    pub(crate) fn begin_round(
        &mut self,
        now: Timestamp,
        agents: &[SearchTarget],
        added: u64,
    ) -> Vec<SocketAddrV4> {
        self.rounds += 1;
        self.asked_of = added;
        if self.scope == SearchScope::AllNext {
            self.scope = SearchScope::All;
        }
        self.asked_at = now;
        self.due_at = now + QUERY_ROUND * (1 << (self.rounds - 1).min(MAX_ROUND_DOUBLINGS));
        let lacks = |agent: &AskedAgent| agent.answer == SearchAnswer::Lacks;
        self.agents.retain(|_, agent| lacks(agent));
        let mut asked = Vec::new();
        for agent in agents {
            if self.agents.contains_key(&agent.address) {
                continue;
            }
            let asked_agent = AskedAgent {
                answer: SearchAnswer::Missing,
                is_expected: agent.is_expected,
                has_backend: agent.has_backend,
            };
            self.agents.insert(agent.address, asked_agent);
            asked.push(agent.address);
        }
        asked
    }

    pub(crate) fn note_not_owned(&mut self, agent: SocketAddrV4, certain: bool) {
        let Some(asked) = self.agents.get_mut(&agent) else {
            return;
        };
        if certain {
            asked.answer = SearchAnswer::Lacks;
        } else if asked.answer == SearchAnswer::Missing {
            asked.answer = SearchAnswer::Uncertain;
        }
    }

    /// Returns the next step. `directory_is_complete` says whether the balancer knew every
    /// running agent when the round began.
    pub(crate) fn next_step(&mut self, now: Timestamp, whole_directory: bool) -> SearchStep {
        if self.rounds == 0 {
            return SearchStep::Wait;
        }
        let is_due = now.saturating_since(self.asked_at) >= QUERY_ROUND;
        let missing = match is_due {
            true => self.expected(),
            false => self.count(SearchAnswer::Missing),
        };
        if missing > 0 && !is_due {
            return SearchStep::Wait;
        }
        match self.scope {
            SearchScope::Service => return SearchStep::QueryAll,
            SearchScope::AllNext => return SearchStep::Wait,
            SearchScope::All => {}
        }
        let uncertain = self.count(SearchAnswer::Uncertain);
        let tried = self.count(SearchAnswer::Tried);
        let is_complete = missing == 0 && whole_directory && self.most_have_answered();
        if uncertain > 0 {
            let are_few = uncertain + self.tries <= MAX_STRANGERS;
            let may_try = is_complete || (are_few && is_due);
            return match may_try && !self.waiting.is_empty() {
                true => SearchStep::DeliverSpeculatively(self.note_tried()),
                false => SearchStep::Wait,
            };
        }
        if self.ended && missing == 0 && self.is_end_settled(whole_directory) {
            return SearchStep::CallerClosed;
        }
        let may_reset = self.caller_awaits_response() && !self.may_be_at_silent_agent();
        match is_complete && tried == 0 && may_reset {
            true => SearchStep::Orphaned,
            false => SearchStep::Wait,
        }
    }

    /// Whether no agent that replies owns a flow that its caller has closed.
    fn is_end_settled(&self, whole_directory: bool) -> bool {
        let has_waited = whole_directory || self.rounds >= ENDED_ROUNDS;
        let some_lack = self.count(SearchAnswer::Lacks) > 0;
        let none_tried = self.count(SearchAnswer::Tried) == 0;
        has_waited && some_lack && none_tried && self.most_have_answered()
    }

    /// Number of agents with this reply.
    fn count(&self, answer: SearchAnswer) -> usize {
        let agents = self.agents.values();
        agents.filter(|agent| agent.answer == answer).count()
    }

    /// Whether an agent that hasn't replied may own the flow.
    fn may_be_at_silent_agent(&self) -> bool {
        let mut agents = self.agents.values();
        agents.any(|it| it.has_backend && it.answer == SearchAnswer::Missing)
    }

    /// Whether more than half of the agents have replied. Otherwise the fault is likely to be on
    /// the balancer's side.
    fn most_have_answered(&self) -> bool {
        let missing = self.count(SearchAnswer::Missing);
        missing * 2 < self.agents.len()
    }

    /// Number of agents that are expected to reply and haven't.
    fn expected(&self) -> usize {
        let is_awaited = |it: &&AskedAgent| it.is_expected && it.answer == SearchAnswer::Missing;
        self.agents.values().filter(is_awaited).count()
    }

    fn note_tried(&mut self) -> Vec<SocketAddrV4> {
        let mut tried = Vec::new();
        for (address, agent) in &mut self.agents {
            if agent.answer == SearchAnswer::Uncertain {
                agent.answer = SearchAnswer::Tried;
                tried.push(*address);
            }
        }
        self.tries += tried.len();
        self.first_is_tried = true;
        tried
    }

    /// Replies of the agents, for the log.
    pub(crate) fn summary(&self) -> String {
        let missing = self.count(SearchAnswer::Missing);
        let uncertain = self.count(SearchAnswer::Uncertain);
        let tried = self.count(SearchAnswer::Tried);
        let lacks = self.count(SearchAnswer::Lacks);
        let rounds = self.rounds;
        let expected = self.expected();
        let named = self.missing_names();
        format!(
            "rounds={rounds} missing={missing} expected={expected} uncertain={uncertain} tried={tried} lacks={lacks}{named}"
        )
    }

    /// Some of the missing agents, for the log. Those that can block a decision come first.
    fn missing_names(&self) -> String {
        let is_missing = |agent: &AskedAgent| agent.answer == SearchAnswer::Missing;
        let missing = self.agents.iter().filter(|(_, agent)| is_missing(agent));
        let mut missing: Vec<_> = missing.collect();
        missing.sort_by_key(|(_, agent)| (!agent.has_backend, !agent.is_expected));
        let names = missing.iter().take(MAX_NAMED);
        let names: Vec<String> = names.map(|(address, _)| address.to_string()).collect();
        match names.is_empty() {
            true => String::new(),
            false => format!(" missing_agents={}", names.join(",")),
        }
    }

    /// State of the caller, for the log. A caller that awaits no response, or that has closed
    /// the flow, is sent no reset for an orphaned flow.
    pub(crate) fn caller_summary(&self) -> String {
        format!("awaits={} ended={}", self.awaits_answer, self.ended)
    }

    /// Whether the caller has been silent for so long that it has given up.
    pub(crate) fn has_timed_out(&self, now: Timestamp) -> bool {
        now.saturating_since(self.packet_at) >= SEARCH_LIMIT
    }
}
