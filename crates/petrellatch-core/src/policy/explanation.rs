//! The result of a policy for a back end, with the reason.

use std::fmt;

use crate::identity::BackendId;

use super::error::PolicyError;

/// The result of a policy for one back end, with the back end's name.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendExplanation {
    /// The back end.
    pub backend: BackendId,
    /// The operator's name for it.
    pub name: String,
    /// The result and its reason.
    pub explanation: Explanation,
}

/// The result of a policy for one back end, with the reason.
#[derive(Clone, Debug, PartialEq)]
pub enum Explanation {
    /// The back end receives no new flows, because a condition of `eligible` is
    /// false.
    NotEligible {
        /// The text of the condition.
        condition: String,
    },
    /// The back end is eligible.
    Weighted {
        /// The result of `weight`; 1 is nominal.
        weight: f64,
        /// The weight in the placement table; 1,000 is nominal.
        share: u32,
        /// The fraction of the service's new flows, in thousandths.
        per_mille: u32,
    },
    /// The back end receives no new flows, because the evaluation failed.
    Failed {
        /// The error of the evaluation.
        error: PolicyError,
    },
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Explanation::NotEligible { condition } => {
                write!(formatter, "not eligible: {condition} is false")
            }
            Explanation::Weighted {
                weight, per_mille, ..
            } => {
                let percent = f64::from(*per_mille) / 10.0;
                write!(formatter, "weight {weight}: {percent:.1} % of new flows")
            }
            Explanation::Failed { error } => write!(formatter, "not eligible: {error}"),
        }
    }
}

impl fmt::Display for BackendExplanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.name, self.explanation)
    }
}
