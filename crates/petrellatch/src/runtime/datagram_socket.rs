//! A UDP socket for sealed messages or raw packets.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use socket2::{Domain, Protocol, Socket, Type};

use crate::error::ProgramError;

/// The largest datagram that UDP carries, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;
/// Maximum number of datagrams per batch, so that timers are not starved.
const BATCH_DATAGRAMS: usize = 256;

/// A non-blocking UDP socket with its receive buffer.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
    buffer: Vec<u8>,
    address: SocketAddrV4,
}

/// Whether more datagrams may be waiting after a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Batch {
    /// All waiting datagrams were received.
    Complete,
    /// The batch was full; more datagrams may be waiting.
    Full,
}

impl DatagramSocket {
    /// Binds the socket to an address.
    pub fn open(
        address: SocketAddrV4,
        purpose: &'static str,
        receive_buffer_bytes: usize,
    ) -> Result<Self, ProgramError> {
        bind(address, receive_buffer_bytes).map_err(|source| ProgramError::Bind {
            purpose,
            address,
            source,
        })
    }

    /// Registers the socket for reading.
    pub fn register(&mut self, registry: &Registry, token: Token) -> Result<(), ProgramError> {
        registry
            .register(&mut self.socket, token, Interest::READABLE)
            .map_err(|source| ProgramError::System {
                action: "register a UDP socket",
                source,
            })
    }

    /// Returns the address that the socket is bound to.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Passes the waiting datagrams to `handle`, at most one batch.
    pub fn receive_batch(&mut self, handle: impl FnMut(SocketAddrV4, &[u8])) -> Batch {
        receive_batch(&self.socket, &mut self.buffer, handle)
    }

    /// Like [`DatagramSocket::receive_batch`], for a handler that sends through
    /// the same socket while it still borrows the received bytes.
    pub fn exchange_batch(&mut self, mut handle: impl FnMut(&[u8], DatagramSender<'_>)) -> Batch {
        let DatagramSocket { socket, buffer, .. } = self;
        let sender = DatagramSender { socket };
        receive_batch(socket, buffer, |_, datagram| handle(datagram, sender))
    }

    /// Sends one datagram. A datagram that can't be sent is dropped, since the
    /// network may drop it as well. Returns whether the system accepted it.
    pub fn send(&self, to: SocketAddrV4, datagram: &[u8]) -> bool {
        DatagramSender {
            socket: &self.socket,
        }
        .send(to, datagram)
    }
}

/// Sends through a socket while a batch is received from it.
#[derive(Clone, Copy, Debug)]
pub struct DatagramSender<'a> {
    socket: &'a UdpSocket,
}

impl DatagramSender<'_> {
    /// Sends one datagram, as [`DatagramSocket::send`] does.
    pub fn send(&self, to: SocketAddrV4, datagram: &[u8]) -> bool {
        self.socket.send_to(datagram, to.into()).is_ok()
    }
}

/// A UDP socket that sends to one address, and notices if that address refuses a datagram. The
/// system reports refusals (ICMP) only to connected sockets.
#[derive(Debug)]
pub struct ConnectedDatagramSocket {
    socket: UdpSocket,
    was_refused: bool,
}

impl ConnectedDatagramSocket {
    /// Connects a socket on a free port of `local` to `remote`, and registers it for errors.
    pub fn open(
        local: Ipv4Addr,
        remote: SocketAddrV4,
        registry: &Registry,
        token: Token,
    ) -> io::Result<Self> {
        let mut socket = UdpSocket::bind(SocketAddrV4::new(local, 0).into())?;
        socket.connect(remote.into())?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        Ok(ConnectedDatagramSocket {
            socket,
            was_refused: false,
        })
    }

    /// Sends one datagram, which is dropped if it can't be sent.
    pub fn send(&mut self, datagram: &[u8]) {
        if let Err(error) = self.socket.send(datagram) {
            // This is the refusal of an earlier datagram, and this one wasn't sent.
            self.note_error(&error);
            let _ = self.socket.send(datagram);
        }
    }

    /// Reads the pending error, after an event of the socket.
    pub fn read_error(&mut self) {
        if let Ok(Some(error)) = self.socket.take_error() {
            self.note_error(&error);
        }
    }

    /// Whether a datagram was refused since the last call, as far as errors were read.
    pub fn take_refusal(&mut self) -> bool {
        std::mem::take(&mut self.was_refused)
    }

    fn note_error(&mut self, error: &io::Error) {
        self.was_refused |= error.kind() == io::ErrorKind::ConnectionRefused;
    }
}

fn receive_batch(
    socket: &UdpSocket,
    buffer: &mut [u8],
    mut handle: impl FnMut(SocketAddrV4, &[u8]),
) -> Batch {
    for _ in 0..BATCH_DATAGRAMS {
        match socket.recv_from(buffer) {
            Ok((length, SocketAddr::V4(sender))) => handle(sender, &buffer[..length]),
            Ok((_, SocketAddr::V6(_))) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Batch::Complete,
            // Reports, for example, that an earlier datagram reached a closed port
            // (ICMP); the socket stays usable.
            Err(_) => {}
        }
    }
    Batch::Full
}

fn bind(address: SocketAddrV4, receive_buffer_bytes: usize) -> io::Result<DatagramSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_recv_buffer_size(receive_buffer_bytes)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::from(address).into())?;
    let socket = UdpSocket::from_std(socket.into());
    let address = match socket.local_addr()? {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => address,
    };
    Ok(DatagramSocket {
        socket,
        buffer: vec![0; MAX_DATAGRAM_BYTES],
        address,
    })
}
