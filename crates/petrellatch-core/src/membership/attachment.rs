//! Which parents the daemons use.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;
use std::time::Duration;

use petrellatch_proto::dissemination::{Attach, Parent};
use petrellatch_proto::record::{MemberRecord, MemberState, NodeRole};
use siphasher::sip::SipHasher13;

use crate::cluster::ClusterView;
use crate::identity::NodeId;
use crate::time::Timestamp;

/// Parents named to one daemon: the one to use, and another one to go on with.
const PARENTS_OF_DAEMON: usize = 2;

/// Relays chosen in a zone at least, if it has enough balancers.
const MIN_RELAYS_OF_ZONE: usize = 2;

/// An unchanged choice is repeated after this time.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Instructions given in one go at most, so that a new choice for all daemons
/// is told over several checks.
const MAX_INSTRUCTIONS: usize = 1_024;

/// Relays by zone.
type Relays = BTreeMap<String, Vec<Parent>>;

/// The choice for one daemon and when it was last told.
#[derive(Clone, Debug)]
struct Assignment {
    incarnation: u64,
    attach: Attach,
    told_at: Option<Timestamp>,
}

/// Chooses relays among the balancers and assigns daemons to them.
#[derive(Clone, Debug, Default)]
pub(super) struct Attachment {
    relays: Relays,
    relay_nodes: BTreeSet<u64>,
    assignments: BTreeMap<NodeId, Assignment>,
    /// Daemons that are to be told, in the order of time; some may have left,
    /// or been told, by now.
    due: VecDeque<(Timestamp, NodeId)>,
    news: BTreeSet<NodeId>,
}

/// A choice that a daemon is to be told.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Instruction {
    pub(super) member: MemberRecord,
    pub(super) attach: Attach,
}

impl Attachment {
    /// Chooses anew after these members came, left or changed. Suspected
    /// balancers are not chosen.
    pub(super) fn update(
        &mut self,
        view: &ClusterView,
        changed: &BTreeSet<NodeId>,
        suspected: &BTreeSet<NodeId>,
        fan_out: usize,
    ) {
        let relays = if view.member_count() > fan_out {
            choose_relays(view, suspected, fan_out)
        } else {
            Relays::new()
        };
        if relays != self.relays {
            let nodes = relays.values().flatten().map(|relay| relay.node);
            self.relay_nodes = nodes.collect();
            self.relays = relays;
            for member in view.members() {
                self.assign(member);
            }
        }
        for node in changed {
            match view.member(*node) {
                Some(member) => self.assign(member),
                None => {
                    self.assignments.remove(node);
                }
            }
        }
    }

    /// Returns what is to be told now, but not all at once.
    pub(super) fn instructions(&mut self, now: Timestamp, view: &ClusterView) -> Vec<Instruction> {
        let mut instructions = Vec::new();
        while instructions.len() < MAX_INSTRUCTIONS
            && let Some(node) = self.next_due(now)
        {
            instructions.extend(self.instruct(now, node, view));
        }
        instructions
    }

    fn next_due(&mut self, now: Timestamp) -> Option<NodeId> {
        if let Some(node) = self.news.pop_first() {
            return Some(node);
        }
        while let Some((told_at, node)) = self.due.front().copied() {
            if told_at + REPEAT_INTERVAL > now {
                return None;
            }
            self.due.pop_front();
            let assignment = self.assignments.get(&node);
            if assignment.is_some_and(|it| it.told_at == Some(told_at)) {
                return Some(node);
            }
        }
        None
    }

    /// Choices with parents are told again later.
    fn instruct(
        &mut self,
        now: Timestamp,
        node: NodeId,
        view: &ClusterView,
    ) -> Option<Instruction> {
        let assignment = self.assignments.get_mut(&node)?;
        let member = view.member(node)?.clone();
        assignment.told_at = Some(now);
        if !assignment.attach.parents.is_empty() {
            self.due.push_back((now, node));
        }
        Some(Instruction {
            member,
            attach: assignment.attach.clone(),
        })
    }

    fn assign(&mut self, member: &MemberRecord) {
        let attach = self.attach_for(member);
        let node = NodeId(member.node);
        let known = self.assignments.get(&node);
        let known = known.filter(|known| known.incarnation == member.incarnation);
        if known.is_some_and(|known| known.attach == attach) {
            return;
        }
        // A daemon that never had relays as parents needs not be told so.
        let is_default = known.is_none() && attach.parents.is_empty();
        if !is_default {
            self.news.insert(node);
        }
        let assignment = Assignment {
            incarnation: member.incarnation,
            attach,
            told_at: None,
        };
        self.assignments.insert(node, assignment);
    }

    /// Relays themselves use the control replicas, so that the tree has no
    /// loop.
    fn attach_for(&self, member: &MemberRecord) -> Attach {
        let is_relay = self.relay_nodes.contains(&member.node);
        let own_zone = self.relays.get(&member.zone);
        let any_zone = || self.relays.values().next();
        let mut parents = match own_zone.or_else(any_zone) {
            Some(relays) if !is_relay => relays.clone(),
            _ => Vec::new(),
        };
        parents.sort_by_cached_key(|parent| rank(parent.node, member.node));
        parents.truncate(PARENTS_OF_DAEMON);
        Attach { parents }
    }
}

/// Chooses the relays of each zone: the balancers that rank first by the hash
/// of their node, so that a new balancer displaces few.
fn choose_relays(view: &ClusterView, suspected: &BTreeSet<NodeId>, fan_out: usize) -> Relays {
    let mut daemons: BTreeMap<&str, usize> = BTreeMap::new();
    let mut candidates: BTreeMap<&str, Vec<Parent>> = BTreeMap::new();
    for member in view.members() {
        *daemons.entry(&member.zone).or_default() += 1;
        if may_relay(member) && !suspected.contains(&NodeId(member.node)) {
            candidates
                .entry(&member.zone)
                .or_default()
                .push(parent(member));
        }
    }
    let mut relays = Relays::new();
    for (zone, mut parents) in candidates {
        let count = daemons.get(zone).copied().unwrap_or(0);
        parents.sort_by_cached_key(|parent| rank(parent.node, 0));
        parents.truncate(count.div_ceil(fan_out.max(1)).max(MIN_RELAYS_OF_ZONE));
        relays.insert(zone.to_owned(), parents);
    }
    relays
}

fn may_relay(member: &MemberRecord) -> bool {
    member.role == NodeRole::Balancer as i32 && member.state == MemberState::Live as i32
}

fn parent(member: &MemberRecord) -> Parent {
    Parent {
        node: member.node,
        control: member.control,
    }
}

/// A pseudo-random rank of a relay, for the whole zone or for one daemon.
fn rank(relay: u64, daemon: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(relay, daemon);
    hasher.write_u64(relay);
    hasher.finish()
}
