//! The in-memory device that joins a `smoltcp` interface to its surroundings.

use std::collections::VecDeque;

use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::time::Instant;

/// Largest IP packet in bytes that a caller sends or receives.
pub const MAXIMUM_PACKET_BYTES: usize = 1500;

/// Two queues of IP packets: those for the interface and those from it.
#[derive(Debug, Default)]
pub struct PacketQueue {
    incoming: VecDeque<Vec<u8>>,
    outgoing: VecDeque<Vec<u8>>,
}

impl PacketQueue {
    /// Queues a packet for the interface.
    pub fn push_incoming(&mut self, packet: &[u8]) {
        self.incoming.push_back(packet.to_vec());
    }

    /// Takes the oldest packet that the interface has sent.
    pub fn pop_outgoing(&mut self) -> Option<Vec<u8>> {
        self.outgoing.pop_front()
    }
}

/// A packet on its way into the interface.
#[derive(Debug)]
pub struct IncomingPacket(Vec<u8>);

impl RxToken for IncomingPacket {
    fn consume<R, F>(self, consumer: F) -> R
    where
        F: FnOnce(&[u8]) -> R,
    {
        consumer(&self.0)
    }
}

/// Room for one packet that the interface is about to send.
#[derive(Debug)]
pub struct OutgoingSlot<'queue>(&'queue mut VecDeque<Vec<u8>>);

impl TxToken for OutgoingSlot<'_> {
    fn consume<R, F>(self, length: usize, producer: F) -> R
    where
        F: FnOnce(&mut [u8]) -> R,
    {
        let mut packet = vec![0; length];
        let result = producer(&mut packet);
        self.0.push_back(packet);
        result
    }
}

impl Device for PacketQueue {
    type RxToken<'queue> = IncomingPacket;
    type TxToken<'queue> = OutgoingSlot<'queue>;

    fn receive(&mut self, _now: Instant) -> Option<(IncomingPacket, OutgoingSlot<'_>)> {
        let packet = self.incoming.pop_front()?;
        Some((IncomingPacket(packet), OutgoingSlot(&mut self.outgoing)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<OutgoingSlot<'_>> {
        Some(OutgoingSlot(&mut self.outgoing))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MAXIMUM_PACKET_BYTES;
        capabilities
    }
}
