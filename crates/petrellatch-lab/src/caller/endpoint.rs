//! The caller's end of one TCP flow, without input or output.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::flow::SegmentFilter;
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::socket::tcp;
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr, IpProtocol, Ipv4Packet, TcpPacket};

use super::packet_queue::PacketQueue;

/// Size in bytes of the receive buffer, which is the largest window offered.
const RECEIVE_BUFFER_BYTES: usize = 128 * 1024;
/// Size in bytes of the buffer of sent data that is not yet acknowledged.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Default time for which a peer may owe an acknowledgement in silence.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// How long nothing may happen on a flow with unacknowledged bytes until the
/// peer is asked for its window. Without it `smoltcp` 0.14 waits for ever when
/// an overtaken acknowledgement made the window seem closed.
const PROBE_INTERVAL: smoltcp::time::Duration = smoltcp::time::Duration::from_secs(2);
/// Every destination is on-link, because the fabric is the only way out.
const ON_LINK_PREFIX: u8 = 0;

/// How far a flow has come, or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerState {
    /// The SYN is out and has not been answered.
    Connecting,
    /// The handshake is complete and at least one direction is open.
    Connected,
    /// Both directions were closed in order. Received bytes may remain to be
    /// read.
    Finished,
    /// The SYN was answered by RST: the peer accepted no byte.
    Refused,
    /// The flow was established and then reset by the peer.
    Reset,
    /// The peer acknowledged nothing for the whole timeout.
    TimedOut,
    /// This side gave the flow up; see [`CallerEndpoint::abort`].
    Aborted,
}

impl CallerState {
    /// Tells whether the flow has ended without being closed in order.
    pub fn is_failure(self) -> bool {
        !matches!(
            self,
            CallerState::Connecting | CallerState::Connected | CallerState::Finished
        )
    }

    /// Tells whether the flow has ended, in whichever way.
    pub fn is_final(self) -> bool {
        self == CallerState::Finished || self.is_failure()
    }
}

/// The result of reading from a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStatus {
    /// This many bytes were taken, at least one.
    Bytes(usize),
    /// Nothing has arrived, or the reader took nothing.
    Pending,
    /// The peer has closed its direction and everything was read.
    EndOfStream,
    /// The flow has failed and nothing is left to read; see
    /// [`CallerEndpoint::state`].
    Failed,
}

/// What made the TCP state change.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Cause {
    Packet { is_reset: bool },
    Silence,
    Local,
}

/// One TCP client flow over IPv4: packets in, packets out.
///
/// Construction queues the SYN. Call [`poll_packet`](Self::poll_packet) until
/// it returns nothing after every other call, and again when
/// [`poll_timeout`](Self::poll_timeout) has come.
pub struct CallerEndpoint {
    interface: Interface,
    device: PacketQueue,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    state: CallerState,
    tcp_state: tcp::State,
    close_requested: bool,
    abort_requested: bool,
    filter: SegmentFilter,
    timeout: Duration,
    /// Since when the peer owes an acknowledgement and nothing was heard.
    silent_since: Option<Timestamp>,
}

impl CallerEndpoint {
    /// Opens a flow from `local` to `remote`. The seed determines the initial
    /// sequence number.
    ///
    /// # Panics
    /// Panics when either address or port is zero.
    pub fn new(now: Timestamp, seed: u64, local: SocketAddrV4, remote: SocketAddrV4) -> Self {
        let mut device = PacketQueue::default();
        let mut interface = make_interface(now, seed, local, &mut device);
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(make_socket());
        sockets
            .get_mut::<tcp::Socket>(handle)
            .connect(interface.context(), remote, local)
            .expect("a new socket connects to any specified address");
        CallerEndpoint {
            interface,
            device,
            sockets,
            handle,
            state: CallerState::Connecting,
            tcp_state: tcp::State::SynSent,
            close_requested: false,
            abort_requested: false,
            filter: SegmentFilter::default(),
            timeout: DEFAULT_TIMEOUT,
            silent_since: Some(now),
        }
    }

    /// Changes how long a peer that owes an acknowledgement may be silent. An
    /// idle flow is never given up.
    pub fn set_timeout(&mut self, timeout: Duration) {
        self.timeout = timeout;
    }

