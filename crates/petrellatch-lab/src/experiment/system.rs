//! What a system under test is to the emulator.

use std::collections::BTreeMap;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::agent_node::BackendEvent;

use super::churn::ChurnAction;
use super::server::Server;

/// A connection from the machine of a back end to the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Connection {
    /// The back end.
    pub backend: usize,
    /// The life of the process that opened it.
    pub life: u32,
    /// The flow, named by that process.
    pub flow: u64,
}

/// Something for the emulator to do.
#[derive(Debug)]
pub enum Effect<E> {
    /// Give the event back after this time.
    Schedule(Duration, E),
    /// Deliver an IPv4 packet to a caller.
    ToCaller {
        /// The back end whose machine sends it.
        backend: usize,
        /// The packet.
        packet: Vec<u8>,
    },
    /// Open a connection to a back end.
    Connect(Connection),
    /// Write bytes to a back end.
    Write(Connection, Vec<u8>),
    /// Close a connection after what was written.
    Finish(Connection),
    /// Close a connection at once.
    Abort(Connection),
}

/// Effects in the order in which they were asked for.
pub type Effects<E> = Vec<Effect<E>>;

/// What a system counted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SystemTotals {
    /// Packets that arrived at balancers.
    pub packets: u64,
    /// Packets that were passed on more often than once.
    pub extra_hops: u64,
    /// New flows that were passed to another back end.
    pub hunted: u64,
    /// Bytes of control messages that balancers sent or received.
    pub balancer_control_bytes: u64,
    /// Bytes of control messages that machines of back ends sent or received.
    pub backend_control_bytes: u64,
    /// Packets that were dropped, by reason.
    pub drops: BTreeMap<String, u64>,
    /// New flows that were refused, by reason.
    pub refused: BTreeMap<String, u64>,
}

/// A system of balancers and machines beside back ends.
pub trait System {
    /// What it schedules for itself.
    type Event: std::fmt::Debug;

    /// Starts at the beginning of a run.
    fn start(&mut self, now: Timestamp) -> Effects<Self::Event>;

    /// Returns whether the fabric may send packets to a balancer.
    fn is_ready(&self, balancer: usize) -> bool;

    /// A caller packet arrives at a balancer.
    fn handle_packet(
        &mut self,
        now: Timestamp,
        balancer: usize,
        packet: Vec<u8>,
    ) -> Effects<Self::Event>;

    /// Something that it scheduled happens. Load endpoints may be read.
    fn handle_event(
        &mut self,
        now: Timestamp,
        event: Self::Event,
        servers: &[Server],
    ) -> Effects<Self::Event>;

    /// Something happens on a connection.
    fn handle_backend(
        &mut self,
        now: Timestamp,
        connection: Connection,
        event: BackendEvent,
    ) -> Effects<Self::Event>;

    /// Something happens to the system.
    fn handle_churn(&mut self, now: Timestamp, action: &ChurnAction) -> Effects<Self::Event>;

    /// Returns what it counted.
    fn totals(&self) -> SystemTotals;
}
