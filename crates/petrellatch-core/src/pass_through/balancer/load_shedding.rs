//! Load shedding, and the number of offers for flows that are not shed.

use petrellatch_proto::pass_through::LoadMessage;

use super::*;

/// Maximum number of agents that a flow is offered to for a free slot, before it is offered
/// to admission queues.
const MAX_OFFERS: usize = 4;
/// Maximum number of agents that a flow is offered to for their admission queues.
pub(super) const MAX_QUEUE_OFFERS: usize = 4;

/// Maximum number of agents that a flow is offered to while its service is overloaded;
/// agents that declined recently are excluded. Two would double the messages for flows that
/// are refused.
const OFFERS_UNDER_OVERLOAD: usize = 1;

/// A new flow that was offered to agents.
#[derive(Clone, Copy, Debug)]
pub(super) struct OfferedFlow {
    pub(super) class: FlowClass,
    pub(super) route: SocketAddrV4,
    pub(super) created_at: Timestamp,
}

impl<C: PacketCodec> PassThroughBalancer<C> {
    /// Number of new flows that were shed since the start, by priority.
    pub fn shed_flows(&self) -> &BTreeMap<u32, u64> {
        &self.shed_flows
    }

    /// The class of a new flow whose caller had waited for `age` when the flow arrived.
    pub(super) fn flow_class(&self, flow: FlowId, service: u64, age: Duration) -> FlowClass {
        let request_class = self.routes.request_class(flow);
        let objective = Duration::from_millis(u64::from(request_class.latency_objective_millis));
        FlowClass {
            service,
            is_late: !objective.is_zero() && age >= objective,
            priority: request_class.priority,
        }
    }

    /// Decides whether a new flow is offered to agents, and otherwise refuses it.
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

    /// The maximum number of offers for a flow, in each of the two rounds (free slots, then
    /// admission queues). Offers that timed out are not counted.
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

    /// Notes that no agent accepted a flow. If most of them lacked capacity, a backoff starts.
    /// Missing replies and draining back ends are not lack of capacity.
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

    /// Notes that an agent queued a flow, which doesn't end a backoff. A warm back end with a
    /// known processing time has no capacity left for now, and the next free slots go to the
    /// queued flows. After an outage, when back ends warm up and agents have just started,
    /// capacity will soon increase, so that more flows may be queued for it.
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

    /// Starts a backoff for the class of a flow that found no capacity, unless the flow
    /// arrived before the end of the latest backoff.
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

    /// Logs the services whose overload level has changed.
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

    /// Refuses a flow with a reset. `detail` is appended to the log line; it starts with a
    /// space or is empty.
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

/// Whether a caller that has waited for `age` has given up its SYN or its request. The
/// deadline is in milliseconds; zero if it is not configured.
pub(super) fn deadline_passed(age: Duration, deadline_millis: u32) -> bool {
    let deadline = Duration::from_millis(u64::from(deadline_millis));
    age >= SYN_TIMEOUT || (!deadline.is_zero() && age >= deadline)
}

/// Whether the caller of a flow that no agent has accepted has given it up.
pub(super) fn caller_gave_up(now: Timestamp, cached: &CachedFlow) -> bool {
    let age = cached.syn_age + now.saturating_since(cached.created_at);
    cached.syn.is_some() && deadline_passed(age, 0)
}
