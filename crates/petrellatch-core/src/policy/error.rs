//! Why a policy is refused or fails.

use snafu::Snafu;

use super::policy_source::PolicyPart;
use super::position::SourcePosition;

/// A policy that is refused, or an evaluation that failed.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("{part}, {position}{}: {reason}", describe_backend(backend)))]
pub struct PolicyError {
    /// The expression at fault.
    pub part: PolicyPart,
    /// The place in the expression.
    pub position: SourcePosition,
    /// The back end for which the evaluation failed, unless the expression is
    /// wrong for all.
    pub backend: Option<String>,
    /// What is wrong.
    pub reason: PolicyErrorReason,
}

/// What is wrong with a policy.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum PolicyErrorReason {
    /// The expression has no text.
    #[snafu(display("the expression is empty"))]
    Empty,
    /// The text is too long.
    #[snafu(display("the expression has {bytes} bytes, the limit is {maximum}"))]
    SourceTooLong {
        /// The length in bytes.
        bytes: usize,
        /// The limit in bytes.
        maximum: usize,
    },
    /// The text is not well formed.
    #[snafu(display("{message}"))]
    Syntax {
        /// What the parser says.
        message: String,
    },
    /// The syntax tree has too many nodes.
    #[snafu(display("the expression has more than {maximum} parts"))]
    TooManyNodes {
        /// The limit.
        maximum: u32,
    },
    /// The syntax tree is nested too deeply.
    #[snafu(display("the expression is nested deeper than {maximum} levels"))]
    TooDeep {
        /// The limit.
        maximum: u32,
    },
    /// The evaluation could take too many steps.
    #[snafu(display("an evaluation costs more than {maximum} steps"))]
    TooCostly {
        /// The limit.
        maximum: u32,
    },
    /// The expression names too many labels.
    #[snafu(display("the expression names more than {maximum} labels"))]
    TooManyLabels {
        /// The limit.
        maximum: usize,
    },
    /// There is no such variable.
    #[snafu(display("there is no variable '{name}', only 'backend' and 'service'"))]
    UnknownVariable {
        /// The name used.
        name: String,
    },
    /// A variable has no such field.
    #[snafu(display("'{variable}' has no field '{field}'; its fields are {known}"))]
    UnknownField {
        /// The variable.
        variable: String,
        /// The field used.
        field: String,
        /// The fields that exist.
        known: String,
    },
    /// A variable is used without a field.
    #[snafu(display("'{name}' can't be used as a whole; name one of its fields"))]
    WholeVariable {
        /// The variable.
        name: String,
    },
    /// The function is unknown or not allowed.
    #[snafu(display("the function '{name}' isn't available in policies"))]
    UnsupportedFunction {
        /// The name used.
        name: String,
    },
    /// A part of the language that policies don't have.
    #[snafu(display("{construct} aren't available in policies"))]
    UnsupportedSyntax {
        /// The construct, in the plural.
        construct: &'static str,
    },
    /// The types of operands or arguments don't fit.
    #[snafu(display("{message}"))]
    TypeMismatch {
        /// What does not fit.
        message: String,
    },
    /// The evaluation failed.
    #[snafu(display("the evaluation failed: {message}"))]
    EvaluationFailed {
        /// Why.
        message: String,
    },
    /// `eligible` yields something else than a boolean.
    #[snafu(display("the result must be a boolean, but is {found}"))]
    NotBoolean {
        /// The type of the result.
        found: String,
    },
    /// `weight` yields something else than a number.
    #[snafu(display("the result must be a number, but is {found}"))]
    NotNumber {
        /// The type of the result.
        found: String,
    },
    /// `weight` yields a negative number.
    #[snafu(display("the weight {weight} is negative"))]
    Negative {
        /// The result.
        weight: f64,
    },
    /// `weight` yields "not a number", as `0.0 / 0.0` does.
    #[snafu(display("the weight is not a number (NaN); guard the division against zero"))]
    NaN,
    /// `weight` yields an infinite number.
    #[snafu(display("the weight is infinite; guard the division against zero"))]
    Infinite,
}

impl PolicyError {
    /// Makes an error that concerns no back end in particular.
    pub(super) fn new(
        part: PolicyPart,
        position: SourcePosition,
        reason: PolicyErrorReason,
    ) -> Self {
        PolicyError {
            part,
            position,
            backend: None,
            reason,
        }
    }

    /// Names the back end for which the evaluation failed.
    pub(super) fn for_backend(mut self, name: &str) -> Self {
        self.backend = Some(name.to_owned());
        self
    }
}

/// Writes the back end after the position.
fn describe_backend(backend: &Option<String>) -> String {
    match backend {
        Some(name) => format!(", back end '{name}'"),
        None => String::new(),
    }
}
