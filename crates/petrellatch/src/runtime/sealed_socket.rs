//! A UDP socket for control messages sealed with the cluster key.

use std::net::SocketAddrV4;

use mio::{Registry, Token};
use petrellatch_proto::envelope::Envelope;
use petrellatch_proto::seal::ClusterKey;

use super::datagram_socket::{Batch, DatagramSocket};
use crate::error::ProgramError;

/// Seals sent messages, opens received ones, and drops datagrams whose seal or
/// content is wrong.
#[derive(Debug)]
pub struct SealedSocket {
    socket: DatagramSocket,
    key: RedactedKey,
    buffer: Vec<u8>,
    traffic: ControlTraffic,
}

/// Traffic of a control socket since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlTraffic {
    /// Bytes of all received datagrams.
    pub received_bytes: u64,
    /// Bytes of all sent datagrams.
    pub sent_bytes: u64,
    /// Number of datagrams dropped because their seal or content was wrong.
    pub rejected: u64,
}

/// Hides the key in debug output.
struct RedactedKey(ClusterKey);

impl std::fmt::Debug for RedactedKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey")
    }
}

impl SealedSocket {
    /// Combines a socket with the key for its messages.
    pub fn new(socket: DatagramSocket, key: ClusterKey) -> Self {
        SealedSocket {
            socket,
            key: RedactedKey(key),
            buffer: Vec::new(),
            traffic: ControlTraffic::default(),
        }
    }

    /// Registers the socket for reading.
    pub fn register(&mut self, registry: &Registry, token: Token) -> Result<(), ProgramError> {
        self.socket.register(registry, token)
    }

    /// Returns the address that the socket is bound to.
    pub fn address(&self) -> SocketAddrV4 {
        self.socket.address()
    }

    /// Passes the waiting messages to `handle`, at most one batch.
    pub fn receive_batch(&mut self, mut handle: impl FnMut(SocketAddrV4, Envelope)) -> Batch {
        let SealedSocket {
            socket,
            key,
            traffic,
            ..
        } = self;
        socket.receive_batch(|from, datagram| {
            traffic.received_bytes += datagram.len() as u64;
            match key.0.open::<Envelope>(datagram) {
                Ok(envelope) => handle(from, envelope),
                Err(_) => traffic.rejected += 1,
            }
        })
    }

    /// Sends one message.
    pub fn send(&mut self, to: SocketAddrV4, envelope: &Envelope) {
        self.key.0.seal(envelope, &mut self.buffer);
        self.traffic.sent_bytes += self.buffer.len() as u64;
        self.socket.send(to, &self.buffer);
    }

    /// Returns the traffic of the socket since the start.
    pub fn traffic(&self) -> ControlTraffic {
        self.traffic
    }
}
