//! A UDP socket for control messages under the cluster key.

use std::net::SocketAddrV4;

use mio::{Registry, Token};
use petrellatch_proto::envelope::Envelope;
use petrellatch_proto::seal::ClusterKey;

use super::datagram_socket::{Batch, DatagramSocket};
use crate::error::ProgramError;

/// Seals what is sent, opens what arrives, and drops what is foreign.
#[derive(Debug)]
pub struct SealedSocket {
    socket: DatagramSocket,
    key: ClusterKeyHolder,
    buffer: Vec<u8>,
    traffic: ControlTraffic,
}

/// What went through a control socket since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlTraffic {
    /// Bytes of all datagrams that arrived.
    pub received_bytes: u64,
    /// Bytes of all datagrams that were sent.
    pub sent_bytes: u64,
    /// Datagrams that were dropped because their seal or content was wrong.
    pub rejected: u64,
}

/// Keeps the key out of debug output.
struct ClusterKeyHolder(ClusterKey);

impl std::fmt::Debug for ClusterKeyHolder {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey")
    }
}

impl SealedSocket {
    /// Puts a key on a socket.
    pub fn new(socket: DatagramSocket, key: ClusterKey) -> Self {
        SealedSocket {
            socket,
            key: ClusterKeyHolder(key),
            buffer: Vec::new(),
            traffic: ControlTraffic::default(),
        }
    }

    /// Registers the socket for reading.
    pub fn register(&mut self, registry: &Registry, token: Token) -> Result<(), ProgramError> {
        self.socket.register(registry, token)
    }

    /// Returns the address that was opened.
    pub fn address(&self) -> SocketAddrV4 {
        self.socket.address()
    }

    /// Hands every waiting message to `handle`, at most one batch.
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

    /// Returns what went through the socket.
    pub fn traffic(&self) -> ControlTraffic {
        self.traffic
    }
}
