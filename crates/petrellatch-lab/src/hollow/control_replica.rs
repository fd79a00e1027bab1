//! A thread that drives one control replica.

use std::error::Error;
use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use mio::{Events, Interest, Poll, Token, Waker};
use petrellatch_core::Timestamp;
use petrellatch_core::consensus::{Membership, ReplicaId, ReplicaStart};
use petrellatch_core::control::{
    ControlNode, ControlOutput, ControlPeer, ControlSettings, OperatorError, OperatorRequest,
    OperatorResponse,
};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_core::node::NodeIdentity;
use petrellatch_proto::envelope::Envelope;
use petrellatch_proto::record::NodeRole;
use petrellatch_proto::seal::ClusterKey;
use petrellatch_storage::{FolderIdentity, LogStore};

use crate::support::process::ProcessClock;

use super::options::HollowOptions;
use super::process_figures::thread_processor_time;
use super::traffic::Traffic;
use super::udp::{LoopbackSocket, MAX_DATAGRAM_BYTES};

/// Receive buffer of a replica, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

const EVENT_CAPACITY: usize = 16;
const SOCKET: Token = Token(0);
const WAKER: Token = Token(1);
const CLUSTER: u64 = 1;

/// The answer to a request.
pub type OperatorAnswer = Result<OperatorResponse, OperatorError>;

/// A request with the way back.
pub struct OperatorCall {
    /// The request.
    pub request: OperatorRequest,
    /// Where the answer goes.
    pub answer: Sender<OperatorAnswer>,
}

/// Figures of a replica since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaSample {
    /// When they were read.
    pub at: Timestamp,
    /// Processor time of the thread.
    pub processor_time: Duration,
    /// Messages sent.
    pub sent: Traffic,
    /// Messages received.
    pub received: Traffic,
    /// Whether it leads.
    pub is_leader: bool,
    /// The newest version.
    pub version: u64,
    /// Balancers and agents.
    pub members: usize,
    /// The longest time that the thread was busy without a look at its
    /// socket, since the last reset.
    pub longest_step: Duration,
    /// Of it, writing and syncing.
    pub longest_write: Duration,
}

/// Another replica as the threads know it.
#[derive(Clone, Debug)]
pub struct ReplicaPlan {
    identity: NodeIdentity,
    folder: PathBuf,
}

/// The handle of a replica's thread.
pub struct ControlReplica {
    calls: Sender<OperatorCall>,
    waker: Arc<Waker>,
    sample: Arc<Mutex<ReplicaSample>>,
    stop: Arc<std::sync::atomic::AtomicBool>,
    thread: JoinHandle<()>,
    address: SocketAddrV4,
}

/// Starts a group of replicas in empty folders below `folder`.
pub fn spawn_group(
    clock: ProcessClock,
    options: &HollowOptions,
    folder: &std::path::Path,
    key: &ClusterKey,
) -> Result<Vec<ControlReplica>, Box<dyn Error>> {
    let mut sockets = Vec::new();
    let mut plans = Vec::new();
    for index in 0..options.controls {
        let socket = LoopbackSocket::open(RECEIVE_BUFFER_BYTES)?;
        let name = format!("control-{index}");
        let identity = NodeIdentity {
            node: NodeId::from_name(&name),
            incarnation: Incarnation(index as u64 + 1),
            zone: format!("zone-{index}"),
            role: NodeRole::Control,
            control: socket.address(),
            data: socket.address(),
            name: name.clone(),
        };
        let folder = folder.join(name);
        plans.push(ReplicaPlan { identity, folder });
        sockets.push(socket);
    }
    let mut replicas = Vec::new();
    for (index, socket) in sockets.into_iter().enumerate() {
        replicas.push(spawn(clock, index, &plans, socket, key.clone(), options)?);
    }
    Ok(replicas)
}

fn spawn(
    clock: ProcessClock,
    index: usize,
    plans: &[ReplicaPlan],
    socket: LoopbackSocket,
    key: ClusterKey,
    options: &HollowOptions,
) -> Result<ControlReplica, Box<dyn Error>> {
    let plan = plans[index].clone();
    let address = socket.address();
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
    let sample = Arc::new(Mutex::new(ReplicaSample::default()));
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let (calls, inbox) = channel();
    let voters = plans.iter().map(|plan| ReplicaId {
        node: plan.identity.node,
        incarnation: plan.identity.incarnation,
    });
    let identity = FolderIdentity {
        cluster: CLUSTER,
        incarnation: plan.identity.incarnation,
    };
    let opened = LogStore::open(&plan.folder, identity)?;
    let start = ReplicaStart {
        id: plan.identity.node,
        incarnation: plan.identity.incarnation,
        seed: options.seed + index as u64,
        persisted: opened.state,
        bootstrap: Some(Membership::of_voters(voters)),
    };
    let peers = plans.iter().map(|plan| ControlPeer {
        node: plan.identity.node,
        control: plan.identity.control,
    });
    let mut settings = ControlSettings {
        peers: peers.collect(),
        ..ControlSettings::default()
    };
    settings.membership.fan_out = options.fan_out;
    settings.relay.push_bytes_per_second = options.control_push;
    let mut driver = Driver {
        node: ControlNode::new(clock.now(), settings, plan.identity, start),
        store: opened.store,
        clock,
        socket,
        poll,
        key,
        inbox,
        answers: Vec::new(),
        next_token: 0,
        sample: Arc::clone(&sample),
        stop: Arc::clone(&stop),
        figures: ReplicaSample::default(),
        next_sample: Timestamp::ZERO,
        receive_buffer: vec![0; MAX_DATAGRAM_BYTES],
        send_buffer: Vec::new(),
    };
    let builder = std::thread::Builder::new().name("control".to_owned());
    let thread = builder.spawn(move || {
        if let Err(error) = driver.run() {
            eprintln!("a control replica stopped: {error}");
        }
    })?;
    Ok(ControlReplica {
        calls,
        waker,
        sample,
        stop,
        thread,
        address,
    })
}

