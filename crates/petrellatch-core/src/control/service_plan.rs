//! What the planner remembers about one service, and when it may act on it.

use std::time::Duration;

use petrellatch_proto::record::{GenerationRecord, PlacementRecord, ServiceRecord, ShareRecord};

use crate::cluster::ClusterView;
use crate::event::{Event, EventKind};
use crate::identity::{Incarnation, NodeId, ServiceId};
use crate::membership::MemberTracker;
use crate::time::Timestamp;

use super::limits::MAX_GENERATIONS;
use super::service_input::{LoadMemory, ServiceInput};
use super::share_decision::ShareDecision;

/// Generations of one service that are listed before optional changes wait
/// for the oldest to settle.
pub const PLANNED_GENERATIONS: usize = 4;

/// Least time between two placement changes of a service.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Least time between two placement changes of a service for load reports or
/// age alone.
const LOAD_CHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// How long the outcome of a proposal is awaited before it is repeated.
pub(super) const PROPOSAL_PATIENCE: Duration = Duration::from_secs(1);

/// What is remembered about one service.
#[derive(Debug, Default)]
pub(super) struct ServicePlan {
    pub(super) loads: LoadMemory,
    pub(super) input: Option<ServiceInput>,
    pub(super) decision: ShareDecision,
    /// The input of the last proposed generation.
    pub(super) placed_input: Option<ServiceInput>,
    pub(super) changed_at: Option<Timestamp>,
    pub(super) proposed_at: Option<Timestamp>,
    pub(super) settle_proposed_at: Option<Timestamp>,
    /// The version that set the newest generation, or a later one.
    pub(super) placed_version: u64,
    pub(super) newest_generation: u64,
    pub(super) receives_nothing: bool,
}

/// What is to be done for a service.
#[derive(Debug, PartialEq)]
pub(super) enum NextStep {
    /// The placement is as wanted, or something else must happen first.
    Nothing,
    /// Look again at this time.
    WaitUntil(Timestamp),
    /// Propose this generation.
    Propose(GenerationRecord),
}

impl ServicePlan {
    /// Says what is to be done now to get the placement that is wanted.
    pub(super) fn next_step(
        &mut self,
        now: Timestamp,
        learned_at: Timestamp,
        placement: Option<&PlacementRecord>,
        view: &ClusterView,
    ) -> NextStep {
        let generations = placement.map_or(&[][..], |it| &it.generations);
        let current = generations.last().map_or(&[][..], |it| &it.shares);
        if current == self.decision.shares {
            return NextStep::Nothing;
        }
        if let Some(at) = self
            .proposed_at
            .filter(|_| is_recent(now, self.proposed_at))
        {
            return NextStep::WaitUntil(at + PROPOSAL_PATIENCE);
        }
        let has_lost_member = current.iter().any(|share| !is_live(share, view));
        let listed_limit = if has_lost_member {
            MAX_GENERATIONS
        } else {
            PLANNED_GENERATIONS
        };
        if generations.len() >= listed_limit {
            return NextStep::Nothing;
        }
        let allowed_at = self.allowed_at(learned_at);
        if allowed_at > now && !has_lost_member {
            return NextStep::WaitUntil(allowed_at);
        }
        self.proposed_at = Some(now);
        self.changed_at = Some(now);
        self.placed_input = self.input.clone();
        NextStep::Propose(GenerationRecord {
            number: self.newest_generation + 1,
            shares: self.decision.shares.clone(),
        })
    }

    /// From when on a change may be made that need not be made at once.
    fn allowed_at(&self, learned_at: Timestamp) -> Timestamp {
        let paused_until = self.changed_at.map(|at| at + self.pause());
        paused_until.map_or(learned_at, |at| at.max(learned_at))
    }

    /// Whether all agents concerned have reported to this leader.
    pub(super) fn knows_loads(&self, tracker: &MemberTracker) -> bool {
        let candidates = self.input.iter().flat_map(|input| &input.candidates);
        candidates
            .map(|candidate| candidate.node)
            .all(|node| tracker.has_reported_loads(node))
    }

    /// The least time since the last change, longer if only loads differ.
    fn pause(&self) -> Duration {
        let (Some(placed), Some(input)) = (&self.placed_input, &self.input) else {
            return CHANGE_INTERVAL;
        };
        let same_policy = placed.policy == input.policy;
        let same_places = placed.candidates.len() == input.candidates.len()
            && placed
                .candidates
                .iter()
                .zip(&input.candidates)
                .all(|(left, right)| left.is_same_place(right));
        if same_policy && same_places {
            LOAD_CHANGE_INTERVAL
        } else {
            CHANGE_INTERVAL
        }
    }

    /// Reports once that a service with back ends can't receive new flows.
    pub(super) fn observe_emptiness(
        &mut self,
        service: &ServiceRecord,
        view: &ClusterView,
    ) -> Option<Event> {
        let has_backends = view.backends_of(ServiceId(service.id)).next().is_some();
        let receives_nothing = has_backends && !self.decision.admits();
        let is_news = receives_nothing && !self.receives_nothing;
        self.receives_nothing = receives_nothing;
        is_news.then(|| Event::new(EventKind::NoEligibleBackend, service.name.clone()))
    }
}

/// Whether older generations can be forgotten: every owner of the newest
/// generation is live, has it in force and has taken over its buckets, and
/// every live owner of an older generation has the newest in force, so that it
/// admits nothing by an older one any more.
pub(super) fn has_settled(
    placement: &PlacementRecord,
    placed_version: u64,
    view: &ClusterView,
    tracker: &MemberTracker,
) -> bool {
    let Some((newest, older)) = placement.generations.split_last() else {
        return false;
    };
    let service = ServiceId(placement.service);
    let owners_settled = newest.owners().all(|share| {
        is_live(share, view) && tracker.is_settled(NodeId(share.node), service, placed_version)
    });
    let former = older.iter().flat_map(|generation| &generation.shares);
    let former_know = former.filter(|share| is_live(share, view)).all(|share| {
        let version = tracker.reported_version(NodeId(share.node));
        version.is_some_and(|version| version >= placed_version)
    });
    !older.is_empty() && owners_settled && former_know
}

/// Whether a fenced life owns buckets by the newest generation.
pub(super) fn has_lost_owner(placement: &PlacementRecord, view: &ClusterView) -> bool {
    let newest = placement.generations.last();
    let mut shares = newest.into_iter().flat_map(|it| &it.shares);
    shares.any(|share| !is_live(share, view))
}

fn is_live(share: &ShareRecord, view: &ClusterView) -> bool {
    view.is_member(NodeId(share.node), Incarnation(share.incarnation))
}

pub(super) fn is_recent(now: Timestamp, proposed_at: Option<Timestamp>) -> bool {
    proposed_at.is_some_and(|at| at + PROPOSAL_PATIENCE > now)
}
