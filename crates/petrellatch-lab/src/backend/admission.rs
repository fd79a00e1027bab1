//! The slots of a back end and the bounded queue in front of them.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Why a request was not given a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shed {
    /// The queue was full.
    QueueFull,
    /// Its deadline passed while it waited.
    DeadlinePassed,
    /// The caller gave it up while it waited.
    Cancelled,
}

/// How busy a back end is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests that are running.
    pub busy: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
}

/// A counting semaphore with a bounded queue.
#[derive(Debug)]
pub struct Slots {
    slots: usize,
    queue: usize,
    occupancy: Mutex<Occupancy>,
    freed: Condvar,
}

/// A slot in use; it is free again when this is dropped.
#[derive(Debug)]
pub struct SlotGuard<'slots> {
    slots: &'slots Slots,
}

impl Slots {
    /// How often a waiting request looks whether its caller is still there.
    const CANCELLATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

    /// Makes `slots` free slots with room for `queue` waiting requests.
    pub fn new(slots: usize, queue: usize) -> Slots {
        Slots {
            slots,
            queue,
            occupancy: Mutex::default(),
            freed: Condvar::new(),
        }
    }

    /// Returns how many slots there are.
    pub fn total(&self) -> usize {
        self.slots
    }

    /// Returns how busy the slots are.
    pub fn occupancy(&self) -> Occupancy {
        *self.lock()
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// Fails when the queue is full, the deadline passes or `is_cancelled`
    /// says that nobody waits for the answer any more.
    pub fn acquire(
        &self,
        deadline: Option<Instant>,
        is_cancelled: impl Fn() -> bool,
    ) -> Result<SlotGuard<'_>, Shed> {
        let mut occupancy = self.lock();
        if occupancy.busy < self.slots {
            occupancy.busy += 1;
            return Ok(SlotGuard { slots: self });
        }
        if occupancy.waiting >= self.queue {
            return Err(Shed::QueueFull);
        }
        occupancy.waiting += 1;
        self.wait(occupancy, deadline, is_cancelled)?;
        Ok(SlotGuard { slots: self })
    }

    /// Waits in the queue and leaves it with a slot or a reason.
    fn wait(
        &self,
        mut occupancy: MutexGuard<'_, Occupancy>,
        deadline: Option<Instant>,
        is_cancelled: impl Fn() -> bool,
    ) -> Result<(), Shed> {
        loop {
            if let Some(outcome) = self.leave_queue(&mut occupancy, deadline, &is_cancelled) {
                occupancy.waiting -= 1;
                return outcome;
            }
            let waited = self
                .freed
                .wait_timeout(occupancy, Self::CANCELLATION_CHECK_INTERVAL);
            occupancy = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Decides whether a waiting request leaves the queue now.
    fn leave_queue(
        &self,
        occupancy: &mut Occupancy,
        deadline: Option<Instant>,
        is_cancelled: &impl Fn() -> bool,
    ) -> Option<Result<(), Shed>> {
        if is_cancelled() {
            return Some(Err(Shed::Cancelled));
        }
        if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
            return Some(Err(Shed::DeadlinePassed));
        }
        if occupancy.busy < self.slots {
            occupancy.busy += 1;
            return Some(Ok(()));
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Occupancy> {
        self.occupancy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.slots.lock().busy -= 1;
        self.slots.freed.notify_one();
    }
}
