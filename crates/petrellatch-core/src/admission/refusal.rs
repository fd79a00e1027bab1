//! What the caller of a refused flow gets.

use std::time::Duration;

use petrellatch_proto::record::{RefusalMode, ServiceRecord};

/// The header that marks a refused request as one that did not run.
pub const NOT_RUN_HEADER: &str = "X-Petrellatch-Not-Run";

/// The longest time that a caller is told to stay away.
const MAXIMUM_RETRY_AFTER: Duration = Duration::from_secs(60);

/// A refusal of one flow, made at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The flow is reset.
    Reset,
    /// The request is answered with HTTP status 503.
    HttpUnavailable {
        /// When the caller may come back.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Makes the refusal that the service is set up for. `expected_wait` is
    /// the time until a slot is expected to be free.
    pub fn of(service: &ServiceRecord, expected_wait: Duration) -> Refusal {
        match service.refusal() {
            RefusalMode::Reset => Refusal::Reset,
            RefusalMode::HttpUnavailable => Refusal::HttpUnavailable {
                retry_after: expected_wait.min(MAXIMUM_RETRY_AFTER),
            },
        }
    }

    /// Returns the bytes of the answer, none for a reset.
    pub fn answer(&self) -> Option<Vec<u8>> {
        let Refusal::HttpUnavailable { retry_after } = self else {
            return None;
        };
        // The header counts whole seconds (RFC 9110, section 10.2.3), and a
        // caller must not come back too early.
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
        let answer = format!(
            "HTTP/1.1 503 Service Unavailable\r\n\
             Retry-After: {seconds}\r\n\
             {NOT_RUN_HEADER}: 1\r\n\
             Content-Length: 0\r\n\
             Connection: close\r\n\r\n"
        );
        Some(answer.into_bytes())
    }
}
