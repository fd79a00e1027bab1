//! Health and metrics over HTTP.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use prometheus::{Encoder, Registry, TextEncoder};

use crate::error::ProgramError;
use crate::http::{HttpHandler, HttpLimits, HttpRequest, HttpResponse, HttpServer, open_listener};

/// Threads and bounds of the admin server.
const LIMITS: HttpLimits = HttpLimits {
    workers: 2,
    requests: 16,
    body_bytes: 1_024,
};

/// What the admin address tells.
#[derive(Debug, Default)]
pub struct AdminState {
    ready: AtomicBool,
    stopping: AtomicBool,
    registry: Registry,
}

impl AdminState {
    /// Makes the state of a process that is not ready.
    pub fn new() -> Arc<Self> {
        Arc::new(AdminState::default())
    }

    /// Says whether the process can serve.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Says that the process finishes what it has.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns the registry of the metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Answers `GET /health`.
    pub fn health(&self) -> HttpResponse {
        let stopping = self.stopping.load(Ordering::Relaxed);
        let ready = self.ready.load(Ordering::Relaxed) && !stopping;
        let status = if ready { 200 } else { 503 };
        let body = format!("{{\"ready\":{ready},\"stopping\":{stopping}}}");
        HttpResponse::json(status, body)
    }

    /// Answers `GET /metrics`.
    pub fn metrics(&self) -> HttpResponse {
        let mut body = Vec::new();
        let encoder = TextEncoder::new();
        match encoder.encode(&self.registry.gather(), &mut body) {
            Ok(()) => HttpResponse::text(200, body),
            Err(error) => HttpResponse::text(500, error.to_string().into_bytes()),
        }
    }
}

impl HttpHandler for AdminState {
    fn handle(&self, request: &HttpRequest) -> HttpResponse {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/health") => self.health(),
            ("GET", "/metrics") => self.metrics(),
            _ => HttpResponse::text(404, b"try /health or /metrics\n".to_vec()),
        }
    }
}

/// Opens the admin address and serves it.
pub fn open_admin(
    address: SocketAddrV4,
    state: &Arc<AdminState>,
) -> Result<HttpServer, ProgramError> {
    let listener = open_listener(address, "health and metrics")?;
    HttpServer::start(listener, LIMITS, Arc::clone(state))
}
