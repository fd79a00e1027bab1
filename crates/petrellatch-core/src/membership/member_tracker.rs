//! The leader's knowledge of the members.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use petrellatch_proto::command::{CommandKind, FenceMember, SetMemberState};
use petrellatch_proto::dissemination::{Attach, BackendLoad, HeartbeatAnswer, HeartbeatEntry};
use petrellatch_proto::record::{MemberRecord, MemberState, NodeRole};

use crate::control::{ControlState, Life};
use crate::event::{Event, EventKind};
use crate::identity::{BackendId, Incarnation, NodeId, ServiceId};
use crate::time::Timestamp;

use super::attachment::Attachment;
use super::platform_list::{PlatformList, PlatformMachine};
use super::registration_queue::RegistrationQueue;
use super::settings::MembershipSettings;
use super::tracked_member::TrackedMember;

/// Time between two searches for silent members.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long the outcome of a proposal is awaited before it is repeated.
const PROPOSAL_PATIENCE: Duration = Duration::from_secs(2);

/// Fewer members than this never count as mass silence.
const MIN_MASS_SILENCE: usize = 4;

/// Something for the leader to do.
#[derive(Clone, Debug, PartialEq)]
pub enum TrackerOutput {
    /// Propose a command.
    Propose(CommandKind),
    /// Tell a member which parents to use.
    Attach {
        /// The member.
        member: MemberRecord,
        /// Its parents.
        attach: Attach,
    },
    /// Something for the log.
    Event(Event),
}

/// The term that a leader begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermStart {
    /// The term.
    pub term: u64,
    /// For so long former leaders can still have granted leases.
    pub election_timeout: Duration,
    /// Silent agents are fenced at once (a fault for the lab).
    pub fences_without_waiting: bool,
}

/// Follows the members' heartbeats, grants leases and decides who is fenced.
/// It exists only while a replica leads. See the [module page](super).
#[derive(Clone, Debug)]
pub struct MemberTracker {
    settings: MembershipSettings,
    members: BTreeMap<NodeId, TrackedMember>,
    registrations: RegistrationQueue,
    platform: PlatformList,
    attachment: Attachment,
    suspected: BTreeSet<NodeId>,
    fences_without_waiting: bool,
    term: u64,
    mass_silence_since: Option<Timestamp>,
    next_check: Timestamp,
    outputs: VecDeque<TrackerOutput>,
}

impl MemberTracker {
    /// Starts when a replica became leader. Former leaders may have granted
    /// leases until an election timeout from now, to any member.
    pub fn new(
        now: Timestamp,
        settings: MembershipSettings,
        start: TermStart,
        state: &ControlState,
    ) -> Self {
        let lease_over_at = now + start.election_timeout + settings.lease_end();
        let track = |member: &MemberRecord| {
            let incarnation = Incarnation(member.incarnation);
            let tracked = TrackedMember::new(now, incarnation, lease_over_at, None);
            (NodeId(member.node), tracked)
        };
        MemberTracker {
            members: state.view().members().map(track).collect(),
            registrations: RegistrationQueue::new(&settings),
            platform: PlatformList::default(),
            attachment: Attachment::default(),
            suspected: BTreeSet::new(),
            fences_without_waiting: start.fences_without_waiting,
            term: start.term,
            mass_silence_since: None,
            next_check: now + CHECK_INTERVAL,
            outputs: VecDeque::new(),
            settings,
        }
    }

