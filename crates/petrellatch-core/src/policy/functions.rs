//! The result types of the operators and functions that policies may use.
//!
//! The time that each of them takes is bounded by the size of its arguments.

use cel::common::ast::operators;

use super::error::PolicyErrorReason;
use super::expression_type::ExpressionType;

/// The namespace of mathematical functions.
pub(super) const MATH: &str = "math";

/// Returns the type of an operator's result, or `None` when `name` is not an
/// operator that policies may use.
pub(super) fn operator_type(
    name: &str,
    operands: &[ExpressionType],
) -> Option<Result<ExpressionType, PolicyErrorReason>> {
    let result = match (name, operands) {
        (operators::LOGICAL_NOT, [operand]) => {
            require_boolean("!", *operand).map(|()| ExpressionType::Boolean)
        }
        (operators::NEGATE, [operand]) => negate_type(*operand),
        (operators::LOGICAL_AND, [left, right]) => logic_type("&&", *left, *right),
        (operators::LOGICAL_OR, [left, right]) => logic_type("||", *left, *right),
        (operators::CONDITIONAL, [condition, if_true, if_false]) => {
            require_boolean("?", *condition).map(|()| if_true.join(*if_false))
        }
        (operators::EQUALS, [left, right]) => equality_type("==", *left, *right),
        (operators::NOT_EQUALS, [left, right]) => equality_type("!=", *left, *right),
        (operators::LESS, [left, right]) => order_type("<", *left, *right),
        (operators::LESS_EQUALS, [left, right]) => order_type("<=", *left, *right),
        (operators::GREATER, [left, right]) => order_type(">", *left, *right),
        (operators::GREATER_EQUALS, [left, right]) => order_type(">=", *left, *right),
        (operators::ADD, [left, right]) => sum_type(*left, *right),
        (operators::SUBSTRACT, [left, right]) => arithmetic_type("-", *left, *right),
        (operators::MULTIPLY, [left, right]) => arithmetic_type("*", *left, *right),
        (operators::DIVIDE, [left, right]) => arithmetic_type("/", *left, *right),
        (operators::MODULO, [left, right]) => modulo_type(*left, *right),
        (operators::IN, [element, container]) => membership_type(*element, *container),
        (operators::INDEX, [container, index]) => index_type(*container, *index),
        _ => return None,
    };
    Some(result)
}

/// Returns the type of a function's result, or `None` when policies may not use
/// it. `receiver` is the type of the operand before the dot of a method call.
pub(super) fn function_type(
    name: &str,
    receiver: Option<ExpressionType>,
    arguments: &[ExpressionType],
) -> Option<Result<ExpressionType, PolicyErrorReason>> {
    let result = match (name, receiver, arguments) {
        ("contains" | "startsWith" | "endsWith", Some(text), [part]) => {
            require_strings(name, text, *part)
        }
        ("size", Some(argument), []) => size_type(argument),
        ("size", None, [argument]) => size_type(*argument),
        ("double", None, [argument]) => convert_type(name, *argument, ExpressionType::Double),
        ("int", None, [argument]) => convert_type(name, *argument, ExpressionType::Integer),
        ("string", None, [argument]) => convert_type(name, *argument, ExpressionType::String),
        _ => return None,
    };
    Some(result)
}

/// Returns the type of the result of a function of [`MATH`], or `None` when
/// policies may not use it. The parser renames `math.least` to `math.@min` and
/// `math.greatest` to `math.@max`, and puts more than two arguments into a list.
pub(super) fn math_type(
    name: &str,
    arguments: &[ExpressionType],
) -> Option<Result<ExpressionType, PolicyErrorReason>> {
    let result = match (name, arguments) {
        ("math.@min" | "math.@max", [list]) if list.may_be(ExpressionType::List) => {
            Ok(ExpressionType::Unknown)
        }
        ("math.@min" | "math.@max", [left, right]) => {
            require_numbers(name, *left, *right).map(|()| left.join(*right))
        }
        ("math.@min" | "math.@max" | "abs", [number]) => {
            require_numbers(name, *number, *number).map(|()| *number)
        }
        ("floor" | "ceil" | "round" | "trunc", [number]) => {
            if number.may_be(ExpressionType::Double) {
                Ok(ExpressionType::Double)
            } else {
                mismatch(format!("'math.{name}' takes a double, not {number}"))
            }
        }
        _ => return None,
    };
    Some(result)
}

fn mismatch<T>(message: String) -> Result<T, PolicyErrorReason> {
    Err(PolicyErrorReason::TypeMismatch { message })
}

fn require_boolean(operator: &str, operand: ExpressionType) -> Result<(), PolicyErrorReason> {
    if operand.may_be(ExpressionType::Boolean) {
        return Ok(());
    }
    mismatch(format!("'{operator}' takes a bool, not {operand}"))
}

fn require_numbers(
    name: &str,
    left: ExpressionType,
    right: ExpressionType,
) -> Result<(), PolicyErrorReason> {
    if left.may_be_number() && right.may_be_number() {
        return Ok(());
    }
    let wrong = if left.may_be_number() { right } else { left };
    let display_name = match name {
        "math.@min" => "math.least",
        "math.@max" => "math.greatest",
        other => other,
    };
    mismatch(format!("'{display_name}' takes numbers, not {wrong}"))
}

