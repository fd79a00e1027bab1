//! What the leader knows about single members.

use petrellatch_proto::dissemination::BackendLoad;

use crate::identity::{BackendId, NodeId, ServiceId};
use crate::time::Timestamp;

use super::super::tracked_member::TrackedMember;
use super::MemberTracker;

impl MemberTracker {
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
}
