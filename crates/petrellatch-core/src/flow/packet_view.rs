//! The addresses and flags of a caller packet.

use std::net::SocketAddrV4;

use smoltcp::wire::{IpProtocol, Ipv4Packet, TcpPacket};
use snafu::Snafu;

use crate::placement::FlowKey;

/// Why a packet can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Snafu)]
pub enum PacketError {
    /// It is shorter than its headers say.
    #[snafu(display("the packet is shorter than its headers say"))]
    Truncated,
    /// It is not an IPv4 packet.
    #[snafu(display("the packet is not IPv4"))]
    NotIpv4,
    /// It is a fragment; fragments carry no ports, so no flow can be found.
    #[snafu(display("the packet is a fragment"))]
    Fragment,
    /// It does not carry TCP.
    #[snafu(display("the packet does not carry TCP"))]
    NotTcp,
    /// Its TCP header names impossible lengths or ports.
    #[snafu(display("the TCP header is malformed"))]
    MalformedTcp,
}

/// What routing and admission need to know about one packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketView {
    /// The two ends of the flow.
    pub key: FlowKey,
    /// Whether it opens a connection: SYN without ACK, RST and FIN.
    pub opens: bool,
    /// Whether it resets the connection.
    pub resets: bool,
    /// Bytes of payload.
    pub payload_bytes: usize,
}

impl PacketView {
    /// Reads the headers. Checksums are left to the end of the connection.
    pub fn parse(packet: &[u8]) -> Result<PacketView, PacketError> {
        let ip = parse_ipv4(packet)?;
        let tcp = TcpPacket::new_checked(ip.payload()).map_err(|_| PacketError::MalformedTcp)?;
        if tcp.src_port() == 0 || tcp.dst_port() == 0 {
            return Err(PacketError::MalformedTcp);
        }
        let key = FlowKey {
            source: SocketAddrV4::new(ip.src_addr(), tcp.src_port()),
            destination: SocketAddrV4::new(ip.dst_addr(), tcp.dst_port()),
        };
        Ok(PacketView {
            key,
            opens: tcp.syn() && !tcp.ack() && !tcp.rst() && !tcp.fin(),
            resets: tcp.rst(),
            payload_bytes: tcp.payload().len(),
        })
    }
}

fn parse_ipv4(packet: &[u8]) -> Result<Ipv4Packet<&[u8]>, PacketError> {
    let first = packet.first().ok_or(PacketError::Truncated)?;
    if first >> 4 != 4 {
        return Err(PacketError::NotIpv4);
    }
    let ip = Ipv4Packet::new_checked(packet).map_err(|_| PacketError::Truncated)?;
    if ip.more_frags() || ip.frag_offset() != 0 {
        return Err(PacketError::Fragment);
    }
    if ip.next_header() != IpProtocol::Tcp {
        return Err(PacketError::NotTcp);
    }
    Ok(ip)
}
