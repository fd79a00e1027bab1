//! One run: callers, fabric, back ends and faults around a system.

mod callers;
mod fabric;
mod faults;
mod serving;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::agent_node::BackendEvent;

use crate::simulator::engine::network::{Network, SiteIndex};
use crate::simulator::engine::random::stream;
use crate::simulator::engine::{EventQueue, VirtualTime};

use self::callers::Callers;
use self::fabric::Fabric;
use super::churn::{Cause, ChurnEvent, schedule};
use super::deployment::{BackendPlace, Deployment};
use super::measures::{Machine, Measures, Sample};
use super::server::{Job, Server};
use super::system::{Connection, Effect, Effects, System};
use super::workload::{FlowPlan, Workload};

/// Callers begin after the system had this time to start.
const START_UP: Duration = Duration::from_secs(12);

/// Faults begin this long after the callers.
const QUIET_TIME: Duration = Duration::from_secs(5);

/// For so long callers open flows, unless set otherwise; all faults come in
/// this time.
pub const OPENING_TIME: Duration = Duration::from_secs(110);

/// Open flows have so much time to end after the last one was opened.
const CLOSING_TIME: Duration = Duration::from_secs(25);

/// Time between two samples of the load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Time for bytes between the machine's process and the back end.
const LOCAL_DELAY: Duration = Duration::from_micros(50);

/// What every clock shows at the start of a run.
const CLOCK_ORIGIN: Timestamp = Timestamp::from_millis(1_000);

/// Settings of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunSettings {
    /// Where.
    pub deployment: Deployment,
    /// The seed of workload, faults and everything else.
    pub seed: u64,
    /// Share of the slots that is busy on average.
    pub load: f64,
    /// Whether anything happens besides the load.
    pub with_churn: bool,
    /// For how long callers open flows.
    pub opening_time: Duration,
}

#[derive(Debug)]
enum Event<E> {
    FlowOpens {
        service: usize,
    },
    FlowRetries {
        plan: Box<FlowPlan>,
    },
    CallerDue {
        flow: u64,
    },
    AtBalancer {
        balancer: usize,
        packet: Vec<u8>,
    },
    AtCaller {
        machine: Machine,
        packet: Vec<u8>,
    },
    AtServer {
        connection: Connection,
        bytes: Vec<u8>,
    },
    FromServer {
        connection: Connection,
        event: BackendEvent,
    },
    JobEnds {
        life: u32,
        job: Job,
    },
    Churn {
        number: usize,
    },
    Sample,
    Delist {
        balancer: usize,
    },
    System(E),
}

/// Runs one system.
pub struct Emulator<S: System> {
    settings: RunSettings,
    queue: EventQueue<Event<S::Event>>,
    system: S,
    places: Vec<BackendPlace>,
    servers: Vec<Server>,
    connections: BTreeSet<Connection>,
    network: Network,
    fabric: Fabric,
    callers: Callers,
    workloads: Vec<Workload>,
    plans: Vec<Option<FlowPlan>>,
    churn: Vec<ChurnEvent>,
    last_cause: Cause,
    policy_weight: Vec<u32>,
    draining: Vec<bool>,
    measures: Measures,
    opening_ends: VirtualTime,
}

/// Returns the address of a balancer's machine.
pub fn balancer_ip(balancer: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, u8::try_from(balancer + 1).unwrap_or(u8::MAX))
}

/// Returns the address of a back end's machine.
pub fn backend_ip(backend: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 2, u8::try_from(backend + 1).unwrap_or(u8::MAX))
}

/// Makes the network of a run, with a stream of random numbers of its own.
pub fn make_network(settings: &RunSettings, name: &str) -> Network {
    let deployment = settings.deployment;
    let zones = deployment.zones.len();
    let random = stream(settings.seed, name);
    let mut network = Network::new(deployment.delays, SiteIndex(zones), random);
    for balancer in 0..super::churn::ALL_BALANCERS {
        network.place(balancer_ip(balancer), SiteIndex(balancer % zones));
    }
    for (backend, place) in deployment.backends().iter().enumerate() {
        network.place(backend_ip(backend), SiteIndex(place.zone));
    }
    network
}

