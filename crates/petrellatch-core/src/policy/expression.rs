//! A compiled expression of a policy.

use cel::common::ast::{Expr, SourceInfo, operators};
use cel::parser::Expression;
use cel::{Context, ExecutionError, ParseErrors, Program, Value};

use super::checker::{self, CheckedExpression};
use super::context;
use super::error::{PolicyError, PolicyErrorReason};
use super::expression_type::ExpressionType;
use super::policy_source::PolicyPart;
use super::position::SourcePosition;

/// The maximum length of an expression's text in bytes.
pub const MAXIMUM_SOURCE_BYTES: usize = 2_048;

/// An expression that has passed the checker.
#[derive(Debug)]
pub(super) struct CompiledExpression {
    part: PolicyPart,
    program: Program,
    label_keys: Vec<String>,
    backend_fields: Vec<&'static str>,
}

impl CompiledExpression {
    /// Parses and checks an expression.
    pub(super) fn compile(part: PolicyPart, source: &str) -> Result<Self, PolicyError> {
        check_length(part, source)?;
        let program = context::environment()
            .compile(source)
            .map_err(|errors| syntax_error(part, &errors))?;
        let checked = checker::check(part, program.source_info(), program.expression())?;
        check_result(part, checked.result)?;
        let CheckedExpression {
            label_keys,
            backend_fields,
            ..
        } = checked;
        Ok(CompiledExpression {
            part,
            program,
            label_keys,
            backend_fields,
        })
    }

    /// Returns the label keys that the expression names, sorted.
    pub(super) fn label_keys(&self) -> &[String] {
        &self.label_keys
    }

    /// Returns whether the expression reads any of these fields of `backend`.
    pub(super) fn reads_any(&self, fields: &[&str]) -> bool {
        self.backend_fields.iter().any(|it| fields.contains(it))
    }

    /// Evaluates the expression. An error has the position of the innermost node
    /// that fails.
    pub(super) fn evaluate(&self, variables: &Context<'_, '_>) -> Result<Value, PolicyError> {
        self.program.execute(variables).map_err(|error| {
            let failed = find_failed_node(self.program.expression(), variables, &error);
            let position = SourcePosition::of_node(self.program.source_info(), failed.id);
            let message = describe(&error);
            PolicyError::new(
                self.part,
                position,
                PolicyErrorReason::EvaluationFailed { message },
            )
        })
    }

    /// Returns an error about the result of the expression.
    pub(super) fn refuse_result(&self, reason: PolicyErrorReason) -> PolicyError {
        PolicyError::new(self.part, SourcePosition::START, reason)
    }

    /// Returns the text of the first false operand of the outermost chain of
    /// `&&` operators, or the text of the expression if there is no such operand.
    pub(super) fn first_false_condition(&self, variables: &Context<'_, '_>) -> String {
        let info = self.program.source_info();
        let mut conditions = Vec::new();
        let mut separators = Vec::new();
        collect_conditions(
            self.program.expression(),
            info,
            &mut conditions,
            &mut separators,
        );
        let texts = split_at(&info.source, &separators);
        let is_false =
            |condition: &Expression| Value::resolve(condition, variables) == Ok(Value::Bool(false));
        conditions
            .iter()
            .zip(texts)
            .find(|(condition, _)| is_false(condition))
            .map(|(_, text)| text)
            .unwrap_or_else(|| info.source.trim().to_owned())
    }
}

/// Refuses texts that are empty or too long, before they are parsed.
fn check_length(part: PolicyPart, source: &str) -> Result<(), PolicyError> {
    let reason = if source.trim().is_empty() {
        PolicyErrorReason::Empty
    } else if source.len() > MAXIMUM_SOURCE_BYTES {
        PolicyErrorReason::SourceTooLong {
            bytes: source.len(),
            maximum: MAXIMUM_SOURCE_BYTES,
        }
    } else {
        return Ok(());
    };
    Err(PolicyError::new(part, SourcePosition::START, reason))
}

