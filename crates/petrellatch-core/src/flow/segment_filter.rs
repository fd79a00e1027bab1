//! Prepares reordered and repeated segments for a `smoltcp` socket.
//!
//! The fabric sends the packets of one flow over several balancers, so
//! reordering is ordinary. `smoltcp` 0.14 has two weaknesses there:
//!
//! - It drops a whole segment, payload and FIN included, whose
//!   acknowledgement number is older than the newest one seen. In a flow that
//!   carries data both ways every overtaken segment is lost and waits for the
//!   retransmission timer. RFC 9293 (3.10.7.4) lets only the old
//!   acknowledgement be ignored, so it is replaced by the newest one.
//! - It ignores the acknowledgement of a segment that repeats old data, and
//!   after a retransmission timeout its own acknowledgements carry old sequence
//!   numbers. When the acknowledgements of both directions are lost, both ends
//!   repeat old data for ever and neither learns that it arrived. So such an
//!   acknowledgement is given to the socket once more by itself, with the
//!   sequence number that it expects.
//! - It starts a fast retransmit on the third duplicate ACK. When only the
//!   FIN is outstanding, that finds no data to send and switches the
//!   retransmission timer off, so that a lost FIN is never sent again and the
//!   flow hangs. Such duplicates are kept away; the timer goes on.

use smoltcp::socket::tcp;
use smoltcp::wire::{IpAddress, IpProtocol, Ipv4Packet, TcpPacket, TcpSeqNumber};

/// Repairs the segments that arrive for one socket.
///
/// Every packet that the socket sends has to be shown to
/// [`SegmentFilter::note_sent`], so that an acknowledgement of something never
/// sent, such as one from an earlier connection, isn't taken for the newest.
#[derive(Clone, Copy, Debug, Default)]
pub struct SegmentFilter {
    newest: Option<Acknowledgement>,
    sent_end: Option<TcpSeqNumber>,
    expected: Option<TcpSeqNumber>,
}

/// What a segment says about the opposite direction.
#[derive(Clone, Copy, Debug)]
struct Acknowledgement {
    number: TcpSeqNumber,
    window: u16,
}

impl SegmentFilter {
    /// Takes note of an IP packet that the socket sends.
    pub fn note_sent(&mut self, packet: &[u8]) {
        let Some(segment) = parse(packet) else {
            return;
        };
        let end = segment.seq_number() + segment.segment_len();
        if self.sent_end.is_none_or(|sent_end| end > sent_end) {
            self.sent_end = Some(end);
        }
        if segment.ack() {
            self.expected = Some(segment.ack_number());
        }
    }

    /// Returns the IP packets that the socket shall see in place of this one:
    /// none, one or two. A packet without TCP and a damaged one pass unchanged.
    pub fn admit(
        &mut self,
        socket: &tcp::Socket<'_>,
        packet: &[u8],
    ) -> impl Iterator<Item = Vec<u8>> + use<> {
        let unchanged = [None, Some(packet.to_vec())].into_iter().flatten();
        let Some(segment) = parse(packet).filter(|segment| segment.ack() && !segment.rst()) else {
            return unchanged;
        };
        if !is_undamaged(packet) {
            return unchanged;
        }
        let number = segment.ack_number();
        if self.sent_end.is_none_or(|sent_end| number > sent_end) {
            return unchanged;
        }
        let newest = self.newest.map(|newest| newest.number);
        let is_bare = segment.segment_len() == 0;
        if newest.is_some_and(|newest| number < newest) {
            // An old acknowledgement that comes alone says nothing.
            let repaired = self.with_newest(packet).filter(|_| !is_bare);
            return [None, repaired].into_iter().flatten();
        }
        let is_repeated = newest == Some(number);
        let window = segment.window_len();
        self.newest = Some(Acknowledgement { number, window });
        if is_repeated && is_bare && only_fin_is_outstanding(socket) {
            return [None, None].into_iter().flatten();
        }
        let overlooked = self.overlooked_acknowledgement(packet, &segment);
        [overlooked, Some(packet.to_vec())].into_iter().flatten()
    }

    /// Returns the packet with the newest acknowledgement.
    fn with_newest(&self, packet: &[u8]) -> Option<Vec<u8>> {
        let mut bytes = packet.to_vec();
        let newest = self.newest?;
        rewrite(&mut bytes, |segment| {
            segment.set_ack_number(newest.number);
            segment.set_window_len(newest.window);
        });
        Some(bytes)
    }

    /// Returns the acknowledgement by itself if the segment is a repeated one.
    fn overlooked_acknowledgement(
        &self,
        packet: &[u8],
        segment: &TcpPacket<&[u8]>,
    ) -> Option<Vec<u8>> {
        let expected = self.expected.filter(|_| !segment.syn())?;
        let end = segment.seq_number() + segment.segment_len();
        if segment.seq_number() >= expected || end > expected {
            return None;
        }
        let length = packet.len() - segment.payload().len();
        let mut bytes = packet[..length].to_vec();
        let total_length = u16::try_from(length).ok()?;
        Ipv4Packet::new_unchecked(&mut bytes).set_total_len(total_length);
        rewrite(&mut bytes, |segment| {
            segment.set_seq_number(expected);
            segment.set_fin(false);
            segment.set_psh(false);
        });
        Some(bytes)
    }
}

fn parse(packet: &[u8]) -> Option<TcpPacket<&[u8]>> {
    let ip = Ipv4Packet::new_checked(packet).ok()?;
    if ip.next_header() != IpProtocol::Tcp {
        return None;
    }
    TcpPacket::new_checked(ip.payload()).ok()
}

fn only_fin_is_outstanding(socket: &tcp::Socket<'_>) -> bool {
    let has_sent_fin = matches!(
        socket.state(),
        tcp::State::FinWait1 | tcp::State::Closing | tcp::State::LastAck
    );
    has_sent_fin && socket.send_queue() == 0
}

fn is_undamaged(packet: &[u8]) -> bool {
    Ipv4Packet::new_checked(packet).is_ok_and(|ip| {
        let source = IpAddress::Ipv4(ip.src_addr());
        let destination = IpAddress::Ipv4(ip.dst_addr());
        TcpPacket::new_unchecked(ip.payload()).verify_checksum(&source, &destination)
    })
}

/// Changes the TCP header of a packet and sets the checksums anew.
fn rewrite(packet: &mut [u8], change: impl FnOnce(&mut TcpPacket<&mut [u8]>)) {
    let mut ip = Ipv4Packet::new_unchecked(packet);
    ip.fill_checksum();
    let source = IpAddress::Ipv4(ip.src_addr());
    let destination = IpAddress::Ipv4(ip.dst_addr());
    let mut segment = TcpPacket::new_unchecked(ip.payload_mut());
    change(&mut segment);
    segment.fill_checksum(&source, &destination);
}
