//! Command-line options of the platform stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;

/// The platform's list of live and leaving machines.
///
/// Answers GET /machines with a JSON array of names, each with whether the
/// machine is leaving, as the list was some time ago.
#[derive(Clone, Debug, Options)]
pub struct PlatformOptions {
    /// Print this help.
    pub help: bool,
    /// HTTP address; port 0 draws one.
    #[options(no_short, required, meta = "ADDR")]
    pub listen: Option<SocketAddr>,
    /// File of machines, one name a line, followed by "leaving" for one that
    /// is. Read again when changed.
    #[options(no_short, required, meta = "FILE")]
    pub machines_file: PathBuf,
    /// How far the list lags, in milliseconds.
    #[options(no_short, default = "3000", meta = "N")]
    pub lag_ms: u64,
    /// Log at debug level.
    #[options(no_short)]
    pub verbose: bool,
}

impl PlatformOptions {
    /// Returns how far the list lags.
    pub fn lag(&self) -> Duration {
        Duration::from_millis(self.lag_ms)
    }
}
