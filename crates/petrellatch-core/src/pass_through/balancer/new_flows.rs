//! Offers of new flows to agents, and the agents' replies.

use super::load_shedding::{MAX_QUEUE_OFFERS, OfferedFlow, caller_gave_up, deadline_passed};
use super::*;

impl<C: PacketCodec> PassThroughBalancer<C> {
    /// Handles a SYN that was buffered for `waited`; zero if it was not buffered.
    pub(super) fn handle_syn(
        &mut self,
        now: Timestamp,
        view: &PacketView,
        packet: &[u8],
        waited: Duration,
    ) {
        let flow = view.flow_from_caller();
        let Some(service) = self.routes.service_for(flow) else {
            self.counters.no_route += 1;
            self.refuse(flow, "no_route", "");
            return;
        };
        if self.awaits_agents(now, service) {
            self.buffer_packet(now - waited, packet);
            return;
        }
        if let Some(cached) = self.flow_cache.get_mut(flow)
            && cached.service == service
            && !cached.closed
            && !caller_gave_up(now, cached)
        {
            cached.last_used_at = now;
            let chosen = cached.owner.or_else(|| cached.accepted());
            if let Some(agent) = chosen {
                self.forward(agent, service, ForwardReason::Open, packet.to_vec());
                return;
            }
        } else if self.flow_cache.is_full() {
            self.refuse(flow, "too_many_flows", "");
            return;
        } else {
            let cached = self.new_cached_flow(now, service, view, waited);
            if !self.should_offer(now, flow, &cached) {
                return;
            }
            self.flow_cache.insert(flow, cached);
        }
        if let Some(cached) = self.flow_cache.get_mut(flow) {
            cached.syn = Some(packet.to_vec());
            if cached.is_queued() {
                return;
            }
        }
        self.offer_next(now, flow);
    }

    /// The cache entry of a flow whose first SYN has arrived here. A flow that will miss its
    /// latency objective is offered to admission queues at once, where it comes after others.
    /// So is each flow while its service is overloaded, as an offer for a free slot would be
    /// useless.
    fn new_cached_flow(
        &self,
        now: Timestamp,
        service: u64,
        view: &PacketView,
        waited: Duration,
    ) -> CachedFlow {
        let age = view.min_syn_age() + waited;
        let class = self.flow_class(view.flow_from_caller(), service, age);
        CachedFlow {
            syn_age: age,
            offered_to_queue: class.is_late || self.overload.is_overloaded(now, class),
            ..CachedFlow::new(now, service)
        }
    }

    /// Offers a flow to the next agent. Continues with [`Self::offer_to_queues`] if there is
    /// none, if the limit of offers or the retry budget is used up, or if the caller has given
    /// up.
    pub(super) fn offer_next(&mut self, now: Timestamp, flow: FlowId) {
        let max_offers = self.offer_limit(now, flow);
        let Some(cached) = self.flow_cache.get_mut(flow) else {
            return;
        };
        let Some(packet) = cached.syn.clone() else {
            return;
        };
        let service = cached.service;
        let age = cached.syn_age + now.saturating_since(cached.created_at);
        let request_class = self.routes.request_class(flow);
        let caller_gave_up = deadline_passed(age, request_class.deadline_millis);
        self.counters.left += u64::from(caller_gave_up);
        let is_within_limit =
            cached.replied_offers() < max_offers && cached.offers.len() < MAX_QUEUE_OFFERS;
        let may_offer = !caller_gave_up && is_within_limit;
        let is_retry = may_offer && cached.offer_counts.offered > 0;
        let is_within_budget = !is_retry || self.retry_budget.try_spend(now, packet.len());
        self.counters.further_asked += u64::from(is_retry && is_within_budget);
        self.counters.further_unpaid += u64::from(!is_within_budget);
        let chosen = match may_offer && is_within_budget {
            true => {
                let (agents, overload) = (&self.agents, &self.overload);
                choose_agent(now, flow, cached, agents, &mut self.policies, overload)
            }
            false => None,
        };
        if let Some(name) = self.policies.take_policy_without_backend() {
            let count = self.agents.agent_counts(service);
            let subject = format!("policy={name} flow={flow} {count}");
            let event = Event::new(EventKind::NoEligibleBackend, subject);
            self.outputs.push_back(PassThroughOutput::Event(event));
        }
        let Some(ChosenAgent {
            address: agent,
            ignore_ejection,
        }) = chosen
        else {
            self.offer_to_queues(now, flow);
            return;
        };
        cached.offers.push(Offer {
            agent,
            state: OfferState::Pending,
            offered_at: Some(now),
        });
        cached.offer_counts.offered += 1;
        let reason = match cached.offered_to_queue {
            false => ForwardReason::Open,
            true => ForwardReason::OpenQueued,
        };
        self.counters.placed += 1;
        let policy = self.policies.find(flow.route, service);
        if let Some(policy) = policy.filter(|_| !is_retry) {
            self.policies.note_placed(policy);
        }
        self.agents.note_flow_sent(agent);
        let due_at = now + self.reply_timeout.timeout();
        self.pending_offers.push_back((due_at, flow, agent));
        if is_sampled(flow) {
            let version = self.routes.version();
            let policy = policy.map(|policy| self.policies.name(policy));
            let policy = policy.unwrap_or("none");
            let subject = format!(
                "flow={flow} agent={agent} version={version} policy={policy} reason={reason:?}"
            );
            self.emit_event(EventKind::FlowPlaced, subject);
        }
        let forwarded = ForwardedPacket {
            service,
            reason: reason.into(),
            packet,
            latency_objective_millis: request_class.latency_objective_millis,
            deadline_millis: request_class.deadline_millis,
            priority: request_class.priority,
            warm_up_millirequests_per_second: self.routes.warm_up_rate(service),
            syn_age_millis: age.as_millis() as u32,
            ignore_ejection,
            ..ForwardedPacket::default()
        };
        self.send(agent, PassThroughBody::ForwardedPacket(forwarded));
    }

