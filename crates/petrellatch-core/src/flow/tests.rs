//! Tests of the callers' side of TCP.

use assert_matches::assert_matches;
use smoltcp::wire::{Ipv4Packet, TcpPacket};

use super::{FlowBuffers, FlowTerminator, PacketError, PacketView, reset_for};
use crate::Timestamp;

/// A SYN from 10.8.0.1:5000 to 10.9.0.1:80, without checksums.
fn opening() -> Vec<u8> {
    let mut packet = vec![0; 40];
    let mut ip = Ipv4Packet::new_unchecked(&mut packet[..]);
    ip.set_version(4);
    ip.set_header_len(20);
    ip.set_total_len(40);
    ip.set_hop_limit(64);
    ip.set_next_header(smoltcp::wire::IpProtocol::Tcp);
    ip.set_src_addr([10, 8, 0, 1].into());
    ip.set_dst_addr([10, 9, 0, 1].into());
    ip.fill_checksum();
    let mut tcp = TcpPacket::new_unchecked(ip.payload_mut());
    tcp.set_src_port(5_000);
    tcp.set_dst_port(80);
    tcp.set_seq_number(smoltcp::wire::TcpSeqNumber(1_000));
    tcp.set_header_len(20);
    tcp.set_syn(true);
    tcp.set_window_len(1_000);
    let source = smoltcp::wire::IpAddress::v4(10, 8, 0, 1);
    let destination = smoltcp::wire::IpAddress::v4(10, 9, 0, 1);
    tcp.fill_checksum(&source, &destination);
    packet
}

#[test]
fn a_packet_is_read() {
    let view = PacketView::parse(&opening()).unwrap();
    assert!(view.opens && !view.resets);
    assert_eq!(view.key.source.to_string(), "10.8.0.1:5000");
    assert_eq!(view.key.destination.to_string(), "10.9.0.1:80");
}

#[test]
fn what_can_not_be_used_is_refused_with_a_reason() {
    assert_matches!(PacketView::parse(&[]), Err(PacketError::Truncated));
    let packet = opening();
    for length in 1..40 {
        assert!(PacketView::parse(&packet[..length]).is_err());
    }
    let mut version_six = packet.clone();
    version_six[0] = 0x65;
    assert_matches!(PacketView::parse(&version_six), Err(PacketError::NotIpv4));
    let mut fragment = packet.clone();
    fragment[6] |= 0x20;
    assert_matches!(PacketView::parse(&fragment), Err(PacketError::Fragment));
    let mut udp = packet.clone();
    udp[9] = 17;
    assert_matches!(PacketView::parse(&udp), Err(PacketError::NotTcp));
    let mut no_port = packet.clone();
    no_port[20..22].fill(0);
    assert_matches!(PacketView::parse(&no_port), Err(PacketError::MalformedTcp));
    let mut offset = packet;
    offset[32] = 0xf0;
    assert_matches!(PacketView::parse(&offset), Err(PacketError::MalformedTcp));
}

#[test]
fn a_reset_is_one_that_the_caller_accepts() {
    let reset = reset_for(&opening()).unwrap();
    let view = PacketView::parse(&reset).unwrap();
    assert!(view.resets);
    assert_eq!(view.key.destination.to_string(), "10.8.0.1:5000");
    let ip = Ipv4Packet::new_checked(&reset[..]).unwrap();
    assert!(ip.verify_checksum());
    let tcp = TcpPacket::new_checked(ip.payload()).unwrap();
    assert_eq!(tcp.ack_number().0, 1_001);
    assert_eq!(reset_for(&reset), None, "a reset is never answered");
}