impl ControlReplica {
    /// Where it receives control messages.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// The newest figures.
    pub fn sample(&self) -> ReplicaSample {
        *self.sample.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands over a request. Without an answer the sender is dropped.
    pub fn call(&self, request: OperatorRequest) -> Receiver<OperatorAnswer> {
        let (answer, receiver) = channel();
        let _ = self.calls.send(OperatorCall { request, answer });
        let _ = self.waker.wake();
        receiver
    }

    /// Ends the thread.
    pub fn stop(self) {
        self.stop.store(true, std::sync::atomic::Ordering::Release);
        let _ = self.waker.wake();
        let _ = self.thread.join();
    }
}

/// A request whose answer is awaited.
struct AwaitedAnswer {
    token: u64,
    answer: Sender<OperatorAnswer>,
}

struct Driver {
    node: ControlNode,
    store: LogStore,
    clock: ProcessClock,
    socket: LoopbackSocket,
    poll: Poll,
    key: ClusterKey,
    inbox: Receiver<OperatorCall>,
    answers: Vec<AwaitedAnswer>,
    next_token: u64,
    sample: Arc<Mutex<ReplicaSample>>,
    stop: Arc<std::sync::atomic::AtomicBool>,
    figures: ReplicaSample,
    next_sample: Timestamp,
    receive_buffer: Vec<u8>,
    send_buffer: Vec<u8>,
}

impl Driver {
    fn run(&mut self) -> Result<(), Box<dyn Error>> {
        let registry = self.poll.registry();
        registry.register(&mut self.socket.socket, SOCKET, Interest::READABLE)?;
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        let mut has_more = false;
        self.flush()?;
        while !self.stop.load(std::sync::atomic::Ordering::Acquire) {
            let sleep = if has_more {
                Duration::ZERO
            } else {
                self.sleep()
            };
            match self.poll.poll(&mut events, Some(sleep)) {
                Err(error) if error.kind() != io::ErrorKind::Interrupted => {
                    return Err(error.into());
                }
                _ => {}
            }
            let woken_at = self.clock.now();
            has_more = self.receive();
            self.take_calls();
            self.handle_timer();
            self.flush()?;
            let step = self.clock.now().saturating_since(woken_at);
            self.figures.longest_step = self.figures.longest_step.max(step);
            self.publish();
        }
        Ok(())
    }

    fn sleep(&self) -> Duration {
        let due = self.node.poll_timeout();
        let sleep = due.map(|at| at.saturating_since(self.clock.now()));
        sleep.unwrap_or(SAMPLE_INTERVAL).min(SAMPLE_INTERVAL)
    }

    fn receive(&mut self) -> bool {
        let now = self.clock.now();
        let (node, key, received) = (&mut self.node, &self.key, &mut self.figures.received);
        let buffer = &mut self.receive_buffer;
        self.socket.receive_batch(buffer, |from, datagram| {
            if let Ok(envelope) = key.open::<Envelope>(datagram) {
                received.count(envelope.body.as_ref(), datagram.len());
                node.handle_control(now, from, envelope);
            }
        })
    }

    fn take_calls(&mut self) {
        while let Ok(call) = self.inbox.try_recv() {
            self.next_token += 1;
            let token = self.next_token;
            let answer = call.answer;
            self.answers.push(AwaitedAnswer { token, answer });
            self.node
                .handle_request(self.clock.now(), token, call.request);
        }
    }

    fn handle_timer(&mut self) {
        let now = self.clock.now();
        if self.node.poll_timeout().is_some_and(|at| at <= now) {
            self.node.handle_timeout(now);
        }
    }

    fn flush(&mut self) -> Result<(), Box<dyn Error>> {
        while let Some(output) = self.node.poll_output() {
            match output {
                ControlOutput::Send { to, envelope } => self.send(to, &envelope),
                ControlOutput::Persist(request) => {
                    let begun = self.clock.now();
                    let ticket = self.store.write(&request)?;
                    let now = self.clock.now();
                    let taken = now.saturating_since(begun);
                    self.figures.longest_write = self.figures.longest_write.max(taken);
                    self.node.handle_persisted(now, ticket);
                }
                ControlOutput::Respond { token, result } => self.answer(token, result),
                ControlOutput::Event(_) => {}
                ControlOutput::Failed { message } => return Err(message.into()),
            }
        }
        Ok(())
    }

    fn send(&mut self, to: SocketAddrV4, envelope: &Envelope) {
        self.key.seal(envelope, &mut self.send_buffer);
        let bytes = self.send_buffer.len();
        self.figures.sent.count(envelope.body.as_ref(), bytes);
        self.socket.send(to, &self.send_buffer);
    }

    fn answer(&mut self, token: u64, result: OperatorAnswer) {
        let position = self.answers.iter().position(|it| it.token == token);
        if let Some(position) = position {
            let awaited = self.answers.swap_remove(position);
            let _ = awaited.answer.send(result);
        }
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        if now < self.next_sample {
            return;
        }
        self.next_sample = now + SAMPLE_INTERVAL;
        let view = self.node.state().view();
        self.figures.at = now;
        self.figures.processor_time = thread_processor_time();
        self.figures.is_leader = self.node.replica().is_leader_with_quorum(now);
        self.figures.version = view.version();
        self.figures.members = view.members().count();
        *self.sample.lock().unwrap_or_else(PoisonError::into_inner) = self.figures;
    }
}
