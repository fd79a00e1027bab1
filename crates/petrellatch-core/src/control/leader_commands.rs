//! The leader's commands about members and placements.

use petrellatch_proto::command::{
    CommandKind, FenceMember, SetMemberState, SetPlacement, SettlePlacement,
};
use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::{
    GenerationRecord, MemberRecord, MemberState, NodeRole, PlacementRecord, Record, RecordChange,
    RecordKey,
};
use prost::Message;

use crate::identity::{Incarnation, NodeId, ServiceId};

use super::control_state::{ControlState, ignored};
use super::fenced_lives::Life;
use super::limits::{
    MAX_BACKENDS_OF_SERVICE, MAX_DELTA_BYTES, MAX_GENERATIONS, MAX_MEMBER_BYTES, MAX_MEMBERS,
};
use super::outcome::{Applied, CommandOutcome};
use super::validation::check_name;

/// The records that a command changes; none if it has no effect.
type Effect = Option<Vec<RecordChange>>;

impl ControlState {
    /// Carries out commands that make one version together. What doesn't fit
    /// any more is left out; the leader proposes it again.
    pub(super) fn apply_leader_commands<'command>(
        &mut self,
        kinds: impl Iterator<Item = &'command CommandKind>,
    ) -> Applied {
        let version = self.view.version() + 1;
        let mut changes = Vec::new();
        let mut bytes = 0;
        for kind in kinds {
            if bytes + MAX_MEMBER_BYTES > MAX_DELTA_BYTES {
                break;
            }
            let Some(effect) = self.effect_of(kind, version) else {
                continue;
            };
            let size: usize = effect.iter().map(Message::encoded_len).sum();
            // Only a placement can be as large, and it has changed nothing yet.
            if bytes > 0 && bytes + size > MAX_DELTA_BYTES {
                continue;
            }
            bytes += size;
            self.view.amend(&effect);
            changes.extend(effect);
        }
        if changes.is_empty() {
            return ignored();
        }
        self.view.increment_version();
        Applied {
            outcome: CommandOutcome::Done,
            delta: Some(Delta { version, changes }),
        }
    }

    fn effect_of(&mut self, kind: &CommandKind, version: u64) -> Effect {
        match kind {
            CommandKind::RegisterMember(member) => self.register_member(member, version),
            CommandKind::FenceMember(fence) => self.fence_member(*fence),
            CommandKind::SetMemberState(set) => self.set_member_state(*set),
            CommandKind::SetPlacement(set) => self.set_placement(set),
            CommandKind::SettlePlacement(settle) => self.settle_placement(*settle),
            CommandKind::Change(_) | CommandKind::RefuseChange(_) | CommandKind::Batch(_) => None,
        }
    }

    fn register_member(&mut self, member: &MemberRecord, version: u64) -> Effect {
        let life = Life {
            node: NodeId(member.node),
            incarnation: Incarnation(member.incarnation),
        };
        let known = self.view.member(life.node).is_some();
        let is_full = self.view.member_count() >= MAX_MEMBERS;
        let is_daemon = matches!(
            NodeRole::try_from(member.role),
            Ok(NodeRole::Balancer | NodeRole::Agent)
        );
        let named =
            check_name("node", &member.name).is_ok() && member.encoded_len() <= MAX_MEMBER_BYTES;
        if known && !self.mutations.register_over_former_life
            || is_full
            || !is_daemon
            || !named
            || self.is_fenced(life)
        {
            return None;
        }
        let drained = self.assignments.drained_nodes.contains(&member.name);
        let state = if drained {
            MemberState::Leaving
        } else {
            MemberState::Live
        };
        let record = MemberRecord {
            state: state as i32,
            ..member.clone()
        };
        self.registrations.insert(life.node, version);
        Some(vec![put(Record::Member(record))])
    }

    fn fence_member(&mut self, fence: FenceMember) -> Effect {
        let life = Life {
            node: NodeId(fence.node),
            incarnation: Incarnation(fence.incarnation),
        };
        if !self.view.is_member(life.node, life.incarnation) {
            return None;
        }
        self.fenced.insert(life);
        self.registrations.remove(&life.node);
        Some(vec![removal(RecordKey::Member(fence.node))])
    }

    fn set_member_state(&self, set: SetMemberState) -> Effect {
        let life = (NodeId(set.node), Incarnation(set.incarnation));
        let is_member = self.view.is_member(life.0, life.1);
        let member = self.view.member(life.0).filter(|_| is_member);
        let member = member.filter(|member| member.state != set.state)?;
        let drained = self.assignments.drained_nodes.contains(&member.name);
        let is_leaving = set.state == MemberState::Leaving as i32;
        if drained && !is_leaving || MemberState::try_from(set.state).is_err() {
            return None;
        }
        let record = MemberRecord {
            state: set.state,
            ..member.clone()
        };
        Some(vec![put(Record::Member(record))])
    }

    fn set_placement(&self, set: &SetPlacement) -> Effect {
        let service = ServiceId(set.service);
        let mut generations = match self.view.placement(service) {
            Some(placement) => placement.generations.clone(),
            None => Vec::new(),
        };
        let newest = generations.last().map_or(0, |newest| newest.number);
        let fits = self.view.service(service).is_some()
            && set.generation.number == newest + 1
            && generations.len() < MAX_GENERATIONS
            && self.are_sound_shares(&set.generation);
        if !fits {
            return None;
        }
        generations.push(set.generation.clone());
        Some(put_placement(set.service, generations))
    }

    fn settle_placement(&self, settle: SettlePlacement) -> Effect {
        let placement = self.view.placement(ServiceId(settle.service))?;
        let numbers = placement.generations.iter().map(|it| it.number);
        let position = numbers.clone().position(|it| it == settle.generation)?;
        if position == 0 {
            return None;
        }
        let kept = placement.generations[position..].to_vec();
        Some(put_placement(settle.service, kept))
    }

    /// Shares must be in order, not too many, and only to members.
    fn are_sound_shares(&self, generation: &GenerationRecord) -> bool {
        let shares = &generation.shares;
        let in_order = shares.is_sorted_by(|left, right| left.backend < right.backend);
        let is_member =
            |node, incarnation| self.view.is_member(NodeId(node), Incarnation(incarnation));
        let to_members = generation
            .owners()
            .all(|share| is_member(share.node, share.incarnation));
        in_order && to_members && shares.len() <= MAX_BACKENDS_OF_SERVICE
    }
}

fn put_placement(service: u32, generations: Vec<GenerationRecord>) -> Vec<RecordChange> {
    let record = PlacementRecord {
        service,
        generations,
    };
    vec![put(Record::Placement(record))]
}

fn put(record: Record) -> RecordChange {
    RecordChange {
        put: Some(record),
        remove: None,
    }
}

fn removal(key: RecordKey) -> RecordChange {
    RecordChange {
        put: None,
        remove: Some(key),
    }
}
