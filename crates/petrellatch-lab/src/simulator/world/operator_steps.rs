//! The edits of operators.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use petrellatch_proto::command::{BackendEdit, DrainTarget, EditKind, SetDrain};
use petrellatch_proto::record::{BackendRecord, PolicyRecord, ServiceRecord};

use super::fleet_plan::{FleetPlan, SERVER_PORT};
use super::operators::{ChangeRecord, Intent};
use crate::simulator::schedule::action::Parity;

/// Buckets of every service.
const BUCKETS: u32 = 256;

/// Seconds without a packet after which a flow is dropped.
const IDLE_SECONDS: u32 = 300;

/// The policy that changes without an effect on flows rewrite.
pub const BURST_POLICY: &str = "burst";

/// Returns the name of the back end beside an agent.
pub fn backend_name(agent: usize) -> String {
    format!("backend-{agent}")
}

/// Returns the name of an agent.
pub fn agent_name(agent: usize) -> String {
    format!("agent-{agent}")
}

/// Returns the service of each agent's back end and the back end's number in
/// the service.
pub fn places(plan: &FleetPlan) -> Vec<(usize, usize)> {
    let services = plan.services.iter().enumerate();
    services
        .flat_map(|(index, service)| (0..service.backends).map(move |number| (index, number)))
        .collect()
}

/// Returns the edits of a change. Each change that is not of a burst leaves a
/// policy of its own, by which anyone can see that it took effect.
pub fn edits(plan: &FleetPlan, change: &ChangeRecord) -> Vec<EditKind> {
    let mut edits = match &change.intent {
        Intent::Setup => setup(plan),
        Intent::Drain { agent, draining } => vec![drain(*agent, *draining)],
        Intent::Policy { service, eligible } => vec![policy(plan, *service, *eligible)],
        Intent::Restore => restore(plan),
        Intent::Race => Vec::new(),
        Intent::Burst { number } => return vec![burst(*number)],
    };
    edits.push(marker(&change.request_id));
    edits
}

/// Returns the condition that a change of a burst writes.
pub fn burst_condition(number: u64) -> String {
    format!("backend.slots >= {number}.0")
}

fn marker(request_id: &str) -> EditKind {
    put_policy(request_id, "true", "1.0")
}

fn burst(number: u64) -> EditKind {
    put_policy(BURST_POLICY, &burst_condition(number), "1.0")
}

fn setup(plan: &FleetPlan) -> Vec<EditKind> {
    let mut edits: Vec<EditKind> = (0..plan.services.len())
        .map(|service| policy(plan, service, Parity::All))
        .collect();
    for (index, service) in plan.services.iter().enumerate() {
        edits.push(EditKind::PutService(ServiceRecord {
            id: 0,
            name: service.name.to_owned(),
            address: FleetPlan::service_address(index).into(),
            buckets: BUCKETS,
            policy: service.name.to_owned(),
            refusal: service.refusal as i32,
            new_flows_per_second: 0,
            idle_seconds: IDLE_SECONDS,
        }));
    }
    for (agent, (service, number)) in places(plan).into_iter().enumerate() {
        edits.push(backend(plan, agent, service, number));
    }
    edits
}

fn backend(plan: &FleetPlan, agent: usize, service: usize, number: usize) -> EditKind {
    let parity = if number.is_multiple_of(2) {
        "even"
    } else {
        "odd"
    };
    let labels = BTreeMap::from([("parity".to_owned(), parity.to_owned())]);
    let service = &plan.services[service];
    EditKind::PutBackend(BackendEdit {
        service: service.name.to_owned(),
        backend: BackendRecord {
            id: 0,
            name: backend_name(agent),
            service: 0,
            agent: agent_name(agent),
            zone: format!("zone-{}", agent % plan.zones),
            server: SocketAddrV4::new(Ipv4Addr::LOCALHOST, SERVER_PORT).into(),
            slots: service.slots,
            connections: service.connections,
            warm_up_seconds: 0,
            labels,
            draining: false,
            evacuated: false,
        },
    })
}

fn policy(plan: &FleetPlan, service: usize, eligible: Parity) -> EditKind {
    let name = plan.services[service % plan.services.len()].name;
    let wanted = match eligible {
        Parity::All => "true",
        Parity::Even => "has(backend.labels.parity) && backend.labels.parity == 'even'",
        Parity::Odd => "has(backend.labels.parity) && backend.labels.parity == 'odd'",
    };
    let eligible = format!("!backend.draining && backend.health > 0.3 && {wanted}");
    put_policy(name, &eligible, "1.0")
}

fn restore(plan: &FleetPlan) -> Vec<EditKind> {
    let policies = (0..plan.services.len()).map(|service| policy(plan, service, Parity::All));
    let drains = (0..plan.agents()).map(|agent| drain(agent, false));
    policies.chain(drains).collect()
}

fn drain(agent: usize, draining: bool) -> EditKind {
    EditKind::SetDrain(SetDrain {
        target: DrainTarget::Backend as i32,
        name: backend_name(agent),
        draining,
    })
}

fn put_policy(name: &str, eligible: &str, weight: &str) -> EditKind {
    EditKind::PutPolicy(PolicyRecord {
        name: name.to_owned(),
        eligible: eligible.to_owned(),
        weight: weight.to_owned(),
    })
}
