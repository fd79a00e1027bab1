//! What an agent does from time to time.

use std::collections::BTreeMap;
use std::time::Duration;

use petrellatch_proto::admission::FlowsEnded;
use petrellatch_proto::envelope::Body;

use crate::Timestamp;
use crate::admission::ServiceAdmission;
use crate::dissemination::{AgentReport, store_interval};
use crate::event::EventKind;
use crate::identity::{BackendId, ServiceId};
use crate::placement::FlowKey;
use crate::routing::{AgentIncarnation, DropReason};

use super::agent_output::AgentOutput;
use super::ended_flows::{EndedFlows, NOTICE_DELAY};
use super::node::{AgentNode, StopPhase};
use super::open_flow::OpenFlow;
use super::packets::CallerPacket;
use super::refused_hunts::RefusedHunts;

/// Time between two rounds.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time between two searches for redirects that nobody uses.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// A holder's idle limit may start a little later than the owner's.
const IDLE_MARGIN: Duration = Duration::from_secs(30);

/// How long the opening packet of a flow is held until its bucket is settled.
const HOLD_TIME: Duration = Duration::from_millis(500);

/// How many opening packets are held at a time.
const HOLD_LIMIT: usize = 1_024;

/// Addresses in one message about ended flows.
const ENDED_LIMIT: usize = 512;

/// An agent that gave up its lease stops after this time even if the leader
/// does not confirm it: its lease has then run out.
const GIVE_UP_TIMEOUT: Duration = Duration::from_secs(3);

/// A leaving agent without open flows stops so long after its lease ran out,
/// although nobody took over its buckets: the leader, if there is one, fences
/// it by then, and other agents report the flows that it passed to them.
const UNHEARD_STOP_DELAY: Duration = Duration::from_secs(6);

/// The opening packet of a flow whose bucket is not settled.
#[derive(Clone, Debug)]
struct HeldOpening {
    until: Timestamp,
    packet: CallerPacket,
}

/// Work that waits for the next round.
#[derive(Clone, Debug)]
pub(super) struct Maintenance {
    due: Timestamp,
    expire_at: Timestamp,
    store_at: Timestamp,
    view_changed: bool,
    held: Vec<HeldOpening>,
    /// Flows whose end has to be told.
    pub(super) ended: EndedFlows,
    /// Hunted flows that were refused.
    pub(super) refused_hunts: RefusedHunts,
    reported: Option<AgentReport>,
}

impl Maintenance {
    /// The first round is due at once.
    pub(super) fn new(now: Timestamp) -> Self {
        Maintenance {
            due: now,
            expire_at: now + EXPIRY_INTERVAL,
            store_at: now,
            view_changed: false,
            held: Vec::new(),
            ended: EndedFlows::default(),
            refused_hunts: RefusedHunts::default(),
            reported: None,
        }
    }

    /// Returns when the next round is due.
    pub(super) fn due(&self) -> Timestamp {
        self.due
    }

    /// Notes that the copy of the view on disk is old.
    pub(super) fn view_changed(&mut self) {
        self.view_changed = true;
    }

    /// Holds the opening packet of a flow until its bucket is settled.
    pub(super) fn hold(&mut self, now: Timestamp, packet: CallerPacket) -> Result<(), DropReason> {
        let known = |held: &HeldOpening| held.packet.view.key == packet.view.key;
        if self.held.len() >= HOLD_LIMIT || self.held.iter().any(known) {
            return Err(DropReason::Unsettled);
        }
        let until = now + HOLD_TIME;
        self.held.push(HeldOpening { until, packet });
        Ok(())
    }
}

impl AgentNode {
    /// Does a round of maintenance if it is due.
    pub(super) fn maintain(&mut self, now: Timestamp) {
        self.advance_stop(now);
        if self.maintenance.due > now {
            return;
        }
        self.maintenance.due = now + INTERVAL;
        self.retry_held_openings(now);
        self.send_ended_flows(now);
        self.maintenance.refused_hunts.expire(now);
        self.probe_backends(now);
        let backends: Vec<BackendId> = self.backends.keys().copied().collect();
        for backend in backends {
            self.report_load(now, backend);
        }
        self.report_upward(now);
        self.expire(now);
        self.store_view(now);
    }

    /// Tells the leader what changed, with the next heartbeats.
    pub(super) fn report_upward(&mut self, now: Timestamp) {
        let mut unsettled = Vec::new();
        let mut settled_now = Vec::new();
        for (id, state) in &mut self.services {
            let settled = state.admission.is_settled();
            if !settled {
                unsettled.push(*id);
            } else if !state.settled {
                settled_now.push(format!("{id} generation {}", state.admission.generation()));
            }
            state.settled = settled;
        }
        for subject in settled_now {
            self.emit(EventKind::PlacementSettled, subject);
        }
        let report = AgentReport {
            unsettled,
            loads: self.backends.values().map(|it| it.backend_load()).collect(),
            leaving: self.stop != StopPhase::Running,
            stopped: matches!(self.stop, StopPhase::GaveUp(_) | StopPhase::Stopped),
        };
        if self.maintenance.reported.as_ref() != Some(&report) {
            self.link.set_report(now, report.clone());
            self.maintenance.reported = Some(report);
        }
    }

