//! The routes as a balancer uses them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{
    ConfigurationChange, ConfigurationPart, RouteRecord, ServiceRecord, unpack_address,
};

use super::reassembly::Reassembly;
use crate::pass_through::digest::{flow_digest, service_digest};
use crate::pass_through::packet::FlowId;

/// Salt of the hash that spreads a route's flows over its shares.
const SHARE_SALT: u64 = 0x5348_4152;

/// Changes that are kept until those before them have come.
const MAX_BUFFERED_CHANGES: usize = 64;

/// Routes of one version, which only moves forward.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    routes: HashMap<SocketAddrV4, Route>,
    /// See [`ServiceRecord::warm_up_millirequests_per_second`], by the service's digest.
    warm_up_rates: HashMap<u64, u32>,
    reassembly: Reassembly,
    /// Changes that have overtaken others, by the version that they are based
    /// on.
    buffered: BTreeMap<u64, ConfigurationChange>,
}

/// Where the flows of one address go.
#[derive(Debug)]
struct Route {
    shares: Vec<Share>,
    class: RequestClass,
}

/// What the configuration says of the requests of a route. Times are in milliseconds,
/// zero if they are not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestClass {
    /// By when a request should be answered.
    pub latency_objective_millis: u32,
    /// When callers give a request up.
    pub deadline_millis: u32,
    /// How urgent they are among those that compete for a place: zero is the most
    /// urgent.
    pub priority: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Share {
    service: u64,
    weight: u32,
}

impl RouteTable {
    /// The version; zero for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether parts of a change are missing, or a change before one that has
    /// come.
    pub fn is_incomplete(&self) -> bool {
        self.reassembly.is_incomplete() || !self.buffered.is_empty()
    }

    /// Whether flows of this address are served.
    pub fn contains(&self, route: SocketAddrV4) -> bool {
        self.routes.contains_key(&route)
    }

    /// The service that a new flow goes to. All copies of its opening packet
    /// lead to the same one.
    pub fn service_for(&self, flow: FlowId) -> Option<u64> {
        let shares = &self.routes.get(&flow.route)?.shares;
        let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = flow_digest(flow, SHARE_SALT) % total.max(1);
        for share in shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(share.service);
            }
            point -= weight;
        }
        None
    }

    /// What is said of the requests of this flow.
    pub fn request_class(&self, flow: FlowId) -> RequestClass {
        let route = self.routes.get(&flow.route);
        route.map(|route| route.class).unwrap_or_default()
    }

    /// Requests that a back end of a service bears in 1,000 s while it warms up; zero
    /// if that is not known.
    pub fn warm_up_rate(&self, service: u64) -> u32 {
        self.warm_up_rates
            .get(&service)
            .copied()
            .unwrap_or_default()
    }

    /// Takes a part of a compressed change. Changes may come in any order. Returns
    /// whether another version is in force.
    pub fn handle_part(&mut self, part: ConfigurationPart) -> bool {
        let is_outdated = part.base_version != 0 && part.base_version < self.version;
        if part.version <= self.version || is_outdated {
            return false;
        }
        let key = part.version ^ part.base_version.rotate_left(32);
        let change: Option<ConfigurationChange> = self
            .reassembly
            .add_compressed(key, part.part, part.parts, part.bytes);
        let Some(change) = change else { return false };
        if change.base_version > self.version {
            self.buffer_change(change);
            return false;
        }
        let is_applied = self.apply(&change);
        while let Some(next) = self.buffered.remove(&self.version) {
            self.apply(&next);
        }
        let version = self.version;
        self.buffered.retain(|base, _| *base > version);
        is_applied
    }

    fn buffer_change(&mut self, change: ConfigurationChange) {
        self.buffered.insert(change.base_version, change);
        if self.buffered.len() > MAX_BUFFERED_CHANGES {
            self.buffered.pop_last();
        }
    }

    fn apply(&mut self, change: &ConfigurationChange) -> bool {
        if change.version <= self.version {
            return false;
        }
        if change.base_version == 0 {
            self.routes.clear();
            self.warm_up_rates.clear();
        } else if change.base_version != self.version {
            return false;
        }
        for address in &change.removed {
            self.routes.remove(&unpack_address(*address));
        }
        for record in &change.put {
            let route = Route {
                shares: shares(record),
                class: RequestClass {
                    latency_objective_millis: record.latency_objective_millis,
                    deadline_millis: record.deadline_millis,
                    priority: record.priority,
                },
            };
            self.routes.insert(unpack_address(record.address), route);
        }
        for service in &change.removed_services {
            self.warm_up_rates.remove(&service_digest(service));
        }
        for ServiceRecord {
            service,
            warm_up_millirequests_per_second: cold_millirequests_per_second,
        } in &change.put_services
        {
            self.warm_up_rates
                .insert(service_digest(service), *cold_millirequests_per_second);
        }
        self.version = change.version;
        true
    }
}

fn shares(route: &RouteRecord) -> Vec<Share> {
    let share = |record: &petrellatch_proto::pass_through::RouteShare| Share {
        service: service_digest(&record.service),
        weight: record.weight,
    };
    route.shares.iter().map(share).collect()
}
