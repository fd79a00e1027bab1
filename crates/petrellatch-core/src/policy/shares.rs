//! The shares of a service's back ends under a policy.

use crate::placement::{NOMINAL_WEIGHT, Share};

use super::explanation::{BackendExplanation, Explanation};
use super::program::Policy;
use super::view::{BackendView, ServiceView};

/// The input of a placement table, with the reasons.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// A share for each back end, in the order of the argument. A back end
    /// that isn't eligible has the weight 0.
    pub shares: Vec<Share>,
    /// What each back end gets and why, in the same order.
    pub explanations: Vec<BackendExplanation>,
    /// Whether there is no eligible back end: new flows have to be refused.
    pub none_eligible: bool,
}

impl Shares {
    /// Returns whether no back end receives new flows, because none is
    /// eligible or all weights are zero.
    pub fn all_weights_are_zero(&self) -> bool {
        self.shares.iter().all(|share| share.weight == 0)
    }
}

/// Evaluates a policy for all back ends of a service. A back end for which the
/// evaluation fails is not eligible; the explanation says why.
pub fn shares(policy: &Policy, service: &ServiceView, backends: &[BackendView]) -> Shares {
    let mut result = Shares {
        none_eligible: true,
        ..Shares::default()
    };
    for backend in backends {
        let explanation = explain(policy, service, backend);
        let weight = match explanation {
            Explanation::Weighted { share, .. } => {
                result.none_eligible = false;
                share
            }
            _ => 0,
        };
        result.shares.push(Share {
            backend: backend.id,
            weight,
        });
        result.explanations.push(BackendExplanation {
            backend: backend.id,
            name: backend.name.clone(),
            explanation,
        });
    }
    fill_per_mille(&mut result);
    result
}

/// Evaluates a policy for one back end.
fn explain(policy: &Policy, service: &ServiceView, backend: &BackendView) -> Explanation {
    match policy.evaluate(service, backend) {
        Err(error) => Explanation::Failed { error },
        Ok(evaluation) if evaluation.eligible => Explanation::Weighted {
            weight: evaluation.weight,
            share: scale(evaluation.weight),
            per_mille: 0,
        },
        Ok(_) => Explanation::NotEligible {
            condition: policy.first_false_condition(service, backend),
        },
    }
}

/// Scales a weight, of which 1 is nominal, to that of a placement table. A
/// positive weight never becomes zero, and a large one saturates.
fn scale(weight: f64) -> u32 {
    if weight <= 0.0 {
        return 0;
    }
    // A cast from a float saturates.
    let scaled = (weight * f64::from(NOMINAL_WEIGHT)).round() as u32;
    scaled.max(1)
}

/// Writes into each explanation its part of the sum of all shares.
fn fill_per_mille(shares: &mut Shares) {
    let total: u64 = shares.shares.iter().map(|it| u64::from(it.weight)).sum();
    for explanation in &mut shares.explanations {
        if let Explanation::Weighted {
            share, per_mille, ..
        } = &mut explanation.explanation
        {
            let part = (u64::from(*share) * 1_000).checked_div(total);
            *per_mille = part.unwrap_or(0) as u32;
        }
    }
}
