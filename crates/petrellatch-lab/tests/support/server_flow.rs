//! The server's end of a flow, for tests.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicUsize, Ordering};

use petrellatch_core::Timestamp;
use petrellatch_core::flow::SegmentFilter;
use petrellatch_lab::caller::packet_queue::PacketQueue;
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::socket::tcp;
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

const BUFFER_BYTES: usize = 64 * 1024;

/// What the agent does with flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Sends back what it receives and closes after the caller.
    Echo,
    /// Answers every packet by RST.
    Refuse,
    /// Resets a flow once this many bytes have arrived.
    ResetAfter(usize),
    /// Sends without end and reads nothing.
    Flood,
}

#[derive(Debug, Default)]
pub struct Observations {
    /// Flows that the caller reset.
    pub resets: AtomicUsize,
    /// Bytes given to TCP by flooding flows.
    pub flooded: AtomicUsize,
    /// Packets received on each port.
    pub packets: [AtomicUsize; 2],
}

/// The server's end of one flow.
pub struct ServerFlow {
    device: PacketQueue,
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    received: usize,
    reset_seen: bool,
    filter: SegmentFilter,
}

impl ServerFlow {
    pub fn new(now: Timestamp, service: SocketAddrV4) -> ServerFlow {
        let mut device = PacketQueue::default();
        let config = Config::new(HardwareAddress::Ip);
        let mut interface = Interface::new(config, &mut device, to_instant(now));
        interface.update_ip_addrs(|addresses| {
            addresses
                .push(IpCidr::new(IpAddress::Ipv4(*service.ip()), 0))
                .unwrap();
        });
        let buffer = || tcp::SocketBuffer::new(vec![0; BUFFER_BYTES]);
        let mut socket = tcp::Socket::new(buffer(), buffer());
        socket.listen(service).unwrap();
        let mut sockets = SocketSet::new(Vec::new());
        let handle = sockets.add(socket);
        ServerFlow {
            device,
            interface,
            sockets,
            handle,
            received: 0,
            reset_seen: false,
            filter: SegmentFilter::default(),
        }
    }

    pub fn pop_packet(&mut self) -> Option<Vec<u8>> {
        let packet = self.device.pop_outgoing()?;
        self.filter.note_sent(&packet);
        Some(packet)
    }

    pub fn handle_packet(&mut self, packet: &[u8]) {
        let socket = self.sockets.get::<tcp::Socket>(self.handle);
        for admitted in self.filter.admit(socket, packet) {
            self.device.push_incoming(&admitted);
        }
    }

    /// Moves bytes and packets; returns whether a reset was seen just now.
    pub fn advance(&mut self, now: Timestamp, behaviour: Behaviour, seen: &Observations) -> bool {
        loop {
            let time = to_instant(now);
            self.interface
                .poll(time, &mut self.device, &mut self.sockets);
            if !self.serve(behaviour, seen) {
                break;
            }
        }
        let socket = self.sockets.get::<tcp::Socket>(self.handle);
        let is_closed = socket.state() == tcp::State::Closed;
        let had_data = self.received > 0 || behaviour == Behaviour::Flood;
        let is_new = is_closed && had_data && !self.reset_seen && socket.recv_queue() == 0;
        self.reset_seen |= is_new;
        is_new
    }

    fn serve(&mut self, behaviour: Behaviour, seen: &Observations) -> bool {
        let socket = self.sockets.get_mut::<tcp::Socket>(self.handle);
        if behaviour == Behaviour::Flood {
            let sent = socket.send_slice(&[7; 1024]).unwrap_or(0);
            seen.flooded.fetch_add(sent, Ordering::Relaxed);
            return sent > 0;
        }
        let room = socket.send_capacity() - socket.send_queue();
        let mut buffer = vec![0; room];
        match socket.recv_slice(&mut buffer) {
            Ok(length) if length > 0 => {
                self.received += length;
                if matches!(behaviour, Behaviour::ResetAfter(limit) if self.received >= limit) {
                    socket.abort();
                    self.reset_seen = true;
                } else {
                    socket.send_slice(&buffer[..length]).unwrap();
                }
                true
            }
            Err(tcp::RecvError::Finished) if socket.may_send() => {
                socket.close();
                true
            }
            _ => false,
        }
    }
}

fn to_instant(timestamp: Timestamp) -> Instant {
    Instant::from_micros(timestamp.as_micros() as i64)
}
