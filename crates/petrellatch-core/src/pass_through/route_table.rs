//! The routes as a balancer uses them.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{
    ConfigurationChange, ConfigurationPart, RouteRecord, unpack_address,
};

use super::change_assembly::PartAssembly;
use super::digest::{flow_digest, service_digest};
use super::packet::FlowId;

/// Salt of the hash that spreads a route's flows over its shares.
const SHARE_SALT: u64 = 0x5348_4152;

/// Routes of one version, which only moves forward.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    routes: HashMap<SocketAddrV4, Route>,
    assembly: PartAssembly,
}

/// Where the flows of one address go.
#[derive(Debug)]
struct Route {
    shares: Vec<Share>,
    objective_millis: u32,
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

    /// Whether parts of a change are missing.
    pub fn is_partial(&self) -> bool {
        self.assembly.is_partial()
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

    /// By when requests of this flow should be answered, in milliseconds; zero
    /// if that is not known.
    pub fn objective_millis(&self, flow: FlowId) -> u32 {
        let route = self.routes.get(&flow.route);
        route.map_or(0, |route| route.objective_millis)
    }

    /// Takes a part of a compressed change. Returns whether another version is in force.
    pub fn handle_part(&mut self, part: ConfigurationPart) -> bool {
        let applies = part.base_version == self.version || part.base_version == 0;
        if part.version <= self.version || !applies {
            return false;
        }
        let key = part.version ^ part.base_version.rotate_left(32);
        let change: Option<ConfigurationChange> = self
            .assembly
            .add_compressed(key, part.part, part.parts, part.bytes);
        let Some(change) = change else { return false };
        self.apply(&change)
    }

    fn apply(&mut self, change: &ConfigurationChange) -> bool {
        if change.version <= self.version {
            return false;
        }
        if change.base_version == 0 {
            self.routes.clear();
        } else if change.base_version != self.version {
            return false;
        }
        for address in &change.removed {
            self.routes.remove(&unpack_address(*address));
        }
        for record in &change.put {
            let route = Route {
                shares: shares(record),
                objective_millis: record.objective_millis,
            };
            self.routes.insert(unpack_address(record.address), route);
        }
        self.version = change.version;
        true
    }
}

fn shares(route: &RouteRecord) -> Vec<Share> {
    let share = |record: &petrellatch_proto::pass_through::ShareRecord| Share {
        service: service_digest(&record.service),
        weight: record.weight,
    };
    route.shares.iter().map(share).collect()
}
