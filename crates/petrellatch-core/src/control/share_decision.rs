//! From a service's input to the shares of its back ends.

use std::cmp::Reverse;

use petrellatch_proto::record::ShareRecord;

use crate::policy::{self, BackendView, Policy, Shares};

use super::service_input::ServiceInput;

/// Of the back ends that a policy would use if all were well, reports take
/// out at most one in this many: reports can be wrong, all together too.
const KEPT_PART: usize = 2;

/// The outcome for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ShareDecision {
    /// Back ends that receive new flows, by identifier. If none does, all
    /// whose agents are there, with no weight: these refuse new flows.
    pub(super) shares: Vec<ShareRecord>,
}

impl ShareDecision {
    /// Whether any back end receives new flows.
    pub(super) fn admits(&self) -> bool {
        self.shares.iter().any(ShareRecord::receives_new_flows)
    }
}

/// Evaluates the policy. Without one, nothing receives new flows.
pub(super) fn decide(policy: Option<&Policy>, input: &ServiceInput) -> ShareDecision {
    let Some(policy) = policy else {
        return ShareDecision::default();
    };
    let weights = bounded_weights(policy, input);
    let candidates = input.candidates.iter().zip(weights);
    let mut shares: Vec<ShareRecord> = candidates
        .map(|(candidate, weight)| ShareRecord {
            backend: candidate.reported.id.0,
            weight: candidate.ramp(weight),
            node: candidate.node.0,
            incarnation: candidate.incarnation.0,
        })
        .filter(ShareRecord::receives_new_flows)
        .collect();
    if shares.is_empty() {
        shares.clone_from(&input.refusers);
    }
    ShareDecision { shares }
}

/// The weights by the reports, but with enough back ends kept that would
/// receive flows if they were well.
fn bounded_weights(policy: &Policy, input: &ServiceInput) -> Vec<u32> {
    let reported = input.candidates.iter().map(|it| it.reported.clone());
    let mut weights = evaluate(policy, input, reported.collect());
    for (weight, candidate) in weights.iter_mut().zip(&input.candidates) {
        if candidate.reported.draining {
            *weight = 0;
        }
    }
    let assumed = input.candidates.iter().map(|it| it.assumed_well());
    let assumed = evaluate(policy, input, assumed.collect());
    let usable = assumed.iter().filter(|weight| **weight > 0).count();
    let mut taken_out: Vec<usize> = (0..weights.len())
        .filter(|index| weights[*index] == 0 && assumed[*index] > 0)
        .collect();
    taken_out.sort_by_key(|index| {
        let view = &input.candidates[*index].reported;
        (view.draining, Reverse(view.health), view.id)
    });
    let excess = taken_out.len().saturating_sub(usable / KEPT_PART);
    for index in taken_out.into_iter().take(excess) {
        weights[index] = assumed[index];
    }
    weights
}

fn evaluate(policy: &Policy, input: &ServiceInput, backends: Vec<BackendView>) -> Vec<u32> {
    let Shares { shares, .. } = policy::shares(policy, &input.service, &backends);
    shares.iter().map(|share| share.weight).collect()
}
