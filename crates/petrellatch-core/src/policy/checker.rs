//! Static checks of an expression's syntax tree, before any evaluation.
//!
//! The checker limits the size, the nesting and the cost of the tree, refuses
//! unknown names and all loops, and infers types as far as they can be known
//! without an evaluation.

use cel::common::ast::{CallExpr, EntryExpr, Expr, LiteralValue, SelectExpr, SourceInfo};
use cel::parser::Expression;

use super::context;
use super::error::{PolicyError, PolicyErrorReason};
use super::expression_type::ExpressionType;
use super::functions;
use super::policy_source::PolicyPart;
use super::position::SourcePosition;

/// The maximum number of nodes of a syntax tree.
pub const MAXIMUM_NODES: u32 = 256;

/// The maximum nesting depth of a syntax tree.
pub const MAXIMUM_DEPTH: u32 = 32;

/// The maximum cost of an evaluation in steps: one for each node, and
/// [`CALL_COST`] more for a function call. The cost of the tree bounds that of
/// an evaluation, since there are no loops.
pub const MAXIMUM_COST: u32 = 512;

/// The maximum number of different labels that an expression names. It limits
/// the number of edge cases for which a policy is checked.
pub const MAXIMUM_LABELS: usize = 4;

/// The cost of a function call in steps, in addition to those of its node and
/// its arguments.
const CALL_COST: u32 = 16;

/// The fields of `backend` and their types.
pub(super) static BACKEND_FIELDS: [(&str, ExpressionType); 9] = [
    ("name", ExpressionType::String),
    ("zone", ExpressionType::String),
    ("labels", ExpressionType::Labels),
    ("slots", ExpressionType::Double),
    ("free_slots", ExpressionType::Double),
    ("connections", ExpressionType::Double),
    ("health", ExpressionType::Double),
    ("draining", ExpressionType::Boolean),
    ("age_seconds", ExpressionType::Double),
];

/// The fields of `service` and their types.
pub(super) static SERVICE_FIELDS: [(&str, ExpressionType); 2] = [
    ("name", ExpressionType::String),
    ("zone", ExpressionType::String),
];

/// The properties of an expression that has passed the checker.
pub(super) struct CheckedExpression {
    /// The type of the result.
    pub(super) result: ExpressionType,
    /// The label keys that the expression names, sorted and without duplicates.
    pub(super) label_keys: Vec<String>,
    /// The fields of `backend` that the expression reads.
    pub(super) backend_fields: Vec<&'static str>,
}

/// Checks the syntax tree of an expression.
pub(super) fn check(
    part: PolicyPart,
    info: &SourceInfo,
    root: &Expression,
) -> Result<CheckedExpression, PolicyError> {
    let mut checker = Checker {
        part,
        info,
        nodes: 0,
        cost: 0,
        depth: 0,
        label_keys: Vec::new(),
        backend_fields: Vec::new(),
    };
    let result = checker.visit(root)?;
    checker.label_keys.sort_unstable();
    checker.label_keys.dedup();
    if checker.label_keys.len() > MAXIMUM_LABELS {
        let maximum = MAXIMUM_LABELS;
        return Err(checker.refuse(root, PolicyErrorReason::TooManyLabels { maximum }));
    }
    Ok(CheckedExpression {
        result,
        label_keys: checker.label_keys,
        backend_fields: checker.backend_fields,
    })
}

/// The state of a traversal of a syntax tree.
struct Checker<'tree> {
    part: PolicyPart,
    info: &'tree SourceInfo,
    nodes: u32,
    cost: u32,
    depth: u32,
    label_keys: Vec<String>,
    backend_fields: Vec<&'static str>,
}