    /// Returns how far the flow has come.
    pub fn state(&self) -> CallerState {
        self.state
    }

    /// Takes in an IP packet addressed to this flow. A packet that is damaged
    /// or belongs elsewhere changes nothing.
    pub fn handle_packet(&mut self, now: Timestamp, packet: &[u8]) {
        let cause = Cause::Packet {
            is_reset: is_reset(packet),
        };
        self.silent_since = self.silent_since.map(|_| now);
        let socket = self.sockets.get(self.handle);
        for admitted in self.filter.admit(socket, packet) {
            self.device.push_incoming(&admitted);
            let time = to_instant(now);
            self.interface
                .poll_ingress_single(time, &mut self.device, &mut self.sockets);
            self.update_state(cause);
        }
    }

    /// Returns the next IP packet to send, if there is one now.
    pub fn poll_packet(&mut self, now: Timestamp) -> Option<Vec<u8>> {
        if let Some(packet) = self.pop_outgoing() {
            return Some(packet);
        }
        self.watch_silence(now);
        self.watch_unacknowledged();
        let time = to_instant(now);
        self.interface
            .poll_egress(time, &mut self.device, &mut self.sockets);
        self.update_state(Cause::Local);
        self.pop_outgoing()
    }

    /// Returns when [`poll_packet`](Self::poll_packet) is to be called next if
    /// nothing else happens. The time may already be past.
    pub fn poll_timeout(&mut self, now: Timestamp) -> Option<Timestamp> {
        let instant = self.interface.poll_at(to_instant(now), &self.sockets);
        let due = instant.map(|instant| {
            let micros = u64::try_from(instant.total_micros()).unwrap_or(0);
            Timestamp::from_micros(micros)
        });
        let silence_ends = self.silent_since.map(|since| since + self.timeout);
        due.into_iter().chain(silence_ends).min()
    }

    /// Returns how many bytes [`write`](Self::write) would accept now.
    pub fn write_capacity(&self) -> usize {
        let socket = self.socket();
        if self.close_requested || !socket.may_send() {
            return 0;
        }
        socket.send_capacity() - socket.send_queue()
    }

    /// Queues bytes to be sent and returns how many were accepted. Nothing is
    /// accepted before the flow is connected or after it is closed.
    pub fn write(&mut self, bytes: &[u8]) -> usize {
        if self.close_requested {
            return 0;
        }
        self.socket_mut().send_slice(bytes).unwrap_or(0)
    }

    /// Moves received bytes into `buffer`.
    pub fn read(&mut self, buffer: &mut [u8]) -> ReadStatus {
        self.read_with(|bytes| {
            let length = bytes.len().min(buffer.len());
            buffer[..length].copy_from_slice(&bytes[..length]);
            length
        })
    }

    /// Offers received bytes to `consumer`, which returns how many of them it
    /// took. The window opens by that many, so a consumer that takes nothing
    /// holds the peer back.
    pub fn read_with(&mut self, consumer: impl FnOnce(&[u8]) -> usize) -> ReadStatus {
        let state = self.state;
        let result = self.socket_mut().recv(|bytes| {
            let taken = consumer(bytes);
            (taken, taken)
        });
        match result {
            Ok(0) => ReadStatus::Pending,
            Ok(taken) => ReadStatus::Bytes(taken),
            Err(tcp::RecvError::Finished) => ReadStatus::EndOfStream,
            Err(tcp::RecvError::InvalidState) if state == CallerState::Connecting => {
                ReadStatus::Pending
            }
            Err(tcp::RecvError::InvalidState) => ReadStatus::Failed,
        }
    }

    /// Closes this side's direction once everything written was sent. Reading
    /// goes on.
    pub fn close(&mut self) {
        self.close_requested = true;
        self.close_when_connected();
    }

    /// Gives the flow up; the peer is sent a RST.
    pub fn abort(&mut self) {
        if self.state.is_final() {
            return;
        }
        self.abort_requested = true;
        self.socket_mut().abort();
        self.update_state(Cause::Local);
    }

