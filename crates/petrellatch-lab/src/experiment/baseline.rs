//! Baselines: other ways to balance, with machines that terminate flows but
//! decide nothing.
//!
//! What a baseline needs beyond its own idea is given to it for free: its
//! configuration reaches every balancer without loss, and the machines beside
//! its back ends end TCP like the product's agents do.

mod balancer;
mod host;
mod system;
mod tables;

use std::collections::HashMap;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::flow::PacketView;
use petrellatch_core::placement::FlowKey;
use rand::RngExt;

use crate::simulator::engine::network::Network;
use crate::simulator::engine::random::{Random, stream};

use super::churn::ALL_BALANCERS;
use super::deployment::{Deployment, FIRST_BALANCERS};
use super::emulator::{RunSettings, backend_ip, balancer_ip, make_network};
use super::server::Server;
use super::system::{Effect, Effects, SystemTotals};
use super::variant::BaselineKind;

use self::balancer::{TableBalancer, Target};
use self::host::Host;
use self::tables::Configuration;

/// Health checks notice a dead back end after this time.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// Health checks notice a back end that is up again after this time.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// The least time in which a change of the configuration reaches a balancer.
const LEAST_SPREAD: Duration = Duration::from_millis(50);

/// Mean of what is added to it.
const MEAN_SPREAD: Duration = Duration::from_millis(300);

/// Time between two load reports of a back end.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// A balancer is ready after this time.
const START_TIME: Duration = Duration::from_secs(1);

/// Bytes of a load report with its IP and UDP headers.
const REPORT_BYTES: u64 = 52;

/// Bytes of one back end in an update of the configuration.
const ENTRY_BYTES: u64 = 24;

/// Bytes of one flow that is announced to another balancer.
const FLOW_ENTRY_BYTES: u64 = 24;

/// What a baseline schedules for itself.
#[derive(Debug)]
pub enum BaselineEvent {
    /// A packet arrives at the machine of a back end.
    AtHost {
        /// The back end.
        backend: usize,
        /// The machine to ask if the flow is not here.
        previous: Option<usize>,
        /// The packet.
        packet: Vec<u8>,
    },
    /// A flow's timer is due.
    FlowDue {
        /// The back end.
        backend: usize,
        /// The flow.
        flow: u64,
    },
    /// A configuration reaches a balancer.
    Configured {
        /// The balancer.
        balancer: usize,
        /// Its number among the configurations.
        version: usize,
    },
    /// Health checks changed their mind about a back end.
    Health {
        /// The back end.
        backend: usize,
        /// Whether it is well.
        is_well: bool,
    },
    /// Back ends report their loads.
    Report,
    /// A report reaches a balancer.
    Reported {
        /// The balancer.
        balancer: usize,
        /// The back end.
        backend: usize,
        /// Its load.
        load: u32,
    },
    /// A balancer that joined is ready.
    Ready {
        /// The balancer.
        balancer: usize,
    },
}

type BaselineEffects = Effects<BaselineEvent>;

/// One baseline.
pub struct Baseline {
    kind: BaselineKind,
    deployment: Deployment,
    balancers: Vec<TableBalancer>,
    hosts: Vec<Host>,
    /// All configurations since the start.
    configurations: Vec<Configuration>,
    /// Until when nothing new reaches a balancer.
    lags_until: Vec<Timestamp>,
    /// The flow table that all balancers share, where the baseline has one.
    shared_flows: HashMap<FlowKey, usize>,
    network: Network,
    random: Random,
    totals: SystemTotals,
}

impl Baseline {
    /// Prepares a baseline.
    pub fn new(settings: RunSettings, kind: BaselineKind) -> Self {
        let deployment = settings.deployment;
        let places = deployment.backends();
        let mut random = stream(settings.seed, "baseline");
        let first = Configuration::new(&deployment);
        let balancers = (0..ALL_BALANCERS)
            .map(|_| TableBalancer::new(&deployment, &first, kind))
            .collect();
        let hosts = (0..places.len())
            .map(|backend| Host::new(backend, random.random()))
            .collect();
        Baseline {
            kind,
            deployment,
            balancers,
            hosts,
            configurations: vec![first],
            lags_until: vec![Timestamp::ZERO; ALL_BALANCERS],
            shared_flows: HashMap::new(),
            network: make_network(&settings, "baseline's network"),
            random,
            totals: SystemTotals::default(),
        }
    }

