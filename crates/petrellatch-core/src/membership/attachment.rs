//! Which parents the daemons use.

use std::collections::{BTreeMap, BTreeSet};
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

/// The choice for one daemon and when it was last told.
#[derive(Clone, Debug)]
struct Assignment {
    attach: Attach,
    told_at: Option<Timestamp>,
}

/// Chooses relays among the balancers and assigns daemons to them.
#[derive(Clone, Debug, Default)]
pub(super) struct Attachment {
    assignments: BTreeMap<NodeId, Assignment>,
}

/// A choice that a daemon is to be told.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Instruction {
    pub(super) member: MemberRecord,
    pub(super) attach: Attach,
}

impl Attachment {
    /// Chooses anew. Suspected balancers are not chosen.
    pub(super) fn update(
        &mut self,
        view: &ClusterView,
        suspected: &BTreeSet<NodeId>,
        fan_out: usize,
    ) {
        let count = view.members().count();
        let relays = if count > fan_out {
            choose_relays(view, suspected, fan_out)
        } else {
            BTreeMap::new()
        };
        self.assignments
            .retain(|node, _| view.member(*node).is_some());
        for member in view.members() {
            self.assign(member, &relays);
        }
    }

    /// Returns what is to be told now.
    pub(super) fn instructions(&mut self, now: Timestamp, view: &ClusterView) -> Vec<Instruction> {
        let mut instructions = Vec::new();
        for (node, assignment) in &mut self.assignments {
            let is_due = match assignment.told_at {
                Some(at) => at + REPEAT_INTERVAL <= now && !assignment.attach.parents.is_empty(),
                None => true,
            };
            let Some(member) = view.member(*node).filter(|_| is_due) else {
                continue;
            };
            assignment.told_at = Some(now);
            instructions.push(Instruction {
                member: member.clone(),
                attach: assignment.attach.clone(),
            });
        }
        instructions
    }

    fn assign(&mut self, member: &MemberRecord, relays: &BTreeMap<String, Vec<Parent>>) {
        let attach = attach_for(member, relays);
        let node = NodeId(member.node);
        let known = self.assignments.get(&node);
        if known.is_some_and(|known| known.attach == attach) {
            return;
        }
        // A daemon that never had relays as parents needs not be told so.
        let is_default = known.is_none() && attach.parents.is_empty();
        let told_at = is_default.then_some(Timestamp::ZERO);
        self.assignments
            .insert(node, Assignment { attach, told_at });
    }
}

/// Chooses the relays of each zone: the balancers that rank first by the hash
/// of their node, so that a new balancer displaces few.
fn choose_relays(
    view: &ClusterView,
    suspected: &BTreeSet<NodeId>,
    fan_out: usize,
) -> BTreeMap<String, Vec<Parent>> {
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
    let mut relays = BTreeMap::new();
    for (zone, mut parents) in candidates {
        let count = daemons.get(zone).copied().unwrap_or(0);
        parents.sort_by_key(|parent| rank(parent.node, 0));
        parents.truncate(count.div_ceil(fan_out.max(1)).max(MIN_RELAYS_OF_ZONE));
        relays.insert(zone.to_owned(), parents);
    }
    relays
}

/// Relays themselves use the control replicas, so that the tree has no loop.
fn attach_for(member: &MemberRecord, relays: &BTreeMap<String, Vec<Parent>>) -> Attach {
    let own_zone = relays.get(&member.zone);
    let any_zone = || relays.values().next();
    let mut parents = own_zone.or_else(any_zone).cloned().unwrap_or_default();
    let is_relay = relays
        .values()
        .flatten()
        .any(|relay| relay.node == member.node);
    if is_relay {
        parents.clear();
    }
    parents.sort_by_key(|parent| rank(parent.node, member.node));
    parents.truncate(PARENTS_OF_DAEMON);
    Attach { parents }
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