#[test]
fn a_reset_during_the_handshake_ends_the_flow() {
    let now = Timestamp::from_millis(1);
    let view = PacketView::parse(&opening()).unwrap();
    let mut terminator = FlowTerminator::new(now, &view.key, FlowBuffers::default(), 7);
    assert!(!terminator.is_closed());
    terminator.handle_packet(now, &opening());
    let answer = terminator.poll_packet().expect("the SYN is answered");
    assert!(!terminator.is_established());
    let mut reset = reset_for(&answer).unwrap();
    // The reset of a caller that does not know the connection.
    assert!(PacketView::parse(&reset).unwrap().resets);
    terminator.handle_packet(now, &reset);
    assert!(terminator.is_closed());
    // A repeated SYN does not open it again.
    reset = opening();
    terminator.handle_packet(now, &reset);
    assert_eq!(terminator.poll_packet(), None);
}

/// A segment of the caller with this payload.
fn segment(sequence: i32, acknowledgement: i32, payload: &[u8], finishes: bool) -> Vec<u8> {
    let mut packet = opening();
    packet.extend_from_slice(payload);
    let length = u16::try_from(packet.len()).unwrap();
    let mut ip = Ipv4Packet::new_unchecked(&mut packet[..]);
    ip.set_total_len(length);
    ip.fill_checksum();
    let mut tcp = TcpPacket::new_unchecked(ip.payload_mut());
    tcp.set_syn(false);
    tcp.set_ack(true);
    tcp.set_fin(finishes);
    tcp.set_seq_number(smoltcp::wire::TcpSeqNumber(sequence));
    tcp.set_ack_number(smoltcp::wire::TcpSeqNumber(acknowledgement));
    let source = smoltcp::wire::IpAddress::v4(10, 8, 0, 1);
    let destination = smoltcp::wire::IpAddress::v4(10, 9, 0, 1);
    tcp.fill_checksum(&source, &destination);
    packet
}

/// A flow whose handshake is complete, and its first sequence number.
fn established(now: Timestamp) -> (FlowTerminator, i32) {
    let view = PacketView::parse(&opening()).unwrap();
    let mut terminator = FlowTerminator::new(now, &view.key, FlowBuffers::default(), 7);
    terminator.handle_packet(now, &opening());
    let answer = terminator.poll_packet().expect("the SYN is answered");
    let ip = Ipv4Packet::new_checked(&answer[..]).unwrap();
    let first = TcpPacket::new_checked(ip.payload()).unwrap().seq_number().0;
    let first = first.wrapping_add(1);
    terminator.handle_packet(now, &segment(1_001, first, b"", false));
    assert!(terminator.is_established());
    (terminator, first)
}

#[test]
fn an_overtaken_segment_with_an_old_acknowledgement_is_read() {
    let now = Timestamp::from_millis(1);
    let (mut terminator, first) = established(now);
    assert_eq!(terminator.write(b"four"), 4);
    terminator.handle_timeout(now);
    assert!(terminator.poll_packet().is_some());
    let overtaken = segment(1_001, first, b"one", false);
    let overtaking = segment(1_004, first.wrapping_add(4), b"two", false);
    terminator.handle_packet(now, &overtaking);
    terminator.handle_packet(now, &overtaken);
    assert_eq!(terminator.read(10), b"onetwo");
}

#[test]
fn an_acknowledgement_of_something_never_sent_is_not_taken_over() {
    let now = Timestamp::from_millis(1);
    let (mut terminator, first) = established(now);
    let strange = segment(1_001, first.wrapping_add(5_000), b"", false);
    terminator.handle_packet(now, &strange);
    terminator.handle_packet(now, &segment(1_001, first, b"one", false));
    assert_eq!(terminator.read(10), b"one");
}

#[test]
fn a_lost_end_is_sent_again_after_repeated_acknowledgements() {
    let now = Timestamp::from_millis(1);
    let (mut terminator, first) = established(now);
    terminator.finish();
    terminator.handle_timeout(now);
    assert!(terminator.poll_packet().is_some(), "the FIN is lost");
    for _ in 0..4 {
        terminator.handle_packet(now, &segment(1_001, first, b"", false));
    }
    assert_eq!(terminator.poll_packet(), None);
    let due = terminator.poll_timeout(now).expect("a timer is running");
    terminator.handle_timeout(due);
    assert!(terminator.poll_packet().is_some(), "the FIN comes again");
}