impl Checker<'_> {
    /// Checks a node and its descendants, and returns the node's type.
    fn visit(&mut self, node: &Expression) -> Result<ExpressionType, PolicyError> {
        self.count_node(node)?;
        self.depth += 1;
        let result = self.visit_expression(node)?;
        self.depth -= 1;
        Ok(result)
    }

    /// Counts a node against the limits.
    fn count_node(&mut self, node: &Expression) -> Result<(), PolicyError> {
        self.nodes += 1;
        self.cost += 1;
        if matches!(&node.expr, Expr::Call(call) if !is_operator(call)) {
            self.cost += CALL_COST;
        }
        let reason = if self.depth >= MAXIMUM_DEPTH {
            PolicyErrorReason::TooDeep {
                maximum: MAXIMUM_DEPTH,
            }
        } else if self.nodes > MAXIMUM_NODES {
            PolicyErrorReason::TooManyNodes {
                maximum: MAXIMUM_NODES,
            }
        } else if self.cost > MAXIMUM_COST {
            PolicyErrorReason::TooCostly {
                maximum: MAXIMUM_COST,
            }
        } else {
            return Ok(());
        };
        Err(self.refuse(node, reason))
    }

    /// Checks the expression of a node, which is already counted.
    fn visit_expression(&mut self, node: &Expression) -> Result<ExpressionType, PolicyError> {
        match &node.expr {
            Expr::Literal(literal) => self.visit_literal(node, literal),
            Expr::Ident(name) => Err(self.refuse_variable(node, name)),
            Expr::Select(select) => self.visit_select(node, select),
            Expr::Call(call) => self.visit_call(node, call),
            Expr::List(list) => {
                self.visit_all(&list.elements)?;
                Ok(ExpressionType::List)
            }
            Expr::Map(map) => {
                for entry in &map.entries {
                    self.visit_entry(&entry.expr)?;
                }
                Ok(ExpressionType::Map)
            }
            Expr::Comprehension(_) => Err(self.refuse_syntax(node, "loops over lists and maps")),
            Expr::Struct(_) => Err(self.refuse_syntax(node, "messages")),
            Expr::Unspecified => Err(self.refuse_syntax(node, "empty expressions")),
        }
    }

    fn visit_all(&mut self, nodes: &[Expression]) -> Result<Vec<ExpressionType>, PolicyError> {
        nodes.iter().map(|node| self.visit(node)).collect()
    }

    fn visit_entry(&mut self, entry: &EntryExpr) -> Result<(), PolicyError> {
        match entry {
            EntryExpr::MapEntry(entry) => {
                self.visit(&entry.key)?;
                self.visit(&entry.value)?;
            }
            EntryExpr::StructField(field) => {
                self.visit(&field.value)?;
            }
        }
        Ok(())
    }

    fn visit_literal(
        &self,
        node: &Expression,
        literal: &LiteralValue,
    ) -> Result<ExpressionType, PolicyError> {
        match literal {
            LiteralValue::Boolean(_) => Ok(ExpressionType::Boolean),
            LiteralValue::Double(_) => Ok(ExpressionType::Double),
            LiteralValue::Int(_) => Ok(ExpressionType::Integer),
            LiteralValue::String(_) => Ok(ExpressionType::String),
            LiteralValue::UInt(_) => Err(self.refuse_syntax(node, "unsigned literals")),
            LiteralValue::Bytes(_) => Err(self.refuse_syntax(node, "byte strings")),
            LiteralValue::Null => Err(self.refuse_syntax(node, "null values")),
        }
    }

    /// Checks `operand.field` and `has(operand.field)`.
    fn visit_select(
        &mut self,
        node: &Expression,
        select: &SelectExpr,
    ) -> Result<ExpressionType, PolicyError> {
        let selected = match &select.operand.expr {
            Expr::Ident(variable) => {
                self.count_node(&select.operand)?;
                self.field_type(node, variable, &select.field)?
            }
            _ => {
                let operand = self.visit(&select.operand)?;
                self.entry_type(node, operand, &select.field)?
            }
        };
        Ok(if select.test {
            ExpressionType::Boolean
        } else {
            selected
        })
    }

    /// Returns the type of a variable's field.
    fn field_type(
        &mut self,
        node: &Expression,
        variable: &str,
        field: &str,
    ) -> Result<ExpressionType, PolicyError> {
        let fields: &'static [(&'static str, ExpressionType)] = match variable {
            context::BACKEND => &BACKEND_FIELDS,
            context::SERVICE => &SERVICE_FIELDS,
            _ => return Err(self.refuse_variable(node, variable)),
        };
        if let Some((name, field_type)) = fields.iter().find(|(name, _)| *name == field) {
            if variable == context::BACKEND {
                self.backend_fields.push(name);
            }
            return Ok(*field_type);
        }
        let names: Vec<&str> = fields.iter().map(|(name, _)| *name).collect();
        let reason = PolicyErrorReason::UnknownField {
            variable: variable.to_owned(),
            field: field.to_owned(),
            known: names.join(", "),
        };
        Err(self.refuse(node, reason))
    }

    /// Returns the type of a map's entry.
    fn entry_type(
        &mut self,
        node: &Expression,
        operand: ExpressionType,
        field: &str,
    ) -> Result<ExpressionType, PolicyError> {
        if operand == ExpressionType::Labels {
            self.label_keys.push(field.to_owned());
            return Ok(ExpressionType::String);
        }
        if operand.may_be_map() {
            return Ok(ExpressionType::Unknown);
        }
        let message = format!("{operand} has no field '{field}'");
        Err(self.refuse(node, PolicyErrorReason::TypeMismatch { message }))
    }

    /// Checks an operator or a function call.
    fn visit_call(
        &mut self,
        node: &Expression,
        call: &CallExpr,
    ) -> Result<ExpressionType, PolicyError> {
        let receiver = match &call.target {
            Some(target) if is_math(target) => {
                let arguments = self.visit_all(&call.args)?;
                let found = functions::math_type(&call.func_name, &arguments);
                return self.resolve(node, &call.func_name, found);
            }
            Some(target) => Some(self.visit(target)?),
            None => None,
        };
        let arguments = self.visit_all(&call.args)?;
        self.note_label_keys(call, &arguments);
        let name = &call.func_name;
        // Only the two functions that the parser renames to `math.@min` and
        // `math.@max` are mathematical functions without a receiver.
        let found = functions::operator_type(name, &arguments)
            .or_else(|| functions::math_type(name, &arguments).filter(|_| name.contains('@')))
            .or_else(|| functions::function_type(name, receiver, &arguments));
        self.resolve(node, name, found)
    }

    /// Notes the label keys of `backend.labels['key']` and
    /// `'key' in backend.labels`.
    fn note_label_keys(&mut self, call: &CallExpr, arguments: &[ExpressionType]) {
        if !arguments.contains(&ExpressionType::Labels) {
            return;
        }
        for argument in &call.args {
            if let Expr::Literal(LiteralValue::String(key)) = &argument.expr {
                self.label_keys.push(key.inner().to_owned());
            }
        }
    }

    /// Returns the type of a call from the lookup of its operator or function,
    /// which is `None` if policies don't have it.
    fn resolve(
        &self,
        node: &Expression,
        name: &str,
        found: Option<Result<ExpressionType, PolicyErrorReason>>,
    ) -> Result<ExpressionType, PolicyError> {
        let unsupported = || {
            let name = name.to_owned();
            Err(PolicyErrorReason::UnsupportedFunction { name })
        };
        found
            .unwrap_or_else(unsupported)
            .map_err(|reason| self.refuse(node, reason))
    }

    fn refuse_variable(&self, node: &Expression, name: &str) -> PolicyError {
        let name = name.to_owned();
        let is_known = name == context::BACKEND || name == context::SERVICE;
        let reason = if is_known {
            PolicyErrorReason::WholeVariable { name }
        } else {
            PolicyErrorReason::UnknownVariable { name }
        };
        self.refuse(node, reason)
    }

    fn refuse_syntax(&self, node: &Expression, construct: &'static str) -> PolicyError {
        self.refuse(node, PolicyErrorReason::UnsupportedSyntax { construct })
    }

    fn refuse(&self, node: &Expression, reason: PolicyErrorReason) -> PolicyError {
        let position = SourcePosition::of_node(self.info, node.id);
        PolicyError::new(self.part, position, reason)
    }
}

/// Returns whether the call is an operator. The parser's names of operators
/// don't start with a letter.
fn is_operator(call: &CallExpr) -> bool {
    let starts_with_letter = call.func_name.starts_with(|it: char| it.is_alphabetic());
    !starts_with_letter
}

/// Returns whether the node is the namespace of mathematical functions.
fn is_math(node: &Expression) -> bool {
    matches!(&node.expr, Expr::Ident(name) if name == functions::MATH)
}
