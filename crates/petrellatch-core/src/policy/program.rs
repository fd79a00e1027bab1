//! A compiled policy.

use cel::{Context, Value};

use super::context::Variables;
use super::edge_cases;
use super::error::{PolicyError, PolicyErrorReason};
use super::expression::CompiledExpression;
use super::policy_source::{PolicyPart, PolicySource};
use super::view::{BackendView, ServiceView};

/// The fields that change with each request of a back end.
const LOAD_FIELDS: [&str; 2] = ["free_slots", "connections"];

/// The fields that change only with time.
const AGE_FIELDS: [&str; 1] = ["age_seconds"];

/// The result of a policy for one back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evaluation {
    /// Whether the back end may receive new flows.
    pub eligible: bool,
    /// The weight of the back end's share of new flows, relative to those of
    /// other back ends; 1 is nominal. It is finite and not negative, and zero for
    /// a back end that isn't eligible.
    pub weight: f64,
}

/// A compiled policy, whose expressions have passed the static checks.
#[derive(Debug)]
pub struct Policy {
    source: PolicySource,
    eligible: CompiledExpression,
    weight: CompiledExpression,
}

impl Policy {
    /// Compiles a policy. An error has the position and the reason.
    pub fn compile(source: &PolicySource) -> Result<Policy, PolicyError> {
        Ok(Policy {
            source: source.clone(),
            eligible: CompiledExpression::compile(PolicyPart::Eligible, &source.eligible)?,
            weight: CompiledExpression::compile(PolicyPart::Weight, &source.weight)?,
        })
    }

    /// Returns the source text of the policy.
    pub fn source(&self) -> &PolicySource {
        &self.source
    }

    /// Returns whether the result depends on fields that change with each request
    /// of a back end.
    pub fn reads_load(&self) -> bool {
        self.reads_any(&LOAD_FIELDS)
    }

    /// Returns whether the result depends on the age of a back end.
    pub fn reads_age(&self) -> bool {
        self.reads_any(&AGE_FIELDS)
    }

    fn reads_any(&self, fields: &[&str]) -> bool {
        self.eligible.reads_any(fields) || self.weight.reads_any(fields)
    }

    /// Evaluates the policy for one back end. The weight of a back end that
    /// isn't eligible is not evaluated, so `eligible` can guard `weight` against
    /// errors.
    pub fn evaluate(
        &self,
        service: &ServiceView,
        backend: &BackendView,
    ) -> Result<Evaluation, PolicyError> {
        let variables = Variables::new(service, backend);
        self.evaluate_with(&variables.context())
            .map_err(|error| error.for_backend(&backend.name))
    }

    /// Evaluates the policy for `backends`, and for edge cases generated from
    /// them: back ends without labels, without slots, full, old and so on.
    /// Returns the error of the first evaluation that fails.
    pub fn check(
        &self,
        service: &ServiceView,
        backends: &[BackendView],
    ) -> Result<(), PolicyError> {
        for backend in backends {
            self.evaluate(service, backend)?;
        }
        let label_keys = self.label_keys();
        for service in edge_cases::services(service) {
            for backend in edge_cases::backends(backends, &label_keys) {
                self.evaluate(&service, &backend)?;
            }
        }
        Ok(())
    }

    /// Returns the text of the first condition of `eligible` that is false for a
    /// back end.
    pub(super) fn first_false_condition(
        &self,
        service: &ServiceView,
        backend: &BackendView,
    ) -> String {
        let variables = Variables::new(service, backend);
        self.eligible.first_false_condition(&variables.context())
    }

    /// Returns the label keys that the policy names, sorted.
    fn label_keys(&self) -> Vec<String> {
        let eligible = self.eligible.label_keys().iter();
        let mut keys: Vec<String> = eligible.chain(self.weight.label_keys()).cloned().collect();
        keys.sort_unstable();
        keys.dedup();
        keys
    }

    fn evaluate_with(&self, variables: &Context<'_, '_>) -> Result<Evaluation, PolicyError> {
        let eligible = self.evaluate_eligible(variables)?;
        let weight = if eligible {
            self.evaluate_weight(variables)?
        } else {
            0.0
        };
        Ok(Evaluation { eligible, weight })
    }

    fn evaluate_eligible(&self, variables: &Context<'_, '_>) -> Result<bool, PolicyError> {
        match self.eligible.evaluate(variables)? {
            Value::Bool(eligible) => Ok(eligible),
            other => {
                let found = other.type_of().to_string();
                let reason = PolicyErrorReason::NotBoolean { found };
                Err(self.eligible.refuse_result(reason))
            }
        }
    }

    fn evaluate_weight(&self, variables: &Context<'_, '_>) -> Result<f64, PolicyError> {
        let value = self.weight.evaluate(variables)?;
        check_weight(&value).map_err(|reason| self.weight.refuse_result(reason))
    }
}

/// Returns the weight if it is a finite number of at least zero.
fn check_weight(value: &Value) -> Result<f64, PolicyErrorReason> {
    let weight = match value {
        Value::Float(weight) => *weight,
        Value::Int(weight) => *weight as f64,
        Value::UInt(weight) => *weight as f64,
        other => {
            let found = other.type_of().to_string();
            return Err(PolicyErrorReason::NotNumber { found });
        }
    };
    if weight.is_nan() {
        return Err(PolicyErrorReason::NaN);
    }
    if weight.is_infinite() {
        return Err(PolicyErrorReason::Infinite);
    }
    if weight < 0.0 {
        return Err(PolicyErrorReason::Negative { weight });
    }
    // Adding zero converts -0.0 to 0.0.
    Ok(weight + 0.0)
}
