//! Searches for the owners of flows that are not in the flow cache.

use super::*;
use crate::pass_through::flows::flow_search::FlowSearch;

/// Highest number of known agents for which all are queried at once. With more agents,
/// those of the route's present service are queried first: they own most flows, and a list
/// of all agents costs more than a second message.
const MAX_AGENTS_QUERIED_AT_ONCE: usize = 64;
/// Maximum number of agents that one agent relays a query or packet to. Their addresses
/// take 8 KB, an eighth of the largest datagram.
const AGENTS_PER_QUERY: usize = 1_000;
/// Maximum number of flows in one query.
const FLOWS_PER_QUERY: usize = 200;
/// Maximum number of agents that are queried directly. If there are more, one of them
/// relays the query; up to this number, one message per agent costs no more than the list
/// of agents.
const MAX_QUERIED_DIRECTLY: usize = 8;
/// Number of relayed queries whose aggregated replies can be handled. A balancer sends some
/// ten of them per second, and replies arrive within 0.6 s.
const MAX_RELAYED_QUERIES: usize = 64;
/// Bytes of a query without its flows and agents, with the headers of IP and UDP.
const QUERY_BYTES: usize = 48;
/// Bytes of one flow in a query.
const FLOW_BYTES: usize = 28;
/// Bytes of one agent in the list of a relayed query.
const AGENT_BYTES: usize = 8;
/// Maximum number of agents that are sent a packet directly for speculative delivery. If
/// there are more, one of them relays it.
const MAX_SENT_DIRECTLY: usize = 8;

