//! Static types of expressions.

use std::fmt;

/// The type of an expression, as far as it is known before an evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpressionType {
    Boolean,
    Double,
    Integer,
    String,
    /// A list; the types of its values aren't tracked.
    List,
    /// The labels of a back end: a map from strings to strings.
    Labels,
    /// A map; the types of its keys and values aren't tracked.
    Map,
    /// A type that is not known before an evaluation.
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

    /// Returns whether values of the two types may be compared: both may be
    /// numbers, or both may have the same type.
    pub(super) fn is_comparable_to(self, other: ExpressionType) -> bool {
        let numbers = self.may_be_number() && other.may_be_number();
        numbers || self.may_be(other) || other == ExpressionType::Unknown
    }

    /// Returns the type of a value that has one of the two types.
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
