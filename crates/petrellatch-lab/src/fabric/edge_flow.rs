//! One edge connection: an ordinary TCP client on one side, a flow of packets
//! on the other.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::event::Event;
use mio::net::TcpStream;
use petrellatch_core::Timestamp;
use socket2::SockRef;

use crate::caller::{CallerEndpoint, CallerState, ReadStatus};

/// Bytes taken from the client at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// A client connection and its flow.
///
/// Bytes are taken from either side only as fast as the other accepts them,
/// and the closing of either direction and resets are passed on.
pub struct EdgeFlow {
    client: SocketAddr,
    stream: TcpStream,
    endpoint: CallerEndpoint,
    readable: bool,
    writable: bool,
    client_finished: bool,
    peer_finished: bool,
}

impl EdgeFlow {
    /// Joins a client connection to a new flow.
    pub fn new(client: SocketAddr, stream: TcpStream, endpoint: CallerEndpoint) -> EdgeFlow {
        EdgeFlow {
            client,
            stream,
            endpoint,
            readable: false,
            writable: false,
            client_finished: false,
            peer_finished: false,
        }
    }

    /// Returns the client's address.
    pub fn client(&self) -> SocketAddr {
        self.client
    }

    /// Returns the client connection, for registration.
    pub fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Returns how far the flow has come.
    pub fn state(&self) -> CallerState {
        self.endpoint.state()
    }

    /// Tells whether nothing remains to be done for the client.
    pub fn is_done(&self) -> bool {
        self.state().is_failure() || (self.state() == CallerState::Finished && self.peer_finished)
    }

    /// Takes note of what the kernel says about the client connection.
    pub fn handle_event(&mut self, event: &Event) {
        self.readable |= event.is_readable() || event.is_read_closed();
        self.writable |= event.is_writable();
        // After the client's end of stream nothing is read any more, so a
        // reset would go unnoticed.
        if event.is_error() && !matches!(self.stream.take_error(), Ok(None)) {
            self.endpoint.abort();
        }
    }

    /// Takes in a packet addressed to this flow.
    pub fn handle_packet(&mut self, now: Timestamp, packet: &[u8]) {
        self.endpoint.handle_packet(now, packet);
    }

    /// Returns when to call [`transfer`](Self::transfer) if nothing else
    /// happens.
    pub fn poll_timeout(&mut self, now: Timestamp) -> Option<Timestamp> {
        self.endpoint.poll_timeout(now)
    }

    /// Moves bytes in both directions as far as they go, and appends the
    /// packets to send to `packets`.
    pub fn transfer(&mut self, now: Timestamp, packets: &mut Vec<Vec<u8>>) {
        loop {
            let sent = self.transfer_to_peer();
            let received = self.transfer_to_client();
            while let Some(packet) = self.endpoint.poll_packet(now) {
                packets.push(packet);
            }
            if !sent && !received {
                return;
            }
        }
    }

    /// Ends the client connection after the flow has ended: in order if the
    /// flow did, else by a reset. The endpoint remains for late packets.
    pub fn finish_client(self) -> CallerEndpoint {
        if self.state().is_failure() {
            // With a linger time of zero the kernel sends RST on close. Where
            // that cannot be set the client sees an ordinary end of stream.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
        self.endpoint
    }

    fn transfer_to_peer(&mut self) -> bool {
        let mut buffer = [0; READ_CHUNK_BYTES];
        let length = self.endpoint.write_capacity().min(buffer.len());
        if !self.readable || self.client_finished || length == 0 {
            return false;
        }
        match self.stream.read(&mut buffer[..length]) {
            Ok(0) => {
                self.client_finished = true;
                self.endpoint.close();
            }
            Ok(read) => {
                let written = self.endpoint.write(&buffer[..read]);
                debug_assert_eq!(written, read, "the capacity was checked");
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.readable = false;
                return false;
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => self.endpoint.abort(),
        }
        true
    }

    fn transfer_to_client(&mut self) -> bool {
        if self.peer_finished || !self.writable {
            return false;
        }
        let mut result = Ok(0);
        let stream = &mut self.stream;
        let status = self.endpoint.read_with(|bytes| {
            if !bytes.is_empty() {
                result = stream.write(bytes);
            }
            *result.as_ref().unwrap_or(&0)
        });
        match result {
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.writable = false,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return true,
            Err(_) => self.endpoint.abort(),
        }
        match status {
            ReadStatus::Bytes(_) => true,
            ReadStatus::Pending | ReadStatus::Failed => false,
            ReadStatus::EndOfStream => {
                self.peer_finished = true;
                // The client may already have gone, which ends the same way.
                let _ = self.stream.shutdown(Shutdown::Write);
                false
            }
        }
    }
}
