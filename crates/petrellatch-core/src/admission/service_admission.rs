//! One agent's part in the admission of one service.

mod flow_reports;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::record::{NodeRole, PlacementRecord, ServiceRecord};

use crate::Timestamp;
use crate::cluster::ClusterView;
use crate::identity::{BucketIndex, Incarnation, NodeId, ServiceId};
use crate::placement::FlowKey;
use crate::routing::{AgentIncarnation, BucketOwner, PlacedGeneration};

use super::redirect_table::ORPHAN_GRACE;
use super::{AdmissionMutations, RedirectTable, ReportInbox, ReportOutbox};

/// After a generation took effect, packets of unknown flows are dropped and
/// not reset for at least this time, since packets routed by older views and
/// claims of agents that are not expected may still be on their way.
const RESET_GRACE: Duration = Duration::from_secs(2);

/// How many generations that are not listed any more are remembered.
const RETIRED_GENERATIONS: usize = 4;

/// How many of them are remembered as long as they name an owner whose life
/// was lost and that may have flows still.
const RETIRED_WITH_LOST_OWNERS: usize = 64;

/// Where this agent stands towards the new flows of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It owns the bucket and no earlier owner can admit any more.
    Owner(BucketOwner),
    /// It owns the bucket, but an earlier owner may still admit.
    Unsettled {
        /// This agent's ownership.
        own: BucketOwner,
        /// The newest earlier owner that has not released the bucket.
        previous: BucketOwner,
    },
    /// Another agent owns the bucket.
    Elsewhere(BucketOwner),
    /// No back end owns the bucket.
    NoOwner,
}

/// Ownership of the buckets of one service, reports about them, and the flows
/// that other agents have.
#[derive(Clone, Debug)]
pub struct ServiceAdmission {
    service: ServiceId,
    address: SocketAddrV4,
    own: AgentIncarnation,
    mutations: AdmissionMutations,
    /// Listed generations, the newest last.
    generations: Vec<PlacedGeneration>,
    /// Generations not listed any more, the newest last.
    retired: Vec<PlacedGeneration>,
    applied_at: Timestamp,
    /// What was reported last: the generation and the life that reported it.
    reported: Option<(u64, AgentIncarnation)>,
    /// Earlier owners that may still admit.
    unreleased: BTreeSet<AgentIncarnation>,
    /// Members that report for the newest generation.
    reporters: BTreeSet<AgentIncarnation>,
    /// Owners whose life ended, with the time until which they are taken to
    /// have flows still.
    lost: BTreeMap<AgentIncarnation, Timestamp>,
    inbox: ReportInbox,
    outbox: ReportOutbox,
    /// The flows that other agents have.
    pub redirects: RedirectTable,
}

impl ServiceAdmission {
    /// Starts without any generation.
    pub fn new(
        service: &ServiceRecord,
        own: AgentIncarnation,
        mutations: AdmissionMutations,
    ) -> Self {
        ServiceAdmission {
            service: ServiceId(service.id),
            address: service.address.into(),
            own,
            mutations,
            generations: Vec::new(),
            retired: Vec::new(),
            applied_at: Timestamp::ZERO,
            reported: None,
            unreleased: BTreeSet::new(),
            reporters: BTreeSet::new(),
            lost: BTreeMap::new(),
            inbox: ReportInbox::new(),
            outbox: ReportOutbox::new(),
            redirects: RedirectTable::new(),
        }
    }

    /// Takes over a newer view. `flows` lists the flows of the service that
    /// this agent has; it is asked only if they have to be reported. From here on it admits nothing in buckets that the newest
    /// generation gives to others, and says so to them.
    pub fn apply(
        &mut self,
        now: Timestamp,
        view: &ClusterView,
        service: &ServiceRecord,
        own: AgentIncarnation,
        flows: &dyn Fn() -> Vec<FlowKey>,
    ) {
        self.own = own;
        self.address = service.address.into();
        if let Some(placement) = view.placement(self.service) {
            self.take_generations(now, service, placement);
        }
        self.find_lost_lives(now, view);
        self.trim_retired(now);
        self.find_reporters(view);
        let is_member = |life: AgentIncarnation| view.is_member(life.node, life.incarnation);
        self.redirects.mark_orphans(now, is_member);
        self.outbox.retain(is_member);
        self.inbox.retain(is_member);
        self.install_reports(now);
        self.report_flows(now, view, flows);
        self.find_unreleased(view);
    }