/// Refuses an expression whose result is known to have the wrong type.
fn check_result(part: PolicyPart, result: ExpressionType) -> Result<(), PolicyError> {
    let found = result.to_string();
    let reason = match part {
        PolicyPart::Eligible if !result.may_be(ExpressionType::Boolean) => {
            PolicyErrorReason::NotBoolean { found }
        }
        PolicyPart::Weight if !result.may_be_number() => PolicyErrorReason::NotNumber { found },
        _ => return Ok(()),
    };
    Err(PolicyError::new(part, SourcePosition::START, reason))
}

/// Converts the first error of the parser to a [`PolicyError`].
fn syntax_error(part: PolicyPart, errors: &ParseErrors) -> PolicyError {
    let first = errors.errors.iter().min_by_key(|error| error.pos);
    let (position, message) = match first {
        Some(error) => (
            SourcePosition {
                line: u32::try_from(error.pos.0).unwrap_or(1).max(1),
                column: u32::try_from(error.pos.1).unwrap_or(1).max(1),
            },
            error.msg.clone(),
        ),
        None => (SourcePosition::START, errors.to_string()),
    };
    PolicyError::new(part, position, PolicyErrorReason::Syntax { message })
}

/// Returns the innermost node whose own evaluation fails with `error`.
fn find_failed_node<'tree>(
    node: &'tree Expression,
    variables: &Context<'_, '_>,
    error: &ExecutionError,
) -> &'tree Expression {
    let children = children(node);
    let failing = children
        .into_iter()
        .find(|child| Value::resolve(child, variables).as_ref() == Err(error));
    match failing {
        Some(child) => find_failed_node(child, variables, error),
        None => node,
    }
}

/// Returns the operands and arguments of a node.
fn children(node: &Expression) -> Vec<&Expression> {
    match &node.expr {
        Expr::Call(call) => call
            .target
            .as_deref()
            .into_iter()
            .chain(&call.args)
            .collect(),
        Expr::Select(select) => vec![&select.operand],
        Expr::List(list) => list.elements.iter().collect(),
        _ => Vec::new(),
    }
}

/// Returns the message for the operator about a failed evaluation.
fn describe(error: &ExecutionError) -> String {
    match error {
        ExecutionError::NoSuchKey(key) => {
            format!("there is no '{key}' here; guard it with has(..)")
        }
        other => other.to_string(),
    }
}

/// Collects the operands of nested `&&` operators from left to right, and the
/// byte offsets of the operators in the text.
fn collect_conditions<'tree>(
    node: &'tree Expression,
    info: &SourceInfo,
    conditions: &mut Vec<&'tree Expression>,
    separators: &mut Vec<usize>,
) {
    match &node.expr {
        Expr::Call(call) if call.func_name == operators::LOGICAL_AND => {
            let (start, _) = info.offset_for(node.id).unwrap_or((0, 0));
            separators.push(start as usize);
            for operand in &call.args {
                collect_conditions(operand, info, conditions, separators);
            }
        }
        _ => conditions.push(node),
    }
}

/// Splits the text at the `&&` operators, whose byte offsets are `separators`.
fn split_at(source: &str, separators: &[usize]) -> Vec<String> {
    let mut separators = separators.to_vec();
    separators.sort_unstable();
    let mut texts = Vec::with_capacity(separators.len() + 1);
    let mut start = 0;
    for separator in separators {
        texts.push(&source[start..separator]);
        start = separator + "&&".len();
    }
    texts.push(&source[start..]);
    texts.into_iter().map(trim_unbalanced).collect()
}

/// Removes surrounding whitespace, and parentheses whose counterpart is in
/// another piece of the split text.
fn trim_unbalanced(text: &str) -> String {
    let mut text = text.trim();
    loop {
        let opened = text.matches('(').count();
        let closed = text.matches(')').count();
        let trimmed = if opened > closed {
            text.strip_prefix('(')
        } else if closed > opened {
            text.strip_suffix(')')
        } else {
            None
        };
        match trimmed {
            Some(rest) => text = rest.trim(),
            None => return text.to_owned(),
        }
    }
}
