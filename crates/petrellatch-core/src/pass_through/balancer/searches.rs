//! The search for flows that are not known.

use super::*;
use crate::pass_through::flows::flow_search::FlowSearch;

/// In a directory of at most so many agents all are asked for a flow at once. Among
/// more, those of the service that its route names now are asked first: they have
/// most flows, and a list of all costs more than a second message.
const SEEK_ALL_LIMIT: usize = 64;
/// Agents that one agent asks, or passes a packet on to: their addresses take 8 KB,
/// an eighth of the largest datagram.
const AGENTS_PER_QUESTION: usize = 1_000;
/// Flows in one question.
const FLOWS_PER_QUESTION: usize = 200;
/// If more agents are to be asked for a flow, one of them asks the others: below
/// that, a message each costs no more than the list of the others.
const MAX_ASKED_DIRECTLY: usize = 8;
/// Questions whose gathered answers are understood; each second a balancer asks
/// some ten of them, and answers come within 0.6 s.
const MAX_ASKED_QUESTIONS: usize = 64;
/// Bytes of a question without its flows and agents, with the heads of IP and UDP.
const QUESTION_BYTES: usize = 48;
/// Bytes of one flow in a question.
const FLOW_BYTES: usize = 28;
/// Bytes of one agent that another one asks.
const AGENT_BYTES: usize = 8;
/// A packet that is tried at more agents is sent to one of them, which passes it
/// on to the others.
const MAX_TRIED_DIRECTLY: usize = 8;

impl<C: PacketCodec> PassThroughBalancer<C> {
    /// Asks the agents who has the flows that are sought.
    pub(super) fn continue_searches(&mut self, now: Timestamp) {
        for flow in self.searches.take_due(now) {
            self.take_search_step(now, flow);
            let Some(search) = self.searches.get_mut(flow) else {
                continue;
            };
            if search.has_timed_out(now) {
                self.give_up_search(now, flow);
            } else {
                self.searches.query_again(flow);
            }
        }
        self.send_questions(now);
    }

    /// Asks for the flows whose rounds begin, unless they are still gathered.
    pub(super) fn send_questions(&mut self, now: Timestamp) {
        let mut questions: BTreeMap<Vec<SocketAddrV4>, Vec<QueriedFlow>> = BTreeMap::new();
        for flow in self.searches.take_unqueried(now) {
            let Some(search) = self.searches.get_mut(flow) else {
                continue;
            };
            let sought = QueriedFlow {
                flow: flow.into(),
                acknowledged: search.acknowledged(),
            };
            if self.agents.len() <= SEEK_ALL_LIMIT {
                search.query_all();
            }
            let service = (!search.queries_all()).then_some(search.service());
            let in_time = self.answer_time.is_short();
            let agents = self.agents.searched(now, service, in_time);
            let take_budget = |asked: &Vec<SocketAddrV4>| {
                let bytes = question_bytes(asked.len(), questions.contains_key(asked));
                self.seek_budget.try_spend(now, bytes)
            };
            let added = self.agents.added();
            let asked = self
                .searches
                .begin_round(now, flow, &agents, added, take_budget);
            if !asked.is_empty() {
                questions.entry(asked).or_default().push(sought);
            }
        }
        // Flows of one service mostly have the same agents, and share a message.
        for (agents, flows) in questions {
            for flows in flows.chunks(FLOWS_PER_QUESTION) {
                for agents in agents.chunks(AGENTS_PER_QUESTION) {
                    self.ask(now, agents, flows);
                }
            }
        }
    }

    /// Asks agents for flows. If they are many, one of them asks the others.
    fn ask(&mut self, now: Timestamp, agents: &[SocketAddrV4], flows: &[QueriedFlow]) {
        let seek = FlowQuery {
            flows: flows.to_vec(),
            ..FlowQuery::default()
        };
        if agents.len() <= MAX_ASKED_DIRECTLY {
            for agent in agents {
                self.agents.note_asked(now, *agent);
                self.send(*agent, PassThroughBody::FlowQuery(seek.clone()));
            }
            return;
        }
        self.next_question += 1;
        let question = self.next_question;
        let first = self.agents.choose_asker(now, agents, question);
        let others = agents.iter().copied().filter(|agent| *agent != first);
        let others: Vec<SocketAddrV4> = others.collect();
        let seek = FlowQuery {
            relay_to: others.iter().copied().map(pack_address).collect(),
            query_id: question,
            ..seek
        };
        let asked = others.into_iter().chain([first]).collect();
        self.asked_questions.push_back((question, asked));
        if self.asked_questions.len() > MAX_ASKED_QUESTIONS {
            self.asked_questions.pop_front();
        }
        // Whether the others were asked is known with the first answer.
        self.agents.note_asked(now, first);
        self.send(first, PassThroughBody::FlowQuery(seek));
    }

