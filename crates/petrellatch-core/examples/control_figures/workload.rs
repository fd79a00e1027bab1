//! Back ends, services and daemons of one size.

use std::fmt;
use std::net::SocketAddrV4;

use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_core::node::NodeIdentity;
use petrellatch_proto::command::{BackendEdit, DrainTarget, EditKind, SetDrain};
use petrellatch_proto::endpoint::Endpoint;
use petrellatch_proto::record::{BackendRecord, NodeRole, PolicyRecord, ServiceRecord};

const DAEMONS_OF_TARGET: u64 = 18_000;
const BACKENDS_OF_TARGET: u64 = 160_000;
const SERVICES_OF_TARGET: u64 = 67_000;

/// One of so many daemons is a balancer.
const BALANCER_PART: u32 = 9;
const ZONES: u32 = 18;
const POLICIES: u32 = 64;
const EDITS_OF_CHANGE: usize = 100;
const SERVER_PORT: u32 = 8_000;

/// A cluster with `daemons` daemons, and back ends and services in the
/// proportions of the target.
#[derive(Clone, Copy)]
pub struct Workload {
    daemons: u32,
}

impl Workload {
    pub fn new(daemons: u32) -> Self {
        Workload { daemons }
    }

    pub fn backend_count(&self) -> u32 {
        self.scaled(BACKENDS_OF_TARGET)
    }

    pub fn service_count(&self) -> usize {
        self.scaled(SERVICES_OF_TARGET) as usize
    }

    /// All policies, services and back ends, in changes of many edits.
    pub fn initial_changes(&self) -> Vec<Vec<EditKind>> {
        let policies = (0..POLICIES).map(|number| EditKind::PutPolicy(policy(number)));
        let services = 0..self.scaled(SERVICES_OF_TARGET);
        let services = services.map(|number| EditKind::PutService(service(number)));
        let backends = (0..self.backend_count()).map(|number| self.backend(number));
        let edits: Vec<EditKind> = policies.chain(services).chain(backends).collect();
        edits.chunks(EDITS_OF_CHANGE).map(<[_]>::to_vec).collect()
    }

    pub fn members(&self) -> Vec<NodeIdentity> {
        let balancers = (0..self.daemons / BALANCER_PART)
            .map(|number| identity(NodeRole::Balancer, format!("balancer-{number}"), number));
        let agents = (0..self.agent_count())
            .map(|number| identity(NodeRole::Agent, agent_name(number), number));
        balancers.chain(agents).collect()
    }

    /// Drains a back end.
    pub fn drain(&self, number: u32) -> EditKind {
        EditKind::SetDrain(SetDrain {
            target: DrainTarget::Backend as i32,
            name: backend_name(number * 7 % self.backend_count()),
            draining: true,
        })
    }

    /// Adds a service beyond the initial ones.
    pub fn added_service(&self, number: u32) -> EditKind {
        EditKind::PutService(service(self.scaled(SERVICES_OF_TARGET) + number))
    }

    fn scaled(&self, of_target: u64) -> u32 {
        let scaled = of_target * u64::from(self.daemons) / DAEMONS_OF_TARGET;
        u32::try_from(scaled).expect("a count")
    }

    fn agent_count(&self) -> u32 {
        self.daemons - self.daemons / BALANCER_PART
    }

    fn backend(&self, number: u32) -> EditKind {
        let agent = number % self.agent_count();
        let services = self.scaled(SERVICES_OF_TARGET);
        EditKind::PutBackend(BackendEdit {
            service: service_name(number % services),
            backend: BackendRecord {
                id: 0,
                name: backend_name(number),
                service: 0,
                agent: agent_name(agent),
                zone: zone(agent),
                server: Endpoint {
                    address: 0x0a00_0000 + agent,
                    port: SERVER_PORT + number / self.agent_count(),
                },
                slots: 7,
                connections: 2_000,
                warm_up_seconds: 0,
                labels: Default::default(),
                draining: false,
                evacuated: false,
            },
        })
    }
}

impl fmt::Display for Workload {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} daemons, {} back ends, {} services",
            self.daemons,
            self.backend_count(),
            self.service_count()
        )
    }
}

/// The name of an agent.
pub fn agent_name(number: u32) -> String {
    format!("agent-{number:05}")
}

fn service_name(number: u32) -> String {
    format!("service-{number:05}")
}

fn backend_name(number: u32) -> String {
    format!("backend-{number:06}")
}

fn policy_name(number: u32) -> String {
    format!("policy-{number:02}")
}

fn zone(agent: u32) -> String {
    format!("zone-{:02}", agent % ZONES)
}

fn policy(number: u32) -> PolicyRecord {
    PolicyRecord {
        name: policy_name(number),
        eligible: "!backend.draining && backend.health > 0.3".to_owned(),
        weight: "1.0".to_owned(),
    }
}

fn service(number: u32) -> ServiceRecord {
    ServiceRecord {
        id: 0,
        name: service_name(number),
        address: Endpoint {
            address: 0x0b00_0000 + number,
            port: 443,
        },
        buckets: 256,
        policy: policy_name(number % POLICIES),
        refusal: 0,
        new_flows_per_second: 0,
        idle_seconds: 300,
    }
}

fn identity(role: NodeRole, name: String, number: u32) -> NodeIdentity {
    let address = |port| SocketAddrV4::new((0x0a00_0000 + number).into(), port);
    NodeIdentity {
        node: NodeId::from_name(&name),
        name,
        incarnation: Incarnation(1),
        zone: zone(number),
        role,
        control: address(7_000),
        data: address(7_001),
    }
}
