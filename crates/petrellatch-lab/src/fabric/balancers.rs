//! The balancers that packets are sprayed over.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::Duration;

use petrellatch_core::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How long a balancer whose port refused a packet is left out.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);
/// How often the balancers file is looked at.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// One balancer. Its socket is connected, so that the kernel reports when the
/// port refuses packets, which is how this fabric notices a dead balancer.
#[derive(Debug)]
struct Balancer {
    address: SocketAddr,
    socket: UdpSocket,
    paused_until: Timestamp,
}

impl Balancer {
    fn connect(address: SocketAddr) -> io::Result<Balancer> {
        let any: SocketAddr = match address {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(any)?;
        socket.connect(address)?;
        socket.set_nonblocking(true)?;
        Ok(Balancer {
            address,
            socket,
            paused_until: Timestamp::ZERO,
        })
    }
}

/// What became of a packet for the balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spray {
    /// It was sent.
    Sent,
    /// No balancer is live.
    NoBalancer,
    /// The chosen balancer's path is full; a real fabric drops the packet.
    Congested,
}

/// The live balancers, from flags and from a file that lags behind the truth.
#[derive(Debug)]
pub struct BalancerList {
    fixed: Vec<SocketAddr>,
    file: Option<PathBuf>,
    file_content: String,
    next_file_check: Timestamp,
    balancers: Vec<Balancer>,
    random: ChaCha8Rng,
}

impl BalancerList {
    /// Makes a list of `fixed` balancers and those that `file` names.
    ///
    /// # Errors
    /// Fails when no socket can be opened. A file that does not exist yet
    /// counts as empty.
    pub fn new(fixed: Vec<SocketAddr>, file: Option<PathBuf>, seed: u64) -> io::Result<Self> {
        let mut list = BalancerList {
            fixed,
            file,
            file_content: String::new(),
            next_file_check: Timestamp::ZERO,
            balancers: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        list.replace(list.fixed.clone())?;
        Ok(list)
    }

    /// Returns the addresses in use.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.balancers
            .iter()
            .map(|balancer| balancer.address)
            .collect()
    }

    /// Reads the file again if it is time, and returns whether the list
    /// changed.
    ///
    /// # Errors
    /// Fails when no socket can be opened for a new balancer.
    pub fn refresh(&mut self, now: Timestamp) -> io::Result<bool> {
        if now < self.next_file_check {
            return Ok(false);
        }
        self.next_file_check = now + FILE_CHECK_INTERVAL;
        let Some(content) = self.file.as_deref().and_then(read_if_present) else {
            return Ok(false);
        };
        if content == self.file_content {
            return Ok(false);
        }
        let mut addresses = self.fixed.clone();
        addresses.extend(parse_addresses(&content));
        self.replace(addresses)?;
        self.file_content = content;
        Ok(true)
    }

    /// Sends a packet to a random live balancer. One that refuses is left out
    /// for a while and another is tried.
    pub fn spray(&mut self, now: Timestamp, packet: &[u8]) -> Spray {
        while let Some(index) = self.choose(now) {
            let balancer = &mut self.balancers[index];
            match balancer.socket.send(packet) {
                Ok(_) => return Spray::Sent,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Spray::Congested;
                }
                Err(_) => balancer.paused_until = now + REFUSAL_PAUSE,
            }
        }
        Spray::NoBalancer
    }

    fn choose(&mut self, now: Timestamp) -> Option<usize> {
        let is_live = |balancer: &&Balancer| balancer.paused_until <= now;
        let live = self.balancers.iter().filter(is_live).count();
        if live == 0 {
            return None;
        }
        let skip = self.random.random_range(0..live);
        self.balancers
            .iter()
            .enumerate()
            .filter(|(_, balancer)| is_live(balancer))
            .nth(skip)
            .map(|(index, _)| index)
    }

    /// Takes over a new list; balancers in both lists keep their state.
    fn replace(&mut self, mut addresses: Vec<SocketAddr>) -> io::Result<()> {
        addresses.sort_unstable();
        addresses.dedup();
        self.balancers
            .retain(|balancer| addresses.contains(&balancer.address));
        for address in addresses {
            if !self.addresses().contains(&address) {
                self.balancers.push(Balancer::connect(address)?);
            }
        }
        self.balancers
            .sort_unstable_by_key(|balancer| balancer.address);
        Ok(())
    }
}

fn read_if_present(path: &Path) -> Option<String> {
    fs::read_to_string(path).ok()
}

/// Reads one address a line. Empty lines, comments after `#` and lines that
/// are no address are skipped, because a half-written file must not stop the
/// fabric.
fn parse_addresses(content: &str) -> Vec<SocketAddr> {
    content
        .lines()
        .map(|line| line.split('#').next().unwrap_or_default().trim())
        .filter_map(|line| line.parse().ok())
        .collect()
}
