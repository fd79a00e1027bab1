//! The configuration of a deployment, as an operator writes it.

use petrellatch_proto::command::{BackendEdit, DrainTarget, EditKind, SetDrain};
use petrellatch_proto::record::{BackendRecord, PolicyRecord, RefusalMode, ServiceRecord};

use crate::experiment::deployment::{CONNECTION_LIMIT, Deployment, WARM_UP_SECONDS};
use crate::experiment::emulator::backend_ip;

const POLICY: &str = "by-zone";

/// Buckets of each service.
const BUCKETS: u32 = 256;

/// Seconds after which an idle flow is dropped.
const IDLE_SECONDS: u32 = 300;

/// The port that back ends listen on.
const SERVER_PORT: u16 = 8_000;

pub(super) fn backend_name(deployment: &Deployment, backend: usize) -> String {
    let place = deployment.backends()[backend];
    let service = deployment.services[place.service].name;
    format!("{service}-{}", place.number)
}

pub(super) fn agent_name(backend: usize) -> String {
    format!("agent-{backend}")
}

/// Returns the changes that make the services.
pub(super) fn first_edits(deployment: &Deployment) -> Vec<EditKind> {
    const NOMINAL: u32 = 1_000;
    let mut edits = vec![put_policy(deployment.zones[0], NOMINAL)];
    for (service, profile) in deployment.services.iter().enumerate() {
        edits.push(EditKind::PutService(ServiceRecord {
            id: 0,
            name: profile.name.to_owned(),
            address: Deployment::address(service).into(),
            buckets: BUCKETS,
            policy: POLICY.to_owned(),
            refusal: RefusalMode::HttpUnavailable as i32,
            new_flows_per_second: 0,
            idle_seconds: IDLE_SECONDS,
        }));
    }
    let backends = 0..deployment.backends().len();
    edits.extend(backends.map(|backend| put_backend(deployment, backend)));
    edits
}

/// Gives the back ends of one zone a share of the nominal weight.
pub(super) fn put_policy(zone: &str, weight: u32) -> EditKind {
    let weight = f64::from(weight) / 1_000.0;
    EditKind::PutPolicy(PolicyRecord {
        name: POLICY.to_owned(),
        eligible: "!backend.draining && backend.health > 0.2".to_owned(),
        weight: format!("backend.zone == \"{zone}\" ? {weight:.3} : 1.0"),
    })
}

pub(super) fn set_drain(deployment: &Deployment, backend: usize, draining: bool) -> EditKind {
    EditKind::SetDrain(SetDrain {
        target: DrainTarget::Backend as i32,
        name: backend_name(deployment, backend),
        draining,
    })
}

fn put_backend(deployment: &Deployment, backend: usize) -> EditKind {
    let place = deployment.backends()[backend];
    let server = std::net::SocketAddrV4::new(backend_ip(backend), SERVER_PORT);
    EditKind::PutBackend(BackendEdit {
        service: deployment.services[place.service].name.to_owned(),
        backend: BackendRecord {
            id: 0,
            name: backend_name(deployment, backend),
            service: 0,
            agent: agent_name(backend),
            zone: deployment.zones[place.zone].to_owned(),
            server: server.into(),
            slots: place.slots,
            connections: CONNECTION_LIMIT,
            warm_up_seconds: WARM_UP_SECONDS,
            labels: Default::default(),
            draining: false,
            evacuated: false,
        },
    })
}