fn require_strings(
    name: &str,
    text: ExpressionType,
    part: ExpressionType,
) -> Result<ExpressionType, PolicyErrorReason> {
    let is_string = |it: ExpressionType| it.may_be(ExpressionType::String);
    if is_string(text) && is_string(part) {
        return Ok(ExpressionType::Boolean);
    }
    let wrong = if is_string(text) { part } else { text };
    mismatch(format!("'{name}' takes strings, not {wrong}"))
}

fn negate_type(operand: ExpressionType) -> Result<ExpressionType, PolicyErrorReason> {
    require_numbers("-", operand, operand).map(|()| operand)
}

fn logic_type(
    operator: &str,
    left: ExpressionType,
    right: ExpressionType,
) -> Result<ExpressionType, PolicyErrorReason> {
    require_boolean(operator, left)?;
    require_boolean(operator, right)?;
    Ok(ExpressionType::Boolean)
}

fn equality_type(
    operator: &str,
    left: ExpressionType,
    right: ExpressionType,
) -> Result<ExpressionType, PolicyErrorReason> {
    if left.is_comparable_to(right) {
        return Ok(ExpressionType::Boolean);
    }
    mismatch(format!("'{operator}' can't compare {left} with {right}"))
}

fn order_type(
    operator: &str,
    left: ExpressionType,
    right: ExpressionType,
) -> Result<ExpressionType, PolicyErrorReason> {
    let has_order = |it: ExpressionType| it.may_be_number() || it == ExpressionType::String;
    if has_order(left) && has_order(right) && left.is_comparable_to(right) {
        return Ok(ExpressionType::Boolean);
    }
    mismatch(format!("'{operator}' can't compare {left} with {right}"))
}

fn sum_type(
    left: ExpressionType,
    right: ExpressionType,
) -> Result<ExpressionType, PolicyErrorReason> {
    if left == ExpressionType::String && right.may_be(ExpressionType::String) {
        return Ok(ExpressionType::String);
    }
    if right == ExpressionType::String && left.may_be(ExpressionType::String) {
        return Ok(ExpressionType::String);
    }
    arithmetic_type("+", left, right)
}

fn arithmetic_type(
    operator: &str,
    left: ExpressionType,
    right: ExpressionType,
) -> Result<ExpressionType, PolicyErrorReason> {
    require_numbers(operator, left, right)?;
    match (left, right) {
        (ExpressionType::Unknown, known) | (known, ExpressionType::Unknown) => Ok(known),
        (left, right) if left == right => Ok(left),
        _ => mismatch(format!(
            "'{operator}' can't combine {left} and {right}; all numbers of 'backend' are \
             doubles, write 2.0 in place of 2"
        )),
    }
}

fn modulo_type(
    left: ExpressionType,
    right: ExpressionType,
) -> Result<ExpressionType, PolicyErrorReason> {
    let is_integer = |it: ExpressionType| it.may_be(ExpressionType::Integer);
    if is_integer(left) && is_integer(right) {
        return Ok(ExpressionType::Integer);
    }
    mismatch(format!(
        "'%' takes ints, not {left} and {right}; use int(..)"
    ))
}

fn membership_type(
    element: ExpressionType,
    container: ExpressionType,
) -> Result<ExpressionType, PolicyErrorReason> {
    if container == ExpressionType::Labels && !element.may_be(ExpressionType::String) {
        return mismatch(format!("the keys of labels are strings, not {element}"));
    }
    if container.may_be(ExpressionType::List) || container.may_be_map() {
        return Ok(ExpressionType::Boolean);
    }
    mismatch(format!("'in' takes a list or a map, not {container}"))
}

fn index_type(
    container: ExpressionType,
    index: ExpressionType,
) -> Result<ExpressionType, PolicyErrorReason> {
    match container {
        ExpressionType::Labels if index.may_be(ExpressionType::String) => {
            Ok(ExpressionType::String)
        }
        ExpressionType::List if index.may_be(ExpressionType::Integer) => {
            Ok(ExpressionType::Unknown)
        }
        ExpressionType::Map | ExpressionType::Unknown => Ok(ExpressionType::Unknown),
        _ => mismatch(format!("{container} can't be indexed by {index}")),
    }
}

fn size_type(argument: ExpressionType) -> Result<ExpressionType, PolicyErrorReason> {
    let is_list = argument.may_be(ExpressionType::List);
    if is_list || argument.may_be_map() || argument == ExpressionType::String {
        return Ok(ExpressionType::Integer);
    }
    mismatch(format!(
        "'size' takes a string, list or map, not {argument}"
    ))
}

fn convert_type(
    name: &str,
    argument: ExpressionType,
    result: ExpressionType,
) -> Result<ExpressionType, PolicyErrorReason> {
    if argument.may_be_number() || argument == ExpressionType::String {
        return Ok(result);
    }
    mismatch(format!(
        "'{name}' takes a number or a string, not {argument}"
    ))
}
