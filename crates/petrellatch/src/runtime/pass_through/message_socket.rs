//! Messages between processes, in datagrams that are not sealed.
//!
//! The tier runs where no secret is handed out. The mark in front keeps stray
//! datagrams out; it does not protect against a forger inside the network.

use std::net::SocketAddrV4;

use mio::{Registry, Token};
use petrellatch_proto::pass_through::{PassThroughBody, PassThroughMessage};
use prost::Message;

use crate::error::ProgramError;
use crate::runtime::datagram_socket::{Batch, DatagramSocket};

/// In front of every datagram.
const MAGIC: [u8; 4] = *b"PLP1";
/// Receive buffer of the system, in bytes.
const SYSTEM_BUFFER_BYTES: usize = 256 * 1024;

/// The socket.
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

    /// Hands out the messages that have arrived.
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

    /// Datagrams that could not be read.
    pub(super) fn malformed(&self) -> u64 {
        self.malformed
    }
}
