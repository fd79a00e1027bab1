//! Keeps repeated acknowledgements away from a closing `smoltcp` socket.
//!
//! `smoltcp` 0.14 starts a fast retransmit on the third duplicate ACK. When
//! only the FIN is outstanding, the fast retransmit finds no data to send and
//! switches the retransmission timer off, so that a lost FIN is never sent
//! again and the flow hangs. Without the duplicates the timer goes on.

use smoltcp::socket::tcp;
use smoltcp::wire::{IpProtocol, Ipv4Packet, TcpPacket, TcpSeqNumber};

/// Recognizes duplicate ACKs that reach a socket whose FIN alone is
/// outstanding.
#[derive(Debug, Default)]
pub struct DuplicateAckFilter {
    latest: Option<TcpSeqNumber>,
}

impl DuplicateAckFilter {
    /// Tells whether this IP packet must be kept from the socket. Every packet
    /// for the socket has to be shown, in order of arrival.
    pub fn rejects(&mut self, socket: &tcp::Socket<'_>, packet: &[u8]) -> bool {
        let Some(number) = acknowledgement(packet) else {
            return false;
        };
        let is_duplicate = self.latest.replace(number.value) == Some(number.value);
        is_duplicate && number.is_bare && only_fin_is_outstanding(socket)
    }
}

fn only_fin_is_outstanding(socket: &tcp::Socket<'_>) -> bool {
    let has_sent_fin = matches!(
        socket.state(),
        tcp::State::FinWait1 | tcp::State::Closing | tcp::State::LastAck
    );
    has_sent_fin && socket.send_queue() == 0
}

struct Acknowledgement {
    value: TcpSeqNumber,
    /// Whether the segment says nothing else.
    is_bare: bool,
}

fn acknowledgement(packet: &[u8]) -> Option<Acknowledgement> {
    let ip = Ipv4Packet::new_checked(packet).ok()?;
    if ip.next_header() != IpProtocol::Tcp {
        return None;
    }
    let segment = TcpPacket::new_checked(ip.payload()).ok()?;
    segment.ack().then(|| Acknowledgement {
        value: segment.ack_number(),
        is_bare: segment.segment_len() == 0 && !segment.rst(),
    })
}