    /// Returns whether the membership of a node matters to the service.
    pub fn concerns(&self, node: NodeId) -> bool {
        let mut placed = self.generations.iter().chain(&self.retired);
        placed.any(|it| it.agents().any(|life| life.node == node))
            || self.reporters.iter().any(|life| life.node == node)
            || self.inbox.has_report_of(node)
            || self.redirects.leads_to(node)
    }

    /// Returns the number of the newest generation, zero before the first.
    pub fn generation(&self) -> u64 {
        self.generations.last().map_or(0, PlacedGeneration::number)
    }

    /// Returns whether any back end receives new flows by the newest
    /// generation.
    pub fn admits(&self) -> bool {
        self.newest().is_some_and(PlacedGeneration::admits)
    }

    /// Returns the newest generation.
    pub fn newest(&self) -> Option<&PlacedGeneration> {
        self.generations.last()
    }

    /// Returns the bucket of a flow.
    pub fn bucket(&self, key: &FlowKey) -> BucketIndex {
        let count = self.newest().map_or(1, PlacedGeneration::bucket_count);
        key.bucket(count)
    }

    /// Returns where this agent stands towards new flows of `bucket`.
    pub fn standing(&self, bucket: BucketIndex) -> Standing {
        let Some(owner) = self.newest().and_then(|newest| newest.owner(bucket)) else {
            return Standing::NoOwner;
        };
        if owner.agent != self.own {
            return Standing::Elsewhere(owner);
        }
        match self.unreleased_owner(bucket) {
            Some(previous) if !self.mutations.admit_before_release => Standing::Unsettled {
                own: owner,
                previous,
            },
            _ => Standing::Owner(owner),
        }
    }

    /// Returns whether all buckets that this agent owns are settled.
    pub fn is_settled(&self) -> bool {
        if self.unreleased.is_empty() {
            return true;
        }
        let Some(newest) = self.newest() else {
            return true;
        };
        newest
            .buckets()
            .all(|bucket| !matches!(self.standing(bucket), Standing::Unsettled { .. }))
    }

    /// Returns whether every agent that may hold flows of the service has
    /// reported, so that a flow that is unknown here is unknown everywhere.
    pub fn knows_all_flows(&self, now: Timestamp) -> bool {
        let generation = self.generation();
        let quiet = now.saturating_since(self.applied_at) >= RESET_GRACE;
        let complete = |life: &AgentIncarnation| self.inbox.is_complete(*life, generation);
        quiet && self.unreleased.is_empty() && self.reporters.iter().all(complete)
    }

    /// Returns an earlier owner of `bucket` that may have a flow which is
    /// unknown here: one that has not reported, or one whose life was lost.
    pub fn possible_holder(&self, now: Timestamp, bucket: BucketIndex) -> Option<BucketOwner> {
        let earlier = self.earlier_owners(bucket, self.generation());
        let retired = self.retired.iter().rev();
        let mut all = earlier.chain(retired.filter_map(move |it| it.owner(bucket)));
        all.find(|owner| {
            let is_lost = self
                .lost
                .get(&owner.agent)
                .is_some_and(|until| *until > now);
            let may_have_it = is_lost || self.unreleased.contains(&owner.agent);
            may_have_it && owner.agent.node != self.own.node
        })
    }

    /// Returns the newest owner of `bucket` before `generation` that is
    /// neither this agent nor the owner by `generation`.
    pub fn owner_before(&self, bucket: BucketIndex, generation: u64) -> Option<BucketOwner> {
        self.earlier_owners(bucket, generation)
            .find(|owner| owner.agent.node != self.own.node)
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Timestamp, idle: Duration) {
        self.redirects.expire(now, idle);
        self.expire_foreign_redirects(now);
        if self.lost.values().all(|until| *until <= now) {
            self.retired.clear();
        }
    }

