//! Processor time and memory as the kernel counts them.

use std::fs;
use std::time::Duration;

/// Returns the processor time that the calling thread has used. Zero where
/// the kernel doesn't tell.
pub fn thread_processor_time() -> Duration {
    let content = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = content.split_whitespace().next();
    let nanoseconds = nanoseconds.and_then(|it| it.parse().ok()).unwrap_or(0);
    Duration::from_nanos(nanoseconds)
}

/// Returns the resident memory of this process in bytes. Zero where the
/// kernel doesn't tell.
pub fn resident_bytes() -> u64 {
    const KILOBYTE: u64 = 1_024;
    let content = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = content.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.and_then(|it| it.parse().ok()).unwrap_or(0) * KILOBYTE
}