    /// Decides again about the opening packets that wait for their bucket.
    pub(super) fn retry_held_openings(&mut self, now: Timestamp) {
        for held in std::mem::take(&mut self.maintenance.held) {
            if held.until <= now {
                self.counters.count_drop(DropReason::Unsettled);
                continue;
            }
            // It keeps its deadline, whatever comes of this trial.
            let before = self.maintenance.held.len();
            if let Err(reason) = self.place(now, held.packet) {
                self.counters.count_drop(reason);
            }
            for again in &mut self.maintenance.held[before..] {
                again.until = held.until;
            }
        }
    }

    /// Notes a flow that ended, for the owner of its bucket.
    pub(super) fn note_ended(&mut self, now: Timestamp, flow: &OpenFlow) {
        let due = now.max(flow.started_at() + NOTICE_DELAY);
        self.maintenance.ended.insert(due, flow.service, flow.key);
    }

    fn send_ended_flows(&mut self, now: Timestamp) {
        for (service, keys) in self.maintenance.ended.take_due(now) {
            for (owner, keys) in self.group_by_owner(service, keys) {
                if self.is_reporting_to(service, owner) {
                    // The report, which lists these flows, must not come last.
                    self.put_back_ended(now, service, keys);
                } else {
                    self.send_ended_to(owner, service, &keys);
                }
            }
        }
    }

    /// Returns the flows whose buckets belong to other agents, by owner.
    fn group_by_owner(
        &self,
        service: ServiceId,
        keys: Vec<FlowKey>,
    ) -> BTreeMap<AgentIncarnation, Vec<FlowKey>> {
        let mut groups: BTreeMap<AgentIncarnation, Vec<FlowKey>> = BTreeMap::new();
        let newest = self.services.get(&service).map(|it| &it.admission);
        let Some(newest) = newest.and_then(ServiceAdmission::newest) else {
            return groups;
        };
        let own = self.own_life();
        for key in keys {
            let owner = newest.owner(key.bucket(newest.bucket_count()));
            if let Some(owner) = owner.filter(|owner| owner.agent != own) {
                groups.entry(owner.agent).or_default().push(key);
            }
        }
        groups
    }

    fn is_reporting_to(&self, service: ServiceId, owner: AgentIncarnation) -> bool {
        let state = self.services.get(&service);
        state.is_some_and(|state| state.admission.is_reporting_to(owner))
    }

    fn put_back_ended(&mut self, now: Timestamp, service: ServiceId, keys: Vec<FlowKey>) {
        for key in keys {
            let due = now + NOTICE_DELAY;
            self.maintenance.ended.insert(due, service, key);
        }
    }

    fn send_ended_to(&mut self, owner: AgentIncarnation, service: ServiceId, keys: &[FlowKey]) {
        for keys in keys.chunks(ENDED_LIMIT) {
            let ended = FlowsEnded {
                service: service.0,
                sources: keys.iter().map(|key| key.source.into()).collect(),
            };
            self.send(owner, Body::FlowsEnded(ended));
        }
    }

    fn expire(&mut self, now: Timestamp) {
        if self.maintenance.expire_at > now {
            return;
        }
        self.maintenance.expire_at = now + EXPIRY_INTERVAL;
        self.directory.expire(now);
        for state in self.services.values_mut() {
            let idle = state.idle() + IDLE_MARGIN;
            state.admission.expire(now, idle);
        }
    }

    fn store_view(&mut self, now: Timestamp) {
        if !self.maintenance.view_changed || self.maintenance.store_at > now {
            return;
        }
        self.maintenance.view_changed = false;
        self.maintenance.store_at = now + store_interval(self.link.view());
        let bytes = self.link.stored_view().to_bytes();
        self.outputs.push_back(AgentOutput::StoreView(bytes));
    }

    /// Takes the next step of a planned stop when it is due.
    fn advance_stop(&mut self, now: Timestamp) {
        match self.stop {
            StopPhase::Leaving if self.has_nothing_left() || self.is_given_up(now) => {
                self.stop = StopPhase::GaveUp(now);
                self.report_upward(now);
            }
            StopPhase::GaveUp(since) if now.saturating_since(since) >= GIVE_UP_TIMEOUT => {
                self.stop = StopPhase::Stopped;
            }
            _ => {}
        }
    }

    /// Returns whether no flow is open and the lease has been over for long,
    /// so that waiting for the control group serves nobody.
    fn is_given_up(&self, now: Timestamp) -> bool {
        let lease_end = self.link.lease_until().unwrap_or(Timestamp::ZERO);
        let is_over = now.saturating_since(lease_end) >= UNHEARD_STOP_DELAY;
        is_over && self.open_flows() == 0
    }

    /// Returns whether no flow is open, no bucket is owned, and every new
    /// owner knows what this agent knew.
    fn has_nothing_left(&self) -> bool {
        let own = self.own_life();
        let released = self.services.values().all(|state| {
            let newest = state.admission.newest();
            let owns = newest.is_some_and(|it| it.owning_agents().any(|life| life == own));
            !owns && state.admission.is_reported()
        });
        released && self.open_flows() == 0
    }
}
