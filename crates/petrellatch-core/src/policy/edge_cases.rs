//! Generated back ends and services for checking policies against edge cases.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::view::{BackendView, HEALTH_SCALE, ServiceView};

/// The name of generated back ends in error messages.
const GENERATED_NAME: &str = "(edge case)";

/// The zone of some generated back ends and services. No real back end is in
/// it.
const UNKNOWN_ZONE: &str = "(unknown zone)";

/// The maximum number of real zones that are combined with all loads.
const MAXIMUM_ZONES: usize = 3;

/// Slots and free slots: none, one busy, one free, several free, the maximum.
const SLOTS: [(u32, u32); 5] = [(0, 0), (1, 0), (1, 1), (7, 7), (u32::MAX, u32::MAX)];

/// Open flows: none, the usual limit, the maximum.
const CONNECTIONS: [u32; 3] = [0, 2_000, u32::MAX];

/// Health: down, half, fully healthy.
const HEALTH: [u32; 3] = [0, HEALTH_SCALE / 2, HEALTH_SCALE];

/// Ages in seconds: just started, one minute, one hundred years.
const AGES: [u64; 3] = [0, 60, 3_153_600_000];

/// The labels of a back end.
type Labels = BTreeMap<String, String>;

/// Returns the service with and without a zone.
pub(super) fn services(service: &ServiceView) -> [ServiceView; 2] {
    let without_zone = ServiceView {
        zone: None,
        ..service.clone()
    };
    let zone = service.zone.clone();
    let with_zone = ServiceView {
        zone: Some(zone.unwrap_or_else(|| UNKNOWN_ZONE.to_owned())),
        ..service.clone()
    };
    [without_zone, with_zone]
}

/// Returns back ends with all combinations of load: without labels in several
/// zones, and in one zone with each of `label_keys` as the only label. Not all
/// combinations of zones and labels are included, to limit the time of a check.
pub(super) fn backends(current: &[BackendView], label_keys: &[String]) -> Vec<BackendView> {
    let loads = loads();
    let mut backends = Vec::new();
    for zone in zones(current) {
        backends.extend(with_zone_and_labels(&loads, &zone, &Labels::new()));
    }
    let zone = current
        .first()
        .map_or(UNKNOWN_ZONE, |backend| &backend.zone);
    for labels in label_sets(current, label_keys) {
        backends.extend(with_zone_and_labels(&loads, zone, &labels));
    }
    backends
}

/// Returns the back ends `loads` in this zone and with these labels.
fn with_zone_and_labels(
    loads: &[BackendView],
    zone: &str,
    labels: &Labels,
) -> impl Iterator<Item = BackendView> {
    loads.iter().map(|load| BackendView {
        zone: zone.to_owned(),
        labels: labels.clone(),
        ..load.clone()
    })
}

/// Returns back ends without zone and labels, with all combinations of slots,
/// open flows, health, age and draining.
fn loads() -> Vec<BackendView> {
    let mut loads = vec![BackendView {
        name: GENERATED_NAME.to_owned(),
        ..BackendView::default()
    }];
    loads = vary(&loads, &SLOTS, |load, (slots, free_slots)| {
        load.slots = slots;
        load.free_slots = free_slots;
    });
    loads = vary(&loads, &CONNECTIONS, |load, connections| {
        load.connections = connections;
    });
    loads = vary(&loads, &HEALTH, |load, health| load.health = health);
    loads = vary(&loads, &AGES, |load, age| {
        load.age = Duration::from_secs(age)
    });
    vary(&loads, &[false, true], |load, draining| {
        load.draining = draining;
    })
}

/// Returns all combinations of `backends` and `values`.
fn vary<Value: Copy>(
    backends: &[BackendView],
    values: &[Value],
    set: impl Fn(&mut BackendView, Value),
) -> Vec<BackendView> {
    let mut varied = Vec::with_capacity(backends.len() * values.len());
    for backend in backends {
        for &value in values {
            let mut backend = backend.clone();
            set(&mut backend, value);
            varied.push(backend);
        }
    }
    varied
}

/// Returns the empty zone, an unknown one, and some of the real ones.
fn zones(current: &[BackendView]) -> Vec<String> {
    let real: BTreeSet<&str> = current
        .iter()
        .map(|backend| backend.zone.as_str())
        .collect();
    let mut zones = vec![String::new(), UNKNOWN_ZONE.to_owned()];
    zones.extend(real.into_iter().take(MAXIMUM_ZONES).map(str::to_owned));
    zones
}

/// Returns a set for each key, with that key as the only label. Its value is
/// taken from a real back end, since operators define the values of a label; it
/// is empty if no back end has the label.
fn label_sets(current: &[BackendView], label_keys: &[String]) -> Vec<Labels> {
    let value_of = |key: &String| {
        let real = current.iter().find_map(|backend| backend.labels.get(key));
        real.cloned().unwrap_or_default()
    };
    label_keys
        .iter()
        .map(|key| Labels::from([(key.clone(), value_of(key))]))
        .collect()
}
