//! New flows that are refused without asking an agent, and how much is asked for those
//! that are not.

use petrellatch_proto::pass_through::LoadMessage;

use super::*;

/// Agents that are asked to take a flow into a free slot, before full ones
/// are asked to queue it.
const MAX_OFFERS: usize = 4;
/// Agents that are asked to queue a flow.
pub(super) const MAX_QUEUE_OFFERS: usize = 4;

/// Agents that are asked for a flow while its service is under pressure, other ones
/// than those that have just declined. With two, twice as many messages go into flows
/// that are refused.
const OFFERS_UNDER_OVERLOAD: usize = 1;

/// A flow that agents were asked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct OfferedFlow {
    pub(super) class: FlowClass,
    pub(super) route: SocketAddrV4,
    pub(super) created_at: Timestamp,
}

impl<C: PacketCodec> PassThroughBalancer<C> {
    /// New flows that were refused without asking an agent, by priority.
    pub fn shed_flows(&self) -> &BTreeMap<u32, u64> {
        &self.shed_flows
    }

    /// What a new flow is for the room that it needs, if its caller had waited for
    /// `age` when it came.
    pub(super) fn flow_class(&self, flow: FlowId, service: u64, age: Duration) -> FlowClass {
        let request_class = self.routes.request_class(flow);
        let objective = Duration::from_millis(u64::from(request_class.latency_objective_millis));
        FlowClass {
            service,
            is_late: !objective.is_zero() && age >= objective,
            priority: request_class.priority,
        }
    }

    /// Whether agents are asked for a new flow; otherwise it is refused.
    pub(super) fn should_offer(
        &mut self,
        now: Timestamp,
        flow: FlowId,
        cached: &CachedFlow,
    ) -> bool {
        let class = self.flow_class(flow, cached.service, cached.syn_age);
        if self.overload.decide(now, class) == SheddingDecision::Offer {
            return true;
        }
        self.counters.refused += 1;
        *self.shed_flows.entry(class.priority).or_default() += 1;
        if is_sampled(flow) {
            let version = self.routes.version();
            let subject = format!("flow={flow} reason=no_room version={version}");
            self.emit_event(EventKind::FlowRefused, subject);
        }
        self.reset(flow);
        false
    }

    /// How many agents are asked for a flow, in each of the two rounds.
    pub(super) fn offer_limit(&mut self, now: Timestamp, flow: FlowId) -> usize {
        let Some(cached) = self.flow_cache.get_mut(flow) else {
            return 0;
        };
        let (service, age, queued) = (cached.service, cached.syn_age, cached.offered_to_queue);
        let class = self.flow_class(flow, service, age);
        match (self.overload.is_overloaded(now, class), queued) {
            (true, _) => OFFERS_UNDER_OVERLOAD,
            (false, false) => MAX_OFFERS,
            (false, true) => MAX_QUEUE_OFFERS,
        }
    }

    /// Notes that no agent takes a flow. If most of those that were asked had no room,
    /// the next ones are refused for a while. Silence, or back ends that leave, are no
    /// lack of room.
    pub(super) fn note_refused(&mut self, now: Timestamp, flow: FlowId, cached: &CachedFlow) {
        let offered_flow = OfferedFlow {
            class: self.flow_class(flow, cached.service, cached.syn_age),
            route: flow.route,
            created_at: cached.created_at,
        };
        let OfferCounts { offered, full, .. } = cached.offer_counts;
        if full * 2 <= offered {
            self.overload.note_inconclusive(offered_flow.class);
        } else {
            self.start_backoff(now, offered_flow);
        }
    }

    /// Notes that an agent lets a flow wait for a place, which ends no pause. At back ends
    /// that are warm and whose times of work are known there is no more room for now, and
    /// those that wait find the next. After an outage back ends warm up, or agents have
    /// just started: they will soon take more, so that more flows may wait for it.
    pub(super) fn note_queued(&mut self, now: Timestamp, flow: OfferedFlow, load: LoadMessage) {
        let is_warming_up = load.cold || load.processing_micros == 0;
        let agents = self.agents.agent_counts(flow.class.service).serving();
        let created_at = flow.created_at;
        if !is_warming_up
            && self
                .overload
                .note_queued(now, flow.class, created_at, agents)
        {
            self.start_backoff(now, flow);
        } else {
            self.overload.note_inconclusive(flow.class);
        }
    }

    /// Refuses the next flows of a kind for a while, as one of it found no room.
    fn start_backoff(&mut self, now: Timestamp, flow: OfferedFlow) {
        let OfferedFlow {
            class,
            route,
            created_at,
        } = flow;
        let agents = self.agents.agent_counts(class.service).serving();
        if self
            .overload
            .note_all_full(now, class, created_at, agents, route)
        {
            self.counters.pauses += 1;
            self.log_overload_changes(now);
        }
    }

    /// Logs which services have come under pressure, or are under none any more.
    pub(super) fn log_overload_changes(&mut self, now: Timestamp) {
        for change in self.overload.take_changes(now) {
            let OverloadChange {
                level,
                previous_level,
                route,
                ..
            } = change;
            let name = |level: Option<u32>| level.map_or("none".to_owned(), |it| it.to_string());
            let subject = format!(
                "route={route} level={} before={}",
                name(level),
                name(previous_level)
            );
            let event_kind = match level {
                Some(_) => EventKind::ServicePressed,
                None => EventKind::PressureEnded,
            };
            self.emit_event(event_kind, subject);
        }
    }

    /// Resets a flow. `detail` goes into the log, after a blank.
    pub(super) fn refuse(&mut self, flow: FlowId, reason: &str, detail: &str) {
        self.counters.refused += 1;
        let version = self.routes.version();
        let subject = format!("flow={flow} reason={reason} version={version}{detail}");
        self.emit_event(EventKind::FlowRefused, subject);
        self.reset(flow);
    }

    fn reset(&mut self, flow: FlowId) {
        self.outputs.push_back(PassThroughOutput::ToCaller {
            address: *flow.caller.ip(),
            packet: self.codec.reset(flow, 0),
        });
    }
}

/// Whether a caller that has waited for `age` has given up its opening packet, or its
/// request. The deadline is in milliseconds, zero if it is not known.
pub(super) fn deadline_passed(age: Duration, deadline_millis: u32) -> bool {
    let deadline = Duration::from_millis(u64::from(deadline_millis));
    age >= SYN_TIMEOUT || (!deadline.is_zero() && age >= deadline)
}

/// Whether the caller of a flow that nobody has taken has given it up.
pub(super) fn caller_gave_up(now: Timestamp, cached: &CachedFlow) -> bool {
    let age = cached.syn_age + now.saturating_since(cached.created_at);
    cached.syn.is_some() && deadline_passed(age, 0)
}
