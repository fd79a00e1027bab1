//! New flows: which agent is asked, and what its answer leads to.

use super::edge::{AskedFlow, MAX_QUEUE_ASKED, has_left, has_passed};
use super::*;

impl<C: PacketCodec> PassThroughBalancer<C> {
    /// Takes an opening packet that was kept for `waited`.
    pub(super) fn handle_opening(
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
            self.keep_early(now - waited, packet);
            return;
        }
        if let Some(hint) = self.hints.get_mut(flow)
            && hint.service == service
            && !hint.closed
            && !has_left(now, hint)
        {
            hint.last_used_at = now;
            let asked = hint.owner.or_else(|| hint.accepted());
            if let Some(agent) = asked {
                self.carry(agent, service, ForwardReason::Open, packet.to_vec());
                return;
            }
        } else if self.hints.is_full() {
            self.refuse(flow, "too_many_flows", "");
            return;
        } else {
            let hint = self.new_hint(now, service, view, waited);
            if !self.admits_at_edge(now, flow, &hint) {
                return;
            }
            self.hints.insert(flow, hint);
        }
        if let Some(hint) = self.hints.get_mut(flow) {
            hint.syn = Some(packet.to_vec());
            if hint.is_queued() {
                return;
            }
        }
        self.ask_next(now, flow);
    }

    /// What is known of a flow with its first packet here. If its caller has waited
    /// for as long as an answer may take, agents are asked at once to queue it: they
    /// let it wait behind fresh ones. So are they while the service is under pressure,
    /// when to ask for a free slot first is a question in vain.
    fn new_hint(
        &self,
        now: Timestamp,
        service: u64,
        view: &PacketView,
        waited: Duration,
    ) -> CachedFlow {
        let age = view.min_syn_age() + waited;
        let kind = self.flow_kind(view.flow_from_caller(), service, age);
        CachedFlow {
            syn_age: age,
            offered_to_queue: kind.is_late || self.pressure.is_pressed(now, kind),
            ..CachedFlow::new(now, service)
        }
    }

    /// Asks the next agent to take a flow; refuses it if nobody is left, or no further
    /// question can be paid. For a caller that has left nobody is asked.
    pub(super) fn ask_next(&mut self, now: Timestamp, flow: FlowId) {
        let limit = self.ask_limit(now, flow);
        let Some(hint) = self.hints.get_mut(flow) else {
            return;
        };
        let Some(packet) = hint.syn.clone() else {
            return;
        };
        let service = hint.service;
        let age = hint.syn_age + now.saturating_since(hint.created_at);
        let class = self.routes.class(flow);
        let has_left = has_passed(age, class.deadline_millis);
        self.counters.left += u64::from(has_left);
        let is_within = hint.replied_offers() < limit && hint.offers.len() < MAX_QUEUE_ASKED;
        let may_ask = !has_left && is_within;
        let is_further = may_ask && hint.offer_counts.offered > 0;
        let is_paid = !is_further || self.ask_budget.pay(now, packet.len());
        self.counters.further_asked += u64::from(is_further && is_paid);
        self.counters.further_unpaid += u64::from(!is_paid);
        let found = match may_ask && is_paid {
            true => {
                let (agents, pressure) = (&self.agents, &self.pressure);
                choose_other(now, flow, hint, agents, &mut self.policies, pressure)
            }
            false => None,
        };
        if let Some(name) = self.policies.take_without_backend() {
            let count = self.agents.count(service);
            let subject = format!("policy={name} flow={flow} {count}");
            let event = Event::new(EventKind::NoEligibleBackend, subject);
            self.outputs.push_back(PassThroughOutput::Event(event));
        }
        let Some(ChosenAgent {
            address: agent,
            despite_failures,
        }) = found
        else {
            self.ask_to_queue(now, flow);
            return;
        };
        hint.offers.push(Offer {
            agent,
            state: OfferState::Pending,
            offered_at: Some(now),
        });
        hint.offer_counts.offered += 1;
        let reason = match hint.offered_to_queue {
            false => ForwardReason::Open,
            true => ForwardReason::OpenQueued,
        };
        self.counters.placed += 1;
        let policy = self.policies.find(flow.route, service);
        if let Some(policy) = policy.filter(|_| !is_further) {
            self.policies.note_placed(policy);
        }
        self.agents.note_sent(agent);
        let limit = now + self.answer_time.limit();
        self.awaited.push_back((limit, flow, agent));
        if is_sampled(flow) {
            let version = self.routes.version();
            let policy = policy.map(|policy| self.policies.name(policy));
            let policy = policy.unwrap_or("none");
            let subject = format!(
                "flow={flow} agent={agent} version={version} policy={policy} reason={reason:?}"
            );
            self.emit_event(EventKind::FlowPlaced, subject);
        }
        let carry = ForwardedPacket {
            service,
            reason: reason.into(),
            packet,
            latency_objective_millis: class.objective_millis,
            deadline_millis: class.deadline_millis,
            priority: class.priority,
            warm_up_millirequests_per_second: self.routes.cold_rate(service),
            syn_age_millis: age.as_millis() as u32,
            ignore_ejection: despite_failures,
            ..ForwardedPacket::default()
        };
        self.send(agent, PassThroughBody::ForwardedPacket(carry));
    }

    /// Nobody has a free slot: asks whether somebody queues the flow.
    fn ask_to_queue(&mut self, now: Timestamp, flow: FlowId) {
        let Some(hint) = self.hints.get_mut(flow) else {
            return;
        };
        if hint.awaits_reply() {
            return;
        }
        if !hint.offered_to_queue {
            hint.offered_to_queue = true;
            hint.offers.clear();
            self.ask_next(now, flow);
            return;
        }
        let Some(hint) = self.hints.remove(flow) else {
            return;
        };
        self.note_refused(now, flow, &hint);
        let asked = hint.offer_counts;
        let counts = self.agents.count(hint.service);
        let detail = format!(" {asked} {counts}");
        let reason = match self.policies.excludes_all(flow.route, hint.service) {
            true => "no_eligible_backend",
            false => "no_agent",
        };
        self.refuse(flow, reason, &detail);
    }

    pub(super) fn handle_unanswered(&mut self, now: Timestamp, flow: FlowId, agent: SocketAddrV4) {
        let Some(hint) = self.hints.get_mut(flow) else {
            return;
        };
        let Some(candidate) = hint.offer_mut(agent) else {
            return;
        };
        if candidate.state != OfferState::Pending {
            return;
        }
        candidate.state = OfferState::TimedOut;
        hint.offer_counts.timed_out += 1;
        let is_open = hint.syn.is_none();
        self.counters.unanswered += 1;
        if self.agents.note_missed(now, agent) {
            let subject = format!("agent={agent} flow={flow}");
            self.emit_event(EventKind::AgentSuspected, subject);
        }
        if !is_open {
            self.ask_next(now, flow);
        }
    }

    /// An agent lets a flow wait for a place. That must not last for long without a
    /// word of it.
    pub(super) fn handle_waiting(&mut self, now: Timestamp, from: SocketAddrV4, told: &FlowQueued) {
        self.note_heard(now, from, Some(told.load));
        let flow = FlowId::from(told.flow);
        let Some(hint) = self.hints.get_mut(flow) else {
            return;
        };
        let Some(candidate) = hint.offer_mut(from) else {
            return;
        };
        candidate.state = OfferState::Queued;
        let asked_at = candidate.offered_at.take();
        let (service, age) = (hint.service, hint.syn_age);
        let created_at = hint.created_at;
        if let Some(asked_at) = asked_at {
            self.answer_time.record(now.saturating_since(asked_at));
        }
        let asked_flow = AskedFlow {
            kind: self.flow_kind(flow, service, age),
            route: flow.route,
            created_at,
        };
        self.note_waiting(now, asked_flow, told.load);
        let limit = now + SYN_TIMEOUT;
        self.waiting.push_back((limit, flow, from));
    }

    /// Asks others for flows whose agents have said nothing since they let them wait.
    pub(super) fn continue_waiting(&mut self, now: Timestamp) {
        while let Some((limit, flow, agent)) = self.waiting.front().copied() {
            if now < limit {
                return;
            }
            self.waiting.pop_front();
            let candidate = self.hints.get_mut(flow);
            let candidate = candidate.and_then(|hint| hint.offer_mut(agent));
            if let Some(candidate) = candidate
                && candidate.state == OfferState::Queued
            {
                candidate.state = OfferState::TimedOut;
                self.ask_next(now, flow);
            }
        }
    }

    pub(super) fn handle_accepted(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        accepted: &Accepted,
    ) {
        self.note_heard(now, from, Some(accepted.load));
        let flow = FlowId::from(accepted.flow);
        let Some(hint) = self.hints.get_mut(flow) else {
            return;
        };
        let sequence = accepted.sequence;
        let (service, age) = (hint.service, hint.syn_age);
        let created_at = hint.created_at;
        let is_first = hint.syn.take().is_some();
        if is_first {
            let time = now.saturating_since(hint.created_at);
            self.latencies.placement.record(time);
        }
        let state = OfferState::Accepted { sequence };
        let asked_at = match hint.offer_mut(from) {
            Some(candidate) => {
                candidate.state = state;
                candidate.offered_at.take()
            }
            None => {
                hint.offers.push(Offer {
                    agent: from,
                    state,
                    offered_at: None,
                });
                None
            }
        };
        if let Some(asked_at) = asked_at {
            self.answer_time.record(now.saturating_since(asked_at));
        }
        if is_first {
            let kind = self.flow_kind(flow, service, age);
            self.pressure.note_taken(kind, created_at);
        }
    }

    pub(super) fn handle_declined(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        declined: &Declined,
    ) {
        self.note_heard(now, from, Some(declined.load));
        match declined.reason() {
            DeclineReason::Draining => self.agents.note_state(from, AgentState::Draining),
            DeclineReason::NoBackend | DeclineReason::WrongService => {
                self.agents.note_state(from, AgentState::Unavailable);
            }
            DeclineReason::Returned | DeclineReason::Evacuated => {
                self.agents.note_avoided(now, from);
            }
            DeclineReason::Full
            | DeclineReason::Cold
            | DeclineReason::Failing
            | DeclineReason::Unspecified => {}
        }
        let flow = FlowId::from(declined.flow);
        let Some(hint) = self.hints.get_mut(flow) else {
            return;
        };
        let Some(candidate) = hint.offer_mut(from) else {
            return;
        };
        candidate.state = OfferState::Declined;
        let asked_at = candidate.offered_at.take();
        let service = hint.service;
        let is_open = hint.accepted().is_some();
        match declined.reason() {
            DeclineReason::Full | DeclineReason::Cold => {
                hint.offer_counts.full += 1;
                let turn = Duration::from_micros(u64::from(declined.expected_wait_micros));
                self.pressure.note_turn(service, turn);
                if hint.offered_to_queue {
                    self.pressure.note_declined(now, from);
                }
            }
            _ => hint.offer_counts.other += 1,
        }
        if let Some(asked_at) = asked_at {
            self.answer_time.record(now.saturating_since(asked_at));
        }
        if !is_open {
            self.ask_next(now, flow);
        }
    }
}

