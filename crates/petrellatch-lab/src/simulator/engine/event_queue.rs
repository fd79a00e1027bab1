//! The queue of events in the order of virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use super::VirtualTime;

/// All events that are yet to happen. Events of the same time happen in the
/// order in which they were scheduled, so a run is determined by its seed.
#[derive(Debug)]
pub struct EventQueue<E> {
    now: VirtualTime,
    scheduled: u64,
    heap: BinaryHeap<Entry<E>>,
}

#[derive(Debug)]
struct Entry<E> {
    time: VirtualTime,
    sequence: u64,
    event: E,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            now: VirtualTime::ZERO,
            scheduled: 0,
            heap: BinaryHeap::new(),
        }
    }
}

impl<E> EventQueue<E> {
    /// Returns the time of the event that was taken last.
    pub fn now(&self) -> VirtualTime {
        self.now
    }

    /// Schedules an event; one in the past happens now.
    pub fn schedule(&mut self, time: VirtualTime, event: E) {
        self.scheduled += 1;
        self.heap.push(Entry {
            time: time.max(self.now),
            sequence: self.scheduled,
            event,
        });
    }

    /// Takes the next event if it happens no later than `end`, and moves the
    /// time to it.
    pub fn pop_until(&mut self, end: VirtualTime) -> Option<E> {
        if self.heap.peek()?.time > end {
            return None;
        }
        let entry = self.heap.pop()?;
        self.now = entry.time;
        Some(entry.event)
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    // The heap yields its greatest entry, which has to be the earliest one.
    fn cmp(&self, other: &Self) -> Ordering {
        let other_key = (other.time, other.sequence);
        other_key.cmp(&(self.time, self.sequence))
    }
}
