//! Keeps the group of replicas whole: takes in machines that announce
//! themselves, and removes members that have been silent for long.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::consensus::{MemberRole, Membership, MembershipChange, Replica, ReplicaId};
use crate::identity::NodeId;
use crate::time::Timestamp;

/// Between two looks at the group.
const INTERVAL: Duration = Duration::from_millis(200);
/// A silent member is removed after this if a new node came in its stead.
const SUCCEEDED_SILENCE: Duration = Duration::from_millis(2_000);

/// Replicas whose zones are remembered: all that a group can have, with those that
/// wait and those that are gone.
const MAX_ZONES_KNOWN: usize = 64;

/// Decisions of a leader about the members of its group, one at a time.
#[derive(Debug)]
pub(crate) struct GroupKeeper {
    /// How many machines may be lost at once.
    losses: usize,
    /// How many zones may be lost at once; zero or one.
    zone_losses: usize,
    /// A member that is silent for longer is removed, if enough others stay.
    silence_limit: Duration,
    /// Where replicas run, as far as they have said.
    zones: BTreeMap<NodeId, String>,
    due_at: Timestamp,
    /// When each other member was last heard, or first seen by this leader.
    heard: BTreeMap<ReplicaId, Timestamp>,
    /// Nodes of the membership, and when each came in.
    nodes: BTreeMap<NodeId, Timestamp>,
}

impl GroupKeeper {
    pub(crate) fn new(losses: usize, zone_losses: usize, silence_limit: Duration) -> Self {
        GroupKeeper {
            losses,
            zone_losses,
            silence_limit,
            zones: BTreeMap::new(),
            due_at: Timestamp::ZERO,
            heard: BTreeMap::new(),
            nodes: BTreeMap::new(),
        }
    }

    /// Notes which nodes belong to the group.
    pub(crate) fn note_membership(&mut self, now: Timestamp, membership: &Membership) {
        let members = membership.members().iter().map(|it| it.replica.node);
        let known = |node| (node, *self.nodes.get(&node).unwrap_or(&now));
        self.nodes = members.map(known).collect();
    }

    /// Notes where a replica runs.
    pub(crate) fn note_zone(&mut self, node: NodeId, zone: String) {
        if self.zones.len() >= MAX_ZONES_KNOWN {
            let members = &self.nodes;
            self.zones.retain(|known, _| members.contains_key(known));
        }
        self.zones.insert(node, zone);
    }

    /// Forgets what an earlier leadership heard.
    pub(crate) fn restart(&mut self) {
        self.heard.clear();
    }

    pub(crate) fn poll_timeout(&self) -> Timestamp {
        self.due_at
    }

    /// Proposes the next change, if one is due.
    pub(crate) fn handle_timeout(&mut self, now: Timestamp, replica: &mut Replica) {
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
            let newcomer = self.newcomer(replica);
            newcomer.map(MembershipChange::AddVoter)
        })
    }

    /// The newcomer whose zone has the fewest voters, so that no zone has most of them
    /// while the group grows. Those whose zone is not known come last.
    fn newcomer(&self, replica: &Replica) -> Option<ReplicaId> {
        let voters: Vec<NodeId> = replica.membership().voters().map(|it| it.node).collect();
        let voters_beside = |newcomer: &ReplicaId| match self.zones.get(&newcomer.node) {
            Some(zone) => self.count_in(&voters, zone),
            None => usize::MAX,
        };
        let waiting = replica.waiting_replicas().into_iter();
        waiting.min_by_key(voters_beside)
    }

    fn count_in(&self, voters: &[NodeId], zone: &str) -> usize {
        let zones = voters.iter().filter_map(|voter| self.zones.get(voter));
        zones.filter(|other| *other == zone).count()
    }

    /// Whether the loss of any zone leaves a majority of these voters.
    fn bears_zone_loss(&self, voters: &[NodeId]) -> bool {
        let zones: BTreeSet<&String> = self.zones.values().collect();
        let leaves_majority = |zone: &&String| {
            let left = voters.len() - self.count_in(voters, zone);
            left * 2 > voters.len()
        };
        self.zone_losses == 0 || zones.iter().all(leaves_majority)
    }

    /// A member without a vote that went silent, or a silent voter if those
    /// that stay can still bear the losses, of machines and of a zone.
    fn member_to_remove(&self, now: Timestamp, replica: &Replica) -> Option<NodeId> {
        let membership = replica.membership();
        let voters = membership.voters().count();
        let needed = 2 * self.losses + 1;
        let bears_loss_without = |node: NodeId| {
            let staying = membership.voters().map(|it| it.node);
            let staying: Vec<NodeId> = staying.filter(|it| *it != node).collect();
            self.bears_zone_loss(&staying)
        };
        let members = membership.members().iter();
        let removable = members.filter(|member| {
            let dispensable = member.role != MemberRole::Voter
                || (voters > needed && bears_loss_without(member.replica.node));
            dispensable && self.is_silent(now, member.replica)
        });
        removable.map(|member| member.replica.node).next()
    }

    /// Whether a member is silent for long, or for a while with a successor.
    fn is_silent(&self, now: Timestamp, member: ReplicaId) -> bool {
        let Some(heard) = self.heard.get(&member) else {
            return false;
        };
        let silence = now.saturating_since(*heard);
        let has_successor = self.nodes.values().any(|came| came > heard);
        silence >= self.silence_limit || (has_successor && silence >= SUCCEEDED_SILENCE)
    }
}
