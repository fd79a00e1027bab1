//! A packet format for tests: the fields of the view, one after the other.

use std::net::SocketAddrV4;

use petrellatch_core::pass_through::{FlowId, PacketCodec, PacketView};
use petrellatch_proto::pass_through::{pack_address, unpack_address};

#[derive(Clone, Copy, Debug)]
pub struct TestCodec;

const BYTES: usize = 27;

impl PacketCodec for TestCodec {
    fn view(&self, packet: &[u8]) -> Option<PacketView> {
        let head = packet.first_chunk::<BYTES>()?;
        let data_bytes = u16::from_be_bytes([head[25], head[26]]);
        let has_data = packet.len() == BYTES + usize::from(data_bytes);
        if packet.len() != BYTES && !has_data {
            return None;
        }
        let packet = head;
        let number =
            |place: usize| u64::from_be_bytes(packet[place..place + 8].try_into().unwrap());
        let small = |place: usize| u32::from_be_bytes(packet[place..place + 4].try_into().unwrap());
        let flags = packet[24];
        Some(PacketView {
            source: unpack_address(number(0)),
            destination: unpack_address(number(8)),
            syn: flags & 1 != 0,
            ack: flags & 2 != 0,
            fin: flags & 4 != 0,
            rst: flags & 8 != 0,
            returned: flags & 16 != 0,
            sequence_number: small(16),
            ack_number: small(20),
            data_bytes,
        })
    }

    fn reset(&self, flow: FlowId, sequence: u32) -> Vec<u8> {
        encode(&PacketView {
            rst: true,
            sequence_number: sequence,
            ..empty(flow.route, flow.caller)
        })
    }
}

/// A packet without flags and data.
pub fn empty(source: SocketAddrV4, destination: SocketAddrV4) -> PacketView {
    PacketView {
        source,
        destination,
        syn: false,
        ack: false,
        fin: false,
        rst: false,
        returned: false,
        sequence_number: 0,
        ack_number: 0,
        data_bytes: 0,
    }
}

/// A packet with all its data; most tests leave that out.
pub fn encode_with_data(view: &PacketView) -> Vec<u8> {
    let mut packet = encode(view);
    packet.resize(BYTES + usize::from(view.data_bytes), 0);
    packet
}

pub fn encode(view: &PacketView) -> Vec<u8> {
    let flags = [view.syn, view.ack, view.fin, view.rst, view.returned];
    let bits = flags
        .iter()
        .enumerate()
        .map(|(bit, set)| u8::from(*set) << bit);
    let mut packet = Vec::with_capacity(BYTES);
    packet.extend(pack_address(view.source).to_be_bytes());
    packet.extend(pack_address(view.destination).to_be_bytes());
    packet.extend(view.sequence_number.to_be_bytes());
    packet.extend(view.ack_number.to_be_bytes());
    packet.push(bits.sum());
    packet.extend(view.data_bytes.to_be_bytes());
    packet
}
