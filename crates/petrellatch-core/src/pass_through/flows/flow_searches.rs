//! All flow searches of a balancer, and the times of their queries. Queries are batched, so
//! that one message covers many flows.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::ReturnedPacket;

use crate::time::Timestamp;

use super::flow_search::{FlowSearch, QUERY_ROUND, SearchTarget};
use crate::pass_through::packet::{FlowId, PacketView};

/// Maximum number of concurrent searches. Further ones aren't started: callers retransmit.
const MAX_SEARCHES: usize = 8_192;
/// How long flows are batched, so that one message covers many.
const BATCH_TIME: Duration = Duration::from_millis(3);

/// All searches of a balancer.
#[derive(Debug, Default)]
pub(crate) struct FlowSearches {
    searches: HashMap<FlowId, FlowSearch>,
    /// Flows with the ends of their rounds.
    due: BTreeSet<(Timestamp, FlowId)>,
    /// Flows whose round begins with the next queries.
    unqueried: Vec<FlowId>,
    /// Earliest time of the next queries; until then flows are batched.
    query_at: Timestamp,
}

impl FlowSearches {
    /// Adds a packet of an unknown flow. Returns whether its search begins with it.
    pub(crate) fn note_packet(
        &mut self,
        now: Timestamp,
        service: u64,
        view: &PacketView,
        packet: &[u8],
    ) -> bool {
        let flow = view.flow_from_caller();
        let Some((search, is_new)) = self.entry(now, flow, service) else {
            return false;
        };
        search.note_packet(now, view, packet);
        let round_is_over = now.saturating_since(search.round_started_at) >= QUERY_ROUND;
        let due = (search.due_at, flow);
        if !is_new && round_is_over && self.due.remove(&due) {
            // The caller has sent again, so the next round begins early.
            self.unqueried.push(flow);
        }
        is_new
    }

    /// Records that a back end returned a packet of a flow.
    pub(crate) fn note_returned(
        &mut self,
        now: Timestamp,
        service: u64,
        agent: SocketAddrV4,
        returned: &ReturnedPacket,
    ) {
        if let Some((search, _)) = self.entry(now, returned.flow.into(), service) {
            search.note_returned(now, agent, returned);
        }
    }

    fn entry(
        &mut self,
        now: Timestamp,
        flow: FlowId,
        service: u64,
    ) -> Option<(&mut FlowSearch, bool)> {
        let is_new = !self.searches.contains_key(&flow);
        if is_new && self.searches.len() >= MAX_SEARCHES {
            return None;
        }
        if is_new {
            self.searches.insert(flow, FlowSearch::new(now, service));
            self.unqueried.push(flow);
        }
        self.searches.get_mut(&flow).map(|search| (search, is_new))
    }

    pub(crate) fn get_mut(&mut self, flow: FlowId) -> Option<&mut FlowSearch> {
        self.searches.get_mut(&flow)
    }

    /// All searched flows, in order.
    pub(crate) fn flows(&self) -> BTreeSet<FlowId> {
        self.searches.keys().copied().collect()
    }

    /// Begins the next round of a flow with the next queries, unless it is already queued for
    /// them.
    pub(crate) fn query_now(&mut self, flow: FlowId) {
        let Some(search) = self.searches.get(&flow) else {
            return;
        };
        if self.due.remove(&(search.due_at, flow)) {
            self.unqueried.push(flow);
        }
    }

    pub(crate) fn contains(&self, flow: FlowId) -> bool {
        self.searches.contains_key(&flow)
    }

    pub(crate) fn remove(&mut self, flow: FlowId) -> Option<FlowSearch> {
        let search = self.searches.remove(&flow)?;
        self.due.remove(&(search.due_at, flow));
        Some(search)
    }

    /// Time of the next queries or of the next end of a round.
    pub(crate) fn poll_timeout(&self) -> Option<Timestamp> {
        let round_end = self.due.first().map(|(due_at, _)| *due_at);
        let query_at = (!self.unqueried.is_empty()).then_some(self.query_at);
        query_at.into_iter().chain(round_end).min()
    }

    /// Takes the flows whose rounds have ended. They are queried again unless they are removed.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<FlowId> {
        let mut due = Vec::new();
        while let Some((due_at, flow)) = self.due.first().copied()
            && due_at <= now
        {
            self.due.pop_first();
            due.push(flow);
        }
        due
    }

    /// Begins the next round of a flow with the next queries.
    pub(crate) fn query_again(&mut self, flow: FlowId) {
        self.unqueried.push(flow);
    }

    /// Begins the next round of a flow with the next queries, for the agents of all services.
    pub(crate) fn query_all(&mut self, flow: FlowId) {
        let Some(search) = self.searches.get_mut(&flow) else {
            return;
        };
        search.query_all();
        if self.due.remove(&(search.due_at, flow)) {
            self.unqueried.push(flow);
        }
    }

    /// Takes the flows to query now, if queries are due.
    pub(crate) fn take_unqueried(&mut self, now: Timestamp) -> Vec<FlowId> {
        if now < self.query_at || self.unqueried.is_empty() {
            return Vec::new();
        }
        self.query_at = now + BATCH_TIME;
        std::mem::take(&mut self.unqueried)
    }

    /// Begins a round of one flow, unless `try_spend` denies the budget to query its agents.
    /// Returns the agents to query.
    pub(crate) fn begin_round(
        &mut self,
        now: Timestamp,
        flow: FlowId,
        agents: &[SearchTarget],
        total_added: u64,
        try_spend: impl FnOnce(&Vec<SocketAddrV4>) -> bool,
    ) -> Vec<SocketAddrV4> {
        let Some(search) = self.searches.get_mut(&flow) else {
            return Vec::new();
        };
        let queried = match try_spend(&search.undecided(agents)) {
            true => search.begin_round(now, agents, total_added),
            false => {
                search.due_at = now + QUERY_ROUND;
                Vec::new()
            }
        };
        self.due.insert((search.due_at, flow));
        queried
    }
}
