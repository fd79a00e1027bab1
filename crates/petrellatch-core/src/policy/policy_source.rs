//! The source text of a policy.

use std::fmt;

/// The two expressions of a policy as the operator wrote them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PolicySource {
    /// Says whether a back end may receive new flows: a boolean.
    pub eligible: String,
    /// Says how many new flows it receives: a number of at least zero.
    pub weight: String,
}

/// Names one of the two expressions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PolicyPart {
    /// [`PolicySource::eligible`].
    Eligible,
    /// [`PolicySource::weight`].
    Weight,
}

impl fmt::Display for PolicyPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            PolicyPart::Eligible => "eligible",
            PolicyPart::Weight => "weight",
        })
    }
}
