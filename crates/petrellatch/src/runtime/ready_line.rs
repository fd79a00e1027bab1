//! The ready line: printed to standard output once all sockets are bound.

use std::io::{self, Write};
use std::net::SocketAddrV4;

use serde::Serialize;

/// The addresses of a process, printed as one line of JSON.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReadyLine {
    /// Always true.
    pub ready: bool,
    /// The node name.
    pub name: String,
    /// The incarnation of a control replica's data folder, as `ctl replica add`
    /// expects it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<String>,
    /// Control messages (UDP).
    pub control: Option<SocketAddrV4>,
    /// Caller packets (UDP).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data: Option<SocketAddrV4>,
    /// Health and metrics (HTTP).
    pub admin: Option<SocketAddrV4>,
    /// Operators (HTTP).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub operator: Option<SocketAddrV4>,
}

impl ReadyLine {
    /// Prints the line. A closed standard output is ignored.
    pub fn print(&self) {
        let line = serde_json::to_string(self).unwrap_or_default();
        let mut output = io::stdout().lock();
        let _ = writeln!(output, "{line}");
        let _ = output.flush();
    }
}
