//! Tests of each reason for which compiling a policy fails.

use assert_matches::assert_matches;

use super::*;

/// Returns the error of compiling a weight expression.
fn refuse_weight(weight: &str) -> PolicyError {
    let error = Policy::compile(&source("true", weight)).unwrap_err();
    assert_eq!(error.part, PolicyPart::Weight);
    error
}

/// Returns the error of compiling an eligibility expression.
fn refuse_eligible(eligible: &str) -> PolicyError {
    let error = Policy::compile(&source(eligible, "1.0")).unwrap_err();
    assert_eq!(error.part, PolicyPart::Eligible);
    error
}

fn position(line: u32, column: u32) -> SourcePosition {
    SourcePosition { line, column }
}

#[test]
fn syntax_errors_have_line_and_column() {
    let error = refuse_weight("1.0 +\n  backend.slots *");
    assert_matches!(error.reason, PolicyErrorReason::Syntax { .. });
    assert_eq!(error.position, position(2, 18));
    let text = error.to_string();
    assert!(
        text.starts_with("weight, line 2, column 18: Syntax error"),
        "{text}"
    );
}

#[test]
fn empty_expressions_are_refused() {
    assert_eq!(refuse_weight("").reason, PolicyErrorReason::Empty);
    assert_eq!(refuse_eligible(" \n").reason, PolicyErrorReason::Empty);
}

#[test]
fn long_sources_are_refused() {
    let padded = format!("{:width$}", "1.0", width = MAXIMUM_SOURCE_BYTES);
    assert!(Policy::compile(&source("true", &padded)).is_ok());
    let error = refuse_weight(&(padded + " "));
    assert_matches!(
        error.reason,
        PolicyErrorReason::SourceTooLong { bytes: 2_049, .. }
    );
}

#[test]
fn large_trees_are_refused() {
    let list = |elements: usize| format!("size([{}])", "1,".repeat(elements));
    assert!(Policy::compile(&source("true", &list(MAXIMUM_NODES as usize - 2))).is_ok());
    let error = refuse_weight(&list(MAXIMUM_NODES as usize - 1));
    assert_matches!(error.reason, PolicyErrorReason::TooManyNodes { .. });
}

#[test]
fn deep_trees_are_refused() {
    let sum = |terms: u32| format!("1{}", " + 1".repeat(terms as usize - 1));
    assert!(Policy::compile(&source("true", &sum(MAXIMUM_DEPTH))).is_ok());
    let error = refuse_weight(&sum(MAXIMUM_DEPTH + 1));
    assert_matches!(error.reason, PolicyErrorReason::TooDeep { .. });
}

#[test]
fn deep_nesting_of_any_construct_is_refused_without_a_stack_overflow() {
    for repeated in ["(", "[", "{1:", "a.", "true?1:", "1+", "true||"] {
        let count = MAXIMUM_SOURCE_BYTES / repeated.len();
        Policy::compile(&source("true", &repeated.repeat(count))).unwrap_err();
        let with_operand = repeated.repeat(count - 1) + "1";
        Policy::compile(&source("true", &with_operand)).unwrap_err();
    }
    // The parser combines repeated signs, so these are not nested.
    let signs = "-".repeat(MAXIMUM_SOURCE_BYTES - 2);
    assert_eq!(weight_of(&format!("{signs}1")), 1.0);
}

#[test]
fn costly_expressions_are_refused() {
    let calls = |count: usize| format!("size([{}])", "size(''),".repeat(count));
    assert!(Policy::compile(&source("true", &calls(25))).is_ok());
    let error = refuse_weight(&calls(30));
    assert_matches!(error.reason, PolicyErrorReason::TooCostly { .. });
}

#[test]
fn many_labels_are_refused() {
    let labels = |count: usize| {
        let guards: Vec<String> = (0..count)
            .map(|label| format!("has(backend.labels.l{label}) || 'l{label}' in backend.labels"))
            .collect();
        guards.join(" || ")
    };
    assert!(Policy::compile(&source(&labels(MAXIMUM_LABELS), "1.0")).is_ok());
    let error = refuse_eligible(&labels(MAXIMUM_LABELS + 1));
    assert_matches!(error.reason, PolicyErrorReason::TooManyLabels { .. });
}

