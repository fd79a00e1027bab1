//! A network address in a message.

use std::net::{Ipv4Addr, SocketAddrV4};

/// An IPv4 address with a port.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Message)]
pub struct Endpoint {
    /// The IPv4 address as a big-endian number.
    #[prost(fixed32, tag = "1")]
    pub address: u32,
    /// The port, at most 65,535.
    #[prost(uint32, tag = "2")]
    pub port: u32,
}

impl From<SocketAddrV4> for Endpoint {
    fn from(address: SocketAddrV4) -> Self {
        Endpoint {
            address: u32::from(*address.ip()),
            port: u32::from(address.port()),
        }
    }
}

impl From<Endpoint> for SocketAddrV4 {
    fn from(endpoint: Endpoint) -> Self {
        // A port that doesn't fit 16 bits becomes 0.
        let port = u16::try_from(endpoint.port).unwrap_or(0);
        SocketAddrV4::new(Ipv4Addr::from(endpoint.address), port)
    }
}
