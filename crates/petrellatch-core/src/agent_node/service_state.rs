//! What an agent keeps for one service.

use std::time::Duration;

use petrellatch_proto::record::{ServiceRecord, ShareRecord};

use crate::Timestamp;
use crate::admission::{
    AdmissionMutations, LoadTable, PeerCandidate, ServiceAdmission, Standing, TokenBucket,
};
use crate::cluster::ClusterView;
use crate::identity::{BackendId, BucketIndex, Incarnation, NodeId};
use crate::routing::AgentIncarnation;

/// The idle limit of a service that sets none.
const DEFAULT_IDLE: Duration = Duration::from_secs(3_600);

/// The part of an agent that belongs to one service.
#[derive(Clone, Debug)]
pub(super) struct ServiceState {
    /// Its record.
    pub(super) record: ServiceRecord,
    /// Who admits its flows, and who has them.
    pub(super) admission: ServiceAdmission,
    /// Its limit of new flows a second.
    pub(super) rate: TokenBucket,
    /// The load of its back ends.
    pub(super) loads: LoadTable,
    /// The back ends that may receive new flows by the newest generation.
    pub(super) candidates: Vec<PeerCandidate>,
    /// Whether the newest generation was settled when this was last looked at.
    pub(super) settled: bool,
}

impl ServiceState {
    /// Starts without any generation.
    pub(super) fn new(
        now: Timestamp,
        record: &ServiceRecord,
        own: AgentIncarnation,
        mutations: AdmissionMutations,
    ) -> Self {
        ServiceState {
            record: record.clone(),
            admission: ServiceAdmission::new(record, own, mutations),
            rate: TokenBucket::new(now, record.new_flows_per_second),
            loads: LoadTable::new(),
            candidates: Vec::new(),
            settled: true,
        }
    }

    /// Takes over the changed record and finds the candidates anew. Returns
    /// whether they changed.
    pub(super) fn refresh(&mut self, view: &ClusterView, record: &ServiceRecord) -> bool {
        self.record = record.clone();
        self.rate.set_limit(record.new_flows_per_second);
        let newest = self.admission.newest();
        let shares = newest.map_or(&[][..], |newest| newest.shares());
        let receiving = shares.iter().filter(|share| share.receives_new_flows());
        let candidates: Vec<PeerCandidate> = receiving
            .filter_map(|share| candidate(view, share))
            .collect();
        self.loads
            .retain(|life| view.is_member(life.node, life.incarnation));
        let changed = candidates != self.candidates;
        self.candidates = candidates;
        changed
    }

    /// Returns the placement weight of a back end.
    pub(super) fn weight(&self, backend: BackendId) -> u32 {
        let mut candidates = self.candidates.iter();
        let found = candidates.find(|it| it.backend == backend);
        found.map_or(0, |it| it.weight)
    }

    /// Returns the buckets that this agent owns and that are settled.
    pub(super) fn admitted_buckets(&self) -> impl Iterator<Item = BucketIndex> + '_ {
        let newest = self.admission.newest().into_iter();
        let buckets = newest.flat_map(|newest| newest.buckets());
        buckets.filter(|bucket| matches!(self.admission.standing(*bucket), Standing::Owner(_)))
    }

    /// Returns how long a flow may be idle.
    pub(super) fn idle(&self) -> Duration {
        match self.record.idle_seconds {
            0 => DEFAULT_IDLE,
            seconds => Duration::from_secs(u64::from(seconds)),
        }
    }
}

/// Returns the back end of a share as a candidate if its agent is a member and
/// it is not draining.
fn candidate(view: &ClusterView, share: &ShareRecord) -> Option<PeerCandidate> {
    let agent = AgentIncarnation {
        node: NodeId(share.node),
        incarnation: Incarnation(share.incarnation),
    };
    let backend = BackendId(share.backend);
    let record = view.backend(backend)?;
    let usable = view.is_member(agent.node, agent.incarnation) && !record.draining;
    usable.then_some(PeerCandidate {
        backend,
        agent,
        weight: share.weight,
        slots: record.slots,
    })
}
