//! A back end: slots, a queue, a cold start and shedding.

use std::collections::VecDeque;
use std::time::Duration;

use petrellatch_core::Timestamp;

use super::flow::COLD_FACTOR;
use super::system::Connection;

/// Requests that wait at most; further ones are shed.
const QUEUE_LIMIT: usize = 200;

/// How long a back end is cold after a start.
const COLD_TIME: Duration = Duration::from_secs(10);

/// A request at a back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Where it came from.
    pub connection: Connection,
    /// The request.
    pub request: u64,
    /// How long it takes on a warm back end.
    pub service_time: Duration,
    /// When it arrived.
    pub arrived_at: Timestamp,
}

/// What a back end does about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Intake {
    /// It runs for so long.
    Runs(Duration),
    /// It waits for a slot.
    Waits,
    /// It is shed: it does not run.
    Shed,
}

/// One back end. It does no work while it is down.
#[derive(Clone, Debug)]
pub struct Server {
    slots: u32,
    busy: u32,
    queue: VecDeque<Job>,
    started_at: Option<Timestamp>,
    /// Counts starts, so that what an earlier life began is ignored.
    pub life: u32,
    /// Whether the machine is up.
    pub is_up: bool,
    /// Until when it accepts no connections.
    pub sheds_until: Timestamp,
    /// Until when its load endpoint says that it is idle.
    pub lies_until: Timestamp,
}

impl Server {
    /// Starts warm.
    pub fn new(slots: u32) -> Self {
        Server {
            slots,
            busy: 0,
            queue: VecDeque::new(),
            started_at: None,
            life: 0,
            is_up: true,
            sheds_until: Timestamp::ZERO,
            lies_until: Timestamp::ZERO,
        }
    }

    /// Returns the requests that are worked on.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Returns the requests that are worked on or wait, as its load endpoint
    /// says.
    pub fn reported_load(&self, now: Timestamp) -> u32 {
        if now < self.lies_until {
            return 0;
        }
        self.busy + u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether it accepts connections.
    pub fn accepts(&self, now: Timestamp) -> bool {
        self.is_up && now >= self.sheds_until
    }

    /// Returns whether it works at full speed.
    pub fn is_warm(&self, now: Timestamp) -> bool {
        self.started_at
            .is_none_or(|started| now.saturating_since(started) >= COLD_TIME)
    }

    /// The machine dies with all that is on it.
    pub fn die(&mut self) {
        self.is_up = false;
        self.busy = 0;
        self.queue.clear();
        self.life += 1;
    }

    /// The machine starts again, cold.
    pub fn start(&mut self, now: Timestamp) {
        self.is_up = true;
        self.started_at = Some(now);
    }

    /// Takes a request.
    pub fn take(&mut self, now: Timestamp, job: Job) -> Intake {
        if self.busy < self.slots {
            self.busy += 1;
            return Intake::Runs(self.duration(now, job.service_time));
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return Intake::Shed;
        }
        self.queue.push_back(job);
        Intake::Waits
    }

    /// A request is finished. Returns the one that gets its slot, with the
    /// time that it takes.
    pub fn finish(&mut self, now: Timestamp) -> Option<(Job, Duration)> {
        let Some(job) = self.queue.pop_front() else {
            self.busy = self.busy.saturating_sub(1);
            return None;
        };
        let duration = self.duration(now, job.service_time);
        Some((job, duration))
    }

    /// Forgets the waiting requests of a connection that is gone.
    pub fn forget(&mut self, connection: Connection) {
        self.queue.retain(|job| job.connection != connection);
    }

    fn duration(&self, now: Timestamp, service_time: Duration) -> Duration {
        let Some(started) = self.started_at else {
            return service_time;
        };
        let age = now.saturating_since(started).as_secs_f64() / COLD_TIME.as_secs_f64();
        let coldest = f64::from(COLD_FACTOR);
        let factor = coldest - (coldest - 1.0) * age.min(1.0);
        service_time.mul_f64(factor)
    }
}