    /// Offers a flow to admission queues, as no agent has a free slot. Does nothing while a
    /// reply is pending, and refuses the flow if it was offered to queues before.
    fn offer_to_queues(&mut self, now: Timestamp, flow: FlowId) {
        let Some(cached) = self.flow_cache.get_mut(flow) else {
            return;
        };
        if cached.awaits_reply() {
            return;
        }
        if !cached.offered_to_queue {
            cached.offered_to_queue = true;
            cached.offers.clear();
            self.offer_next(now, flow);
            return;
        }
        let Some(cached) = self.flow_cache.remove(flow) else {
            return;
        };
        self.note_refused(now, flow, &cached);
        let offer_counts = cached.offer_counts;
        let counts = self.agents.agent_counts(cached.service);
        let detail = format!(" {offer_counts} {counts}");
        let reason = match self.policies.excludes_all(flow.route, cached.service) {
            true => "no_eligible_backend",
            false => "no_agent",
        };
        self.refuse(flow, reason, &detail);
    }

    pub(super) fn handle_offer_timeout(
        &mut self,
        now: Timestamp,
        flow: FlowId,
        agent: SocketAddrV4,
    ) {
        let Some(cached) = self.flow_cache.get_mut(flow) else {
            return;
        };
        let Some(offer) = cached.offer_mut(agent) else {
            return;
        };
        if offer.state != OfferState::Pending {
            return;
        }
        offer.state = OfferState::TimedOut;
        cached.offer_counts.timed_out += 1;
        let is_accepted = cached.syn.is_none();
        self.counters.unanswered += 1;
        if self.agents.note_timeout(now, agent) {
            let subject = format!("agent={agent} flow={flow}");
            self.emit_event(EventKind::AgentSuspected, subject);
        }
        if !is_accepted {
            self.offer_next(now, flow);
        }
    }

    /// Notes that an agent queued a flow. If it neither accepts nor declines the flow within
    /// [`SYN_TIMEOUT`], the flow is offered to others.
    pub(super) fn handle_flow_queued(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        message: &FlowQueued,
    ) {
        self.note_seen(now, from, Some(message.load));
        let flow = FlowId::from(message.flow);
        let Some(cached) = self.flow_cache.get_mut(flow) else {
            return;
        };
        let Some(offer) = cached.offer_mut(from) else {
            return;
        };
        offer.state = OfferState::Queued;
        let offered_at = offer.offered_at.take();
        let (service, age) = (cached.service, cached.syn_age);
        let created_at = cached.created_at;
        if let Some(offered_at) = offered_at {
            self.reply_timeout.record(now.saturating_since(offered_at));
        }
        let offered_flow = OfferedFlow {
            class: self.flow_class(flow, service, age),
            route: flow.route,
            created_at,
        };
        self.note_queued(now, offered_flow, message.load);
        let due_at = now + SYN_TIMEOUT;
        self.queued_flows.push_back((due_at, flow, from));
    }

    /// Offers queued flows to others if their agents have not reported the outcome in time.
    pub(super) fn check_queued_flows(&mut self, now: Timestamp) {
        while let Some((due_at, flow, agent)) = self.queued_flows.front().copied() {
            if now < due_at {
                return;
            }
            self.queued_flows.pop_front();
            let offer = self.flow_cache.get_mut(flow);
            let offer = offer.and_then(|cached| cached.offer_mut(agent));
            if let Some(offer) = offer
                && offer.state == OfferState::Queued
            {
                offer.state = OfferState::TimedOut;
                self.offer_next(now, flow);
            }
        }
    }