#[test]
fn the_acknowledgement_of_a_repeated_segment_counts() {
    let now = Timestamp::from_millis(1);
    let (mut terminator, first) = established(now);
    let upload = segment(1_001, first, b"one", false);
    terminator.handle_packet(now, &upload);
    assert_eq!(terminator.read(10), b"one");
    assert_eq!(terminator.write(b"four"), 4);
    terminator.handle_timeout(now);
    assert!(
        terminator.poll_packet().is_some(),
        "it acknowledges the upload"
    );
    // That packet is lost, so the caller repeats its upload; it has meanwhile
    // received the four bytes by a retransmission.
    let repeated = segment(1_001, first.wrapping_add(4), b"one", false);
    terminator.handle_packet(now, &repeated);
    assert!(terminator.is_flushed());
    let mut damaged = repeated;
    damaged[38] ^= 1;
    terminator.handle_packet(now, &damaged);
    assert_eq!(terminator.read(10), b"");
}

/// A bare acknowledgement from the caller of [`opening`].
fn acknowledgement(number: i32, window: u16) -> Vec<u8> {
    let mut packet = opening();
    let mut ip = Ipv4Packet::new_unchecked(&mut packet[..]);
    let mut tcp = TcpPacket::new_unchecked(ip.payload_mut());
    tcp.set_syn(false);
    tcp.set_ack(true);
    tcp.set_seq_number(smoltcp::wire::TcpSeqNumber(1_001));
    tcp.set_ack_number(smoltcp::wire::TcpSeqNumber(number));
    tcp.set_window_len(window);
    let source = smoltcp::wire::IpAddress::v4(10, 8, 0, 1);
    let destination = smoltcp::wire::IpAddress::v4(10, 9, 0, 1);
    tcp.fill_checksum(&source, &destination);
    packet
}

/// Lets time pass and returns all packets that were sent.
fn packets_within(terminator: &mut FlowTerminator, from: u64, until: u64) -> Vec<Vec<u8>> {
    let mut packets = Vec::new();
    for millis in (from..until).step_by(50) {
        terminator.handle_timeout(Timestamp::from_millis(millis));
        packets.extend(std::iter::from_fn(|| terminator.poll_packet()));
    }
    packets
}

#[test]
fn a_late_closed_window_does_not_end_the_retransmissions() {
    let now = Timestamp::from_millis(1);
    let view = PacketView::parse(&opening()).unwrap();
    let mut terminator = FlowTerminator::new(now, &view.key, FlowBuffers::default(), 7);
    terminator.handle_packet(now, &opening());
    let answer = terminator.poll_packet().expect("the SYN is answered");
    let ip = Ipv4Packet::new_checked(&answer[..]).unwrap();
    let first = TcpPacket::new_checked(ip.payload()).unwrap().seq_number().0 + 1;
    terminator.handle_packet(now, &acknowledgement(first, 1_000));
    assert!(terminator.is_established());
    assert_eq!(terminator.write(b"lost on its way"), 15);
    assert_eq!(packets_within(&mut terminator, 2, 100).len(), 1);
    // It says that the window was closed before it was opened.
    terminator.handle_packet(Timestamp::from_millis(100), &acknowledgement(first, 0));
    let probes = packets_within(&mut terminator, 150, 20_000);
    assert!(!probes.is_empty(), "the caller is never asked again");
    let now = Timestamp::from_millis(20_000);
    terminator.handle_packet(now, &acknowledgement(first, 1_000));
    let sent = packets_within(&mut terminator, 20_000, 22_000);
    let carries_data = |packet: &Vec<u8>| packet.ends_with(b"lost on its way");
    assert!(sent.iter().any(carries_data));
    assert!(!terminator.is_flushed());
}
