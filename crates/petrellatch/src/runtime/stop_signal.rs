//! The wish to stop a process, as something that an event loop can wait for.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream as StdUnixStream;

use mio::net::UnixStream;
use mio::{Interest, Registry, Token};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

use crate::error::ProgramError;

/// The receiving end: every byte that arrives is one request to stop.
#[derive(Debug)]
pub struct StopSignal {
    reader: UnixStream,
    requests: usize,
}

/// How urgently the process has been asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopWish {
    /// Not asked.
    None,
    /// Asked once: finish what is in progress.
    Planned,
    /// Asked again: end at once.
    AtOnce,
}

/// Asks an event loop in this process to stop.
#[derive(Debug)]
pub struct StopHandle {
    writer: StdUnixStream,
}

impl StopSignal {
    /// Stops on SIGTERM and SIGINT.
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

    /// Stops when the handle says so.
    pub fn manual() -> Result<(Self, StopHandle), ProgramError> {
        let (signal, writer) = pair().map_err(failure)?;
        Ok((signal, StopHandle { writer }))
    }

    /// Registers the receiving end.
    pub fn register(&mut self, registry: &Registry, token: Token) -> Result<(), ProgramError> {
        registry
            .register(&mut self.reader, token, Interest::READABLE)
            .map_err(failure)
    }

    /// Returns how urgently the process has been asked to stop so far.
    pub fn check(&mut self) -> StopWish {
        let mut buffer = [0; 16];
        while let Ok(length) = self.reader.read(&mut buffer) {
            if length == 0 {
                break;
            }
            self.requests += length;
        }
        match self.requests {
            0 => StopWish::None,
            1 => StopWish::Planned,
            _ => StopWish::AtOnce,
        }
    }
}

impl StopHandle {
    /// Asks for a planned stop; asked again, the loop ends at once. A loop
    /// that has ended already needs no asking.
    pub fn stop(&mut self) {
        let _ = self.writer.write_all(&[1]);
    }

    /// Asks the loop to end at once, as if the process was killed.
    pub fn stop_at_once(&mut self) {
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
        action: "watch for the wish to stop",
        source,
    }
}
