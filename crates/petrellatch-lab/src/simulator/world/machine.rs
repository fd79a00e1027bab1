//! One machine of a simulated fleet.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::agent_node::AgentNode;
use petrellatch_core::balancer_node::BalancerNode;
use petrellatch_core::control::ControlNode;
use petrellatch_core::dissemination::DaemonLink;
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_proto::record::NodeRole;

use super::control_disk::ControlImage;
use super::event::ProcessInput;
use super::fleet_plan::{CONTROL_PORT, DATA_PORT};
use super::server::Server;
use crate::simulator::engine::disk::{ReplacedFile, SimulatedDisk};
use crate::simulator::engine::{ProcessClock, VirtualTime};

/// The process on a machine.
pub enum Process {
    /// It does not run.
    Down,
    /// A control replica.
    Control(Box<ControlNode>),
    /// A balancer.
    Balancer(Box<BalancerNode>),
    /// An agent.
    Agent(Box<AgentNode>),
}

/// A machine with its process.
pub struct Machine {
    /// The configured name of its process.
    pub name: String,
    /// The job of its process.
    pub role: NodeRole,
    /// The number of its zone.
    pub zone: usize,
    /// Its address.
    pub address: Ipv4Addr,
    /// Its clock.
    pub clock: ProcessClock,
    /// Its process.
    pub process: Process,
    /// How often the process was started.
    pub life: u64,
    /// How many freezes are in effect.
    pub frozen: u32,
    /// What waits until the process goes on.
    pub held: Vec<ProcessInput>,
    /// When the process wants to be called.
    pub wake_at: Option<VirtualTime>,
    /// The disk of a control replica.
    pub control_disk: SimulatedDisk<ControlImage>,
    /// The incarnation of a control replica's data folder.
    pub folder: Incarnation,
    /// The disk of a balancer or agent.
    pub view_disk: SimulatedDisk<ReplacedFile>,
    /// The back end beside an agent.
    pub server: Option<Server>,
    /// Set during a planned stop: for how long the machine is down after it.
    pub stopping: Option<Duration>,
    /// Whether the machine is gone for good.
    pub retired: bool,
}

impl Machine {
    /// Returns where its process receives control messages.
    pub fn control_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address, CONTROL_PORT)
    }

    /// Returns where its process receives caller packets.
    pub fn data_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address, DATA_PORT)
    }

    /// Returns the node of its process.
    pub fn node(&self) -> NodeId {
        NodeId::from_name(&self.name)
    }

    /// Returns what its clock shows.
    pub fn local(&self, now: VirtualTime) -> Timestamp {
        self.clock.local(now)
    }

    /// Returns whether a process is there.
    pub fn is_up(&self) -> bool {
        !matches!(self.process, Process::Down)
    }

    /// Returns whether a process is there and works.
    pub fn is_working(&self) -> bool {
        self.is_up() && self.frozen == 0
    }

    /// Returns its control replica.
    pub fn control(&self) -> Option<&ControlNode> {
        match &self.process {
            Process::Control(node) => Some(node),
            _ => None,
        }
    }

    /// Returns its agent.
    pub fn agent(&self) -> Option<&AgentNode> {
        match &self.process {
            Process::Agent(node) => Some(node),
            _ => None,
        }
    }

    /// Returns the link of its balancer or agent.
    pub fn link(&self) -> Option<&DaemonLink> {
        match &self.process {
            Process::Balancer(node) => Some(node.link()),
            Process::Agent(node) => Some(node.link()),
            _ => None,
        }
    }

    /// Returns whether a balancer is ready for packets of the fabric.
    pub fn is_ready_balancer(&self) -> bool {
        match &self.process {
            Process::Balancer(node) => self.frozen == 0 && node.is_ready(),
            _ => false,
        }
    }

    /// Returns whether a planned stop is complete.
    pub fn is_stopped(&self) -> bool {
        match &self.process {
            Process::Down => false,
            Process::Control(node) => node.is_stopped(),
            Process::Balancer(node) => node.is_stopped(),
            Process::Agent(node) => node.is_stopped(),
        }
    }

    /// Returns when its process wants to be called.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        match &self.process {
            Process::Down => None,
            Process::Control(node) => node.poll_timeout(),
            Process::Balancer(node) => node.poll_timeout(),
            Process::Agent(node) => node.poll_timeout(),
        }
    }
}
