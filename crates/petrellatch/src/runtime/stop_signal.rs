//! Requests to stop a process, from signals or a handle, which an event loop
//! can wait for.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream as StdUnixStream;

use mio::net::UnixStream;
use mio::{Interest, Registry, Token};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

use crate::error::ProgramError;

/// The receiving end of stop requests. Each received byte is one request.
#[derive(Debug)]
pub struct StopSignal {
    reader: UnixStream,
    requests: usize,
}

/// How the process was requested to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopRequest {
    /// No request was received.
    None,
    /// One request: finish the work in progress, then stop.
    Graceful,
    /// Two or more requests: stop immediately.
    Immediate,
}

/// Requests an event loop in this process to stop.
#[derive(Debug)]
pub struct StopHandle {
    writer: StdUnixStream,
}

impl StopSignal {
    /// Creates a stop signal for SIGTERM and SIGINT.
    pub fn from_signals() -> Result<Self, ProgramError> {
        let connect = || -> std::io::Result<Self> {
            let (signal, writer) = pair()?;
            for number in [SIGTERM, SIGINT] {
                pipe::register(number, writer.try_clone()?)?;
            }
            Ok(signal)
        };
        connect().map_err(failure)
    }

    /// Creates a stop signal that is controlled by the returned handle.
    pub fn manual() -> Result<(Self, StopHandle), ProgramError> {
        let (signal, writer) = pair().map_err(failure)?;
        Ok((signal, StopHandle { writer }))
    }

    /// Registers the receiving end with a selector.
    pub fn register(&mut self, registry: &Registry, token: Token) -> Result<(), ProgramError> {
        registry
            .register(&mut self.reader, token, Interest::READABLE)
            .map_err(failure)
    }

    /// Returns the most urgent stop request so far.
    pub fn check(&mut self) -> StopRequest {
        let mut buffer = [0; 16];
        while let Ok(length) = self.reader.read(&mut buffer) {
            if length == 0 {
                break;
            }
            self.requests += length;
        }
        match self.requests {
            0 => StopRequest::None,
            1 => StopRequest::Graceful,
            _ => StopRequest::Immediate,
        }
    }
}

impl StopHandle {
    /// Requests a graceful stop; a second call requests an immediate one. Does
    /// nothing if the loop has ended already.
    pub fn stop(&mut self) {
        let _ = self.writer.write_all(&[1]);
    }

    /// Requests an immediate stop, as if the process was killed.
    pub fn stop_immediately(&mut self) {
        let _ = self.writer.write_all(&[1, 1]);
    }
}

fn pair() -> std::io::Result<(StopSignal, StdUnixStream)> {
    let (reader, writer) = StdUnixStream::pair()?;
    reader.set_nonblocking(true)?;
    writer.set_nonblocking(true)?;
    let signal = StopSignal {
        reader: UnixStream::from_std(reader),
        requests: 0,
    };
    Ok((signal, writer))
}

fn failure(source: std::io::Error) -> ProgramError {
    ProgramError::System {
        action: "set up the stop signal",
        source,
    }
}
