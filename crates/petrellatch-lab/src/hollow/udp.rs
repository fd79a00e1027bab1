//! UDP sockets on the loopback interface.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use mio::net::UdpSocket;
use socket2::{Domain, Protocol, Socket, Type};

/// The largest datagram that UDP carries, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Most datagrams taken from a socket in one go.
const BATCH_DATAGRAMS: usize = 256;

/// A non-blocking socket with a port that the system drew.
#[derive(Debug)]
pub struct LoopbackSocket {
    pub(super) socket: UdpSocket,
    address: SocketAddrV4,
}

impl LoopbackSocket {
    /// Opens a socket with a receive buffer of this size, as far as the
    /// system allows.
    pub fn open(receive_buffer_bytes: usize) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_recv_buffer_size(receive_buffer_bytes)?;
        socket.set_nonblocking(true)?;
        let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        socket.bind(&SocketAddr::V4(any_port).into())?;
        let socket = UdpSocket::from_std(socket.into());
        let address = match socket.local_addr()? {
            SocketAddr::V4(address) => address,
            SocketAddr::V6(_) => any_port,
        };
        Ok(LoopbackSocket { socket, address })
    }

    /// Returns the address that was opened.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Hands waiting datagrams to `handle`, at most one batch. Returns whether
    /// there may be more.
    pub fn receive_batch(
        &self,
        buffer: &mut [u8],
        mut handle: impl FnMut(SocketAddrV4, &[u8]),
    ) -> bool {
        for _ in 0..BATCH_DATAGRAMS {
            match self.socket.recv_from(buffer) {
                Ok((length, SocketAddr::V4(sender))) => handle(sender, &buffer[..length]),
                Ok((_, SocketAddr::V6(_))) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                // An earlier send met a closed port; the socket goes on.
                Err(_) => {}
            }
        }
        true
    }

    /// Sends one datagram. One that can't be sent is lost, as it may be on
    /// the way.
    pub fn send(&self, to: SocketAddrV4, datagram: &[u8]) {
        let _ = self.socket.send_to(datagram, to.into());
    }
}