impl<S: System> Emulator<S> {
    /// Prepares a run.
    pub fn new(settings: RunSettings, system: S) -> Self {
        let deployment = settings.deployment;
        let places = deployment.backends();
        let start = VirtualTime::ZERO + START_UP;
        let services = deployment.services.iter().enumerate();
        let workloads: Vec<Workload> = services
            .map(|(service, profile)| {
                Workload::new(settings.seed, service, *profile, settings.load, start)
            })
            .collect();
        let churn = if settings.with_churn {
            schedule(&deployment, settings.seed, start + QUIET_TIME)
        } else {
            Vec::new()
        };
        Emulator {
            queue: EventQueue::default(),
            system,
            servers: places.iter().map(|it| Server::new(it.slots)).collect(),
            connections: BTreeSet::new(),
            network: make_network(&settings, "callers' network"),
            fabric: Fabric::new(settings.seed),
            callers: Callers::new(settings.seed),
            plans: vec![None; workloads.len()],
            workloads,
            churn,
            last_cause: Cause::NoChange,
            policy_weight: vec![1_000; deployment.zones.len()],
            draining: vec![false; places.len()],
            measures: Measures::new(&deployment),
            opening_ends: start + settings.opening_time,
            places,
            settings,
        }
    }

    /// Runs to the end and returns what was measured.
    pub fn run(mut self) -> Measures {
        let now = self.now();
        let effects = self.system.start(now);
        self.carry_out(effects);
        for service in 0..self.workloads.len() {
            self.plan_flow(service);
        }
        for number in 0..self.churn.len() {
            let at = self.churn[number].at;
            self.queue.schedule(at, Event::Churn { number });
        }
        self.after(SAMPLE_INTERVAL, Event::Sample);
        let end = self.opening_ends + CLOSING_TIME;
        while let Some(event) = self.queue.pop_until(end) {
            self.handle(event);
        }
        self.measures.still_open = self.callers.len() as u64;
        self.measures.system = self.system.totals();
        let duration = START_UP + self.settings.opening_time + CLOSING_TIME;
        self.measures.seconds = duration.as_secs_f64();
        self.measures
    }

    fn now(&self) -> Timestamp {
        CLOCK_ORIGIN + Duration::from_micros(self.queue.now().as_micros())
    }

    fn after(&mut self, delay: Duration, event: Event<S::Event>) {
        let at = self.queue.now() + delay;
        self.queue.schedule(at, event);
    }

    fn handle(&mut self, event: Event<S::Event>) {
        let now = self.now();
        match event {
            Event::FlowOpens { service } => self.open_flow(now, service),
            Event::FlowRetries { plan } => {
                let flow = self.callers.open(now, *plan);
                self.advance_caller(now, flow);
            }
            Event::CallerDue { flow } => {
                if self.callers.is_due(now, flow) {
                    self.advance_caller(now, flow);
                }
            }
            Event::AtBalancer { balancer, packet } => {
                if self.fabric.is_up(balancer) {
                    let effects = self.system.handle_packet(now, balancer, packet);
                    self.carry_out(effects);
                }
            }
            Event::AtCaller { machine, packet } => self.packet_to_caller(now, machine, &packet),
            Event::AtServer { connection, bytes } => self.serve(now, connection, &bytes),
            Event::FromServer { connection, event } => {
                let effects = self.system.handle_backend(now, connection, event);
                self.carry_out(effects);
            }
            Event::JobEnds { life, job } => self.end_job(now, life, job),
            Event::Churn { number } => self.churn(now, number),
            Event::Sample => self.sample(now),
            Event::Delist { balancer } => self.fabric.delist(balancer),
            Event::System(event) => {
                let effects = self.system.handle_event(now, event, &self.servers);
                self.carry_out(effects);
            }
        }
    }

