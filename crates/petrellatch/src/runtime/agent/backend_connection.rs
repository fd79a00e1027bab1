//! One TCP connection to a back end.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddrV4};
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use petrellatch_core::agent_node::BackendEvent;
use socket2::SockRef;

/// Maximum number of bytes read from one connection before the other
/// connections are served and before the flow can pause reading.
pub(super) const READ_BUDGET_BYTES: usize = 16 * 1024;

/// A connection and the bytes that are still to be written to it.
#[derive(Debug)]
pub(super) struct BackendConnection {
    stream: TcpStream,
    phase: Phase,
    pending: Vec<u8>,
    written: usize,
    finish: bool,
    paused: bool,
    read_closed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Connecting,
    Open,
    /// The connection failed, and the flow was notified.
    Failed,
}

/// Whether a connection can make further progress without a new event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The connection waits for its next selector event.
    Blocked,
    /// The read budget was spent; serve the connection again.
    More,
}

impl BackendConnection {
    /// Starts to open a connection.
    pub(super) fn open(
        registry: &Registry,
        token: Token,
        server: SocketAddrV4,
    ) -> io::Result<BackendConnection> {
        let mut stream = TcpStream::connect(server.into())?;
        stream.set_nodelay(true)?;
        registry.register(
            &mut stream,
            token,
            Interest::READABLE.add(Interest::WRITABLE),
        )?;
        Ok(BackendConnection {
            stream,
            phase: Phase::Connecting,
            pending: Vec::new(),
            written: 0,
            finish: false,
            paused: false,
            read_closed: false,
        })
    }

    /// Replaces the pending bytes, and writes as many as the socket accepts now.
    pub(super) fn write(&mut self, bytes: Vec<u8>, notify: &mut impl FnMut(BackendEvent)) {
        self.pending = bytes;
        self.written = 0;
        if self.phase == Phase::Open {
            self.write_pending(notify);
        }
    }

    /// Returns whether the connection failed and the flow was notified.
    pub(super) fn has_failed(&self) -> bool {
        self.phase == Phase::Failed
    }

    /// Shuts down the direction to the back end once all pending bytes are written.
    pub(super) fn finish(&mut self, notify: &mut impl FnMut(BackendEvent)) {
        self.finish = true;
        if self.phase == Phase::Open {
            self.write_pending(notify);
        }
    }

    /// Pauses or resumes reading.
    pub(super) fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Reads and writes as much as is possible now, and notifies the flow.
    pub(super) fn serve(
        &mut self,
        buffer: &mut [u8],
        notify: &mut impl FnMut(BackendEvent),
    ) -> Progress {
        if self.phase == Phase::Connecting && !self.check_connected(notify) {
            return Progress::Blocked;
        }
        if self.phase == Phase::Open {
            self.write_pending(notify);
        }
        if self.phase == Phase::Open {
            return self.read(buffer, notify);
        }
        Progress::Blocked
    }

    /// Closes the connection. Unless the back end has closed its direction,
    /// the connection is reset, so that the back end can abandon its response.
    pub(super) fn close(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.stream);
        if !self.read_closed {
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }

    fn check_connected(&mut self, notify: &mut impl FnMut(BackendEvent)) -> bool {
        if let Ok(Some(_)) | Err(_) = self.stream.take_error() {
            self.phase = Phase::Failed;
            notify(BackendEvent::ConnectFailed);
            return false;
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.phase = Phase::Open;
                notify(BackendEvent::Connected);
                true
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => false,
            Err(_) => {
                self.phase = Phase::Failed;
                notify(BackendEvent::ConnectFailed);
                false
            }
        }
    }

    fn write_pending(&mut self, notify: &mut impl FnMut(BackendEvent)) {
        let wrote = !self.pending.is_empty();
        while self.written < self.pending.len() {
            match self.stream.write(&self.pending[self.written..]) {
                Ok(0) => return self.fail(notify),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.fail(notify),
            }
        }
        self.pending.clear();
        self.written = 0;
        if self.finish {
            self.finish = false;
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        if wrote {
            notify(BackendEvent::Writable);
        }
    }

    fn read(&mut self, buffer: &mut [u8], notify: &mut impl FnMut(BackendEvent)) -> Progress {
        let mut total = 0;
        while !self.paused && !self.read_closed {
            if total >= READ_BUDGET_BYTES {
                return Progress::More;
            }
            match self.stream.read(buffer) {
                Ok(0) => {
                    self.read_closed = true;
                    notify(BackendEvent::Finished);
                }
                Ok(count) => {
                    total += count;
                    notify(BackendEvent::Data(buffer[..count].to_vec()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.fail(notify),
            }
            if self.phase == Phase::Failed {
                break;
            }
        }
        Progress::Blocked
    }

    fn fail(&mut self, notify: &mut impl FnMut(BackendEvent)) {
        self.phase = Phase::Failed;
        notify(BackendEvent::Reset);
    }
}