impl<C: PacketCodec> PassThroughBalancer<C> {
    /// Continues the searches whose rounds have ended.
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
        self.send_queries(now);
    }

    /// Sends queries for the flows whose rounds begin, once their batch is complete.
    pub(super) fn send_queries(&mut self, now: Timestamp) {
        let mut queries: BTreeMap<Vec<SocketAddrV4>, Vec<QueriedFlow>> = BTreeMap::new();
        for flow in self.searches.take_unqueried(now) {
            let Some(search) = self.searches.get_mut(flow) else {
                continue;
            };
            let queried = QueriedFlow {
                flow: flow.into(),
                acknowledged: search.acknowledged(),
            };
            if self.agents.len() <= MAX_AGENTS_QUERIED_AT_ONCE {
                search.query_all();
            }
            let service = (!search.queries_all()).then_some(search.service());
            let replies_on_time = self.reply_timeout.is_short();
            let agents = self.agents.search_targets(now, service, replies_on_time);
            let try_spend_budget = |targets: &Vec<SocketAddrV4>| {
                let bytes = query_bytes(targets.len(), queries.contains_key(targets));
                self.query_budget.try_spend(now, bytes)
            };
            let added = self.agents.total_added();
            let targets = self
                .searches
                .begin_round(now, flow, &agents, added, try_spend_budget);
            if !targets.is_empty() {
                queries.entry(targets).or_default().push(queried);
            }
        }
        // Flows of one service mostly have the same agents, so that they share a message.
        for (agents, flows) in queries {
            for flows in flows.chunks(FLOWS_PER_QUERY) {
                for agents in agents.chunks(AGENTS_PER_QUERY) {
                    self.query_agents(now, agents, flows);
                }
            }
        }
    }

    /// Queries agents for flows. If there are many agents, one of them relays the query.
    fn query_agents(&mut self, now: Timestamp, agents: &[SocketAddrV4], flows: &[QueriedFlow]) {
        let query = FlowQuery {
            flows: flows.to_vec(),
            ..FlowQuery::default()
        };
        if agents.len() <= MAX_QUERIED_DIRECTLY {
            for agent in agents {
                self.agents.note_queried(now, *agent);
                self.send(*agent, PassThroughBody::FlowQuery(query.clone()));
            }
            return;
        }
        self.last_query_id += 1;
        let query_id = self.last_query_id;
        let relay = self.agents.choose_relay(now, agents, query_id);
        let others = agents.iter().copied().filter(|agent| *agent != relay);
        let others: Vec<SocketAddrV4> = others.collect();
        let query = FlowQuery {
            relay_to: others.iter().copied().map(pack_address).collect(),
            query_id,
            ..query
        };
        let targets = others.into_iter().chain([relay]).collect();
        self.relayed_queries.push_back((query_id, targets));
        if self.relayed_queries.len() > MAX_RELAYED_QUERIES {
            self.relayed_queries.pop_front();
        }
        // The first reply will show that the query was relayed to the others.
        self.agents.note_queried(now, relay);
        self.send(relay, PassThroughBody::FlowQuery(query));
    }

    /// Takes the next step of a search, by the replies so far.
    pub(super) fn take_search_step(&mut self, now: Timestamp, flow: FlowId) {
        let Some(search) = self.searches.get_mut(flow) else {
            return;
        };
        let queried_latest = search.agents_known_when_queried() == self.agents.total_added();
        let is_directory_complete = queried_latest && self.agents.is_complete(now);
        match search.next_step(now, is_directory_complete) {
            SearchStep::Wait => {}
            SearchStep::QueryAll => self.searches.query_all(flow),
            SearchStep::DeliverSpeculatively(agents) => self.deliver_speculatively(flow, &agents),
            SearchStep::Orphaned => self.reset_orphaned(now, flow),
            SearchStep::CallerClosed => {
                self.searches.remove(flow);
            }
        }
    }

    /// Takes the steps that had to wait for a complete directory, as the rounds of some
    /// searches end much later. Searches that have not queried the latest agents do so now.
    pub(super) fn finish_searches(&mut self, now: Timestamp) {
        for flow in self.searches.flows() {
            self.take_search_step(now, flow);
            let added = self.agents.total_added();
            let search = self.searches.get_mut(flow);
            if search.is_some_and(|search| search.agents_known_when_queried() != added) {
                self.searches.query_now(flow);
            }
        }
    }

    fn deliver_speculatively(&mut self, flow: FlowId, agents: &[SocketAddrV4]) {
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
        if agents.len() <= MAX_SENT_DIRECTLY {
            for agent in agents {
                self.forward(*agent, service, ForwardReason::Try, packet.clone());
            }
            return;
        }
        for agents in agents.chunks(AGENTS_PER_QUERY) {
            // The relay differs between flows and between rounds.
            let rotation = u64::from(rounds).wrapping_add(flow_digest(flow, 0));
            let relay = agents[(rotation % agents.len() as u64) as usize];
            let others = agents.iter().filter(|agent| **agent != relay);
            let forwarded = ForwardedPacket {
                service,
                reason: ForwardReason::Try.into(),
                packet: packet.clone(),
                relay_to: others.map(|agent| pack_address(*agent)).collect(),
                ..ForwardedPacket::default()
            };
            self.send(relay, PassThroughBody::ForwardedPacket(forwarded));
        }
    }

    /// Resets a flow that no back end owns, so that its caller can open another one.
    fn reset_orphaned(&mut self, now: Timestamp, flow: FlowId) {
        let Some(search) = self.searches.remove(flow) else {
            return;
        };
        let waited = now.saturating_since(search.started_at()).as_millis();
        let subject = format!("flow={flow} waited={waited} {}", search.summary());
        self.emit_event(EventKind::FlowGone, subject);
        self.reset_flow(flow, search.acknowledged());
    }

    fn reset_flow(&mut self, flow: FlowId, acknowledged: u32) {
        self.counters.gone += 1;
        self.flow_cache.remove(flow);
        self.outputs.push_back(PassThroughOutput::ToCaller {
            address: *flow.caller.ip(),
            packet: self.codec.reset(flow, acknowledged),
        });
    }

    /// Ends a search inconclusively, as the caller has given up.
    fn give_up_search(&mut self, now: Timestamp, flow: FlowId) {
        let Some(search) = self.searches.remove(flow) else {
            return;
        };
        self.counters.not_found += 1;
        let (summary, caller) = (search.summary(), search.caller_summary());
        let is_complete = self.agents.is_complete(now);
        let waited = now.saturating_since(search.started_at()).as_millis();
        let subject =
            format!("flow={flow} waited={waited} {summary} directory_whole={is_complete} {caller}");
        self.emit_event(EventKind::FlowNotFound, subject);
    }

    pub(super) fn handle_flows_owned(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        message: &FlowsOwned,
    ) {
        self.note_seen(now, from, None);
        let Some(service) = self.agents.get(from).map(|agent| agent.service) else {
            return;
        };
        for owned_flow in &message.flows {
            let flow = FlowId::from(owned_flow.flow);
            if self.flow_cache.is_full() {
                return;
            }
            let cached = self.flow_cache.entry(now, flow, service);
            cached.owner = Some(from);
            cached.service = service;
            let Some(search) = self.searches.remove(flow) else {
                continue;
            };
            self.counters.found += 1;
            for packet in search.into_undelivered() {
                self.counters.delivered += 1;
                self.forward(from, service, ForwardReason::Deliver, packet);
            }
        }
    }

    pub(super) fn handle_flows_not_owned(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        message: &FlowsNotOwned,
    ) {
        self.note_seen(now, from, None);
        let not_owned = message.not_owned.iter().map(|flow| (flow, true));
        let possibly_owned = message.possibly_owned.iter().map(|flow| (flow, false));
        for (flow, is_certain) in not_owned.chain(possibly_owned) {
            let flow = FlowId::from(*flow);
            if let Some(search) = self.searches.get_mut(flow) {
                search.note_not_owned(from, is_certain);
                self.take_search_step(now, flow);
            }
        }
    }

    /// Handles the replies of many agents to one relayed query.
    pub(super) fn handle_aggregated_replies(
        &mut self,
        now: Timestamp,
        replies: &AggregatedReplies,
    ) {
        let mut queries = self.relayed_queries.iter();
        let query = queries.find(|(query_id, _)| *query_id == replies.query_id);
        let Some(agents) = query.map(|(_, agents)| agents.clone()) else {
            return;
        };
        self.note_replies(now, &agents, replies);
        for flow_replies in &replies.flows {
            let flow = FlowId::from(flow_replies.flow);
            for (set, is_certain) in [
                (&flow_replies.not_owned, true),
                (&flow_replies.possibly_owned, false),
            ] {
                let indexes = AgentSet::from_bytes(set);
                for agent in indexes.iter().filter_map(|index| agents.get(index)) {
                    if let Some(search) = self.searches.get_mut(flow) {
                        search.note_not_owned(*agent, is_certain);
                    }
                }
            }
            self.take_search_step(now, flow);
        }
    }

    /// Notes which agents of a relayed query have replied, and that the others were queried.
    fn note_replies(
        &mut self,
        now: Timestamp,
        agents: &[SocketAddrV4],
        replies: &AggregatedReplies,
    ) {
        let sets = replies
            .flows
            .iter()
            .flat_map(|flow| [&flow.not_owned, &flow.possibly_owned, &flow.owned]);
        let replied: BTreeSet<usize> = sets
            .flat_map(|set| AgentSet::from_bytes(set).iter().collect::<Vec<_>>())
            .collect();
        for (index, agent) in agents.iter().enumerate() {
            match replied.contains(&index) {
                true => self.agents.note_replied(now, *agent),
                false => self.agents.note_queried(now, *agent),
            }
        }
    }

    /// Handles a packet that a back end returned. If the flow was open there, the flow is
    /// orphaned; otherwise another back end may own it.
    pub(super) fn handle_returned_packet(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        returned: &ReturnedPacket,
    ) {
        let flow = FlowId::from(returned.flow);
        let mut service = None;
        if let Some(cached) = self.flow_cache.get_mut(flow) {
            if cached.owner.is_some_and(|owner| owner != from) {
                // The packet was delivered there speculatively before the owner was found.
                return;
            }
            service = Some(cached.service);
            if cached.owner == Some(from) {
                cached.owner = None;
            }
            match cached.offer_mut(from) {
                Some(offer) => offer.state = OfferState::Declined,
                None => cached.offers.push(Offer {
                    agent: from,
                    state: OfferState::Declined,
                    offered_at: None,
                }),
            }
        }
        if returned.was_open {
            self.end_orphaned_flow(from, returned);
            return;
        }
        let is_searched = self.searches.contains(flow);
        let service = service.or_else(|| self.routes.service_for(flow));
        if let Some(service) = service.filter(|_| is_searched || returned.carried_data) {
            self.searches.note_returned(now, service, from, returned);
            self.take_search_step(now, flow);
        }
    }

    /// Ends a flow whose back end no longer owns it, so that no back end does. If the caller
    /// waits for a response, the flow is reset, with the caller's last acknowledgement number
    /// that this balancer knows.
    fn end_orphaned_flow(&mut self, from: SocketAddrV4, returned: &ReturnedPacket) {
        let flow = FlowId::from(returned.flow);
        let search = self.searches.remove(flow);
        let search_with_packet = search.as_ref().filter(|search| search.has_packet());
        let awaits_response = returned.carried_data
            || search_with_packet.is_some_and(FlowSearch::caller_awaits_response);
        if !awaits_response {
            return;
        }
        let acknowledged =
            search_with_packet.map_or(returned.acknowledged, FlowSearch::acknowledged);
        let subject = format!("flow={flow} agent={from} was_open=true");
        self.emit_event(EventKind::FlowGone, subject);
        self.reset_flow(flow, acknowledged);
    }
}

/// Bytes that a query for one flow takes of the balancer's link. `is_shared` is set if the
/// message already contains another flow.
fn query_bytes(agents: usize, is_shared: bool) -> usize {
    if agents <= MAX_QUERIED_DIRECTLY {
        let message = if is_shared { 0 } else { QUERY_BYTES };
        return agents * (message + FLOW_BYTES);
    }
    // Aggregated replies contain sets of agents, as bits; two bits per agent are assumed.
    let reply = agents * 2 / 8;
    let message = match is_shared {
        true => 0,
        false => QUERY_BYTES + agents * AGENT_BYTES,
    };
    message + FLOW_BYTES + reply
}