    fn take_generations(
        &mut self,
        now: Timestamp,
        service: &ServiceRecord,
        placement: &PlacementRecord,
    ) {
        let before = self.generation();
        let mut former = std::mem::take(&mut self.generations);
        for record in &placement.generations {
            let kept = former
                .iter()
                .position(|it| it.is_computed_from(service, record))
                .map(|position| former.remove(position));
            let generation = kept.unwrap_or_else(|| PlacedGeneration::compute(service, record));
            self.generations.push(generation);
        }
        self.retired.append(&mut former);
        if self.generation() != before {
            self.applied_at = now;
        }
    }

    /// Forgets redirects of buckets that belong to others, who know them by
    /// this agent's reports.
    fn expire_foreign_redirects(&mut self, now: Timestamp) {
        let Some(newest) = self.generations.last() else {
            return;
        };
        let foreign = |key: &FlowKey| {
            let owner = newest.owner(key.bucket(newest.bucket_count()));
            let owner = owner.filter(|owner| owner.agent != self.own);
            owner.is_some_and(|owner| {
                let is_member = self.reporters.contains(&owner.agent);
                is_member && !self.outbox.has_report_for(owner.agent)
            })
        };
        if self.reported == Some((newest.number(), self.own)) {
            self.redirects.expire_foreign(now, foreign);
        }
    }

    /// Notes owners whose life ended.
    fn find_lost_lives(&mut self, now: Timestamp, view: &ClusterView) {
        let known = self.generations.iter().chain(&self.retired);
        let ended: BTreeSet<AgentIncarnation> = known
            .flat_map(PlacedGeneration::agents)
            .filter(|life| !view.is_member(life.node, life.incarnation))
            .collect();
        self.lost.retain(|life, _| ended.contains(life));
        for life in ended {
            self.lost.entry(life).or_insert(now + ORPHAN_GRACE);
        }
    }

    /// Forgets the oldest generations. Those that name a lost owner are kept
    /// longer, to reach it if it is only cut off from the control group.
    fn trim_retired(&mut self, now: Timestamp) {
        let lost = &self.lost;
        let may_have_flows =
            |life: AgentIncarnation| lost.get(&life).is_some_and(|until| *until > now);
        let mut excess = self.retired.len().saturating_sub(RETIRED_GENERATIONS);
        self.retired.retain(|generation| {
            let drop = excess > 0 && !generation.agents().any(may_have_flows);
            excess -= usize::from(drop);
            !drop
        });
        let excess = self.retired.len().saturating_sub(RETIRED_WITH_LOST_OWNERS);
        self.retired.drain(..excess);
    }

    /// Finds the members that have a share in a listed generation or a back
    /// end of the service; all of them report.
    fn find_reporters(&mut self, view: &ClusterView) {
        let shares = self.generations.iter().flat_map(PlacedGeneration::agents);
        let with_share: BTreeSet<AgentIncarnation> = shares
            .filter(|life| view.is_member(life.node, life.incarnation))
            .collect();
        let beside = view
            .backends_of(self.service)
            .filter_map(|backend| view.member(NodeId::from_name(&backend.agent)))
            .filter(|member| member.role() == NodeRole::Agent)
            .map(|member| AgentIncarnation {
                node: NodeId(member.node),
                incarnation: Incarnation(member.incarnation),
            });
        self.reporters = with_share.into_iter().chain(beside).collect();
        self.reporters.remove(&self.own);
    }

    fn find_unreleased(&mut self, view: &ClusterView) {
        let generation = self.generation();
        let older = self.generations.iter().rev().skip(1);
        self.unreleased = older
            .flat_map(PlacedGeneration::owning_agents)
            .filter(|life| *life != self.own)
            .filter(|life| view.is_member(life.node, life.incarnation))
            .filter(|life| !self.inbox.is_complete(*life, generation))
            .collect();
    }

    fn unreleased_owner(&self, bucket: BucketIndex) -> Option<BucketOwner> {
        if self.unreleased.is_empty() {
            return None;
        }
        self.earlier_owners(bucket, self.generation())
            .find(|owner| self.unreleased.contains(&owner.agent))
    }

    /// Returns the owners by listed generations before `generation`, the
    /// newest first.
    fn earlier_owners(
        &self,
        bucket: BucketIndex,
        generation: u64,
    ) -> impl Iterator<Item = BucketOwner> {
        self.generations
            .iter()
            .rev()
            .filter(move |it| it.number() < generation)
            .filter_map(move |it| it.owner(bucket))
    }
}