    /// Takes a heartbeat and returns the answer to it; none if a newer one
    /// was answered already. Must be called only while the replica leads with
    /// a quorum and has applied everything committed.
    pub fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        entry: &HeartbeatEntry,
        state: &ControlState,
    ) -> Option<HeartbeatAnswer> {
        let life = Life {
            node: NodeId(entry.node),
            incarnation: Incarnation(entry.incarnation),
        };
        let mut answer = HeartbeatAnswer {
            node: entry.node,
            incarnation: entry.incarnation,
            sequence: entry.sequence,
            version: state.view().version(),
            lease_milliseconds: 0,
            registered: false,
            fenced: false,
            term: self.term,
        };
        if state.view().is_member(life.node, life.incarnation) {
            answer.registered = true;
            answer.lease_milliseconds = self.observe_member(now, life, entry, state)?;
            return Some(answer);
        }
        match &entry.registration {
            Some(record) if !state.is_fenced(life) => self.enqueue(now, life, record, state),
            _ => answer.fenced = true,
        }
        Some(answer)
    }

    /// Takes the platform's list of machines, as a hint.
    pub fn handle_platform_list(&mut self, machines: &[PlatformMachine]) {
        self.platform.replace(machines);
    }

    /// Follows a change of the replicated state.
    pub fn handle_applied(&mut self, now: Timestamp, state: &ControlState) {
        let view = state.view();
        self.members
            .retain(|node, member| view.is_member(*node, member.incarnation));
        for member in view.members() {
            self.track(now, member);
        }
        self.registrations.remove_if(|record| {
            let (node, incarnation) = (NodeId(record.node), Incarnation(record.incarnation));
            let life = Life { node, incarnation };
            view.is_member(node, incarnation) || state.is_fenced(life)
        });
        self.update_attachment(now, state);
        self.propose_registrations(now, state);
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Timestamp, state: &ControlState) {
        self.propose_registrations(now, state);
        if now < self.next_check {
            return;
        }
        self.next_check = now + CHECK_INTERVAL;
        self.find_suspects(now);
        self.update_attachment(now, state);
        let is_mass_silence = self.observe_mass_silence(now);
        let members: Vec<MemberRecord> = state.view().members().cloned().collect();
        for member in &members {
            self.review(now, member, is_mass_silence);
        }
    }

    /// When [`MemberTracker::handle_timeout`] wants to be called.
    pub fn poll_timeout(&self) -> Timestamp {
        let registration = self.registrations.poll_timeout();
        registration.map_or(self.next_check, |at| at.min(self.next_check))
    }

    /// Returns the next thing to do.
    pub fn poll_output(&mut self) -> Option<TrackerOutput> {
        self.outputs.pop_front()
    }

    /// The version in force at a member; none if this leader has not heard of
    /// its present life yet.
    pub fn reported_version(&self, node: NodeId) -> Option<u64> {
        self.members.get(&node)?.reported_version()
    }

    /// Whether a member has `version` in force and its buckets of the newest
    /// generation of `service` are settled.
    pub fn is_settled(&self, node: NodeId, service: ServiceId, version: u64) -> bool {
        let Some(member) = self.members.get(&node) else {
            return false;
        };
        let has_version = member.reported_version().is_some_and(|it| it >= version);
        has_version && member.is_settled(service)
    }

    /// Whether a member has been silent for too long.
    pub fn is_suspected(&self, node: NodeId) -> bool {
        self.suspected.contains(&node)
    }

    /// Whether a member could admit new flows if it were given any.
    pub fn is_ready(&self, node: NodeId) -> bool {
        self.members.get(&node).is_some_and(TrackedMember::is_ready)
    }

    /// Whether this leader has heard of a member's loads.
    pub fn has_reported_loads(&self, node: NodeId) -> bool {
        let member = self.members.get(&node);
        member.is_some_and(TrackedMember::has_reported_loads)
    }

    /// The load of a back end as the agent on `node` last reported it.
    pub fn load(&self, node: NodeId, backend: BackendId) -> Option<&BackendLoad> {
        self.members.get(&node)?.loads.get(&backend)
    }

    /// When the present life of a member appeared; none if that was before
    /// this leader's term.
    pub fn appeared_at(&self, node: NodeId) -> Option<Timestamp> {
        self.members.get(&node)?.appeared_at
    }

    /// Follows a member's heartbeat and returns the lease that it gets.
    fn observe_member(
        &mut self,
        now: Timestamp,
        life: Life,
        entry: &HeartbeatEntry,
        state: &ControlState,
    ) -> Option<u32> {
        let record = state.view().member(life.node)?;
        self.track(now, record);
        let lease_end = self.settings.lease_end();
        let lag_limit = self.settings.version_lag_limit;
        let member = self.members.get_mut(&life.node)?;
        if !member.observe(now, entry, state.view().version()) {
            return None;
        }
        self.suspected.remove(&life.node);
        let is_agent = record.role == NodeRole::Agent as i32;
        let knows_itself = state
            .registered_at(life.node)
            .is_none_or(|version| entry.version >= version);
        let may_live = !member.is_stopped && member.fence_proposed_at.is_none();
        let may_admit = is_agent && knows_itself && member.lag(now) < lag_limit;
        let granted = may_live && may_admit;
        if granted {
            member.was_granted = true;
            member.lease_over_at = now + lease_end;
        }
        self.review(now, record, false);
        Some(if granted {
            self.settings.lease_milliseconds()
        } else {
            0
        })
    }

    fn track(&mut self, now: Timestamp, record: &MemberRecord) {
        let incarnation = Incarnation(record.incarnation);
        let node = NodeId(record.node);
        let known = self.members.get(&node);
        if known.is_some_and(|member| member.incarnation == incarnation) {
            return;
        }
        let lease_over_at = now + self.settings.lease_end();
        let member = TrackedMember::new(now, incarnation, lease_over_at, Some(now));
        self.members.insert(node, member);
    }

    /// A life that is no member wants to be registered.
    fn enqueue(&mut self, now: Timestamp, life: Life, record: &MemberRecord, state: &ControlState) {
        let is_own = record.node == life.node.0
            && record.incarnation == life.incarnation.0
            && NodeId::from_name(&record.name) == life.node;
        if !is_own {
            return;
        }
        self.registrations.insert(record);
        // A balancer admits nothing, so its former life needs no waiting.
        let former = state.view().member(life.node);
        if let Some(former) = former.filter(|it| it.role == NodeRole::Balancer as i32) {
            self.propose_fence(now, former);
        }
        self.propose_registrations(now, state);
    }

    fn propose_registrations(&mut self, now: Timestamp, state: &ControlState) {
        let view = state.view();
        let is_free = |node| view.member(node).is_none();
        while let Some(record) = self.registrations.next(now, is_free) {
            let command = CommandKind::RegisterMember(record);
            self.outputs.push_back(TrackerOutput::Propose(command));
        }
    }

    fn find_suspects(&mut self, now: Timestamp) {
        for (node, member) in &mut self.members {
            let patience = if self.platform.doubts(*node) {
                self.settings.hinted_suspicion_after
            } else {
                self.settings.suspicion_after
            };
            let is_silent = member.last_seen + patience <= now;
            if is_silent && !member.is_suspected {
                member.is_suspected = true;
                self.suspected.insert(*node);
                let event = Event::new(EventKind::MemberSuspected, node.to_string());
                self.outputs.push_back(TrackerOutput::Event(event));
            }
        }
        let members = &self.members;
        self.suspected.retain(|node| members.contains_key(node));
    }

    /// Whether so many members are silent that the fault is likely elsewhere,
    /// and patience with them has not run out.
    fn observe_mass_silence(&mut self, now: Timestamp) -> bool {
        let silent = self.suspected.len();
        let is_mass = silent >= MIN_MASS_SILENCE && silent * 2 > self.members.len();
        if !is_mass {
            self.mass_silence_since = None;
            return false;
        }
        let since = *self.mass_silence_since.get_or_insert(now);
        now < since + self.settings.lease_end() + self.settings.mass_silence_grace
    }

    /// Proposes what a member's condition asks for.
    fn review(&mut self, now: Timestamp, record: &MemberRecord, is_mass_silence: bool) {
        let has_successor = self.registrations.contains(NodeId(record.node));
        let Some(member) = self.members.get_mut(&NodeId(record.node)) else {
            return;
        };
        let wants_to_leave = member.is_leaving && record.state == MemberState::Live as i32;
        if wants_to_leave && may_propose(now, member.state_proposed_at) {
            member.state_proposed_at = Some(now);
            let command = CommandKind::SetMemberState(SetMemberState {
                node: record.node,
                incarnation: record.incarnation,
                state: MemberState::Leaving as i32,
            });
            self.outputs.push_back(TrackerOutput::Propose(command));
        }
        let lease_is_over = member.lease_over_at <= now;
        let is_silent = member.last_seen + self.settings.lease_end() <= now;
        let is_behind = member.is_ready() && member.lag(now) >= self.settings.version_lag_limit;
        let is_spared = is_mass_silence && !has_successor;
        let is_lost = lease_is_over && !is_spared && (is_silent || is_behind);
        let too_early = self.fences_without_waiting && member.is_suspected;
        if member.is_stopped || is_lost || too_early {
            self.propose_fence(now, record);
        }
    }

    /// Once a fence was proposed, the life gets no lease any more.
    fn propose_fence(&mut self, now: Timestamp, record: &MemberRecord) {
        let Some(member) = self.members.get_mut(&NodeId(record.node)) else {
            return;
        };
        if !may_propose(now, member.fence_proposed_at) {
            return;
        }
        member.fence_proposed_at = Some(now);
        let command = CommandKind::FenceMember(FenceMember {
            node: record.node,
            incarnation: record.incarnation,
        });
        self.outputs.push_back(TrackerOutput::Propose(command));
    }

    fn update_attachment(&mut self, now: Timestamp, state: &ControlState) {
        let view = state.view();
        self.attachment
            .update(view, &self.suspected, self.settings.fan_out);
        for instruction in self.attachment.instructions(now, view) {
            self.outputs.push_back(TrackerOutput::Attach {
                member: instruction.member,
                attach: instruction.attach,
            });
        }
    }
}

fn may_propose(now: Timestamp, proposed_at: Option<Timestamp>) -> bool {
    proposed_at.is_none_or(|at| at + PROPOSAL_PATIENCE <= now)
}
