//! Placement policies: short programs that decide which back ends of a service
//! receive new flows, and in what proportion.
//!
//! A policy has two expressions in the Common Expression Language (CEL):
//! `eligible` (a boolean) and `weight` (a number of at least zero; 1 is
//! nominal). [`Policy::compile`] refuses expressions that are malformed, too
//! large, too costly or of the wrong type; [`Policy::check`] evaluates a policy
//! for the current back ends and for generated edge cases; [`shares`] evaluates
//! it for all back ends of a service and returns the input of a placement table.
//! An evaluation reads only its arguments, has no loops, and gives the same
//! result on every machine.

mod checker;
mod context;
mod edge_cases;
mod error;
mod explanation;
mod expression;
mod expression_type;
mod functions;
mod policy_source;
mod position;
mod program;
mod shares;
mod view;

#[cfg(test)]
mod tests;

pub use checker::{MAXIMUM_COST, MAXIMUM_DEPTH, MAXIMUM_LABELS, MAXIMUM_NODES};
pub use error::{PolicyError, PolicyErrorReason};
pub use explanation::{BackendExplanation, Explanation};
pub use expression::MAXIMUM_SOURCE_BYTES;
pub use policy_source::{PolicyPart, PolicySource};
pub use position::SourcePosition;
pub use program::{Evaluation, Policy};
pub use shares::{Shares, shares};
pub use view::{BackendView, HEALTH_SCALE, ServiceView};
