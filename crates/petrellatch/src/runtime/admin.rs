//! The admin server: health, readiness and metrics over HTTP.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use prometheus::{Encoder, Registry, TextEncoder};

use crate::error::ProgramError;
use crate::http::{HttpHandler, HttpLimits, HttpRequest, HttpResponse, HttpServer};

/// Threads and request limits of the admin server.
const LIMITS: HttpLimits = HttpLimits {
    workers: 2,
    requests: 16,
    body_bytes: 1_024,
};

/// The state that the admin server reports.
#[derive(Debug, Default)]
pub struct AdminState {
    ready: AtomicBool,
    stopping: AtomicBool,
    registry: Registry,
}

impl AdminState {
    /// Creates the state of a process that is not ready.
    pub fn new() -> Arc<Self> {
        Arc::new(AdminState::default())
    }

    /// Sets whether the process can serve.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Marks the process as stopping: it finishes its open flows and requests.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the metrics registry.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Handles `GET /healthz`: 200 while the process runs.
    fn health(&self) -> HttpResponse {
        HttpResponse::json(200, self.describe())
    }

    /// Handles `GET /readyz`: 200 if new work should be sent here, else 503.
    fn readiness(&self) -> HttpResponse {
        let status = if self.is_ready() { 200 } else { 503 };
        HttpResponse::json(status, self.describe())
    }

    /// Handles `GET /metrics`.
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

/// Starts the admin server.
pub fn serve_admin(
    listener: TcpListener,
    state: &Arc<AdminState>,
) -> Result<HttpServer, ProgramError> {
    HttpServer::start(listener, LIMITS, Arc::clone(state))
}
