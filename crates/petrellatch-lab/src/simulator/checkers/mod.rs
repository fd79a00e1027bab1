//! Checkers of the promises.
//!
//! They look only at what callers, back ends and operators saw in a run, never
//! into a process of the system.

pub mod answers;
pub mod changes;
pub mod placement;

use super::scenario::Violation;

/// Makes a violation.
fn violation(checker: &'static str, detail: String) -> Violation {
    Violation { checker, detail }
}
