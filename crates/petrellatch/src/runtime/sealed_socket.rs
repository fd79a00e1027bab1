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
    rejected: u64,
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
            rejected: 0,
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
            rejected,
            ..
        } = self;
        socket.receive_batch(|from, datagram| match key.0.open::<Envelope>(datagram) {
            Ok(envelope) => handle(from, envelope),
            Err(_) => *rejected += 1,
        })
    }

    /// Sends one message.
    pub fn send(&mut self, to: SocketAddrV4, envelope: &Envelope) {
        self.key.0.seal(envelope, &mut self.buffer);
        self.socket.send(to, &self.buffer);
    }

    /// Returns how many datagrams were dropped because their seal or content
    /// was wrong.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}