/// The agent that is asked next: another one than those that have just had no room, as
/// long as one is there that answers.
fn choose_other(
    now: Timestamp,
    flow: FlowId,
    hint: &CachedFlow,
    agents: &AgentDirectory,
    policies: &mut ActivePolicies,
    pressure: &ServicePressure,
) -> Option<ChosenAgent> {
    let policy = policies.find(flow.route, hint.service);
    let queued = hint.offered_to_queue;
    let mut choose = |exclusion_of: &dyn Fn(SocketAddrV4) -> Option<Exclusion>| {
        let Some(policy) = policy else {
            let weight_of = |_, _: &KnownAgent| Some(1.0);
            return agents.choose(now, hint.service, flow, queued, weight_of, exclusion_of);
        };
        policies.begin_choice();
        let weight_of = |address, agent: &KnownAgent| policies.weight(policy, now, address, agent);
        let chosen = agents.choose(now, hint.service, flow, queued, weight_of, exclusion_of);
        policies.end_choice(policy, hint.service, queued);
        chosen
    };
    let was_asked = |agent| hint.was_offered(agent).then_some(Exclusion::WasAsked);
    let has_declined = |agent| {
        let has_declined = pressure.has_declined(now, agent);
        has_declined.then_some(Exclusion::HasDeclined)
    };
    let other = choose(&|agent| was_asked(agent).or_else(|| has_declined(agent)));
    let answers = |it: &ChosenAgent| !agents.is_suspected(now, it.address);
    other.filter(answers).or_else(|| choose(&was_asked))
}