    /// Does what the answers of agents allow.
    pub(super) fn take_search_step(&mut self, now: Timestamp, flow: FlowId) {
        let Some(search) = self.searches.get_mut(flow) else {
            return;
        };
        let asked_latest = search.agents_known_when_queried() == self.agents.added();
        let whole_directory = asked_latest && self.agents.is_whole(now);
        match search.next_step(now, whole_directory) {
            SearchStep::Wait => {}
            SearchStep::QueryAll => self.searches.query_all(flow),
            SearchStep::DeliverSpeculatively(agents) => self.try_agents(flow, &agents),
            SearchStep::Orphaned => self.reset_gone(now, flow),
            SearchStep::CallerClosed => {
                self.searches.remove(flow);
            }
        }
    }

    /// Does what waited for a whole directory: the rounds of searches may end much
    /// later. Those that have not asked the latest agents do so now.
    pub(super) fn settle_searches(&mut self, now: Timestamp) {
        for flow in self.searches.flows() {
            self.take_search_step(now, flow);
            let added = self.agents.added();
            let search = self.searches.get_mut(flow);
            if search.is_some_and(|search| search.agents_known_when_queried() != added) {
                self.searches.query_now(flow);
            }
        }
    }

    fn try_agents(&mut self, flow: FlowId, agents: &[SocketAddrV4]) {
        let Some(search) = self.searches.get_mut(flow) else {
            return;
        };
        let Some(packet) = search.packet_to_deliver().cloned() else {
            return;
        };
        let service = search.service();
        let rounds = search.rounds();
        if is_sampled(flow) {
            let subject = format!("flow={flow} {}", search.summary());
            self.emit_event(EventKind::FlowTried, subject);
        }
        self.counters.tried += agents.len() as u64;
        if agents.len() <= MAX_TRIED_DIRECTLY {
            for agent in agents {
                self.carry(*agent, service, ForwardReason::Try, packet.clone());
            }
            return;
        }
        for agents in agents.chunks(AGENTS_PER_QUESTION) {
            // Flows and rounds take turns among the agents.
            let turn = u64::from(rounds).wrapping_add(flow_digest(flow, 0));
            let first = agents[(turn % agents.len() as u64) as usize];
            let others = agents.iter().filter(|agent| **agent != first);
            let carry = ForwardedPacket {
                service,
                reason: ForwardReason::Try.into(),
                packet: packet.clone(),
                relay_to: others.map(|agent| pack_address(*agent)).collect(),
                ..ForwardedPacket::default()
            };
            self.send(first, PassThroughBody::ForwardedPacket(carry));
        }
    }

    /// Tells the caller that no back end has its flow, so that it can open
    /// another one.
    fn reset_gone(&mut self, now: Timestamp, flow: FlowId) {
        let Some(search) = self.searches.remove(flow) else {
            return;
        };
        let waited = now.saturating_since(search.started_at()).as_millis();
        let subject = format!("flow={flow} waited={waited} {}", search.summary());
        self.emit_event(EventKind::FlowGone, subject);
        self.reset_open(flow, search.acknowledged());
    }

    fn reset_open(&mut self, flow: FlowId, acknowledged: u32) {
        self.counters.gone += 1;
        self.hints.remove(flow);
        self.outputs.push_back(PassThroughOutput::ToCaller {
            address: *flow.caller.ip(),
            packet: self.codec.reset(flow, acknowledged),
        });
    }

    /// The caller has given up.
    fn give_up_search(&mut self, now: Timestamp, flow: FlowId) {
        let Some(search) = self.searches.remove(flow) else {
            return;
        };
        self.counters.not_found += 1;
        let (asked, caller) = (search.summary(), search.caller_summary());
        let whole = self.agents.is_whole(now);
        let waited = now.saturating_since(search.started_at()).as_millis();
        let subject =
            format!("flow={flow} waited={waited} {asked} directory_whole={whole} {caller}");
        self.emit_event(EventKind::FlowNotFound, subject);
    }

    pub(super) fn handle_holds(&mut self, now: Timestamp, from: SocketAddrV4, holds: &FlowsOwned) {
        self.note_heard(now, from, None);
        let Some(service) = self.agents.get(from).map(|agent| agent.service) else {
            return;
        };
        for held in &holds.flows {
            let flow = FlowId::from(held.flow);
            if self.hints.is_full() {
                return;
            }
            let hint = self.hints.entry(now, flow, service);
            hint.owner = Some(from);
            hint.service = service;
            let Some(search) = self.searches.remove(flow) else {
                continue;
            };
            self.counters.found += 1;
            for packet in search.into_undelivered() {
                self.counters.delivered += 1;
                self.carry(from, service, ForwardReason::Deliver, packet);
            }
        }
    }

