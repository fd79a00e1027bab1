//! A packet format for tests: the fields of the view in a fixed order.

use std::net::SocketAddrV4;

use petrellatch_core::pass_through::{FlowId, PacketCodec, PacketView};
use petrellatch_proto::pass_through::{pack_address, unpack_address};

#[derive(Clone, Copy, Debug)]
pub struct TestCodec;

const HEADER_BYTES: usize = 27;

impl PacketCodec for TestCodec {
    fn view(&self, packet: &[u8]) -> Option<PacketView> {
        let header = packet.first_chunk::<HEADER_BYTES>()?;
        let data_bytes = u16::from_be_bytes([header[25], header[26]]);
        let has_data = packet.len() == HEADER_BYTES + usize::from(data_bytes);
        if packet.len() != HEADER_BYTES && !has_data {
            return None;
        }
        let packet = header;
        let read_u64 =
            |offset: usize| u64::from_be_bytes(packet[offset..offset + 8].try_into().unwrap());
        let read_u32 =
            |offset: usize| u32::from_be_bytes(packet[offset..offset + 4].try_into().unwrap());
        let flags = packet[24];
        Some(PacketView {
            source: unpack_address(read_u64(0)),
            destination: unpack_address(read_u64(8)),
            syn: flags & 1 != 0,
            ack: flags & 2 != 0,
            fin: flags & 4 != 0,
            rst: flags & 8 != 0,
            returned: flags & 16 != 0,
            sequence_number: read_u32(16),
            ack_number: read_u32(20),
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

/// A packet with its data, which [`encode`] omits.
pub fn encode_with_data(view: &PacketView) -> Vec<u8> {
    let mut packet = encode(view);
    packet.resize(HEADER_BYTES + usize::from(view.data_bytes), 0);
    packet
}

pub fn encode(view: &PacketView) -> Vec<u8> {
    let flags = [view.syn, view.ack, view.fin, view.rst, view.returned];
    let bits = flags
        .iter()
        .enumerate()
        .map(|(bit, set)| u8::from(*set) << bit);
    let mut packet = Vec::with_capacity(HEADER_BYTES);
    packet.extend(pack_address(view.source).to_be_bytes());
    packet.extend(pack_address(view.destination).to_be_bytes());
    packet.extend(view.sequence_number.to_be_bytes());
    packet.extend(view.ack_number.to_be_bytes());
    packet.push(bits.sum());
    packet.extend(view.data_bytes.to_be_bytes());
    packet
}
