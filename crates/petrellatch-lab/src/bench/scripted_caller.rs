//! A caller that sends prepared TCP packets and keeps a few numbers only.

use std::net::SocketAddrV4;

use smoltcp::phy::ChecksumCapabilities;
use smoltcp::wire::{
    IpAddress, IpProtocol, Ipv4Packet, Ipv4Repr, TcpControl, TcpPacket, TcpRepr, TcpSeqNumber,
};

/// Bytes that the caller lets be on their way to it.
const WINDOW: u16 = 60_000;

/// Bytes of an IPv4 header without options.
const IP_HEADER_BYTES: usize = 20;

/// One connection of a caller, without repetitions.
#[derive(Clone, Copy, Debug)]
pub struct ScriptedCaller {
    source: SocketAddrV4,
    service: SocketAddrV4,
    sequence: TcpSeqNumber,
    /// What the other end sent so far, none before its first packet.
    acknowledged: Option<TcpSeqNumber>,
}

impl ScriptedCaller {
    /// Prepares a connection.
    pub fn new(source: SocketAddrV4, service: SocketAddrV4) -> Self {
        ScriptedCaller {
            source,
            service,
            sequence: TcpSeqNumber(1_000),
            acknowledged: None,
        }
    }

    /// Returns the packet that opens the connection.
    pub fn open(&mut self) -> Vec<u8> {
        let packet = self.packet(TcpControl::Syn, &[]);
        self.sequence += 1;
        packet
    }

    /// Returns a packet with bytes; it acknowledges all that came.
    pub fn send(&mut self, bytes: &[u8]) -> Vec<u8> {
        let packet = self.packet(TcpControl::Psh, bytes);
        self.sequence += bytes.len();
        packet
    }

    /// Returns an acknowledgement of all that came.
    pub fn acknowledge(&self) -> Vec<u8> {
        self.packet(TcpControl::None, &[])
    }

    /// Returns the packet that ends the direction to the service.
    pub fn finish(&mut self) -> Vec<u8> {
        let packet = self.packet(TcpControl::Fin, &[]);
        self.sequence += 1;
        packet
    }

    /// Takes a packet of the service and returns how many bytes it carries.
    pub fn handle_packet(&mut self, packet: &[u8]) -> usize {
        let segment = &packet[IP_HEADER_BYTES..];
        let Ok(segment) = TcpPacket::new_checked(segment) else {
            return 0;
        };
        let end = segment.seq_number() + segment.segment_len();
        let newest = self.acknowledged.map_or(end, |known| known.max(end));
        self.acknowledged = Some(newest);
        segment.payload().len()
    }

    fn packet(&self, control: TcpControl, payload: &[u8]) -> Vec<u8> {
        let (source, service) = (*self.source.ip(), *self.service.ip());
        let segment = TcpRepr {
            src_port: self.source.port(),
            dst_port: self.service.port(),
            control,
            seq_number: self.sequence,
            ack_number: self.acknowledged,
            window_len: WINDOW,
            window_scale: None,
            max_seg_size: None,
            sack_permitted: false,
            sack_ranges: [None; 3],
            timestamp: None,
            payload,
        };
        let header = Ipv4Repr {
            src_addr: source,
            dst_addr: service,
            next_header: IpProtocol::Tcp,
            payload_len: segment.buffer_len(),
            hop_limit: 64,
        };
        let mut bytes = vec![0; IP_HEADER_BYTES + segment.buffer_len()];
        let checksums = ChecksumCapabilities::default();
        let mut packet = Ipv4Packet::new_unchecked(&mut bytes);
        header.emit(&mut packet, &checksums);
        let mut body = TcpPacket::new_unchecked(packet.payload_mut());
        let (source, service) = (IpAddress::Ipv4(source), IpAddress::Ipv4(service));
        segment.emit(&mut body, &source, &service, &checksums);
        bytes
    }
}
