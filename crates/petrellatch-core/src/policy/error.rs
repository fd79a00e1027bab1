//! Errors of policies.

use snafu::Snafu;

use super::policy_source::PolicyPart;
use super::position::SourcePosition;

/// The error of a refused policy or a failed evaluation.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("{part}, {position}{}: {reason}", describe_backend(backend)))]
pub struct PolicyError {
    /// The expression that has the error.
    pub part: PolicyPart,
    /// The position of the error in the expression.
    pub position: SourcePosition,
    /// The back end for which the evaluation failed, or none if the error
    /// doesn't depend on the back end.
    pub backend: Option<String>,
    /// The reason for the error.
    pub reason: PolicyErrorReason,
}

/// The reason for a [`PolicyError`].
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum PolicyErrorReason {
    /// The text is empty or consists of whitespace.
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
    /// The text has a syntax error.
    #[snafu(display("{message}"))]
    Syntax {
        /// The message of the parser.
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
    /// An evaluation could take too many steps.
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
    /// The variable doesn't exist.
    #[snafu(display("there is no variable '{name}', only 'backend' and 'service'"))]
    UnknownVariable {
        /// The name used.
        name: String,
    },
    /// The variable doesn't have the field.
    #[snafu(display("'{variable}' has no field '{field}'; its fields are {known}"))]
    UnknownField {
        /// The variable.
        variable: String,
        /// The field used.
        field: String,
        /// The names of the variable's fields.
        known: String,
    },
    /// The variable is used without a field.
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
    /// The language construct is not allowed in policies.
    #[snafu(display("{construct} aren't available in policies"))]
    UnsupportedSyntax {
        /// The name of the construct, in the plural.
        construct: &'static str,
    },
    /// An operand or argument has the wrong type.
    #[snafu(display("{message}"))]
    TypeMismatch {
        /// The description of the mismatch.
        message: String,
    },
    /// The evaluation failed.
    #[snafu(display("the evaluation failed: {message}"))]
    EvaluationFailed {
        /// The message of the interpreter.
        message: String,
    },
    /// The result of `eligible` is not a boolean.
    #[snafu(display("the result must be a boolean, but is {found}"))]
    NotBoolean {
        /// The type of the result.
        found: String,
    },
    /// The result of `weight` is not a number.
    #[snafu(display("the result must be a number, but is {found}"))]
    NotNumber {
        /// The type of the result.
        found: String,
    },
    /// The result of `weight` is negative.
    #[snafu(display("the weight {weight} is negative"))]
    Negative {
        /// The result.
        weight: f64,
    },
    /// The result of `weight` is NaN, as that of `0.0 / 0.0`.
    #[snafu(display("the weight is not a number (NaN); guard the division against zero"))]
    NaN,
    /// The result of `weight` is infinite.
    #[snafu(display("the weight is infinite; guard the division against zero"))]
    Infinite,
}

impl PolicyError {
    /// Creates an error that doesn't depend on a back end.
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

    /// Sets the back end for which the evaluation failed.
    pub(super) fn for_backend(mut self, name: &str) -> Self {
        self.backend = Some(name.to_owned());
        self
    }
}

/// Returns the text about the back end that follows the position.
fn describe_backend(backend: &Option<String>) -> String {
    match backend {
        Some(name) => format!(", back end '{name}'"),
        None => String::new(),
    }
}
