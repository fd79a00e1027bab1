//! The shares of a service's back ends under a policy.

use crate::placement::{NOMINAL_WEIGHT, Share};

use super::explanation::{BackendExplanation, Explanation};
use super::program::Policy;
use super::view::{BackendView, ServiceView};

/// The input of a placement table, with the reasons of each share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// The share of each back end, in the order of the `backends` argument. A
    /// back end that isn't eligible has weight 0.
    pub shares: Vec<Share>,
    /// The reason for each back end's share, in the same order.
    pub explanations: Vec<BackendExplanation>,
    /// Whether no back end is eligible, so that new flows have to be refused.
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
/// evaluation fails is not eligible; the explanation has the error.
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

/// Converts the weight of a policy, where 1 is nominal, to that of a placement
/// table. A positive weight never becomes zero, and a large one saturates.
fn scale(weight: f64) -> u32 {
    if weight <= 0.0 {
        return 0;
    }
    // Casts from floats to integers saturate.
    let scaled = (weight * f64::from(NOMINAL_WEIGHT)).round() as u32;
    scaled.max(1)
}

/// Sets in each explanation the fraction of the sum of all shares.
fn fill_per_mille(shares: &mut Shares) {
    let total: u64 = shares.shares.iter().map(|it| u64::from(it.weight)).sum();
    for explanation in &mut shares.explanations {
        if let Explanation::Weighted {
            share, per_mille, ..
        } = &mut explanation.explanation
        {
            let fraction = (u64::from(*share) * 1_000).checked_div(total);
            *per_mille = fraction.unwrap_or(0) as u32;
        }
    }
}
