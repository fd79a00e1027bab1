//! The fabric's HTTP endpoint for counters and connection outcomes.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use serde::Serialize;
use tiny_http::{Response, Server};

use super::counters::FabricCounters;
use super::outcomes::{FlowOutcome, OutcomeLog};
use crate::support::http_server::{json_response, not_found};
use crate::support::process::StopFlag;

/// How often the endpoint looks whether it is to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// State that the packet loop shares with the admin endpoint.
#[derive(Clone, Debug, Default)]
pub struct SharedStatus(Arc<Mutex<Status>>);

/// What the admin endpoint shows.
#[derive(Debug, Default)]
pub struct Status {
    /// Counters since the start.
    pub counters: FabricCounters,
    /// How the latest edge connections ended.
    pub outcomes: OutcomeLog,
}

impl SharedStatus {
    /// Gives access to the status.
    pub fn lock(&self) -> MutexGuard<'_, Status> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The answer to `GET /outcome?client=ADDR`.
#[derive(Debug, Serialize, serde::Deserialize)]
pub struct OutcomeAnswer {
    /// How the connection ended, or nothing when it is open or unknown.
    pub outcome: Option<FlowOutcome>,
}

/// A running admin endpoint.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    thread: JoinHandle<()>,
}

impl AdminServer {
    /// Starts the endpoint on its own thread.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub fn start(listen: SocketAddr, status: SharedStatus, stop: StopFlag) -> io::Result<Self> {
        let server = Server::http(listen).map_err(io::Error::other)?;
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| io::Error::other("the admin endpoint has no IP address"))?;
        let thread = std::thread::spawn(move || serve(&server, &status, &stop));
        Ok(AdminServer { address, thread })
    }

    /// Returns the address it serves on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until it has stopped.
    pub fn join(self) {
        // A panic there was already reported on standard error.
        let _ = self.thread.join();
    }
}

fn serve(server: &Server, status: &SharedStatus, stop: &StopFlag) {
    while !stop.is_set() {
        if let Ok(Some(request)) = server.recv_timeout(STOP_CHECK_INTERVAL) {
            let response = answer(request.url(), status);
            // The client may be gone, which is its own affair.
            let _ = request.respond(response);
        }
    }
}

fn answer(url: &str, status: &SharedStatus) -> Response<io::Cursor<Vec<u8>>> {
    if url == "/counters" {
        return json_response(&status.lock().counters);
    }
    let client = url
        .strip_prefix("/outcome?client=")
        .and_then(|client| client.parse().ok());
    match client {
        Some(client) => json_response(&OutcomeAnswer {
            outcome: status.lock().outcomes.find(client),
        }),
        None => not_found(),
    }
}
