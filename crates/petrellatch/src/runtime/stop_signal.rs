//! SIGTERM and SIGINT as something that an event loop can wait for.

use std::io::Read;

use mio::net::UnixStream;
use mio::{Interest, Registry, Token};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

use crate::error::ProgramError;

/// The read end of a socket pair that a signal writes to.
#[derive(Debug)]
pub struct StopSignal {
    reader: UnixStream,
}

impl StopSignal {
    /// Installs the handlers and registers the read end.
    pub fn register(registry: &Registry, token: Token) -> Result<Self, ProgramError> {
        install(registry, token).map_err(|source| ProgramError::System {
            action: "watch for signals",
            source,
        })
    }

    /// Returns whether a signal has arrived since the last call.
    pub fn take(&mut self) -> bool {
        let mut buffer = [0; 16];
        matches!(self.reader.read(&mut buffer), Ok(length) if length > 0)
    }
}

fn install(registry: &Registry, token: Token) -> std::io::Result<StopSignal> {
    let (reader, writer) = std::os::unix::net::UnixStream::pair()?;
    reader.set_nonblocking(true)?;
    writer.set_nonblocking(true)?;
    for signal in [SIGTERM, SIGINT] {
        pipe::register(signal, writer.try_clone()?)?;
    }
    let mut reader = UnixStream::from_std(reader);
    registry.register(&mut reader, token, Interest::READABLE)?;
    Ok(StopSignal { reader })
}
