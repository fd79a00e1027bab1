//! The types of expressions, as far as they are known before evaluation.

use std::fmt;

/// The type of an expression.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpressionType {
    Boolean,
    Double,
    Integer,
    String,
    /// A list of values whose types aren't tracked.
    List,
    /// A map from strings to strings, as the labels are.
    Labels,
    /// A map whose types aren't tracked.
    Map,
    /// Known only when it is evaluated.
    Unknown,
}

impl ExpressionType {
    /// Returns whether the value may be a number.
    pub(super) fn may_be_number(self) -> bool {
        matches!(
            self,
            ExpressionType::Double | ExpressionType::Integer | ExpressionType::Unknown
        )
    }

    /// Returns whether the value may be of type `expected`.
    pub(super) fn may_be(self, expected: ExpressionType) -> bool {
        self == expected || self == ExpressionType::Unknown
    }

    /// Returns whether the value may be a map.
    pub(super) fn may_be_map(self) -> bool {
        matches!(
            self,
            ExpressionType::Labels | ExpressionType::Map | ExpressionType::Unknown
        )
    }

    /// Returns whether the two values may be equal or put in order: two
    /// numbers, or two values of one type.
    pub(super) fn is_comparable_to(self, other: ExpressionType) -> bool {
        let numbers = self.may_be_number() && other.may_be_number();
        numbers || self.may_be(other) || other == ExpressionType::Unknown
    }

    /// Returns the type of a value that is either of the two.
    pub(super) fn join(self, other: ExpressionType) -> ExpressionType {
        if self == other {
            self
        } else {
            ExpressionType::Unknown
        }
    }
}

impl fmt::Display for ExpressionType {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ExpressionType::Boolean => "bool",
            ExpressionType::Double => "double",
            ExpressionType::Integer => "int",
            ExpressionType::String => "string",
            ExpressionType::List => "list",
            ExpressionType::Labels | ExpressionType::Map => "map",
            ExpressionType::Unknown => "a value of unknown type",
        })
    }
}
