//! The source text of a policy.

use std::fmt;

/// The text of a policy's two expressions, as the operator wrote them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PolicySource {
    /// Whether a back end may receive new flows: a boolean.
    pub eligible: String,
    /// The weight of a back end's share of new flows: a number of at least zero;
    /// 1 is nominal.
    pub weight: String,
}

/// One of a policy's two expressions.
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
