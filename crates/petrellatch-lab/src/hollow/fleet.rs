//! Who and what there is in a measured fleet.

use std::net::Ipv4Addr;

use petrellatch_proto::command::{BackendEdit, DrainTarget, EditKind, SetDrain};
use petrellatch_proto::endpoint::Endpoint;
use petrellatch_proto::record::{
    BackendRecord, NodeRole, PolicyRecord, RefusalMode, ServiceRecord,
};

use super::options::HollowOptions;

/// Addresses of services begin here.
const FIRST_SERVICE_ADDRESS: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

/// Addresses of servers begin here.
const FIRST_SERVER_ADDRESS: Ipv4Addr = Ipv4Addr::new(10, 64, 0, 1);

const SERVICE_PORT: u32 = 443;
const SERVER_PORT: u32 = 8_443;
const BUCKETS: u32 = 256;
const SLOTS: u32 = 64;
const CONNECTIONS: u32 = 4_000;

/// The sizes of a fleet, from which names and records are derived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetPlan {
    /// Balancers.
    pub balancers: usize,
    /// Agents.
    pub agents: usize,
    /// Back ends.
    pub backends: usize,
    /// Services.
    pub services: usize,
    /// Policies.
    pub policies: usize,
    /// Zones.
    pub zones: usize,
}

/// One daemon of the plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonPlan {
    /// The node's name.
    pub name: String,
    /// Balancer or agent.
    pub role: NodeRole,
    /// The zone.
    pub zone: String,
    /// Identifiers of the back ends beside an agent.
    pub backends: Vec<u64>,
}

impl FleetPlan {
    /// The plan that the options ask for.
    pub fn of(options: &HollowOptions) -> Self {
        let balancers = options.balancer_count();
        FleetPlan {
            balancers,
            agents: options.daemons - balancers,
            backends: options.backends,
            services: options.addresses.max(1),
            policies: options.policies.max(1),
            zones: options.zone_count(),
        }
    }

    /// All balancers.
    pub fn balancer_plans(&self) -> Vec<DaemonPlan> {
        let plan = |index| DaemonPlan {
            name: format!("balancer-{index}"),
            role: NodeRole::Balancer,
            zone: self.zone(index),
            backends: Vec::new(),
        };
        (0..self.balancers).map(plan).collect()
    }

    /// All agents.
    pub fn agent_plans(&self) -> Vec<DaemonPlan> {
        let plan = |index| DaemonPlan {
            name: agent_name(index),
            role: NodeRole::Agent,
            zone: self.zone(index),
            backends: self.backends_of_agent(index),
        };
        (0..self.agents).map(plan).collect()
    }

    /// The edits that create the whole configuration: each service together
    /// with its back ends, in the order of their identifiers.
    pub fn configuration(&self) -> Vec<EditKind> {
        let policies = (0..self.policies).map(|index| EditKind::PutPolicy(policy(index, 0)));
        let mut edits: Vec<EditKind> = policies.collect();
        for service in 0..self.services {
            edits.push(self.put_service(service, 0));
            let backends = self.backends_of_service(service);
            edits.extend(backends.map(|index| self.put_backend(index, SLOTS)));
        }
        edits
    }

    /// The edit of the `number`th operator change after the configuration was
    /// created: drains, sizes of back ends, limits of services, and policies.
    pub fn change(&self, number: usize) -> EditKind {
        const KINDS: usize = 10;
        // A step without common factors visits all records.
        const STEP: usize = 7_919;
        let target = number / 2 * STEP;
        let turn = (number / KINDS) as u32;
        match number % KINDS {
            0 | 2 => self.set_drain(target, true),
            1 | 3 => self.set_drain(target, false),
            4..=6 => self.put_backend(target % self.backends.max(1), SLOTS + 1 + turn % SLOTS),
            7 | 8 => self.put_service(target % self.services, 1_000 + turn),
            _ => EditKind::PutPolicy(policy(target % self.policies, turn)),
        }
    }

    fn zone(&self, index: usize) -> String {
        format!("zone-{}", index % self.zones)
    }

    fn backends_of_agent(&self, agent: usize) -> Vec<u64> {
        let indices = (agent..self.backends).step_by(self.agents.max(1));
        indices.map(|index| index as u64 + 1).collect()
    }

    /// The back ends of a service follow each other.
    fn backends_of_service(&self, service: usize) -> std::ops::Range<usize> {
        let first = |service: usize| service * self.backends / self.services;
        first(service)..first(service + 1)
    }

    fn service_of_backend(&self, backend: usize) -> usize {
        ((backend + 1) * self.services).div_ceil(self.backends.max(1)) - 1
    }

    fn put_service(&self, index: usize, new_flows_per_second: u32) -> EditKind {
        EditKind::PutService(ServiceRecord {
            id: 0,
            name: service_name(index),
            address: Endpoint {
                address: u32::from(FIRST_SERVICE_ADDRESS) + index as u32,
                port: SERVICE_PORT,
            },
            buckets: BUCKETS,
            policy: policy_name(index % self.policies),
            refusal: RefusalMode::HttpUnavailable as i32,
            new_flows_per_second,
            idle_seconds: 300,
        })
    }

    fn put_backend(&self, index: usize, slots: u32) -> EditKind {
        let agent = index % self.agents.max(1);
        EditKind::PutBackend(BackendEdit {
            service: service_name(self.service_of_backend(index)),
            backend: BackendRecord {
                id: 0,
                name: backend_name(index),
                service: 0,
                agent: agent_name(agent),
                zone: self.zone(agent),
                server: Endpoint {
                    address: u32::from(FIRST_SERVER_ADDRESS) + index as u32,
                    port: SERVER_PORT,
                },
                slots,
                connections: CONNECTIONS,
                warm_up_seconds: 0,
                labels: Default::default(),
                draining: false,
            },
        })
    }

    fn set_drain(&self, target: usize, draining: bool) -> EditKind {
        EditKind::SetDrain(SetDrain {
            target: DrainTarget::Backend as i32,
            name: backend_name(target % self.backends.max(1)),
            draining,
        })
    }
}

fn policy(index: usize, turn: u32) -> PolicyRecord {
    // Another threshold makes another program with the same placements.
    let threshold = 300 + turn % 100;
    PolicyRecord {
        name: policy_name(index),
        eligible: format!("!backend.draining && backend.health > 0.{threshold}"),
        weight: "1.0".to_owned(),
    }
}

fn policy_name(index: usize) -> String {
    format!("policy-{index}")
}

fn service_name(index: usize) -> String {
    format!("service-{index}")
}

fn backend_name(index: usize) -> String {
    format!("backend-{index}")
}

fn agent_name(index: usize) -> String {
    format!("agent-{index}")
}
