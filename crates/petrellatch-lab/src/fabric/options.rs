//! Command-line options of the fabric stand-in.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::str::FromStr;

use gumdrop::Options;
use snafu::{OptionExt, ResultExt, Snafu};

use super::impairment::ImpairmentSettings;

/// An edge listener and the service that it leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EdgeMapping {
    /// Where ordinary TCP clients connect.
    pub listen: SocketAddr,
    /// The service's virtual address.
    pub service: SocketAddrV4,
}

/// Why an `--edge` value was refused.
#[derive(Debug, Snafu)]
pub enum EdgeMappingError {
    /// There is no equals sign.
    #[snafu(display("`{value}` is not of the form ADDR=VIP:PORT"))]
    Form {
        /// The value given.
        value: String,
    },
    /// The left side is no address.
    #[snafu(display("`{value}` is not an address to listen on: {source}"))]
    Listen {
        /// The left side.
        value: String,
        /// The cause.
        source: std::net::AddrParseError,
    },
    /// The right side is no IPv4 address with a port.
    #[snafu(display("`{value}` is not a virtual IPv4 address with a port: {source}"))]
    Service {
        /// The right side.
        value: String,
        /// The cause.
        source: std::net::AddrParseError,
    },
}

impl FromStr for EdgeMapping {
    type Err = EdgeMappingError;

    fn from_str(text: &str) -> Result<EdgeMapping, EdgeMappingError> {
        let (listen, service) = text.split_once('=').context(FormSnafu { value: text })?;
        Ok(EdgeMapping {
            listen: listen.parse().context(ListenSnafu { value: listen })?,
            service: service.parse().context(ServiceSnafu { value: service })?,
        })
    }
}

/// A packet fabric between callers and balancers.
///
/// Packets travel as GUE variant 1: the bare IP packet in a UDP datagram.
/// Packets to a service's virtual address go to a random live balancer; all
/// others go back to the caller that they are addressed to.
#[derive(Clone, Debug, Options)]
pub struct FabricOptions {
    /// Print this help.
    pub help: bool,
    /// UDP address for packets; port 0 draws one.
    #[options(no_short, required, meta = "ADDR")]
    pub listen: Option<SocketAddr>,
    /// UDP data address of a balancer; may be repeated.
    #[options(no_short, meta = "ADDR")]
    pub balancer: Vec<SocketAddr>,
    /// File of further balancers, one address a line; read again when changed.
    #[options(no_short, meta = "FILE")]
    pub balancers_file: Option<PathBuf>,
    /// Lead TCP clients of ADDR to VIP:PORT; may be repeated.
    #[options(no_short, meta = "ADDR=VIP:PORT")]
    pub edge: Vec<EdgeMapping>,
    /// Service for callers that send packets themselves; may be repeated.
    #[options(no_short, meta = "VIP:PORT")]
    pub service: Vec<SocketAddrV4>,
    /// HTTP address of GET /counters and GET /outcome?client=ADDR.
    #[options(no_short, meta = "ADDR")]
    pub admin: Option<SocketAddr>,
    /// Seed of all random choices.
    #[options(no_short, default = "1", meta = "N")]
    pub seed: u64,
    /// Share of packets lost, from 0 to 1.
    #[options(no_short, default = "0", meta = "F")]
    pub loss: f64,
    /// Share of packets delivered twice.
    #[options(no_short, default = "0", meta = "F")]
    pub duplicate: f64,
    /// Share of packets held back so that later ones overtake them.
    #[options(no_short, default = "0", meta = "F")]
    pub reorder: f64,
    /// Delay of every packet in milliseconds, in each direction.
    #[options(no_short, default = "0", meta = "N")]
    pub delay_ms: u64,
    /// Log at debug level.
    #[options(no_short)]
    pub verbose: bool,
}

impl FabricOptions {
    /// Returns what is done to packets.
    pub fn impairment(&self) -> ImpairmentSettings {
        ImpairmentSettings {
            loss: self.loss,
            duplicate: self.duplicate,
            reorder: self.reorder,
            delay: std::time::Duration::from_millis(self.delay_ms),
        }
    }
}
