//! New flows that are refused without asking an agent, and how much is asked for those
//! that are not.

use petrellatch_proto::pass_through::LoadMessage;

use super::*;

/// Agents that are asked to take a flow into a free slot, before full ones
/// are asked to queue it.
const MAX_ASKED: usize = 4;
/// Agents that are asked to queue a flow.
pub(super) const MAX_QUEUE_ASKED: usize = 4;

/// Agents that are asked for a flow while its service is under pressure, other ones
/// than those that have just declined. With two, twice as many messages go into flows
/// that are refused.
const PRESSED_ASKED: usize = 1;

/// A flow that agents were asked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct AskedFlow {
    pub(super) kind: FlowKind,
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
    pub(super) fn flow_kind(&self, flow: FlowId, service: u64, age: Duration) -> FlowKind {
        let class = self.routes.class(flow);
        let objective = Duration::from_millis(u64::from(class.objective_millis));
        FlowKind {
            service,
            is_late: !objective.is_zero() && age >= objective,
            priority: class.priority,
        }
    }

    /// Whether agents are asked for a new flow; otherwise it is refused.
    pub(super) fn admits_at_edge(
        &mut self,
        now: Timestamp,
        flow: FlowId,
        hint: &CachedFlow,
    ) -> bool {
        let kind = self.flow_kind(flow, hint.service, hint.syn_age);
        if self.pressure.decide(now, kind) == EdgeDecision::Ask {
            return true;
        }
        self.counters.refused += 1;
        *self.shed_flows.entry(kind.priority).or_default() += 1;
        if is_sampled(flow) {
            let version = self.routes.version();
            let subject = format!("flow={flow} reason=no_room version={version}");
            self.emit_event(EventKind::FlowRefused, subject);
        }
        self.reset(flow);
        false
    }

    /// How many agents are asked for a flow, in each of the two rounds.
    pub(super) fn ask_limit(&mut self, now: Timestamp, flow: FlowId) -> usize {
        let Some(hint) = self.hints.get_mut(flow) else {
            return 0;
        };
        let (service, age, queued) = (hint.service, hint.syn_age, hint.offered_to_queue);
        let kind = self.flow_kind(flow, service, age);
        match (self.pressure.is_pressed(now, kind), queued) {
            (true, _) => PRESSED_ASKED,
            (false, false) => MAX_ASKED,
            (false, true) => MAX_QUEUE_ASKED,
        }
    }

    /// Notes that no agent takes a flow. If most of those that were asked had no room,
    /// the next ones are refused for a while. Silence, or back ends that leave, are no
    /// lack of room.
    pub(super) fn note_refused(&mut self, now: Timestamp, flow: FlowId, hint: &CachedFlow) {
        let asked_flow = AskedFlow {
            kind: self.flow_kind(flow, hint.service, hint.syn_age),
            route: flow.route,
            created_at: hint.created_at,
        };
        let OfferCounts {
            offered: asked,
            full,
            ..
        } = hint.offer_counts;
        if full * 2 <= asked {
            self.pressure.note_unknown(asked_flow.kind);
        } else {
            self.begin_pause(now, asked_flow);
        }
    }

    /// Notes that an agent lets a flow wait for a place, which ends no pause. At back ends
    /// that are warm and whose times of work are known there is no more room for now, and
    /// those that wait find the next. After an outage back ends warm up, or agents have
    /// just started: they will soon take more, so that more flows may wait for it.
    pub(super) fn note_waiting(&mut self, now: Timestamp, flow: AskedFlow, load: LoadMessage) {
        let is_starting = load.cold || load.processing_micros == 0;
        let agents = self.agents.count(flow.kind.service).serving();
        let created_at = flow.created_at;
        if !is_starting
            && self
                .pressure
                .note_waiting(now, flow.kind, created_at, agents)
        {
            self.begin_pause(now, flow);
        } else {
            self.pressure.note_unknown(flow.kind);
        }
    }

    /// Refuses the next flows of a kind for a while, as one of it found no room.
    fn begin_pause(&mut self, now: Timestamp, flow: AskedFlow) {
        let AskedFlow {
            kind,
            route,
            created_at,
        } = flow;
        let agents = self.agents.count(kind.service).serving();
        if self
            .pressure
            .note_full(now, kind, created_at, agents, route)
        {
            self.counters.pauses += 1;
            self.tell_pressure(now);
        }
    }

    /// Logs which services have come under pressure, or are under none any more.
    pub(super) fn tell_pressure(&mut self, now: Timestamp) {
        for change in self.pressure.take_changes(now) {
            let PressureChange {
                level,
                before,
                route,
                ..
            } = change;
            let name = |level: Option<u32>| level.map_or("none".to_owned(), |it| it.to_string());
            let subject = format!(
                "route={route} level={} before={}",
                name(level),
                name(before)
            );
            let kind = match level {
                Some(_) => EventKind::ServicePressed,
                None => EventKind::PressureEnded,
            };
            self.emit_event(kind, subject);
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
pub(super) fn has_passed(age: Duration, deadline_millis: u32) -> bool {
    let deadline = Duration::from_millis(u64::from(deadline_millis));
    age >= SYN_TIMEOUT || (!deadline.is_zero() && age >= deadline)
}

/// Whether the caller of a flow that nobody has taken has given it up.
pub(super) fn has_left(now: Timestamp, hint: &CachedFlow) -> bool {
    let age = hint.syn_age + now.saturating_since(hint.created_at);
    hint.syn.is_some() && has_passed(age, 0)
}
