//! The balancer's lookup from packet to agent.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

use petrellatch_proto::data::{DataDatagram, ForwardKind};
use petrellatch_proto::record::ServiceRecord;

use crate::cluster::ClusterView;
use crate::flow::PacketView;
use crate::identity::{BackendId, NodeId, ServiceId};

use super::{DropReason, PlacedGeneration};

/// Routes caller packets by the newest placement generation of each service.
pub struct Router {
    sender: NodeId,
    routes: HashMap<SocketAddrV4, ServiceRoute>,
}

/// What is needed to route the packets of one service.
struct ServiceRoute {
    service: ServiceId,
    generation: PlacedGeneration,
    /// Where the agent of each back end receives packets; only agents whose
    /// life is a member are in it.
    agents: BTreeMap<BackendId, SocketAddrV4>,
}

impl Router {
    /// Makes a router without routes; `sender` is the balancer's node.
    pub fn new(sender: NodeId) -> Self {
        Router {
            sender,
            routes: HashMap::new(),
        }
    }

    /// Takes over a newer view. The tables of unchanged generations are kept.
    pub fn refresh(&mut self, view: &ClusterView) {
        let mut former = std::mem::take(&mut self.routes);
        for service in view.services() {
            let address = SocketAddrV4::from(service.address);
            let kept = former.remove(&address).map(|route| route.generation);
            if let Some(route) = ServiceRoute::new(view, service, kept) {
                self.routes.insert(address, route);
            }
        }
    }

    /// Finds the agent for a packet and wraps the packet for it.
    pub fn route(&self, packet: &[u8]) -> Result<(SocketAddrV4, DataDatagram), DropReason> {
        let view = PacketView::parse(packet).map_err(DropReason::Malformed)?;
        let route = self
            .routes
            .get(&view.key.destination)
            .ok_or(DropReason::UnknownService)?;
        let bucket = view.key.bucket(route.generation.bucket_count());
        let owner = route.generation.owner(bucket).ok_or(DropReason::NoOwner)?;
        let address = route
            .agents
            .get(&owner.backend)
            .ok_or(DropReason::UnknownAgent)?;
        let datagram = DataDatagram {
            service: route.service.0,
            bucket: bucket.0,
            generation: owner.generation,
            backend: owner.backend.0,
            incarnation: owner.agent.incarnation.0,
            hops: 0,
            kind: ForwardKind::Placed as i32,
            sender: self.sender.0,
            packet: packet.to_vec(),
        };
        Ok((*address, datagram))
    }
}

impl ServiceRoute {
    /// Returns none for a service that was never placed.
    fn new(
        view: &ClusterView,
        service: &ServiceRecord,
        kept: Option<PlacedGeneration>,
    ) -> Option<Self> {
        let id = ServiceId(service.id);
        let newest = view.placement(id)?.generations.last()?;
        let generation = kept
            .filter(|kept| kept.is_computed_from(service, newest))
            .unwrap_or_else(|| PlacedGeneration::compute(service, newest));
        let agents = newest
            .shares
            .iter()
            .filter_map(|share| {
                let member = view.member(NodeId(share.node))?;
                let address = SocketAddrV4::from(member.data);
                let same_life = member.incarnation == share.incarnation;
                same_life.then_some((BackendId(share.backend), address))
            })
            .collect();
        Some(ServiceRoute {
            service: id,
            generation,
            agents,
        })
    }
}
