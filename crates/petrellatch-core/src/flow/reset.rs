//! The answer to a packet of an unknown flow.

use smoltcp::phy::ChecksumCapabilities;
use smoltcp::wire::{
    IpAddress, IpProtocol, Ipv4Packet, Ipv4Repr, TcpControl, TcpPacket, TcpRepr, TcpSeqNumber,
};

/// Hop limit of a reset.
const HOP_LIMIT: u8 = 64;

/// Makes the reset that answers `packet` (RFC 9293, section 3.5.2). There is
/// none for a malformed packet and for a reset, which is never answered.
pub fn reset_for(packet: &[u8]) -> Option<Vec<u8>> {
    let ip = Ipv4Packet::new_checked(packet).ok()?;
    let tcp = TcpPacket::new_checked(ip.payload()).ok()?;
    if ip.next_header() != IpProtocol::Tcp || tcp.rst() {
        return None;
    }
    let reset = reset_header(&tcp);
    let header = Ipv4Repr {
        src_addr: ip.dst_addr(),
        dst_addr: ip.src_addr(),
        next_header: IpProtocol::Tcp,
        payload_len: reset.buffer_len(),
        hop_limit: HOP_LIMIT,
    };
    Some(emit(&header, &reset))
}

/// Sequence numbers such that the caller accepts the reset.
fn reset_header(tcp: &TcpPacket<&[u8]>) -> TcpRepr<'static> {
    let (seq_number, ack_number) = if tcp.ack() {
        (tcp.ack_number(), None)
    } else {
        let taken = tcp.payload().len() + usize::from(tcp.syn()) + usize::from(tcp.fin());
        (TcpSeqNumber(0), Some(tcp.seq_number() + taken))
    };
    TcpRepr {
        src_port: tcp.dst_port(),
        dst_port: tcp.src_port(),
        control: TcpControl::Rst,
        seq_number,
        ack_number,
        window_len: 0,
        window_scale: None,
        max_seg_size: None,
        sack_permitted: false,
        sack_ranges: [None; 3],
        timestamp: None,
        payload: &[],
    }
}

fn emit(header: &Ipv4Repr, reset: &TcpRepr<'_>) -> Vec<u8> {
    let checksums = ChecksumCapabilities::default();
    let mut bytes = vec![0; header.buffer_len() + reset.buffer_len()];
    let mut packet = Ipv4Packet::new_unchecked(&mut bytes[..]);
    header.emit(&mut packet, &checksums);
    let mut segment = TcpPacket::new_unchecked(packet.payload_mut());
    let source = IpAddress::Ipv4(header.src_addr);
    let destination = IpAddress::Ipv4(header.dst_addr);
    reset.emit(&mut segment, &source, &destination, &checksums);
    bytes
}
