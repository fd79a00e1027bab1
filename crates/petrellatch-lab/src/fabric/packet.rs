//! Addresses of an IPv4 TCP packet, and the answer to a packet that belongs to
//! no flow.

use std::net::SocketAddrV4;

use smoltcp::phy::ChecksumCapabilities;
use smoltcp::wire::{
    IpProtocol, IpRepr, Ipv4Packet, Ipv4Repr, TcpControl, TcpPacket, TcpRepr, TcpSeqNumber,
};

/// Hop limit of packets made here.
const HOP_LIMIT: u8 = 64;

/// Source and destination of a TCP packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketAddresses {
    /// The sender.
    pub source: SocketAddrV4,
    /// The receiver.
    pub destination: SocketAddrV4,
}

impl PacketAddresses {
    /// Reads the addresses, or returns nothing when this is no well-formed
    /// IPv4 TCP packet.
    pub fn parse(packet: &[u8]) -> Option<PacketAddresses> {
        let ip = Ipv4Packet::new_checked(packet).ok()?;
        if ip.version() != 4 || ip.next_header() != IpProtocol::Tcp {
            return None;
        }
        let segment = TcpPacket::new_checked(ip.payload()).ok()?;
        Some(PacketAddresses {
            source: SocketAddrV4::new(ip.src_addr(), segment.src_port()),
            destination: SocketAddrV4::new(ip.dst_addr(), segment.dst_port()),
        })
    }
}

/// Makes the RST with which a host answers a packet of a flow that it does not
/// know (RFC 9293, section 3.10.7.1). A RST itself is not answered.
pub fn reset_for(packet: &[u8]) -> Option<Vec<u8>> {
    let ip = Ipv4Packet::new_checked(packet).ok()?;
    let segment = TcpPacket::new_checked(ip.payload()).ok()?;
    if segment.rst() {
        return None;
    }
    let reset = reset_segment(&segment);
    let ip_repr = Ipv4Repr {
        src_addr: ip.dst_addr(),
        dst_addr: ip.src_addr(),
        next_header: IpProtocol::Tcp,
        payload_len: reset.buffer_len(),
        hop_limit: HOP_LIMIT,
    };
    Some(emit(IpRepr::Ipv4(ip_repr), &reset))
}

fn reset_segment(segment: &TcpPacket<&[u8]>) -> TcpRepr<'static> {
    let length = segment.segment_len();
    let sequence = if segment.ack() {
        segment.ack_number()
    } else {
        TcpSeqNumber(0)
    };
    TcpRepr {
        src_port: segment.dst_port(),
        dst_port: segment.src_port(),
        control: TcpControl::Rst,
        seq_number: sequence,
        ack_number: (!segment.ack()).then(|| segment.seq_number() + length),
        window_len: 0,
        window_scale: None,
        max_seg_size: None,
        sack_permitted: false,
        sack_ranges: [None; 3],
        timestamp: None,
        payload: &[],
    }
}

fn emit(ip: IpRepr, segment: &TcpRepr<'_>) -> Vec<u8> {
    let checksums = ChecksumCapabilities::default();
    let header_length = ip.header_len();
    let mut packet = vec![0; header_length + segment.buffer_len()];
    ip.emit(&mut packet[..], &checksums);
    let mut tcp = TcpPacket::new_unchecked(&mut packet[header_length..]);
    segment.emit(&mut tcp, &ip.src_addr(), &ip.dst_addr(), &checksums);
    packet
}