    /// Gives the flow up when the peer has owed an acknowledgement for too
    /// long. The socket's own timeout would also end idle flows.
    fn watch_silence(&mut self, now: Timestamp) {
        if self.state.is_final() || !self.awaits_acknowledgement() {
            self.silent_since = None;
            return;
        }
        let since = *self.silent_since.get_or_insert(now);
        if now.saturating_since(since) >= self.timeout {
            self.socket_mut().abort();
            self.update_state(Cause::Silence);
        }
    }

    fn watch_unacknowledged(&mut self) {
        let waits = self.socket().send_queue() > 0;
        let interval = waits.then_some(PROBE_INTERVAL);
        let socket = self.socket_mut();
        if socket.keep_alive() != interval {
            socket.set_keep_alive(interval);
        }
    }

    fn awaits_acknowledgement(&self) -> bool {
        let socket = self.socket();
        let owes_control = matches!(
            socket.state(),
            tcp::State::SynSent | tcp::State::FinWait1 | tcp::State::Closing | tcp::State::LastAck
        );
        owes_control || socket.send_queue() > 0
    }

    fn close_when_connected(&mut self) {
        // Closing earlier would silently drop the connection attempt.
        if self.close_requested && self.state == CallerState::Connected {
            self.socket_mut().close();
            self.tcp_state = self.socket().state();
        }
    }

    fn pop_outgoing(&mut self) -> Option<Vec<u8>> {
        let packet = self.device.pop_outgoing()?;
        self.filter.note_sent(&packet);
        Some(packet)
    }

    fn update_state(&mut self, cause: Cause) {
        let previous = self.tcp_state;
        self.tcp_state = self.socket().state();
        if self.state.is_final() {
            return;
        }
        match self.tcp_state {
            tcp::State::SynSent | tcp::State::SynReceived | tcp::State::Listen => {}
            tcp::State::TimeWait => self.state = CallerState::Finished,
            tcp::State::Closed => self.state = self.closed_state(previous, cause),
            _ if self.state == CallerState::Connecting => {
                self.state = CallerState::Connected;
                self.close_when_connected();
            }
            _ => {}
        }
    }

    fn closed_state(&self, previous: tcp::State, cause: Cause) -> CallerState {
        if self.abort_requested {
            return CallerState::Aborted;
        }
        match cause {
            Cause::Silence => CallerState::TimedOut,
            Cause::Local => CallerState::Aborted,
            Cause::Packet { .. } if self.state == CallerState::Connecting => CallerState::Refused,
            Cause::Packet { is_reset: false } if previous == tcp::State::LastAck => {
                CallerState::Finished
            }
            Cause::Packet { .. } => CallerState::Reset,
        }
    }

    fn socket(&self) -> &tcp::Socket<'static> {
        self.sockets.get(self.handle)
    }

    fn socket_mut(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.handle)
    }
}

fn make_interface(
    now: Timestamp,
    seed: u64,
    local: SocketAddrV4,
    device: &mut PacketQueue,
) -> Interface {
    let mut config = Config::new(HardwareAddress::Ip);
    config.random_seed = seed;
    let mut interface = Interface::new(config, device, to_instant(now));
    interface.update_ip_addrs(|addresses| {
        let address = IpCidr::new(IpAddress::Ipv4(*local.ip()), ON_LINK_PREFIX);
        addresses
            .push(address)
            .expect("a new interface has room for one address");
    });
    interface
}

fn make_socket() -> tcp::Socket<'static> {
    let receive_buffer = tcp::SocketBuffer::new(vec![0; RECEIVE_BUFFER_BYTES]);
    let send_buffer = tcp::SocketBuffer::new(vec![0; SEND_BUFFER_BYTES]);
    let mut socket = tcp::Socket::new(receive_buffer, send_buffer);
    // A request is written in one piece, so coalescing would only delay it.
    socket.set_nagle_enabled(false);
    socket
}

fn to_instant(timestamp: Timestamp) -> Instant {
    let micros = i64::try_from(timestamp.as_micros()).unwrap_or(i64::MAX);
    Instant::from_micros(micros)
}

fn is_reset(packet: &[u8]) -> bool {
    let Ok(ip) = Ipv4Packet::new_checked(packet) else {
        return false;
    };
    if ip.next_header() != IpProtocol::Tcp {
        return false;
    }
    TcpPacket::new_checked(ip.payload()).is_ok_and(|segment| segment.rst())
}