    pub(super) fn handle_accepted(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        accepted: &Accepted,
    ) {
        self.note_seen(now, from, Some(accepted.load));
        let flow = FlowId::from(accepted.flow);
        let Some(cached) = self.flow_cache.get_mut(flow) else {
            return;
        };
        let sequence = accepted.sequence;
        let (service, age) = (cached.service, cached.syn_age);
        let created_at = cached.created_at;
        let is_first = cached.syn.take().is_some();
        if is_first {
            let time = now.saturating_since(cached.created_at);
            self.latencies.placement.record(time);
        }
        let state = OfferState::Accepted { sequence };
        let offered_at = match cached.offer_mut(from) {
            Some(offer) => {
                offer.state = state;
                offer.offered_at.take()
            }
            None => {
                cached.offers.push(Offer {
                    agent: from,
                    state,
                    offered_at: None,
                });
                None
            }
        };
        if let Some(offered_at) = offered_at {
            self.reply_timeout.record(now.saturating_since(offered_at));
        }
        if is_first {
            let class = self.flow_class(flow, service, age);
            self.overload.note_accepted(class, created_at);
        }
    }

    pub(super) fn handle_declined(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        declined: &Declined,
    ) {
        self.note_seen(now, from, Some(declined.load));
        match declined.reason() {
            DeclineReason::Draining => self.agents.note_state(from, AgentState::Draining),
            DeclineReason::NoBackend | DeclineReason::WrongService => {
                self.agents.note_state(from, AgentState::Unavailable);
            }
            DeclineReason::Returned | DeclineReason::Evacuated => {
                self.agents.note_deprioritized(now, from);
            }
            DeclineReason::Full
            | DeclineReason::Cold
            | DeclineReason::Failing
            | DeclineReason::Unspecified => {}
        }
        let flow = FlowId::from(declined.flow);
        let Some(cached) = self.flow_cache.get_mut(flow) else {
            return;
        };
        let Some(offer) = cached.offer_mut(from) else {
            return;
        };
        offer.state = OfferState::Declined;
        let offered_at = offer.offered_at.take();
        let service = cached.service;
        let is_accepted = cached.accepted().is_some();
        match declined.reason() {
            DeclineReason::Full | DeclineReason::Cold => {
                cached.offer_counts.full += 1;
                let expected_wait = Duration::from_micros(u64::from(declined.expected_wait_micros));
                self.overload.note_expected_wait(service, expected_wait);
                if cached.offered_to_queue {
                    self.overload.note_declined(now, from);
                }
            }
            _ => cached.offer_counts.other += 1,
        }
        if let Some(offered_at) = offered_at {
            self.reply_timeout.record(now.saturating_since(offered_at));
        }
        if !is_accepted {
            self.offer_next(now, flow);
        }
    }
}

/// Selects the agent for the next offer of a flow. Agents that declined recently are
/// selected only if no other agent is left but suspected ones.
fn choose_agent(
    now: Timestamp,
    flow: FlowId,
    cached: &CachedFlow,
    agents: &AgentDirectory,
    policies: &mut ActivePolicies,
    overload: &ServiceOverload,
) -> Option<ChosenAgent> {
    let policy = policies.find(flow.route, cached.service);
    let queued = cached.offered_to_queue;
    let mut choose = |exclusion_of: &dyn Fn(SocketAddrV4) -> Option<Exclusion>| {
        let Some(policy) = policy else {
            let weight_of = |_, _: &KnownAgent| Some(1.0);
            return agents.choose(now, cached.service, flow, queued, weight_of, exclusion_of);
        };
        policies.begin_choice();
        let weight_of = |address, agent: &KnownAgent| policies.weight(policy, now, address, agent);
        let chosen = agents.choose(now, cached.service, flow, queued, weight_of, exclusion_of);
        policies.end_choice(policy, cached.service, queued);
        chosen
    };
    let was_offered = |agent| cached.was_offered(agent).then_some(Exclusion::WasOffered);
    let declined_recently = |agent| {
        let declined_recently = overload.declined_recently(now, agent);
        declined_recently.then_some(Exclusion::DeclinedRecently)
    };
    let preferred = choose(&|agent| was_offered(agent).or_else(|| declined_recently(agent)));
    let is_responsive = |it: &ChosenAgent| !agents.is_suspected(now, it.address);
    preferred
        .filter(is_responsive)
        .or_else(|| choose(&was_offered))
}
