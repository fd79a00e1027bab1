//! The search for the agent whose back end has a flow that the balancer does
//! not know.
//!
//! A flow is open at one back end only, and packets that reach others are a
//! fault. So the agents are asked first: those of the service that the route names
//! now, if there are many, and then the others, since an open flow stays where it
//! is when its route moves. Those that may have forgotten flows get the packet only
//! if the flow's own agent is certainly among them: all agents have answered, and
//! all get it at the same moment. A flow is given up, and its caller told, once
//! every back end is known not to have it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::ReturnedPacket;

use crate::time::Timestamp;

use crate::pass_through::packet::PacketView;

/// Packets of one flow that wait; a caller has so many under way.
const MAX_WAITING: usize = 16;
/// Back ends that may get a packet of a flow while its own agent is missing.
const MAX_STRANGERS: usize = 2;
/// Agents that have not answered by then are missing.
pub(super) const QUERY_ROUND: Duration = Duration::from_millis(60);
/// The time between two rounds doubles so often at most.
const MAX_ROUND_DOUBLINGS: u32 = 3;
/// A search for a flow that its caller has ended waits for so many rounds for a whole
/// directory. Its back end may wait for the end; if it is not found, the caller says the
/// end again.
const ENDED_ROUNDS: u32 = 3;
/// Agents that are missing and named in the log.
const MAX_NAMED: usize = 3;
/// A search whose caller was silent for so long is over.
const SEARCH_LIMIT: Duration = Duration::from_millis(2_500);

/// What one agent said of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchAnswer {
    /// It was asked and has not answered.
    Missing,
    /// Its back end may have the flow.
    Uncertain,
    /// Its back end got a packet.
    Tried,
    /// Its back end does not have the flow.
    Lacks,
}

/// An agent as a search sees it.
#[derive(Clone, Copy, Debug)]
struct AskedAgent {
    answer: SearchAnswer,
    /// See [`SearchTarget::is_expected`].
    is_expected: bool,
    /// See [`SearchTarget::has_backend`].
    has_backend: bool,
}

/// An agent that may be asked for flows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SearchTarget {
    pub(crate) address: SocketAddrV4,
    /// Whether it answers questions, and has heard of its back end in its
    /// present life. Otherwise its back end is taken for gone if it does not
    /// answer.
    pub(crate) is_expected: bool,
    /// Whether it has heard of its back end in its present life. As long as
    /// replicas hear of it and it has not answered, no flow is given up.
    pub(crate) has_backend: bool,
}

/// What to do next for a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SearchStep {
    /// Nothing yet.
    Wait,
    /// Ask the agents of other services as well.
    QueryAll,
    /// Hand the waiting packets to these agents, all at once.
    DeliverSpeculatively(Vec<SocketAddrV4>),
    /// No back end has the flow.
    Orphaned,
    /// Its caller has ended the flow, and nobody who answers has it: nobody waits to be
    /// told.
    CallerClosed,
}

/// Whom a search asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchScope {
    /// The agents of one service, which have most of the flows that are sought.
    Service,
    /// All from the next round on.
    AllNext,
    /// All have been asked: what they say is the whole truth.
    All,
}

/// The search for one flow.
#[derive(Debug)]
pub(crate) struct FlowSearch {
    /// The service that is asked first.
    service: u64,
    scope: SearchScope,
    /// What its caller acknowledged last.
    acknowledged: u32,
    /// Packets that wait, the oldest first.
    waiting: VecDeque<Vec<u8>>,
    /// The caller has sent data and waits for an answer.
    awaits_answer: bool,
    /// The caller has ended the flow.
    ended: bool,
    started_at: Timestamp,
    packet_at: Timestamp,
    rounds: u32,
    /// When the round began.
    pub(super) asked_at: Timestamp,
    /// How many agents the directory had got by then.
    asked_of: u64,
    /// When the next round begins.
    pub(super) due_at: Timestamp,
    agents: BTreeMap<SocketAddrV4, AskedAgent>,
    /// Packets that were handed to back ends to try.
    tries: usize,
    /// The oldest packet that waits was tried.
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

    /// Whether agents of other services are asked as well.
    pub(crate) fn queries_all(&self) -> bool {
        self.scope != SearchScope::Service
    }

    /// Lets the next round go to the agents of all services.
    pub(crate) fn query_all(&mut self) {
        if self.scope == SearchScope::Service {
            self.scope = SearchScope::AllNext;
        }
    }

    /// How many agents the directory had got when the round began.
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

    /// Whether the caller waits for an answer, and has not ended the flow.
    pub(crate) fn caller_awaits_response(&self) -> bool {
        self.awaits_answer && !self.ended
    }

    pub(crate) fn rounds(&self) -> u32 {
        self.rounds
    }

    pub(crate) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// The packet to try: the oldest one that waits.
    pub(crate) fn packet_to_deliver(&self) -> Option<&Vec<u8>> {
        self.waiting.front()
    }

    /// The packets that wait and were not tried. The one that was tried has
    /// reached the back end if the flow was found by it.
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

    /// Notes that the back end beside an agent returned a packet of the flow.
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

    /// Those of `agents` that have not said that they lack the flow.
    pub(super) fn undecided(&self, agents: &[SearchTarget]) -> Vec<SocketAddrV4> {
        let lacks = |agent: &&SearchTarget| {
            let known = self.agents.get(&agent.address);
            known.is_some_and(|it| it.answer == SearchAnswer::Lacks)
        };
        let unsettled = agents.iter().filter(|agent| !lacks(agent));
        unsettled.map(|agent| agent.address).collect()
    }

    /// Begins a round. Returns whom to ask of `agents`: those that have not said
    /// that they lack the flow. That a back end lacks an open flow stays true.
    /// `added` is how many agents the directory has got so far.
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

    /// What to do now. `whole_directory` says whether the balancer knew every agent
    /// that runs when the round began.
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

    /// Whether nobody who answers has a flow that its caller has ended.
    fn is_end_settled(&self, whole_directory: bool) -> bool {
        let has_waited = whole_directory || self.rounds >= ENDED_ROUNDS;
        let some_lack = self.count(SearchAnswer::Lacks) > 0;
        let none_tried = self.count(SearchAnswer::Tried) == 0;
        has_waited && some_lack && none_tried && self.most_have_answered()
    }

    /// How many agents have given this answer.
    fn count(&self, answer: SearchAnswer) -> usize {
        let agents = self.agents.values();
        agents.filter(|agent| agent.answer == answer).count()
    }

    /// Whether an agent that has not answered may have the flow.
    fn may_be_at_silent_agent(&self) -> bool {
        let mut agents = self.agents.values();
        agents.any(|it| it.has_backend && it.answer == SearchAnswer::Missing)
    }

    /// Whether more than half of the agents have answered. If not, it is the
    /// balancer that does not hear them.
    fn most_have_answered(&self) -> bool {
        let missing = self.count(SearchAnswer::Missing);
        missing * 2 < self.agents.len()
    }

    /// Agents that have not answered and are expected to.
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

    /// What the agents said, for the log.
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

    /// The first agents that are missing: those that hold a verdict up before others.
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

    /// What the caller waits for, for the log: without an answer to wait for,
    /// or once it has ended the flow, nobody is told that the flow is gone.
    pub(crate) fn caller_summary(&self) -> String {
        format!("awaits={} ended={}", self.awaits_answer, self.ended)
    }

    /// Whether the caller has been silent for so long that it gave up.
    pub(crate) fn has_timed_out(&self, now: Timestamp) -> bool {
        now.saturating_since(self.packet_at) >= SEARCH_LIMIT
    }
}
