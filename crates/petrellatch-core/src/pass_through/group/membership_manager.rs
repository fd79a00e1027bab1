//! Membership of the replica group: adds replicas that ask to join, and removes members that
//! have been silent for a long time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::consensus::{MemberRole, Membership, MembershipChange, Replica, ReplicaId};
use crate::identity::NodeId;
use crate::time::Timestamp;

/// Interval between checks of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Silence after which a member is removed if another node has joined since.
const REPLACED_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Maximum number of replicas whose zones are kept: all that a group can have, with those
/// that wait to join and those that have left.
const MAX_KNOWN_ZONES: usize = 64;

/// Membership decisions of a leader, one change at a time.
#[derive(Debug)]
pub(crate) struct MembershipManager {
    /// Number of replicas that may be lost at once.
    max_lost_replicas: usize,
    /// Number of zones that may be lost at once; zero or one.
    max_lost_zones: usize,
    /// A member that is silent for longer is removed, if enough others remain.
    silence_timeout: Duration,
    /// Zones that replicas have announced.
    zones: BTreeMap<NodeId, String>,
    next_check_at: Timestamp,
    /// When each other member was last seen, or when this leader first checked it.
    last_seen: BTreeMap<ReplicaId, Timestamp>,
    /// Nodes of the membership, and when each joined.
    joined_at: BTreeMap<NodeId, Timestamp>,
}

impl MembershipManager {
    pub(crate) fn new(
        max_lost_replicas: usize,
        max_lost_zones: usize,
        silence_timeout: Duration,
    ) -> Self {
        MembershipManager {
            max_lost_replicas,
            max_lost_zones,
            silence_timeout,
            zones: BTreeMap::new(),
            next_check_at: Timestamp::ZERO,
            last_seen: BTreeMap::new(),
            joined_at: BTreeMap::new(),
        }
    }

    /// Notes the nodes of the current membership.
    pub(crate) fn note_membership(&mut self, now: Timestamp, membership: &Membership) {
        let members = membership.members().iter().map(|it| it.replica.node);
        let known = |node| (node, *self.joined_at.get(&node).unwrap_or(&now));
        self.joined_at = members.map(known).collect();
    }

    /// Notes the zone of a replica.
    pub(crate) fn note_zone(&mut self, node: NodeId, zone: String) {
        if self.zones.len() >= MAX_KNOWN_ZONES {
            let members = &self.joined_at;
            self.zones.retain(|known, _| members.contains_key(known));
        }
        self.zones.insert(node, zone);
    }

    /// Discards the last-seen times of an earlier leadership.
    pub(crate) fn reset(&mut self) {
        self.last_seen.clear();
    }

    pub(crate) fn poll_timeout(&self) -> Timestamp {
        self.next_check_at
    }

    /// Proposes the next membership change, if a check is due and finds one.
    pub(crate) fn handle_timeout(&mut self, now: Timestamp, replica: &mut Replica) {
        if now < self.next_check_at {
            return;
        }
        self.next_check_at = now + CHECK_INTERVAL;
        if !replica.is_leader_with_quorum(now) {
            return;
        }
        self.update_last_seen(now, replica);
        let change = self.next_change(now, replica);
        if let Some(change) = change {
            // This fails while another change is in progress; the next check tries again.
            let _ = replica.propose_membership(now, change);
        }
    }

    fn update_last_seen(&mut self, now: Timestamp, replica: &Replica) {
        let progress = replica.peer_progress();
        self.last_seen
            .retain(|known, _| progress.iter().any(|peer| peer.replica == *known));
        for peer in progress {
            let last_seen = self.last_seen.entry(peer.replica).or_insert(now);
            *last_seen = (*last_seen).max(peer.last_contact.unwrap_or_default());
        }
    }

    fn next_change(&self, now: Timestamp, replica: &Replica) -> Option<MembershipChange> {
        let removal = self.member_to_remove(now, replica);
        removal.map(MembershipChange::Remove).or_else(|| {
            let addition = self.replica_to_add(replica);
            addition.map(MembershipChange::AddVoter)
        })
    }

    /// The waiting replica whose zone has the fewest voters, so that no zone has a majority
    /// while the group grows. Replicas whose zone is unknown come last.
    fn replica_to_add(&self, replica: &Replica) -> Option<ReplicaId> {
        let voters: Vec<NodeId> = replica.membership().voters().map(|it| it.node).collect();
        let voters_in_same_zone = |replica: &ReplicaId| match self.zones.get(&replica.node) {
            Some(zone) => self.voters_in_zone(&voters, zone),
            None => usize::MAX,
        };
        let waiting = replica.announced_replicas().into_iter();
        waiting.min_by_key(voters_in_same_zone)
    }

    fn voters_in_zone(&self, voters: &[NodeId], zone: &str) -> usize {
        let zones = voters.iter().filter_map(|voter| self.zones.get(voter));
        zones.filter(|other| *other == zone).count()
    }

    /// Whether the loss of any zone leaves a majority of these voters.
    fn tolerates_zone_loss(&self, voters: &[NodeId]) -> bool {
        let zones: BTreeSet<&String> = self.zones.values().collect();
        let leaves_majority = |zone: &&String| {
            let remaining = voters.len() - self.voters_in_zone(voters, zone);
            remaining * 2 > voters.len()
        };
        self.max_lost_zones == 0 || zones.iter().all(leaves_majority)
    }

    /// A silent member without a vote, or a silent voter if the remaining ones still tolerate
    /// the loss of replicas and of a zone.
    fn member_to_remove(&self, now: Timestamp, replica: &Replica) -> Option<NodeId> {
        let membership = replica.membership();
        let voters = membership.voters().count();
        let min_voters = 2 * self.max_lost_replicas + 1;
        let tolerates_loss_without = |node: NodeId| {
            let remaining = membership.voters().map(|it| it.node);
            let remaining: Vec<NodeId> = remaining.filter(|it| *it != node).collect();
            self.tolerates_zone_loss(&remaining)
        };
        let members = membership.members().iter();
        let removable = members.filter(|member| {
            let is_dispensable = member.role != MemberRole::Voter
                || (voters > min_voters && tolerates_loss_without(member.replica.node));
            is_dispensable && self.is_silent(now, member.replica)
        });
        removable.map(|member| member.replica.node).next()
    }

    /// Whether a member has been silent for the timeout, or for the shorter one if another
    /// node has joined since.
    fn is_silent(&self, now: Timestamp, member: ReplicaId) -> bool {
        let Some(last_seen) = self.last_seen.get(&member) else {
            return false;
        };
        let silence = now.saturating_since(*last_seen);
        let has_replacement = self.joined_at.values().any(|joined| joined > last_seen);
        silence >= self.silence_timeout || (has_replacement && silence >= REPLACED_SILENCE_TIMEOUT)
    }
}
