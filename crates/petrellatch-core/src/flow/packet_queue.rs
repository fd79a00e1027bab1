//! The network device of one flow: two queues of packets.

use std::collections::VecDeque;

use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::time::Instant;

/// Bytes of the largest packet sent to a caller. It leaves room for the
/// datagram around it within an Ethernet frame.
const MAXIMUM_PACKET_BYTES: usize = 1_400;

/// Packets on their way into and out of a TCP implementation.
#[derive(Debug, Default)]
pub(super) struct PacketQueue {
    /// Received and not yet processed.
    pub(super) received: VecDeque<Vec<u8>>,
    /// To be sent.
    pub(super) outgoing: VecDeque<Vec<u8>>,
}

/// One received packet.
pub(super) struct ReceivedPacket(Vec<u8>);

/// The right to send one packet.
pub(super) struct SendPermit<'a>(&'a mut VecDeque<Vec<u8>>);

impl Device for PacketQueue {
    type RxToken<'a> = ReceivedPacket;
    type TxToken<'a> = SendPermit<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(ReceivedPacket, SendPermit<'_>)> {
        let packet = self.received.pop_front()?;
        Some((ReceivedPacket(packet), SendPermit(&mut self.outgoing)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<SendPermit<'_>> {
        Some(SendPermit(&mut self.outgoing))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MAXIMUM_PACKET_BYTES;
        capabilities
    }
}

impl RxToken for ReceivedPacket {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, read: F) -> R {
        read(&self.0)
    }
}

impl TxToken for SendPermit<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, write: F) -> R {
        let mut packet = vec![0; length];
        let result = write(&mut packet);
        self.0.push_back(packet);
        result
    }
}
