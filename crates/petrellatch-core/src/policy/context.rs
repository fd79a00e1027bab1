//! The variables of an evaluation.

use std::collections::HashMap;
use std::sync::{Arc, LazyLock};

use cel::{Context, Env, Value, extensions};

use super::view::{BackendView, HEALTH_SCALE, ServiceView};

/// The name of the variable that holds the back end.
pub(super) const BACKEND: &str = "backend";

/// The name of the variable that holds the service.
pub(super) const SERVICE: &str = "service";

/// The standard functions of CEL and its mathematical extension. The checker
/// lets only some of them through.
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

/// Makes the variables of one evaluation. Numbers are doubles, so that
/// arithmetic on them needs no conversion and never truncates.
pub(super) fn variables(service: &ServiceView, backend: &BackendView) -> Context<'static, 'static> {
    let mut context = Context::with_env(environment());
    context.add_variable_from_value(BACKEND, backend_value(backend));
    context.add_variable_from_value(SERVICE, service_value(service));
    context
}

fn backend_value(backend: &BackendView) -> HashMap<&'static str, Value> {
    let health = f64::from(backend.health) / f64::from(HEALTH_SCALE);
    HashMap::from([
        ("name", backend.name.as_str().into()),
        ("zone", backend.zone.as_str().into()),
        ("labels", labels_value(backend)),
        ("slots", Value::Float(f64::from(backend.slots))),
        ("free_slots", Value::Float(f64::from(backend.free_slots))),
        ("connections", Value::Float(f64::from(backend.connections))),
        ("health", Value::Float(health)),
        ("draining", Value::Bool(backend.draining)),
        ("age_seconds", Value::Float(backend.age.as_secs_f64())),
    ])
}

fn labels_value(backend: &BackendView) -> Value {
    let labels: HashMap<&str, &str> = backend
        .labels
        .iter()
        .map(|(key, value)| (key.as_str(), value.as_str()))
        .collect();
    labels.into()
}

fn service_value(service: &ServiceView) -> HashMap<&'static str, Value> {
    let mut fields = HashMap::from([("name", Value::from(service.name.as_str()))]);
    if let Some(zone) = &service.zone {
        fields.insert("zone", zone.as_str().into());
    }
    fields
}
