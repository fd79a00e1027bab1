//! Where heartbeats came from, so that their answers find the way back.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use petrellatch_proto::dissemination::{HeartbeatEntry, HeartbeatReply, HeartbeatReplyEntry};

use crate::identity::NodeId;
use crate::time::Timestamp;

/// Most daemons below one relay. All of the cluster are below the leader.
const MAX_ROUTES: usize = 32_768;

/// The neighbour that passed on a daemon's heartbeats, or the daemon itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Neighbour {
    pub(super) node: NodeId,
    pub(super) address: SocketAddrV4,
}

#[derive(Clone, Copy, Debug)]
struct Route {
    neighbour: Neighbour,
    incarnation: u64,
    sequence: u64,
    seen: Timestamp,
}

/// The routes to all daemons below a relay.
#[derive(Clone, Debug, Default)]
pub(super) struct Routes {
    routes: BTreeMap<NodeId, Route>,
}

impl Routes {
    /// Takes note of an entry. Returns whether it is new: an entry that was
    /// seen before came in a circle or was doubled, and isn't passed on.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        neighbour: Neighbour,
        entry: &HeartbeatEntry,
    ) -> bool {
        let node = NodeId(entry.node);
        let known = self.routes.get(&node);
        let is_seen = known.is_some_and(|route| {
            route.incarnation == entry.incarnation && route.sequence >= entry.sequence
        });
        let is_full = known.is_none() && self.routes.len() >= MAX_ROUTES;
        if is_seen || is_full {
            return false;
        }
        let route = Route {
            neighbour,
            incarnation: entry.incarnation,
            sequence: entry.sequence,
            seen: now,
        };
        self.routes.insert(node, route);
        true
    }

    /// Sorts answers by the neighbour to whom they go.
    pub(super) fn split(
        &self,
        answers: &[HeartbeatReplyEntry],
    ) -> BTreeMap<Neighbour, HeartbeatReply> {
        let mut replies: BTreeMap<Neighbour, HeartbeatReply> = BTreeMap::new();
        for answer in answers {
            if let Some(route) = self.routes.get(&NodeId(answer.node)) {
                let reply = replies.entry(route.neighbour).or_default();
                reply.entries.push(*answer);
            }
        }
        replies
    }

    /// Forgets daemons that were not heard of since `limit`.
    pub(super) fn forget_before(&mut self, limit: Timestamp) {
        self.routes.retain(|_, route| route.seen >= limit);
    }
}
