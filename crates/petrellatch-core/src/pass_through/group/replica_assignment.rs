//! Assignment of replicas to agents by rendezvous hashing, for tasks that only some replicas
//! perform.

use crate::pass_through::digest::address_digest;

/// Whether replica `own` ranks among the first `count` of `replicas` for an agent. Each agent
/// ranks the replicas by a hash of its own, which spreads the work evenly.
pub(crate) fn is_assigned(agent: u64, own: u64, replicas: &[u64], count: usize) -> bool {
    let rank = |replica: u64| address_digest(replica, agent);
    let own_rank = rank(own);
    let before = replicas.iter().filter(|replica| rank(**replica) < own_rank);
    before.count() < count
}