    fn carry_out(&mut self, effects: Effects<S::Event>) {
        let now = self.now();
        for effect in effects {
            match effect {
                Effect::Schedule(delay, event) => self.after(delay, Event::System(event)),
                Effect::ToCaller { backend, packet } => {
                    let from = backend_ip(backend);
                    let arrivals = self.network.send(from, Ipv4Addr::UNSPECIFIED);
                    let life = self.servers[backend].life;
                    let machine = Machine { backend, life };
                    if let Some(delay) = arrivals.first {
                        self.after(delay, Event::AtCaller { machine, packet });
                    }
                }
                Effect::Connect(connection) => self.connect(now, connection),
                Effect::Write(connection, bytes) => {
                    self.notify(connection, BackendEvent::Writable);
                    self.after(LOCAL_DELAY, Event::AtServer { connection, bytes });
                }
                Effect::Finish(connection) => {
                    self.notify(connection, BackendEvent::Finished);
                }
                Effect::Abort(connection) => self.disconnect(connection),
            }
        }
    }

    fn sample(&mut self, now: Timestamp) {
        self.after(SAMPLE_INTERVAL, Event::Sample);
        self.fabric
            .refresh(|balancer| self.system.is_ready(balancer));
        let begun = VirtualTime::ZERO + START_UP + QUIET_TIME;
        let is_measured = self.queue.now() >= begun && self.queue.now() < self.opening_ends;
        if !is_measured {
            return;
        }
        let servers = self.servers.iter().zip(&self.places).enumerate();
        let samples: Vec<Option<Sample>> = servers
            .map(|(index, (server, place))| {
                let takes_part = server.accepts(now) && server.is_warm(now);
                let weight = self.policy_weight[place.zone];
                (takes_part && !self.draining[index]).then_some(Sample {
                    busy: server.busy(),
                    weight,
                })
            })
            .collect();
        self.measures.sample(&self.places, &samples);
    }

    fn plan_flow(&mut self, service: usize) {
        let plan = self.workloads[service].next_flow();
        if plan.opens_at < self.opening_ends {
            self.queue
                .schedule(plan.opens_at, Event::FlowOpens { service });
            self.plans[service] = Some(plan);
        }
    }

    fn open_flow(&mut self, now: Timestamp, service: usize) {
        if let Some(plan) = self.plans[service].take() {
            self.measures.opened += 1;
            let flow = self.callers.open(now, plan);
            self.advance_caller(now, flow);
        }
        self.plan_flow(service);
    }

    fn packet_to_caller(&mut self, now: Timestamp, machine: Machine, packet: &[u8]) {
        if let Some(flow) = self.callers.handle_packet(now, machine, packet) {
            self.advance_caller(now, flow);
        }
    }

    fn advance_caller(&mut self, now: Timestamp, flow: u64) {
        let Some(advance) = self.callers.advance(now, flow) else {
            return;
        };
        for packet in advance.packets {
            self.spray(packet);
        }
        if let Some(due) = advance.due {
            let delay = due.saturating_since(now);
            self.after(delay, Event::CallerDue { flow });
        }
        if let Some(ended) = advance.ended {
            let died = ended
                .machine
                .is_some_and(|machine| self.servers[machine.backend].life != machine.life);
            let cause = if died {
                Cause::OwnBackendDied
            } else {
                self.last_cause
            };
            self.measures.end_flow(&ended, cause);
            if let Some(retry) = ended.retry {
                let plan = Box::new(retry.plan);
                self.after(retry.after, Event::FlowRetries { plan });
            }
        }
    }

    /// Sends a packet of a caller to any balancer.
    fn spray(&mut self, packet: Vec<u8>) {
        let Some(balancer) = self.fabric.pick() else {
            return;
        };
        let arrivals = self
            .network
            .send(Ipv4Addr::UNSPECIFIED, balancer_ip(balancer));
        if let Some(delay) = arrivals.first {
            self.after(delay, Event::AtBalancer { balancer, packet });
        }
    }

    /// Returns the settings of this run.
    pub fn settings(&self) -> &RunSettings {
        &self.settings
    }
}
