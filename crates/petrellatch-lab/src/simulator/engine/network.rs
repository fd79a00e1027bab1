//! The network: which datagrams arrive, how often and when.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use super::random::Random;

/// One datagram on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The address that sent it.
    pub from: SocketAddrV4,
    /// The address that it is for.
    pub to: SocketAddrV4,
    /// Its content.
    pub bytes: Arc<[u8]>,
}

/// A place with short ways inside: a zone, or wherever callers are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteIndex(pub usize);

/// One-way delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delays {
    /// Inside a site.
    pub local: Duration,
    /// Between two zones.
    pub between_zones: Duration,
    /// Between a zone and the callers' site.
    pub to_clients: Duration,
    /// Upper bound of a random addition to each.
    pub jitter: Duration,
}

/// What may happen to a datagram besides its delay; rates in parts per
/// million.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Disturbance {
    /// How many are lost.
    pub loss_ppm: u32,
    /// How many arrive twice.
    pub duplicate_ppm: u32,
    /// How many are held back, so that later ones overtake them.
    pub late_ppm: u32,
    /// Upper bound of how long they are held back.
    pub late_by: Duration,
}

/// The network between all machines.
#[derive(Debug)]
pub struct Network {
    delays: Delays,
    disturbance: Disturbance,
    client_site: SiteIndex,
    sites: BTreeMap<Ipv4Addr, SiteIndex>,
    cuts: BTreeMap<Direction, u32>,
    random: Random,
}

/// One way between two machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Direction {
    from: Ipv4Addr,
    to: Ipv4Addr,
}

/// The delays after which copies of one datagram arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrivals {
    /// The datagram itself, unless it is lost.
    pub first: Option<Duration>,
    /// Its duplicate.
    pub second: Option<Duration>,
}

const MILLION: u32 = 1_000_000;

impl Network {
    /// Makes an undisturbed network. Every address without a site belongs to
    /// `client_site`.
    pub fn new(delays: Delays, client_site: SiteIndex, random: Random) -> Self {
        Network {
            delays,
            disturbance: Disturbance::default(),
            client_site,
            sites: BTreeMap::new(),
            cuts: BTreeMap::new(),
            random,
        }
    }

    /// Places a machine.
    pub fn place(&mut self, machine: Ipv4Addr, site: SiteIndex) {
        self.sites.insert(machine, site);
    }

    /// Changes what happens to datagrams from now on.
    pub fn set_disturbance(&mut self, disturbance: Disturbance) {
        self.disturbance = disturbance;
    }

    /// Cuts one way between two machines. Cuts add up: each has to be
    /// [mended](Self::mend).
    pub fn cut(&mut self, from: Ipv4Addr, to: Ipv4Addr) {
        *self.cuts.entry(Direction { from, to }).or_default() += 1;
    }

    /// Undoes one cut.
    pub fn mend(&mut self, from: Ipv4Addr, to: Ipv4Addr) {
        let direction = Direction { from, to };
        if let Some(count) = self.cuts.get_mut(&direction) {
            *count -= 1;
            if *count == 0 {
                self.cuts.remove(&direction);
            }
        }
    }

    /// Returns whether nothing gets from one machine to the other.
    pub fn is_cut(&self, from: Ipv4Addr, to: Ipv4Addr) -> bool {
        !self.cuts.is_empty() && self.cuts.contains_key(&Direction { from, to })
    }

    /// Decides about one datagram.
    pub fn send(&mut self, from: Ipv4Addr, to: Ipv4Addr) -> Arrivals {
        if self.is_cut(from, to) || self.happens(self.disturbance.loss_ppm) {
            return Arrivals::default();
        }
        let first = Some(self.delay(from, to));
        let duplicated = self.happens(self.disturbance.duplicate_ppm);
        let second = duplicated.then(|| self.delay(from, to));
        Arrivals { first, second }
    }

    /// Decides about one message of a transport that resends what is lost and
    /// keeps the order: only a cut stops it.
    pub fn send_reliably(&mut self, from: Ipv4Addr, to: Ipv4Addr) -> Option<Duration> {
        if self.is_cut(from, to) {
            return None;
        }
        Some(self.delay(from, to))
    }

    fn delay(&mut self, from: Ipv4Addr, to: Ipv4Addr) -> Duration {
        let base = self.base_delay(from, to);
        let jitter = self.up_to(self.delays.jitter);
        let late = if self.happens(self.disturbance.late_ppm) {
            self.up_to(self.disturbance.late_by)
        } else {
            Duration::ZERO
        };
        base + jitter + late
    }

    fn base_delay(&self, from: Ipv4Addr, to: Ipv4Addr) -> Duration {
        let from = self.site(from);
        let to = self.site(to);
        if from == to {
            self.delays.local
        } else if from == self.client_site || to == self.client_site {
            self.delays.to_clients
        } else {
            self.delays.between_zones
        }
    }

    fn site(&self, machine: Ipv4Addr) -> SiteIndex {
        self.sites
            .get(&machine)
            .copied()
            .unwrap_or(self.client_site)
    }

    fn happens(&mut self, rate_ppm: u32) -> bool {
        rate_ppm > 0 && self.random.random_range(0..MILLION) < rate_ppm
    }

    fn up_to(&mut self, limit: Duration) -> Duration {
        let micros = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX);
        if micros == 0 {
            return Duration::ZERO;
        }
        Duration::from_micros(self.random.random_range(0..=micros))
    }
}
