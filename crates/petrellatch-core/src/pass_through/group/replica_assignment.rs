//! Which replicas serve an agent, where not all do.

use crate::pass_through::digest::address_digest;

/// Whether a replica is among the first `count` of `replicas` for an agent: each agent has
/// an order of its own, so that the work is spread evenly.
pub(crate) fn is_assigned(agent: u64, own: u64, replicas: &[u64], count: usize) -> bool {
    let order = |replica: u64| address_digest(replica, agent);
    let own_order = order(own);
    let before = replicas
        .iter()
        .filter(|replica| order(**replica) < own_order);
    before.count() < count
}
