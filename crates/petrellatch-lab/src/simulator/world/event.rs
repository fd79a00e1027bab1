//! What happens in a simulated fleet.

use std::net::{Ipv4Addr, SocketAddrV4};

use petrellatch_core::agent_node::{BackendEvent, FlowId};
use petrellatch_core::control::{OperatorError, OperatorRequest, OperatorResponse};
use petrellatch_proto::data::DataDatagram;
use petrellatch_proto::envelope::Envelope;

use crate::simulator::engine::VirtualTime;
use crate::simulator::workload::backend::ConnectionId;

/// Numbers a machine.
pub type MachineIndex = usize;

/// The result of an operator's request.
pub type RequestResult = Result<OperatorResponse, OperatorError>;

/// Something that reaches a process.
#[derive(Clone, Debug)]
pub enum ProcessInput {
    /// A control message.
    Control {
        /// Its sender.
        from: SocketAddrV4,
        /// The message.
        envelope: Box<Envelope>,
    },
    /// A caller packet from another process.
    Datagram(Box<DataDatagram>),
    /// A caller packet from the fabric.
    Packet(Vec<u8>),
    /// An operator's request.
    Request {
        /// Numbers the request.
        token: u64,
        /// The request.
        request: Box<OperatorRequest>,
    },
    /// Something happened on a connection to a back end.
    Backend {
        /// The life of the process that has the connection.
        life: u64,
        /// The flow.
        flow: FlowId,
        /// What happened.
        event: BackendEvent,
    },
    /// The agent may read on from a connection.
    Readable {
        /// The life of the process that has the connection.
        life: u64,
        /// The flow.
        flow: FlowId,
    },
    /// The oldest write is synced.
    Synced {
        /// The life of the process that asked for it.
        life: u64,
    },
}

/// What an agent does to a connection.
#[derive(Clone, Debug)]
pub enum ServerInput {
    /// Opens it.
    Open,
    /// Writes bytes.
    Write(Vec<u8>),
    /// Shuts down its direction.
    Finish,
    /// Gives it up.
    Abort,
}

/// One event of a run.
#[derive(Clone, Debug)]
pub enum Event {
    /// Something reaches the process on a machine.
    Input {
        /// The machine.
        machine: MachineIndex,
        /// What.
        input: ProcessInput,
    },
    /// A process wanted to be called.
    Wake {
        /// The machine.
        machine: MachineIndex,
        /// The time that it asked for.
        at: VirtualTime,
    },
    /// An agent did something to a connection of a back end.
    Server {
        /// The machine.
        machine: MachineIndex,
        /// The connection.
        connection: ConnectionId,
        /// What.
        input: ServerInput,
    },
    /// A back end wanted to be called.
    ServerWake {
        /// The machine.
        machine: MachineIndex,
    },
    /// A packet reaches a caller.
    CallerPacket(Vec<u8>),
    /// A caller wanted to be called.
    CallerWake {
        /// The caller's address.
        caller: SocketAddrV4,
        /// The time that it asked for.
        at: VirtualTime,
    },
    /// A new request arises at callers of a service.
    Arrival {
        /// The number of the service.
        service: usize,
    },
    /// A refused request is tried again.
    Retry {
        /// The request.
        request: u64,
    },
    /// An answer reaches an operator.
    Response {
        /// The request.
        token: u64,
        /// The answer.
        result: Box<RequestResult>,
    },
    /// An operator sends a request again if it has no answer.
    OperatorRetry {
        /// The operation.
        operation: usize,
        /// How often it had been sent when this was scheduled.
        sent: u32,
    },
    /// An operator looks at the state of the cluster.
    Monitor,
    /// The fabric looks which balancers are ready.
    Probe,
    /// The platform hands out its list of machines.
    PlatformList,
    /// Invariants that are too costly for every event are checked.
    Sample,
    /// A step of the schedule.
    Step(usize),
    /// A machine starts again.
    Start {
        /// The machine.
        machine: MachineIndex,
        /// How often it had been started when this was scheduled.
        life: u64,
    },
    /// A frozen process goes on.
    Thaw {
        /// The machine.
        machine: MachineIndex,
    },
    /// Cuts end.
    Mend(Vec<(Ipv4Addr, Ipv4Addr)>),
    /// The network is undisturbed again.
    Calm,
    /// The server process beside an agent starts again.
    StartServer {
        /// The machine.
        machine: MachineIndex,
    },
}
