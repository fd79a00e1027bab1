//! The leader's knowledge of the members.

mod queries;
mod review;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use petrellatch_proto::command::CommandKind;
use petrellatch_proto::dissemination::{Attach, Delta, HeartbeatEntry, HeartbeatReplyEntry};
use petrellatch_proto::record::{MemberRecord, NodeRole, RecordKey};

use crate::control::{ControlMutations, ControlState, Life};
use crate::event::Event;
use crate::identity::{Incarnation, NodeId};
use crate::time::Timestamp;

use super::attachment::Attachment;
use super::platform_list::{PlatformList, PlatformMachine};
use super::registration_queue::RegistrationQueue;
use super::settings::MembershipSettings;
use super::tracked_member::TrackedMember;

/// Time between two searches for silent members.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

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

/// What placements may depend on and has changed at a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberChange {
    /// Only its reports of load and health.
    Loads,
    /// Whether it may be given new flows.
    Readiness,
}

/// The term that a leader begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermStart {
    /// The term.
    pub term: u64,
    /// For so long former leaders can still have granted leases.
    pub election_timeout: Duration,
    /// Deliberate faults for the lab.
    pub mutations: ControlMutations,
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
    /// Members whose parents must be chosen anew.
    unattached: BTreeSet<NodeId>,
    /// Whether the suspected balancers have changed since parents were chosen.
    suspicion_changed: bool,
    changes: BTreeMap<NodeId, MemberChange>,
    mutations: ControlMutations,
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
        let forgets = start.mutations.forget_earlier_leases;
        let track = |member: &MemberRecord| {
            let incarnation = Incarnation(member.incarnation);
            let mut tracked = TrackedMember::new(now, incarnation, lease_over_at, None);
            if forgets {
                tracked.lease_over_at = now;
                tracked.last_seen = now - settings.lease_end();
            }
            (NodeId(member.node), tracked)
        };
        MemberTracker {
            members: state.view().members().map(track).collect(),
            registrations: RegistrationQueue::new(&settings),
            platform: PlatformList::default(),
            attachment: Attachment::default(),
            suspected: BTreeSet::new(),
            unattached: state.view().members().map(node_of).collect(),
            suspicion_changed: false,
            changes: BTreeMap::new(),
            mutations: start.mutations,
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
    ) -> Option<HeartbeatReplyEntry> {
        let life = Life {
            node: NodeId(entry.node),
            incarnation: Incarnation(entry.incarnation),
        };
        let mut answer = HeartbeatReplyEntry {
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

    /// Follows a change of the replicated state. It costs as much as the
    /// change, however many members there are.
    pub fn handle_applied(&mut self, now: Timestamp, delta: &Delta, state: &ControlState) {
        for change in &delta.changes {
            if let Some(RecordKey::Member(node)) = change.key() {
                self.follow_member(now, NodeId(node), state);
            }
        }
        self.propose_registrations(now);
    }

    /// Returns the members of which something has changed that placements may
    /// depend on, since the last call.
    pub fn take_changes(&mut self) -> BTreeMap<NodeId, MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Timestamp, state: &ControlState) {
        self.propose_registrations(now);
        if now < self.next_check {
            return;
        }
        self.next_check = now + CHECK_INTERVAL;
        self.find_suspects(now);
        self.update_attachment(now, state);
        let is_mass_silence = self.observe_mass_silence(now);
        let members = self.members.iter();
        let noticed = members.filter(|(_, member)| member.needs_review(now));
        let noticed: Vec<NodeId> = noticed.map(|(node, _)| *node).collect();
        for member in noticed.iter().filter_map(|node| state.view().member(*node)) {
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
        let knew_loads = member.has_reported_loads();
        let was_ready = member.is_ready();
        if !member.observe(now, entry, state.view().version()) {
            return None;
        }
        if self.suspected.remove(&life.node) {
            self.suspicion_changed = true;
        }
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
        let loads_changed = member.take_loads_changed();
        if was_ready != member.is_ready() || knew_loads != member.has_reported_loads() {
            self.changes.insert(life.node, MemberChange::Readiness);
        } else if loads_changed {
            let change = self.changes.entry(life.node);
            change.or_insert(MemberChange::Loads);
        }
        self.review(now, record, false);
        Some(if granted {
            self.settings.lease_milliseconds()
        } else {
            0
        })
    }

    fn follow_member(&mut self, now: Timestamp, node: NodeId, state: &ControlState) {
        let view = state.view();
        self.unattached.insert(node);
        match view.member(node) {
            Some(record) => self.track(now, record),
            None => {
                self.members.remove(&node);
                self.suspected.remove(&node);
            }
        }
        self.registrations.remove_if(node, |record| {
            let incarnation = Incarnation(record.incarnation);
            let life = Life { node, incarnation };
            view.is_member(node, incarnation) || state.is_fenced(life)
        });
        if view.member(node).is_none() {
            self.registrations.unblock(node);
        }
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
        // A balancer admits nothing, so its former life needs no waiting.
        let former = state.view().member(life.node);
        let is_blocked = former.is_some() && !self.mutations.register_over_former_life;
        self.registrations.insert(record, is_blocked);
        if let Some(former) = former.filter(|it| it.role == NodeRole::Balancer as i32) {
            self.propose_fence(now, former);
        }
        self.propose_registrations(now);
    }

    fn propose_registrations(&mut self, now: Timestamp) {
        while let Some(record) = self.registrations.next(now) {
            let command = CommandKind::RegisterMember(record);
            self.outputs.push_back(TrackerOutput::Propose(command));
        }
    }

    fn update_attachment(&mut self, now: Timestamp, state: &ControlState) {
        let view = state.view();
        let changed = std::mem::take(&mut self.unattached);
        if !changed.is_empty() || self.suspicion_changed {
            self.suspicion_changed = false;
            self.attachment
                .update(view, &changed, &self.suspected, self.settings.fan_out);
        }
        for instruction in self.attachment.instructions(now, view) {
            self.outputs.push_back(TrackerOutput::Attach {
                member: instruction.member,
                attach: instruction.attach,
            });
        }
    }
}

fn node_of(member: &MemberRecord) -> NodeId {
    NodeId(member.node)
}