    /// Changes the configuration and sends it to all balancers.
    fn reconfigure(
        &mut self,
        now: Timestamp,
        effects: &mut BaselineEffects,
        change: impl FnOnce(&mut Configuration),
    ) {
        let mut next = self.configurations[self.configurations.len() - 1].clone();
        change(&mut next);
        self.configurations.push(next);
        let version = self.configurations.len() - 1;
        let entries = self.hosts.len() as u64;
        for balancer in 0..ALL_BALANCERS {
            let delay = self.spread_time() + self.lags_until[balancer].saturating_since(now);
            self.totals.balancer_control_bytes += entries * ENTRY_BYTES;
            let event = BaselineEvent::Configured { balancer, version };
            effects.push(Effect::Schedule(delay, event));
        }
    }

    fn spread_time(&mut self) -> Duration {
        let factor = -(1.0 - self.random.random::<f64>()).ln();
        LEAST_SPREAD + MEAN_SPREAD.mul_f64(factor)
    }

    fn report(&mut self, now: Timestamp, servers: &[Server], effects: &mut BaselineEffects) {
        effects.push(Effect::Schedule(REPORT_INTERVAL, BaselineEvent::Report));
        for (backend, server) in servers.iter().enumerate() {
            if !server.is_up {
                continue;
            }
            let load = server.reported_load(now);
            for balancer in 0..ALL_BALANCERS {
                let lag = self.lags_until[balancer].saturating_since(now);
                let arrivals = self
                    .network
                    .send(backend_ip(backend), balancer_ip(balancer));
                let Some(delay) = arrivals.first.filter(|_| lag.is_zero()) else {
                    continue;
                };
                self.totals.balancer_control_bytes += REPORT_BYTES;
                self.totals.backend_control_bytes += REPORT_BYTES;
                let event = BaselineEvent::Reported {
                    balancer,
                    backend,
                    load,
                };
                effects.push(Effect::Schedule(delay, event));
            }
        }
    }

    /// Finds the back end of a packet.
    fn route(&mut self, balancer: usize, view: &PacketView) -> Option<Target> {
        let service = (0..self.deployment.services.len())
            .find(|service| Deployment::address(*service) == view.key.destination)?;
        if self.kind != BaselineKind::PowerOfTwo {
            return self.balancers[balancer].route(service, view);
        }
        let known = self.shared_flows.get(&view.key).copied();
        let backend = match known {
            Some(backend) => backend,
            None => {
                let picked = self.balancers[balancer].pick_of_two(service, &mut self.random)?;
                let others = (FIRST_BALANCERS - 1) as u64;
                // Each announcement is sent once and received once.
                self.totals.balancer_control_bytes += others * 2 * FLOW_ENTRY_BYTES;
                self.shared_flows.insert(view.key, picked);
                picked
            }
        };
        Some(Target {
            backend,
            previous: None,
        })
    }

    fn at_host(
        &mut self,
        now: Timestamp,
        backend: usize,
        previous: Option<usize>,
        packet: Vec<u8>,
        effects: &mut BaselineEffects,
    ) {
        let passed_on = self.hosts[backend].handle_packet(now, packet, previous, effects);
        let (Some(packet), Some(previous)) = (passed_on, previous) else {
            return;
        };
        self.totals.extra_hops += 1;
        let arrivals = self.network.send(backend_ip(backend), backend_ip(previous));
        if let Some(delay) = arrivals.first {
            let event = BaselineEvent::AtHost {
                backend: previous,
                previous: None,
                packet,
            };
            effects.push(Effect::Schedule(delay, event));
        }
    }

    fn health_after(effects: &mut BaselineEffects, delay: Duration, backend: usize, is_well: bool) {
        let event = BaselineEvent::Health { backend, is_well };
        effects.push(Effect::Schedule(delay, event));
    }
}
