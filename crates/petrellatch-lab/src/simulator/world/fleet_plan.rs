//! What a simulated fleet consists of.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_proto::record::RefusalMode;

use crate::simulator::engine::network::Delays;
use crate::simulator::workload::backend::ServiceTimes;

/// The port on which processes receive control messages.
pub const CONTROL_PORT: u16 = 7_001;

/// The port on which processes receive caller packets.
pub const DATA_PORT: u16 = 7_002;

/// The port on which back ends listen.
pub const SERVER_PORT: u16 = 9_000;

/// One service with its back ends, each beside an agent of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// Its name.
    pub name: &'static str,
    /// How many back ends it has from the start.
    pub backends: usize,
    /// Requests that one back end works on at once.
    pub slots: u32,
    /// Connections of one back end.
    pub connections: u32,
    /// What a refused caller gets.
    pub refusal: RefusalMode,
    /// What callers ask for.
    pub load: LoadPlan,
}

/// What callers ask of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadPlan {
    /// Requests a second.
    pub requests_per_second: f64,
    /// How many of a hundred requests may not be repeated.
    pub unrepeatable_percent: u32,
    /// How many of a hundred requests have a long answer in many pieces.
    pub long_percent: u32,
    /// The longest time that a long answer takes.
    pub longest: Duration,
}

/// A fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetPlan {
    /// How many zones there are; machines are spread over them in turn.
    pub zones: usize,
    /// One-way delays.
    pub delays: Delays,
    /// Control replicas.
    pub controls: usize,
    /// Balancers that run from the start.
    pub balancers: usize,
    /// Balancers that may join later.
    pub spare_balancers: usize,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// How long requests take.
    pub times: ServiceTimes,
    /// Greatest drift of a clock at the start, in parts per million.
    pub drift_ppm: i32,
    /// How long a write to a disk takes.
    pub sync_time: Duration,
    /// How many answers to operators get lost, in parts per million.
    pub answer_loss_ppm: u32,
    /// How far the platform's list lags.
    pub platform_lag: Duration,
    /// How many entries of the platform's list are wrong, in parts per
    /// million.
    pub platform_lies_ppm: u32,
    /// When callers begin.
    pub callers_from: Duration,
    /// When callers stop to open new flows.
    pub callers_until: Duration,
    /// Whether control replicas keep so few entries that they need snapshots.
    pub compacts_often: bool,
}

impl FleetPlan {
    /// A small fleet of two services, for many fast runs.
    pub fn small() -> Self {
        FleetPlan {
            zones: 3,
            delays: Delays {
                local: Duration::from_micros(100),
                between_zones: Duration::from_micros(500),
                to_clients: Duration::from_millis(1),
                jitter: Duration::from_micros(100),
            },
            controls: 3,
            balancers: 3,
            spare_balancers: 1,
            services: vec![
                service("valuation-desk", 4, 7, 6.0),
                service("map-vault", 3, 7, 2.0),
            ],
            times: ServiceTimes {
                typical: Duration::from_millis(20),
                tail_factor: 10,
                tail_per_mille: 20,
                cold: Duration::from_secs(5),
                cold_factor: 3,
            },
            drift_ppm: 200,
            sync_time: Duration::from_millis(2),
            answer_loss_ppm: 0,
            platform_lag: Duration::from_secs(5),
            platform_lies_ppm: 0,
            callers_from: Duration::from_secs(4),
            callers_until: Duration::from_secs(40),
            compacts_often: false,
        }
    }

    /// The first fleet of the brief.
    pub fn assessment_gateway() -> Self {
        FleetPlan {
            balancers: 4,
            services: vec![
                service("valuation-desk", 7, 7, 6.0),
                service("map-vault", 3, 7, 2.0),
            ],
            ..FleetPlan::small()
        }
    }

    /// The second fleet of the brief.
    pub fn silver_protea() -> Self {
        let small = FleetPlan::small();
        FleetPlan {
            zones: 4,
            delays: Delays {
                between_zones: Duration::from_micros(1_500),
                ..small.delays
            },
            balancers: 4,
            services: vec![
                service("matchdesk", 7, 3, 6.0),
                service("gallery", 4, 3, 2.0),
            ],
            ..small
        }
    }

    /// Returns how many agents run from the start.
    pub fn agents(&self) -> usize {
        self.services.iter().map(|service| service.backends).sum()
    }

    /// Returns the address that callers of a service use.
    pub fn service_address(index: usize) -> SocketAddrV4 {
        let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
        SocketAddrV4::new(Ipv4Addr::new(10, 100, 0, last), 80)
    }
}

fn service(
    name: &'static str,
    backends: usize,
    slots: u32,
    requests_per_second: f64,
) -> ServicePlan {
    ServicePlan {
        name,
        backends,
        slots,
        connections: 2_000,
        refusal: RefusalMode::HttpUnavailable,
        load: LoadPlan {
            requests_per_second,
            unrepeatable_percent: 30,
            long_percent: 10,
            longest: Duration::from_secs(15),
        },
    }
}
