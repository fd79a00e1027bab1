//! The balancer's lookup of the agent for a packet.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;

use petrellatch_proto::data::{DataDatagram, ForwardKind};
use petrellatch_proto::record::{RecordKey, ServiceRecord, ShareRecord};

use crate::cluster::ClusterView;
use crate::flow::PacketView;
use crate::identity::{NodeId, ServiceId};

use super::{DropReason, PlacedGeneration};

/// Routes caller packets by the newest placement generation of each service.
pub struct Router {
    sender: NodeId,
    routes: HashMap<SocketAddrV4, Box<ServiceRoute>>,
    /// The key of each service's route in `routes`.
    addresses: BTreeMap<ServiceId, SocketAddrV4>,
    /// The services in which a node has a share.
    services_of: BTreeSet<(NodeId, ServiceId)>,
}

/// The data for routing the packets of one service.
struct ServiceRoute {
    service: ServiceId,
    generation: PlacedGeneration,
    /// For each share the address at which its agent receives packets, or none
    /// if that incarnation of the agent is not a member.
    agents: Box<[Option<SocketAddrV4>]>,
}

impl Router {
    /// Creates a router without routes; `sender` is the balancer's node.
    pub fn new(sender: NodeId) -> Self {
        Router {
            sender,
            routes: HashMap::new(),
            addresses: BTreeMap::new(),
            services_of: BTreeSet::new(),
        }
    }

    /// Updates the routes of all services from `view`. The tables of unchanged
    /// generations are kept.
    pub fn refresh(&mut self, view: &ClusterView) {
        let routed = self.addresses.keys().copied();
        let present = view.services().map(|service| ServiceId(service.id));
        let all: BTreeSet<ServiceId> = routed.chain(present).collect();
        self.replace_routes(view, &all);
    }

    /// Updates the routes that depend on the changed records of a newer view.
    /// The cost depends on the number of changes, not on the size of the
    /// cluster.
    pub fn apply_changes(&mut self, view: &ClusterView, keys: &[RecordKey]) {
        let mut services = BTreeSet::new();
        for key in keys {
            match key {
                RecordKey::Service(id) | RecordKey::Placement(id) => {
                    services.insert(ServiceId(*id));
                }
                RecordKey::Member(node) => services.extend(self.services_of(NodeId(*node))),
                // Placements contain all that routing needs of a back end.
                RecordKey::Backend(_) | RecordKey::Policy(_) => {}
            }
        }
        self.replace_routes(view, &services);
    }

    /// Returns the address of the agent for a packet, and the datagram that
    /// forwards the packet to it.
    pub fn route(&self, packet: &[u8]) -> Result<(SocketAddrV4, DataDatagram), DropReason> {
        let view = PacketView::parse(packet).map_err(DropReason::Malformed)?;
        let route = self
            .routes
            .get(&view.key.destination)
            .ok_or(DropReason::UnknownService)?;
        let generation = &route.generation;
        let bucket = view.key.bucket(generation.bucket_count());
        let position = generation
            .owner_position(bucket)
            .ok_or(DropReason::NoOwner)?;
        let owner = generation.shares()[position];
        let address = route.agents[position].ok_or(DropReason::UnknownAgent)?;
        let datagram = DataDatagram {
            service: route.service.0,
            bucket: bucket.0,
            generation: generation.number(),
            backend: owner.backend,
            incarnation: owner.incarnation,
            hops: 0,
            kind: ForwardKind::Placed as i32,
            sender: self.sender.0,
            packet: packet.to_vec(),
        };
        Ok((address, datagram))
    }

    /// Rebuilds the routes of some services. All old routes are removed first,
    /// since a new service may have the address of a removed one.
    fn replace_routes(&mut self, view: &ClusterView, services: &BTreeSet<ServiceId>) {
        let mut previous = BTreeMap::new();
        for service in services {
            if let Some(route) = self.remove_route(*service) {
                previous.insert(*service, route.generation);
            }
        }
        for service in services {
            let previous_generation = previous.remove(service);
            let record = view.service(*service);
            let route =
                record.and_then(|record| ServiceRoute::new(view, record, previous_generation));
            if let (Some(record), Some(route)) = (record, route) {
                self.insert_route(record.address.into(), route);
            }
        }
    }

    fn insert_route(&mut self, address: SocketAddrV4, route: ServiceRoute) {
        let service = route.service;
        let nodes = route.generation.shares().iter().map(|it| NodeId(it.node));
        self.services_of.extend(nodes.map(|node| (node, service)));
        self.addresses.insert(service, address);
        self.routes.insert(address, Box::new(route));
    }

    fn remove_route(&mut self, service: ServiceId) -> Option<Box<ServiceRoute>> {
        let address = self.addresses.remove(&service)?;
        let route = self.routes.remove(&address)?;
        for share in route.generation.shares() {
            self.services_of.remove(&(NodeId(share.node), service));
        }
        Some(route)
    }

    fn services_of(&self, node: NodeId) -> impl Iterator<Item = ServiceId> {
        let all = (node, ServiceId(0))..=(node, ServiceId(u32::MAX));
        self.services_of.range(all).map(|(_, service)| *service)
    }
}

impl ServiceRoute {
    /// Builds the route of a service from its newest generation, or returns none
    /// for a service that was never placed. `previous_generation` is reused if
    /// it is still the newest one.
    fn new(
        view: &ClusterView,
        service: &ServiceRecord,
        previous_generation: Option<PlacedGeneration>,
    ) -> Option<Self> {
        let id = ServiceId(service.id);
        let newest = view.placement(id)?.generations.last()?;
        let generation = previous_generation
            .filter(|previous| previous.is_computed_from(service, newest))
            .unwrap_or_else(|| PlacedGeneration::compute(service, newest));
        let shares = generation.shares().iter();
        let agents = shares.map(|share| agent_address(view, share)).collect();
        Some(ServiceRoute {
            service: id,
            generation,
            agents,
        })
    }
}

/// Returns the data address of a share's agent if the incarnation in the share
/// is a member.
fn agent_address(view: &ClusterView, share: &ShareRecord) -> Option<SocketAddrV4> {
    let member = view.member(NodeId(share.node))?;
    let is_same_incarnation = member.incarnation == share.incarnation;
    is_same_incarnation.then(|| member.data.into())
}
