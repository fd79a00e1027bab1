//! Finds silent, lagging and leaving members, and proposes what follows.

use std::time::Duration;

use petrellatch_proto::command::{CommandKind, FenceMember, SetMemberState};
use petrellatch_proto::record::{MemberRecord, MemberState};

use crate::event::{Event, EventKind};
use crate::identity::NodeId;
use crate::time::Timestamp;

use super::{MemberTracker, TrackerOutput};

/// How long the outcome of a proposal is awaited before it is repeated.
const PROPOSAL_PATIENCE: Duration = Duration::from_secs(2);

/// Fewer members than this never count as mass silence.
const MIN_MASS_SILENCE: usize = 4;

impl MemberTracker {
    pub(super) fn find_suspects(&mut self, now: Timestamp) {
        let hinted = self.settings.hinted_suspicion_after;
        let shortest = hinted.min(self.settings.suspicion_after);
        for (node, member) in &mut self.members {
            if member.is_suspected || member.last_seen + shortest > now {
                continue;
            }
            let patience = if self.platform.doubts(*node) {
                self.settings.hinted_suspicion_after
            } else {
                self.settings.suspicion_after
            };
            let is_silent = member.last_seen + patience <= now;
            if is_silent {
                member.is_suspected = true;
                self.suspicion_changed = true;
                self.suspected.insert(*node);
                let event = Event::new(EventKind::MemberSuspected, node.to_string());
                self.outputs.push_back(TrackerOutput::Event(event));
            }
        }
    }

    /// Whether so many members are silent that the fault is likely elsewhere,
    /// and patience with them has not run out.
    pub(super) fn observe_mass_silence(&mut self, now: Timestamp) -> bool {
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
    pub(super) fn review(&mut self, now: Timestamp, record: &MemberRecord, is_mass_silence: bool) {
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
        let too_early = self.mutations.fence_without_waiting && member.is_suspected;
        if member.is_stopped || is_lost || too_early {
            self.propose_fence(now, record);
        }
    }

    /// Once a fence was proposed, the life gets no lease any more.
    pub(super) fn propose_fence(&mut self, now: Timestamp, record: &MemberRecord) {
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
}

fn may_propose(now: Timestamp, proposed_at: Option<Timestamp>) -> bool {
    proposed_at.is_none_or(|at| at + PROPOSAL_PATIENCE <= now)
}
