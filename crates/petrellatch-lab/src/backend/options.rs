//! Command-line options of the back-end stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;

/// An HTTP server that stands in for one back end of a service.
///
/// Answers GET /lookup?id=ID, GET /map?bytes=N&rate=BYTES_PER_SECOND&id=ID and
/// POST /filing, and for observation GET /executions, /health and /load.
#[derive(Clone, Debug, Options)]
pub struct BackendOptions {
    /// Print this help.
    pub help: bool,
    /// Address to serve on; port 0 draws one.
    #[options(no_short, required, meta = "ADDR")]
    pub listen: Option<SocketAddr>,
    /// Name of this back end, as in X-Backend.
    #[options(no_short, required, meta = "NAME")]
    pub name: String,
    /// Name of the service it belongs to, as in X-Service.
    #[options(no_short, required, meta = "NAME")]
    pub service: String,
    /// Requests run at once.
    #[options(no_short, default = "7", meta = "N")]
    pub slots: usize,
    /// Requests that may wait for a slot; more are shed with 503.
    #[options(no_short, default = "7", meta = "N")]
    pub queue: usize,
    /// Connections held at once; more are answered 503 and closed.
    #[options(no_short, default = "2000", meta = "N")]
    pub connections: usize,
    /// Mean service time in milliseconds.
    #[options(no_short, default = "5", meta = "N")]
    pub mean_ms: u64,
    /// Draw service times with a heavy tail in place of an exponential one.
    #[options(no_short)]
    pub tail: bool,
    /// Milliseconds after the start during which requests run slower.
    #[options(no_short, default = "0", meta = "N")]
    pub cold_start_ms: u64,
    /// Seed of the service times.
    #[options(no_short, default = "1", meta = "N")]
    pub seed: u64,
    /// Longest time in milliseconds that a stop waits for open requests.
    #[options(no_short, default = "60000", meta = "N")]
    pub stop_ms: u64,
    /// Log at debug level.
    #[options(no_short)]
    pub verbose: bool,
}

impl BackendOptions {
    /// Returns the mean service time.
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_millis(self.mean_ms)
    }

    /// Returns how long the cold start lasts.
    pub fn cold_start(&self) -> Duration {
        Duration::from_millis(self.cold_start_ms)
    }
}
