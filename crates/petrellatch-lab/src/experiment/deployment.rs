//! The two deployments: places, services and sizes.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;
use std::time::Duration;

use snafu::Snafu;

use crate::simulator::engine::network::Delays;

/// Balancers at the start of a run.
pub const FIRST_BALANCERS: usize = 4;

/// Connections that a back end accepts.
pub const CONNECTION_LIMIT: u32 = 2_000;

/// Seconds over which a back end warms up after a start.
pub const WARM_UP_SECONDS: u32 = 10;

/// One service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceProfile {
    /// Its name.
    pub name: &'static str,
    /// Its back ends.
    pub backends: usize,
    /// Slots of each back end.
    pub slots: u32,
    /// Mean time that a request takes in a slot.
    pub mean_service_time: Duration,
    /// Standard deviation of the logarithm of that time; 1.0 gives a long
    /// tail: the 99.9th percentile is 13 times the mean.
    pub tail: f64,
    /// Share of flows that are sessions with several requests.
    pub session_share: f64,
    /// Requests of a session.
    pub session_requests: u32,
    /// Mean time between two requests of a session.
    pub think_time: Duration,
}

/// Where and how the system runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deployment {
    /// Its name on the command line.
    pub name: &'static str,
    /// Its zones.
    pub zones: &'static [&'static str],
    /// One-way delays.
    pub delays: Delays,
    /// Its services.
    pub services: &'static [ServiceProfile],
}

const ASSESSMENT_GATEWAY: Deployment = Deployment {
    name: "assessment-gateway",
    zones: &["baguio-hall", "tarlac-hall", "pasig-hall"],
    delays: Delays {
        local: Duration::from_micros(100),
        between_zones: Duration::from_micros(500),
        to_clients: Duration::from_micros(1_000),
        jitter: Duration::from_micros(200),
    },
    services: &[
        ServiceProfile {
            name: "valuation-desk",
            backends: 7,
            slots: 7,
            mean_service_time: Duration::from_millis(50),
            tail: 1.0,
            session_share: 0.1,
            session_requests: 8,
            think_time: Duration::from_secs(8),
        },
        ServiceProfile {
            name: "map-vault",
            backends: 3,
            slots: 7,
            mean_service_time: Duration::from_secs(2),
            tail: 1.0,
            session_share: 0.2,
            session_requests: 3,
            think_time: Duration::from_secs(10),
        },
    ],
};

const SILVER_PROTEA: Deployment = Deployment {
    name: "silver-protea",
    zones: &["midrand-a", "midrand-b", "isando", "samrand"],
    delays: Delays {
        local: Duration::from_micros(100),
        between_zones: Duration::from_micros(1_500),
        to_clients: Duration::from_micros(1_000),
        jitter: Duration::from_micros(300),
    },
    services: &[
        ServiceProfile {
            name: "matchdesk",
            backends: 7,
            slots: 3,
            mean_service_time: Duration::from_millis(50),
            tail: 1.0,
            session_share: 0.2,
            session_requests: 8,
            think_time: Duration::from_secs(8),
        },
        ServiceProfile {
            name: "gallery",
            backends: 4,
            slots: 3,
            mean_service_time: Duration::from_millis(100),
            tail: 1.0,
            session_share: 0.2,
            session_requests: 6,
            think_time: Duration::from_secs(5),
        },
    ],
};

/// There is no such deployment.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the deployments are assessment-gateway and silver-protea"))]
pub struct UnknownDeployment;

impl FromStr for Deployment {
    type Err = UnknownDeployment;

    fn from_str(name: &str) -> Result<Self, UnknownDeployment> {
        [ASSESSMENT_GATEWAY, SILVER_PROTEA]
            .into_iter()
            .find(|deployment| deployment.name == name)
            .ok_or(UnknownDeployment)
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name)
    }
}

/// One back end of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendPlace {
    /// Its service.
    pub service: usize,
    /// Its number within the service.
    pub number: usize,
    /// Its zone.
    pub zone: usize,
    /// Its slots.
    pub slots: u32,
}

impl Deployment {
    /// Returns all back ends; their index here names them in a run.
    pub fn backends(&self) -> Vec<BackendPlace> {
        let mut places = Vec::new();
        for (service, profile) in self.services.iter().enumerate() {
            for number in 0..profile.backends {
                places.push(BackendPlace {
                    service,
                    number,
                    zone: places.len() % self.zones.len(),
                    slots: profile.slots,
                });
            }
        }
        places
    }

    /// Returns the address that callers of a service connect to.
    pub fn address(service: usize) -> SocketAddrV4 {
        let last = u8::try_from(service + 1).unwrap_or(u8::MAX);
        SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, last), 80)
    }
}
