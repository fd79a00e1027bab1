//! What workers are told and what they report.

use std::sync::mpsc::Sender;
use std::time::Duration;

use super::arrivals::Arrival;
use super::fleet::DaemonPlan;
use super::traffic::Traffic;

/// What a worker is told.
pub enum Order {
    /// Starts daemons over this time, with stored copies of `version`.
    Start {
        /// The daemons.
        plans: Vec<DaemonPlan>,
        /// The version that their copies have.
        version: u64,
        /// The time over which they start.
        spread: Duration,
    },
    /// Begins to measure.
    Begin,
    /// Ends to measure; the answer is sent to the channel.
    End(Sender<WorkerReport>),
    /// Restarts all daemons at once, without notice.
    RestartAll,
    /// Restarts one daemon as planned.
    Restart(usize),
    /// Loses the machine of one daemon.
    Fail(usize),
    /// Ends the thread.
    Stop,
}

/// What one daemon sent and received while it was measured.
#[derive(Clone, Copy, Debug)]
pub struct DaemonReport {
    /// Received.
    pub received: Traffic,
    /// Sent.
    pub sent: Traffic,
    /// Whether it served children.
    pub is_relay: bool,
}

/// What was measured by one worker.
#[derive(Clone, Debug)]
pub struct WorkerReport {
    /// How long.
    pub elapsed: Duration,
    /// Processor time of the thread.
    pub processor_time: Duration,
    /// Each daemon.
    pub daemons: Vec<DaemonReport>,
    /// Steps to newer versions.
    pub arrivals: Vec<Arrival>,
    /// Lives that were fenced.
    pub fences: u64,
}

/// How far a worker's daemons are.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Daemons that were started.
    pub started: usize,
    /// Daemons that may do their job.
    pub serving: usize,
    /// The least version in force.
    pub least_version: u64,
}
