//! Health and metrics over HTTP.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use prometheus::{Encoder, Registry, TextEncoder};

use crate::error::ProgramError;
use crate::http::{HttpHandler, HttpLimits, HttpRequest, HttpResponse, HttpServer};

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

    /// Returns whether the process finishes what it has.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the registry of the metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Answers `GET /healthz`: the process lives.
    fn health(&self) -> HttpResponse {
        HttpResponse::json(200, self.describe())
    }

    /// Answers `GET /readyz`: 200 if new work should be sent here, else 503.
    fn readiness(&self) -> HttpResponse {
        let status = if self.is_ready() { 200 } else { 503 };
        HttpResponse::json(status, self.describe())
    }

    /// Answers `GET /metrics`.
    fn metrics(&self) -> HttpResponse {
        let mut body = Vec::new();
        let encoder = TextEncoder::new();
        match encoder.encode(&self.registry.gather(), &mut body) {
            Ok(()) => HttpResponse::text(200, body),
            Err(error) => HttpResponse::text(500, error.to_string().into_bytes()),
        }
    }

    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.stopping.load(Ordering::Relaxed)
    }

    fn describe(&self) -> String {
        let stopping = self.stopping.load(Ordering::Relaxed);
        let ready = self.is_ready();
        format!("{{\"ready\":{ready},\"stopping\":{stopping}}}")
    }
}

impl HttpHandler for AdminState {
    fn handle(&self, request: &HttpRequest) -> HttpResponse {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/healthz") => self.health(),
            ("GET", "/readyz") => self.readiness(),
            ("GET", "/metrics") => self.metrics(),
            _ => HttpResponse::text(404, b"try /healthz, /readyz or /metrics\n".to_vec()),
        }
    }
}

/// Serves the admin address.
pub fn serve_admin(
    listener: TcpListener,
    state: &Arc<AdminState>,
) -> Result<HttpServer, ProgramError> {
    HttpServer::start(listener, LIMITS, Arc::clone(state))
}