#[test]
fn loops_are_refused() {
    for eligible in [
        "backend.labels.all(key, key != 'x')",
        "backend.labels.exists(key, key == 'x')",
        "backend.labels.exists_one(key, key == 'x')",
        "size(backend.labels.map(key, key)) > 0",
        "size([1, 2].filter(number, number > 1)) > 0",
    ] {
        let error = refuse_eligible(eligible);
        assert_matches!(error.reason, PolicyErrorReason::UnsupportedSyntax { .. });
    }
}

#[test]
fn unsupported_literals_and_messages_are_refused() {
    for weight in ["size(b'x')", "1u", "null", "Message{}"] {
        let error = refuse_weight(weight);
        assert_matches!(error.reason, PolicyErrorReason::UnsupportedSyntax { .. });
    }
}

#[test]
fn unknown_names_are_refused_with_their_position() {
    let error = refuse_weight("1.0 + slots");
    assert_eq!(error.position, position(1, 7));
    assert_matches!(error.reason, PolicyErrorReason::UnknownVariable { name } if name == "slots");
    let error = refuse_eligible("backend.zona == 'é' && true");
    assert_matches!(error.reason, PolicyErrorReason::UnknownField { field, .. } if field == "zona");
    let error = refuse_eligible("'é' != 'è' && service.slots > 1.0");
    assert_eq!(error.position.column, 22);
    assert_matches!(error.reason, PolicyErrorReason::UnknownField { .. });
    let error = refuse_eligible("backend == service");
    assert_matches!(error.reason, PolicyErrorReason::WholeVariable { .. });
}

#[test]
fn unsupported_functions_are_refused() {
    for weight in [
        "duration('1s')",
        "size(type(1))",
        "timestamp(0)",
        "random()",
        "math.sqrt(2.0)",
        "size(base64.encode(b'1'))",
        "backend.zone.matches('a*') ? 1 : 2",
    ] {
        let error = refuse_weight(weight);
        assert_matches!(
            error.reason,
            PolicyErrorReason::UnsupportedFunction { .. }
                | PolicyErrorReason::UnknownVariable { .. }
                | PolicyErrorReason::UnsupportedSyntax { .. },
            "{weight}"
        );
    }
}

#[test]
fn mismatched_types_are_refused() {
    for weight in [
        "backend.slots * 2",
        "backend.zone + 1.0",
        "-backend.zone",
        "backend.slots % 2.0",
        "backend.draining ? backend.zone * 2.0 : 1.0",
        "backend.slots ? 1.0 : 2.0",
        "backend.zone < 1 ? 1.0 : 2.0",
        "backend.zone == 1 ? 1.0 : 2.0",
        "backend.slots && true ? 1.0 : 2.0",
        "!backend.slots ? 1.0 : 2.0",
        "1 in backend.labels ? 1.0 : 2.0",
        "1 in backend.zone ? 1.0 : 2.0",
        "backend.zone[0]",
        "backend.zone.name",
        "backend.zone.contains(1) ? 1.0 : 2.0",
        "size(backend.slots)",
        "double(backend.draining)",
        "math.least(backend.zone, 1.0)",
        "math.floor(1)",
    ] {
        let error = refuse_weight(weight);
        assert_matches!(
            error.reason,
            PolicyErrorReason::TypeMismatch { .. },
            "{weight}"
        );
    }
    let error = refuse_weight("backend.slots * 2");
    assert_eq!(error.position, position(1, 15));
}

#[test]
fn results_of_the_wrong_type_are_refused() {
    assert_matches!(
        refuse_eligible("backend.slots").reason,
        PolicyErrorReason::NotBoolean { .. }
    );
    assert_matches!(
        refuse_weight("backend.zone").reason,
        PolicyErrorReason::NotNumber { .. }
    );
    assert_matches!(
        refuse_weight("true").reason,
        PolicyErrorReason::NotNumber { .. }
    );
    // These types are known only when the expression is evaluated.
    assert_matches!(
        refuse_check("{'a': 1}['a']", "1.0").reason,
        PolicyErrorReason::NotBoolean { .. }
    );
    assert_matches!(
        refuse_check("true", "['a'][0]").reason,
        PolicyErrorReason::NotNumber { .. }
    );
}
