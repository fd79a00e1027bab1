//! Figures of a measurement.

use std::fmt;
use std::fs;
use std::time::Duration;

/// Bytes of a page of memory on the machines that this is meant for.
const PAGE_BYTES: u64 = 4_096;

/// One measured figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    name: String,
    value: f64,
    unit: &'static str,
}

impl Figure {
    /// Makes a figure.
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Figure {
            name: name.into(),
            value,
            unit,
        }
    }

    /// Makes the figure of a rate.
    pub fn rate(name: impl Into<String>, count: u64, time: Duration, unit: &'static str) -> Self {
        Figure::new(name, count as f64 / time.as_secs_f64(), unit)
    }

    /// Makes the figure of the memory that this process has now.
    pub fn memory(name: impl Into<String>) -> Self {
        let megabytes = resident_bytes() as f64 / 1e6;
        Figure::new(name, megabytes, "MB")
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:<52} {:>14.2} {}",
            self.name, self.value, self.unit
        )
    }
}

/// Returns the resident memory of this process, zero where the system does not
/// tell.
pub fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|it| it.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
