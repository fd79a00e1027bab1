//! A balancer's routes.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{
    ConfigurationChange, ConfigurationPart, RouteRecord, ServiceRecord, unpack_address,
};

use super::reassembly::Reassembly;
use crate::pass_through::digest::{flow_digest, service_digest};
use crate::pass_through::packet::FlowId;

/// Salt of the hash that spreads a route's flows over its services.
const SHARE_SALT: u64 = 0x5348_4152;

/// Maximum number of changes that are buffered until the changes before them arrive.
const MAX_BUFFERED_CHANGES: usize = 64;

/// The routes of one configuration version. The version only increases.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    routes: HashMap<SocketAddrV4, Route>,
    /// See [`ServiceRecord::warm_up_millirequests_per_second`], by the service's digest.
    warm_up_rates: HashMap<u64, u32>,
    reassembly: Reassembly,
    /// Changes that arrived before the changes they are based on, by base version.
    buffered: BTreeMap<u64, ConfigurationChange>,
}

/// The services that receive the flows of one address, and the class of its requests.
#[derive(Debug)]
struct Route {
    shares: Vec<Share>,
    class: RequestClass,
}

/// The configured properties of a route's requests. Times are in milliseconds; zero means
/// not configured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestClass {
    /// Time in which a request should be answered.
    pub latency_objective_millis: u32,
    /// Time after which callers give up a request.
    pub deadline_millis: u32,
    /// Priority among requests that compete for a slot: zero is the highest.
    pub priority: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Share {
    service: u64,
    weight: u32,
}

impl RouteTable {
    /// The configuration version; zero for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether parts of a change are missing, or a change that a buffered one is based on.
    pub fn is_incomplete(&self) -> bool {
        self.reassembly.is_incomplete() || !self.buffered.is_empty()
    }

    /// Whether there is a route for this address.
    pub fn contains(&self, route: SocketAddrV4) -> bool {
        self.routes.contains_key(&route)
    }

    /// The service of a new flow. The choice depends only on the flow's addresses and the
    /// route, so that SYN retransmissions get the same service.
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

    /// The configured properties of this flow's requests.
    pub fn request_class(&self, flow: FlowId) -> RequestClass {
        let route = self.routes.get(&flow.route);
        route.map(|route| route.class).unwrap_or_default()
    }

    /// Rate limit of a back end of a service during warm-up, in requests per 1,000 s; zero if
    /// it is not configured.
    pub fn warm_up_rate(&self, service: u64) -> u32 {
        self.warm_up_rates
            .get(&service)
            .copied()
            .unwrap_or_default()
    }

    /// Handles one part of a compressed change. Changes may arrive in any order. Returns
    /// whether the change was applied, so that the version is a newer one.
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
            warm_up_millirequests_per_second,
        } in &change.put_services
        {
            self.warm_up_rates
                .insert(service_digest(service), *warm_up_millirequests_per_second);
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