    pub(super) fn handle_lacks(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        lacks: &FlowsNotOwned,
    ) {
        self.note_heard(now, from, None);
        let certain = lacks.not_owned.iter().map(|flow| (flow, true));
        let uncertain = lacks.possibly_owned.iter().map(|flow| (flow, false));
        for (flow, is_certain) in certain.chain(uncertain) {
            let flow = FlowId::from(*flow);
            if let Some(search) = self.searches.get_mut(flow) {
                search.note_not_owned(from, is_certain);
                self.take_search_step(now, flow);
            }
        }
    }

    /// Takes what many agents have answered to one question.
    pub(super) fn handle_gathered(&mut self, now: Timestamp, gathered: &AggregatedReplies) {
        let mut questions = self.asked_questions.iter();
        let question = questions.find(|(number, _)| *number == gathered.query_id);
        let Some(agents) = question.map(|(_, agents)| agents.clone()) else {
            return;
        };
        self.note_who_answered(now, &agents, gathered);
        for answers in &gathered.flows {
            let flow = FlowId::from(answers.flow);
            for (set, is_certain) in [(&answers.not_owned, true), (&answers.possibly_owned, false)]
            {
                let places = AgentSet::from_bytes(set);
                for agent in places.iter().filter_map(|place| agents.get(place)) {
                    if let Some(search) = self.searches.get_mut(flow) {
                        search.note_not_owned(*agent, is_certain);
                    }
                }
            }
            self.take_search_step(now, flow);
        }
    }

    /// Notes which agents of a question have answered, and that the others were
    /// asked.
    fn note_who_answered(
        &mut self,
        now: Timestamp,
        agents: &[SocketAddrV4],
        gathered: &AggregatedReplies,
    ) {
        let sets = gathered
            .flows
            .iter()
            .flat_map(|flow| [&flow.not_owned, &flow.possibly_owned, &flow.owned]);
        let answered: BTreeSet<usize> = sets
            .flat_map(|set| AgentSet::from_bytes(set).iter().collect::<Vec<_>>())
            .collect();
        for (place, agent) in agents.iter().enumerate() {
            match answered.contains(&place) {
                true => self.agents.note_answered(now, *agent),
                false => self.agents.note_asked(now, *agent),
            }
        }
    }

    /// A back end returned a packet. If the flow was open there, it is gone;
    /// otherwise another back end may have it.
    pub(super) fn handle_not_held(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        not_held: &ReturnedPacket,
    ) {
        let flow = FlowId::from(not_held.flow);
        let mut service = None;
        if let Some(hint) = self.hints.get_mut(flow) {
            if hint.owner.is_some_and(|owner| owner != from) {
                // It was tried as well before the owner was found.
                return;
            }
            service = Some(hint.service);
            if hint.owner == Some(from) {
                hint.owner = None;
            }
            match hint.offer_mut(from) {
                Some(candidate) => candidate.state = OfferState::Declined,
                None => hint.offers.push(Offer {
                    agent: from,
                    state: OfferState::Declined,
                    offered_at: None,
                }),
            }
        }
        if not_held.was_open {
            self.end_gone_flow(from, not_held);
            return;
        }
        let is_sought = self.searches.contains(flow);
        let service = service.or_else(|| self.routes.service_for(flow));
        if let Some(service) = service.filter(|_| is_sought || not_held.carried_data) {
            self.searches.note_returned(now, service, from, not_held);
            self.take_search_step(now, flow);
        }
    }

    /// The back end that had a flow has it no more, so no other agent can have it. Its
    /// caller is told if it waits for an answer, with what it acknowledged last as far as
    /// this balancer knows.
    fn end_gone_flow(&mut self, from: SocketAddrV4, not_held: &ReturnedPacket) {
        let flow = FlowId::from(not_held.flow);
        let search = self.searches.remove(flow);
        let sought = search.as_ref().filter(|search| search.has_packet());
        let waits = not_held.carried_data || sought.is_some_and(FlowSearch::caller_awaits_response);
        if !waits {
            return;
        }
        let acknowledged = sought.map_or(not_held.acknowledged, FlowSearch::acknowledged);
        let subject = format!("flow={flow} agent={from} was_open=true");
        self.emit_event(EventKind::FlowGone, subject);
        self.reset_open(flow, acknowledged);
    }
}

/// Bytes of a question for one flow on the balancer's link. `is_shared` says
/// whether another flow is asked for with the same message.
fn question_bytes(agents: usize, is_shared: bool) -> usize {
    if agents <= MAX_ASKED_DIRECTLY {
        let message = if is_shared { 0 } else { QUESTION_BYTES };
        return agents * (message + FLOW_BYTES);
    }
    let answer = agents * 2 / 8;
    let message = match is_shared {
        true => 0,
        false => QUESTION_BYTES + agents * AGENT_BYTES,
    };
    message + FLOW_BYTES + answer
}
