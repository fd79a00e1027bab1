//! Keeps the group of replicas whole: takes in machines that announce
//! themselves, and removes members that have been silent for long.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::consensus::{MemberRole, MembershipChange, Replica, ReplicaId};
use crate::time::Timestamp;

/// Between two looks at the group.
const INTERVAL: Duration = Duration::from_millis(200);

/// Decisions of a leader about the members of its group, one at a time.
#[derive(Debug)]
pub(super) struct GroupKeeper {
    /// How many machines may be lost at once.
    losses: usize,
    /// A member that is silent for longer is removed, if enough others stay.
    silence_limit: Duration,
    due_at: Timestamp,
    /// When each other member was last heard, or first seen by this leader.
    heard: BTreeMap<ReplicaId, Timestamp>,
}

impl GroupKeeper {
    pub(super) fn new(losses: usize, silence_limit: Duration) -> Self {
        GroupKeeper {
            losses,
            silence_limit,
            due_at: Timestamp::ZERO,
            heard: BTreeMap::new(),
        }
    }

    /// Forgets what an earlier leadership heard.
    pub(super) fn restart(&mut self) {
        self.heard.clear();
    }

    pub(super) fn poll_timeout(&self) -> Timestamp {
        self.due_at
    }

    /// Proposes the next change, if one is due.
    pub(super) fn handle_timeout(&mut self, now: Timestamp, replica: &mut Replica) {
        if now < self.due_at {
            return;
        }
        self.due_at = now + INTERVAL;
        if !replica.is_leader_with_quorum(now) {
            return;
        }
        self.note_contacts(now, replica);
        let change = self.next_change(now, replica);
        if let Some(change) = change {
            // A change in progress goes first; this one is tried again.
            let _ = replica.propose_membership(now, change);
        }
    }

    fn note_contacts(&mut self, now: Timestamp, replica: &Replica) {
        let progress = replica.peer_progress();
        self.heard
            .retain(|known, _| progress.iter().any(|peer| peer.replica == *known));
        for peer in progress {
            let heard = self.heard.entry(peer.replica).or_insert(now);
            *heard = (*heard).max(peer.last_contact.unwrap_or_default());
        }
    }

    fn next_change(&self, now: Timestamp, replica: &Replica) -> Option<MembershipChange> {
        let removal = self.member_to_remove(now, replica);
        removal.map(MembershipChange::Remove).or_else(|| {
            let newcomer = replica.waiting_replicas().into_iter().next();
            newcomer.map(MembershipChange::AddVoter)
        })
    }

    /// A member without a vote that went silent, or a silent voter if those
    /// that stay can still bear the losses.
    fn member_to_remove(
        &self,
        now: Timestamp,
        replica: &Replica,
    ) -> Option<crate::identity::NodeId> {
        let membership = replica.membership();
        let is_silent = |id: &ReplicaId| {
            let heard = self.heard.get(id);
            heard.is_some_and(|at| now.saturating_since(*at) >= self.silence_limit)
        };
        let voters = membership.voters().count();
        let needed = 2 * self.losses + 1;
        let members = membership.members().iter();
        let removable = members.filter(|member| {
            let dispensable = member.role != MemberRole::Voter || voters > needed;
            dispensable && is_silent(&member.replica)
        });
        removable.map(|member| member.replica.node).next()
    }
}
