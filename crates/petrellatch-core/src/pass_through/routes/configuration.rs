//! The configuration: all routes, under a version number that the sender of the
//! configuration chooses.

use std::collections::{BTreeMap, BTreeSet};

use petrellatch_proto::pass_through::{ConfigurationChange, RouteRecord, ServiceRecord};
use snafu::Snafu;

/// Interval between the positions of two routes of a new configuration.
const POSITION_GAP: u64 = 1 << 24;

/// The routes and service settings of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// The version number; zero before the first configuration.
    pub version: u64,
    /// The routes by packed address.
    pub routes: BTreeMap<u64, RouteRecord>,
    /// Settings of services, by name. Services without settings are omitted.
    pub services: BTreeMap<String, ServiceRecord>,
    /// Opaque data that the API translator stores with the configuration as a whole.
    pub annotation: Vec<u8>,
}

/// Why a configuration is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum ConfigurationError {
    /// The version is zero.
    #[snafu(display("the version must be greater than zero"))]
    NoVersion,
    /// Two routes have the same address.
    #[snafu(display("two routes have the address {address}"))]
    SameAddress {
        /// The address.
        address: std::net::SocketAddrV4,
    },
    /// A route refers to a service that the configuration doesn't have.
    #[snafu(display("the route {address} names the unknown service {service}"))]
    UnknownService {
        /// The route.
        address: std::net::SocketAddrV4,
        /// The service.
        service: String,
    },
    /// The weights of a route's services add up to zero.
    #[snafu(display("the route {address} has no weight"))]
    NoWeight {
        /// The route.
        address: std::net::SocketAddrV4,
    },
}

impl Configuration {
    /// Creates a configuration. `services` lists all services that routes may refer to.
    ///
    /// # Errors
    ///
    /// Returns why the configuration is not valid.
    pub fn new(
        version: u64,
        routes: Vec<RouteRecord>,
        services: Vec<ServiceRecord>,
        annotation: Vec<u8>,
    ) -> Result<Configuration, ConfigurationError> {
        if version == 0 {
            return NoVersionSnafu.fail();
        }
        let names: BTreeSet<&str> = services.iter().map(|it| it.service.as_str()).collect();
        let mut by_address = BTreeMap::new();
        for (position, mut route) in routes.into_iter().enumerate() {
            let address = petrellatch_proto::pass_through::unpack_address(route.address);
            let unknown = route
                .shares
                .iter()
                .find(|share| !names.contains(share.service.as_str()));
            if let Some(share) = unknown {
                let service = share.service.clone();
                return UnknownServiceSnafu { address, service }.fail();
            }
            let weight: u64 = route.shares.iter().map(|it| u64::from(it.weight)).sum();
            if weight == 0 {
                return NoWeightSnafu { address }.fail();
            }
            route.position = (position as u64 + 1) * POSITION_GAP;
            if by_address.insert(route.address, route).is_some() {
                return SameAddressSnafu { address }.fail();
            }
        }
        let has_settings = |record: &ServiceRecord| record.warm_up_millirequests_per_second > 0;
        let services = services.into_iter().filter(has_settings);
        let services = services.map(|record| (record.service.clone(), record));
        Ok(Configuration {
            version,
            routes: by_address,
            services: services.collect(),
            annotation,
        })
    }

    /// The change that leads from this configuration to `next`.
    pub fn change_to(&self, next: &Configuration) -> ConfigurationChange {
        let next = &next.with_positions_of(self);
        let differs = |route: &&RouteRecord| self.routes.get(&route.address) != Some(*route);
        let is_removed = |address: &&u64| !next.routes.contains_key(*address);
        let annotation = (self.annotation != next.annotation).then(|| next.annotation.clone());
        let service_differs =
            |record: &&ServiceRecord| self.services.get(&record.service) != Some(*record);
        let is_service_removed = |service: &&String| !next.services.contains_key(*service);
        ConfigurationChange {
            base_version: self.version,
            version: next.version,
            put: next.routes.values().filter(differs).cloned().collect(),
            removed: self.routes.keys().filter(is_removed).copied().collect(),
            annotation,
            put_services: next
                .services
                .values()
                .filter(service_differs)
                .cloned()
                .collect(),
            removed_services: self
                .services
                .keys()
                .filter(is_service_removed)
                .cloned()
                .collect(),
        }
    }

    /// Returns this configuration with the positions of `previous` for routes that are in
    /// both, as far as the order of the routes allows. A change then contains few routes.
    fn with_positions_of(&self, previous: &Configuration) -> Configuration {
        let mut result = self.clone();
        let mut last_position = 0;
        let mut unplaced: Vec<u64> = Vec::new();
        for route in self.ordered_routes() {
            let previous_position = previous.routes.get(&route.address).map(|it| it.position);
            match previous_position.filter(|position| *position > last_position) {
                Some(position) if result.spread(&unplaced, last_position, position) => {
                    unplaced.clear();
                    last_position = position;
                    result.set_position(route.address, position);
                }
                _ => unplaced.push(route.address),
            }
        }
        let end = last_position.saturating_add(POSITION_GAP * (unplaced.len() as u64 + 1));
        match result.spread(&unplaced, last_position, end) {
            true => result,
            // No positions are left at the end, so that all routes get new ones.
            false => self.clone(),
        }
    }

    /// Spreads routes evenly between two positions. Returns false if there are too few
    /// positions between them.
    fn spread(&mut self, addresses: &[u64], after: u64, before: u64) -> bool {
        let step = (before - after) / (addresses.len() as u64 + 1);
        if step == 0 {
            return false;
        }
        for (index, address) in addresses.iter().enumerate() {
            self.set_position(*address, after + step * (index as u64 + 1));
        }
        true
    }

    fn set_position(&mut self, address: u64, position: u64) {
        if let Some(route) = self.routes.get_mut(&address) {
            route.position = position;
        }
    }

    /// Applies a change. A change that is based on another version, or doesn't increase the
    /// version, has no effect. Returns whether the change was applied.
    pub fn apply(&mut self, change: &ConfigurationChange) -> bool {
        if change.base_version != self.version || change.version <= self.version {
            return false;
        }
        for address in &change.removed {
            self.routes.remove(address);
        }
        for route in &change.put {
            self.routes.insert(route.address, route.clone());
        }
        for service in &change.removed_services {
            self.services.remove(service);
        }
        for record in &change.put_services {
            self.services.insert(record.service.clone(), record.clone());
        }
        if let Some(annotation) = &change.annotation {
            self.annotation = annotation.clone();
        }
        self.version = change.version;
        true
    }

    /// The routes in the operator's order.
    pub fn ordered_routes(&self) -> Vec<&RouteRecord> {
        let mut routes: Vec<&RouteRecord> = self.routes.values().collect();
        routes.sort_by_key(|route| route.position);
        routes
    }
}
