//! Command-line options of the caller stand-in.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use gumdrop::Options;
use snafu::{OptionExt, ResultExt, Snafu};

/// A service and the address of its edge listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerTarget {
    /// Name of the service, as its back ends give it.
    pub service: String,
    /// Where callers connect.
    pub edge: SocketAddr,
}

/// Why a `--target` value was refused.
#[derive(Debug, Snafu)]
pub enum CallerTargetError {
    /// There is no equals sign.
    #[snafu(display("`{value}` is not of the form SERVICE=ADDR"))]
    Form {
        /// The value given.
        value: String,
    },
    /// The right side is no address.
    #[snafu(display("`{value}` is not an address: {source}"))]
    Edge {
        /// The right side.
        value: String,
        /// The cause.
        source: std::net::AddrParseError,
    },
}

impl FromStr for CallerTarget {
    type Err = CallerTargetError;

    fn from_str(text: &str) -> Result<CallerTarget, CallerTargetError> {
        let (service, edge) = text.split_once('=').context(FormSnafu { value: text })?;
        Ok(CallerTarget {
            service: service.to_owned(),
            edge: edge.parse().context(EdgeSnafu { value: edge })?,
        })
    }
}

/// HTTP callers that check every byte of every answer.
///
/// Sends lookups, filings and downloads, one connection a request, until the
/// time is over; asks the back ends what they ran; and prints one line with
/// the counts. The exit code is 0 if nothing was broken, duplicated or
/// misrouted.
#[derive(Clone, Debug, Options)]
pub struct CallerOptions {
    /// Print this help.
    pub help: bool,
    /// A service and its edge listener; may be repeated.
    #[options(no_short, required, meta = "SERVICE=ADDR")]
    pub target: Vec<CallerTarget>,
    /// Address of a back end whose executions are counted; may be repeated.
    #[options(no_short, meta = "ADDR")]
    pub backend: Vec<SocketAddr>,
    /// Admin address of the fabric, which knows whether a reset was a refusal.
    #[options(no_short, meta = "ADDR")]
    pub fabric_admin: Option<SocketAddr>,
    /// Callers a service that send short requests one after the other.
    #[options(no_short, default = "8", meta = "N")]
    pub callers: usize,
    /// Callers a service that download one after the other.
    #[options(no_short, default = "2", meta = "N")]
    pub downloaders: usize,
    /// Bytes of a download.
    #[options(no_short, default = "500000", meta = "N")]
    pub download_bytes: u64,
    /// Bytes a second of a download; zero means no limit.
    #[options(no_short, default = "100000", meta = "N")]
    pub download_rate: u64,
    /// Seconds during which requests are begun.
    #[options(no_short, default = "10", meta = "N")]
    pub seconds: u64,
    /// Milliseconds between two requests of one caller.
    #[options(no_short, default = "10", meta = "N")]
    pub pause_ms: u64,
    /// Prefix of the request identifiers; two runs against the same back ends
    /// need different ones.
    #[options(no_short, default = "run", meta = "TEXT")]
    pub prefix: String,
    /// Log at debug level.
    #[options(no_short)]
    pub verbose: bool,
}

impl CallerOptions {
    /// Returns the time between two requests of one caller.
    pub fn pause(&self) -> Duration {
        Duration::from_millis(self.pause_ms)
    }
}
