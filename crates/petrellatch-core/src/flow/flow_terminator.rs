//! The server's end of one caller connection.

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet, SocketStorage};
use smoltcp::socket::tcp::{Socket, SocketBuffer, State};
use smoltcp::time::{Duration, Instant};
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

use crate::Timestamp;
use crate::placement::FlowKey;

use super::packet_queue::PacketQueue;
use super::segment_filter::SegmentFilter;

/// Bits of a prefix that covers one address.
const HOST_PREFIX_BITS: u8 = 32;

/// How long nothing may happen on a connection with unacknowledged bytes until
/// the caller is asked for its window.
///
/// `smoltcp` 0.14 stops to retransmit when the timer runs out while the window
/// is closed, and it then waits for the caller. If the window had only seemed
/// closed, by an acknowledgement that was overtaken, the caller waits too.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// How many bytes a flow buffers in each direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowBuffers {
    /// Bytes from the caller that wait for the back end. It is also the
    /// largest window that the caller sees.
    pub receive_bytes: usize,
    /// Bytes to the caller that are not acknowledged yet. It bounds the
    /// throughput to this many bytes a round trip.
    pub send_bytes: usize,
}

impl Default for FlowBuffers {
    /// 2,000 flows with these take 48 MB when all buffers are full.
    fn default() -> Self {
        FlowBuffers {
            receive_bytes: 8 << 10,
            send_bytes: 16 << 10,
        }
    }
}

/// The server's end of one TCP connection, which serves any destination
/// address. It opens with the first packet that it is given, a SYN.
pub struct FlowTerminator {
    interface: Interface,
    sockets: SocketSet<'static>,
    socket: SocketHandle,
    packets: PacketQueue,
    filter: SegmentFilter,
    opened: bool,
}

impl FlowTerminator {
    /// Makes the end of the flow `key`. The initial sequence number is drawn
    /// from `seed`.
    pub fn new(now: Timestamp, key: &FlowKey, buffers: FlowBuffers, seed: u64) -> Self {
        let mut packets = PacketQueue::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut packets, instant(now));
        let address = IpAddress::Ipv4(*key.destination.ip());
        interface.update_ip_addrs(|addresses| {
            // The list is empty and has room for at least one.
            let _ = addresses.push(IpCidr::new(address, HOST_PREFIX_BITS));
        });
        let mut sockets = SocketSet::new(vec![SocketStorage::EMPTY]);
        let socket = sockets.add(listening_socket(key, buffers));
        FlowTerminator {
            interface,
            sockets,
            socket,
            packets,
            filter: SegmentFilter::default(),
            opened: false,
        }
    }

    /// Takes one packet from the caller.
    pub fn handle_packet(&mut self, now: Timestamp, packet: &[u8]) {
        if self.is_closed() {
            return;
        }
        let socket = self.sockets.get(self.socket);
        let admitted = self.filter.admit(socket, packet);
        self.packets.received.extend(admitted);
        self.opened = true;
        self.handle_timeout(now);
    }

    /// Sends what is due: acknowledgements, retransmissions, new bytes.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.watch_unacknowledged();
        self.interface
            .poll(instant(now), &mut self.packets, &mut self.sockets);
    }

    /// Returns the next packet for the caller.
    pub fn poll_packet(&mut self) -> Option<Vec<u8>> {
        let packet = self.packets.outgoing.pop_front()?;
        self.filter.note_sent(&packet);
        Some(packet)
    }

    /// Returns when [`FlowTerminator::handle_timeout`] is due.
    pub fn poll_timeout(&mut self, now: Timestamp) -> Option<Timestamp> {
        if self.is_closed() {
            return None;
        }
        let due = self.interface.poll_at(instant(now), &self.sockets)?;
        let micros = u64::try_from(due.total_micros()).unwrap_or(0);
        Some(Timestamp::from_micros(micros).max(now))
    }

    /// Takes up to `limit` bytes that the caller sent.
    pub fn read(&mut self, limit: usize) -> Vec<u8> {
        let socket = self.socket_mut();
        if !socket.can_recv() {
            return Vec::new();
        }
        let mut bytes = vec![0; limit.min(socket.recv_queue())];
        let count = socket.recv_slice(&mut bytes).unwrap_or(0);
        bytes.truncate(count);
        bytes
    }

    /// Takes bytes for the caller as far as there is room; returns how many.
    /// They leave with the next [`FlowTerminator::handle_timeout`].
    pub fn write(&mut self, bytes: &[u8]) -> usize {
        self.socket_mut().send_slice(bytes).unwrap_or(0)
    }

    /// Ends the direction to the caller after all bytes written.
    pub fn finish(&mut self) {
        self.socket_mut().close();
    }

    /// Resets the connection.
    pub fn abort(&mut self) {
        self.socket_mut().abort();
    }

    /// Returns whether bytes of the caller can be read.
    pub fn can_read(&self) -> bool {
        self.socket().can_recv()
    }

    /// Returns whether the caller ended its direction and all was read.
    pub fn is_read_finished(&self) -> bool {
        let socket = self.socket();
        let ended = matches!(
            socket.state(),
            State::CloseWait | State::LastAck | State::Closing | State::TimeWait
        );
        ended && !socket.can_recv()
    }

    /// Returns whether the caller has acknowledged the SYN.
    pub fn is_established(&self) -> bool {
        let state = self.socket().state();
        self.opened && !matches!(state, State::Listen | State::SynReceived | State::Closed)
    }

    /// Returns whether all bytes written were acknowledged by the caller.
    pub fn is_flushed(&self) -> bool {
        self.socket().send_queue() == 0
    }

    /// Returns whether both directions ended and only late packets may come.
    pub fn is_lingering(&self) -> bool {
        self.socket().state() == State::TimeWait
    }

    /// Returns whether the connection is over. A reset before it was
    /// established ends it as well.
    pub fn is_closed(&self) -> bool {
        match self.socket().state() {
            State::Closed => true,
            State::Listen => self.opened,
            _ => false,
        }
    }

    fn watch_unacknowledged(&mut self) {
        let waits = !self.is_flushed();
        let interval = waits.then_some(PROBE_INTERVAL);
        let socket = self.socket_mut();
        if socket.keep_alive() != interval {
            socket.set_keep_alive(interval);
        }
    }

    fn socket(&self) -> &Socket<'static> {
        self.sockets.get(self.socket)
    }

    fn socket_mut(&mut self) -> &mut Socket<'static> {
        self.sockets.get_mut(self.socket)
    }
}

fn listening_socket(key: &FlowKey, buffers: FlowBuffers) -> Socket<'static> {
    let receive = SocketBuffer::new(vec![0; buffers.receive_bytes]);
    let send = SocketBuffer::new(vec![0; buffers.send_bytes]);
    let mut socket = Socket::new(receive, send);
    // Answers leave at once; a back end's small writes aren't held back.
    socket.set_nagle_enabled(false);
    // The port was checked to be positive, which is all that listening needs.
    let _ = socket.listen(key.destination.port());
    socket
}

fn instant(now: Timestamp) -> Instant {
    Instant::from_micros(i64::try_from(now.as_micros()).unwrap_or(i64::MAX))
}
