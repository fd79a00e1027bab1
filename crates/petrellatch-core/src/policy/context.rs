//! The variables and functions of an evaluation.

use std::collections::HashMap;
use std::sync::{Arc, LazyLock};

use cel::common::types::{CelBool, CelDouble, CelMap, CelMapKey, CelString};
use cel::common::value::{CowVal, Val};
use cel::context::VariableResolver;
use cel::{Context, Env, extensions};

use super::checker;
use super::expression_type::ExpressionType;
use super::view::{BackendView, HEALTH_SCALE, ServiceView};

/// The name of the variable for the back end.
pub(super) const BACKEND: &str = "backend";

/// The name of the variable for the service.
pub(super) const SERVICE: &str = "service";

/// The standard functions of CEL and its mathematical extension. The checker
/// accepts only some of them.
static ENVIRONMENT: LazyLock<Arc<Env>> = LazyLock::new(|| {
    let mut environment = Env::stdlib().with_optional_support(false);
    environment
        .add_extension(extensions::math)
        .expect("the extension is added once to a fresh environment");
    Arc::new(environment)
});

/// Returns the environment for parsing and evaluating.
pub(super) fn environment() -> Arc<Env> {
    Arc::clone(&ENVIRONMENT)
}

/// Resolves the fields that an evaluation reads, without copying them.
///
/// Numbers are doubles, so that arithmetic on them needs no conversion and
/// never truncates.
pub(super) struct Variables<'view> {
    service: &'view ServiceView,
    backend: &'view BackendView,
}

impl<'view> Variables<'view> {
    /// Creates the variables for an evaluation of this back end and service.
    pub(super) fn new(service: &'view ServiceView, backend: &'view BackendView) -> Self {
        Variables { service, backend }
    }

    /// Returns an evaluation context with these variables.
    pub(super) fn context(&self) -> Context<'_, '_> {
        let mut context = Context::with_env(environment());
        context.set_variable_resolver(self);
        context
    }

    /// Returns the value of a field of `backend`.
    fn backend_field(&self, field: &str) -> Option<CowVal<'_, '_>> {
        let backend = self.backend;
        Some(match field {
            "name" => string(&backend.name),
            "zone" => string(&backend.zone),
            "labels" => labels(backend),
            "slots" => number(backend.slots),
            "free_slots" => number(backend.free_slots),
            "connections" => number(backend.connections),
            "health" => double(f64::from(backend.health) / f64::from(HEALTH_SCALE)),
            "draining" => CowVal::owned(CelBool::from(backend.draining)),
            "age_seconds" => double(backend.age.as_secs_f64()),
            _ => return None,
        })
    }

    /// Returns the value of a field of `service`.
    fn service_field(&self, field: &str) -> Option<CowVal<'_, '_>> {
        match field {
            "name" => Some(string(&self.service.name)),
            "zone" => self.service.zone.as_deref().map(string),
            _ => None,
        }
    }
}

impl VariableResolver for Variables<'_> {
    /// Returns a variable by its qualified name. The interpreter looks up
    /// `backend.zone` first; it looks up all of `backend` only for `has` and if
    /// the field is missing.
    fn resolve<'b>(&'b self, variable: &str) -> Option<CowVal<'b, 'b>> {
        match variable.split_once('.') {
            Some((BACKEND, field)) => self.backend_field(field),
            Some((SERVICE, field)) => self.service_field(field),
            None if variable == BACKEND => {
                let fields = checker::BACKEND_FIELDS.iter();
                Some(map_of_fields(fields, |field| self.backend_field(field)))
            }
            None if variable == SERVICE => {
                let fields = checker::SERVICE_FIELDS.iter();
                Some(map_of_fields(fields, |field| self.service_field(field)))
            }
            _ => None,
        }
    }
}

fn string(text: &str) -> CowVal<'_, '_> {
    CowVal::owned(CelString::from(text))
}

fn number<'value>(number: u32) -> CowVal<'value, 'value> {
    double(f64::from(number))
}

fn double<'value>(number: f64) -> CowVal<'value, 'value> {
    CowVal::owned(CelDouble::from(number))
}

fn labels(backend: &BackendView) -> CowVal<'_, '_> {
    let entries = backend.labels.iter();
    map(entries.map(|(key, value)| (key.as_str(), string(value))))
}

/// Returns a map of all fields that are present.
fn map_of_fields<'value>(
    fields: impl Iterator<Item = &'value (&'static str, ExpressionType)>,
    value_of: impl Fn(&str) -> Option<CowVal<'value, 'value>>,
) -> CowVal<'value, 'value> {
    map(fields.filter_map(|(name, _)| Some((*name, value_of(name)?))))
}

fn map<'value>(
    entries: impl Iterator<Item = (&'value str, CowVal<'value, 'value>)>,
) -> CowVal<'value, 'value> {
    let entries: HashMap<CelMapKey<'value>, Box<dyn Val + 'value>> = entries
        .map(|(key, value)| (CelMapKey::from(key), value.into_owned()))
        .collect();
    CowVal::owned(CelMap::from(entries))
}
