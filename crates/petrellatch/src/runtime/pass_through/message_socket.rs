//! Messages between processes, in datagrams without authentication.
//!
//! The tier runs where processes have no shared secret. The magic bytes at the start
//! of each datagram filter out stray datagrams; they don't protect against forged
//! messages from inside the network.

use std::net::SocketAddrV4;

use mio::{Registry, Token};
use petrellatch_proto::pass_through::{PassThroughBody, PassThroughMessage};
use prost::Message;

use crate::error::ProgramError;
use crate::runtime::datagram_socket::{Batch, DatagramSocket};

/// Magic bytes at the start of every datagram.
const MAGIC: [u8; 4] = *b"PLP1";
/// Size of the system's receive buffer, in bytes.
const SYSTEM_BUFFER_BYTES: usize = 256 * 1024;

/// The UDP socket for messages between processes.
#[derive(Debug)]
pub(super) struct MessageSocket {
    socket: DatagramSocket,
    buffer: Vec<u8>,
    malformed: u64,
}

impl MessageSocket {
    pub(super) fn open(
        address: SocketAddrV4,
        registry: &Registry,
        token: Token,
    ) -> Result<Self, ProgramError> {
        let mut socket = DatagramSocket::open(address, "messages", SYSTEM_BUFFER_BYTES)?;
        socket.register(registry, token)?;
        Ok(MessageSocket {
            socket,
            buffer: Vec::new(),
            malformed: 0,
        })
    }

    /// Passes the messages that have arrived, up to one batch, to `handle`.
    pub(super) fn receive(
        &mut self,
        mut handle: impl FnMut(SocketAddrV4, PassThroughBody),
    ) -> Batch {
        let malformed = &mut self.malformed;
        self.socket.receive_batch(|from, datagram| {
            let message = datagram
                .strip_prefix(&MAGIC)
                .and_then(|bytes| PassThroughMessage::decode(bytes).ok());
            match message.and_then(|message| message.body) {
                Some(body) => handle(from, body),
                None => *malformed += 1,
            }
        })
    }

    pub(super) fn send(&mut self, to: SocketAddrV4, body: PassThroughBody) {
        self.buffer.clear();
        self.buffer.extend_from_slice(&MAGIC);
        let message = PassThroughMessage { body: Some(body) };
        if message.encode(&mut self.buffer).is_ok() {
            self.socket.send(to, &self.buffer);
        }
    }

    /// Number of datagrams that could not be decoded.
    pub(super) fn malformed(&self) -> u64 {
        self.malformed
    }
}
